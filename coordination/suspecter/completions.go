package suspecter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// maxCompletions bounds the completed requests remembered in each generation.
const maxCompletions = 8192

// clearCompleted clears a suspect that completed and shares the finding with the other
// entries. It acquits a convicted request only if the run began after the last death
// attributed to it.
func (c *CrashTracker) clearCompleted(now time.Time, r Run) {
	finding := banyanplank.Finding{Kind: banyanplank.FindingCleared, Requests: []banyanplank.Fingerprint{r.Request}}
	if c.suspects.Verdict(now, r.Request) == VerdictRefused {
		lastDeath, known := c.suspects.LastDeath(r.Request)
		if !known || r.Began.Before(lastDeath) {
			return
		}
		finding.Kind = banyanplank.FindingAcquitted
		c.notify(Event{Name: EventAcquitted, Endpoint: r.Endpoint, Requests: finding.Requests, Evidence: "ran to completion", Age: now.Sub(lastDeath)})
	}
	if c.suspects.Add(now, finding) {
		c.share(now, finding)
		c.updateConvictions(now, "ran to completion", 0)
	}
}
