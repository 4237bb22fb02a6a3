package suspecter

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Limits on the findings that an entry sends to the other entries.
const (
	// shareDuration is how long a finding is repeated in heartbeats, long enough to
	// survive the loss of several heartbeats to another zone.
	shareDuration = 5 * time.Second
	// maxSharedRequests bounds the requests in one message so that it fits in a heartbeat.
	maxSharedRequests = 256
)

// sharedFinding is a finding of this entry that is sent to the other entries.
type sharedFinding struct {
	finding  banyanplank.Finding
	sharedAt time.Time
}

// MergeFindings merges findings received from another entry.
func (c *CrashTracker) MergeFindings(now time.Time, findings []banyanplank.Finding) {
	if len(findings) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changed, age := false, time.Duration(0)
	for _, finding := range findings {
		if c.suspects.Add(now, finding) {
			changed, age = true, max(age, finding.Age)
			c.refute(now, finding)
		}
		c.mergePartFinding(now, finding)
	}
	if changed {
		c.updateConvictions(now, "told by another entry", age)
	}
}

// refute clears or acquits the requests of another entry's finding that completed at this
// entry shortly before the death in question.
func (c *CrashTracker) refute(now time.Time, finding banyanplank.Finding) {
	if finding.Kind != banyanplank.FindingDeath && finding.Kind != banyanplank.FindingConvicted {
		return
	}
	for _, request := range finding.Requests {
		completedAt, known := c.completions.last(request)
		if !known || !isWithinGrace(completedAt, now.Add(-finding.Age)) {
			continue
		}
		refutation := banyanplank.Finding{Kind: banyanplank.FindingCleared, Requests: []banyanplank.Fingerprint{request}, Age: now.Sub(completedAt)}
		if c.suspects.Verdict(now, request) == VerdictRefused {
			refutation.Kind = banyanplank.FindingAcquitted
			c.notify(Event{Name: EventAcquitted, Requests: refutation.Requests, Evidence: "ran to completion at this entry", Age: refutation.Age})
		}
		if c.suspects.Add(now, refutation) {
			c.share(now, refutation)
		}
	}
}

// SharedFindings returns the findings to send to the other entries: this entry's recent
// findings, and all convictions so that restarted entries receive them.
func (c *CrashTracker) SharedFindings(now time.Time) (findings []banyanplank.Finding) {
	if !c.hasSuspects.Load() {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(now)
	requests := 0
	for _, request := range c.convicted {
		if requests++; requests > maxSharedRequests/2 {
			break
		}
		findings = append(findings, banyanplank.Finding{
			Kind: banyanplank.FindingConvicted, Requests: []banyanplank.Fingerprint{request}, Remaining: c.suspects.RetryAfter(now, request),
		})
	}
	findings = append(findings, c.sharedPartFindings(now)...)
	for _, f := range slices.Backward(c.outgoing) {
		if requests += len(f.finding.Requests) + len(f.finding.Parts); requests > maxSharedRequests {
			break
		}
		finding := f.finding
		finding.Age += now.Sub(f.sharedAt)
		findings = append(findings, finding)
	}
	return findings
}

// share queues a finding for the other entries.
func (c *CrashTracker) share(now time.Time, finding banyanplank.Finding) {
	c.outgoing = append(c.outgoing, sharedFinding{finding: finding, sharedAt: now})
}
