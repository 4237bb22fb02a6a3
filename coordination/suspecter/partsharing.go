package suspecter

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Limits on what heartbeats repeat of the parts of prompts, so that restarted entries learn
// of it.
const (
	maxSharedConvictions = 16
	maxSharedPrompts     = 8
)

// PartsVerdict returns the verdict on a request by the parts of its prompt, and for how much
// longer it is refused.
func (c *CrashTracker) PartsVerdict(now time.Time, parts []banyanplank.PartID) (verdict Verdict, left time.Duration) {
	if len(parts) == 0 || !c.hasSuspects.Load() {
		return VerdictAllowed, 0
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parts.verdict(now, parts)
}

// RecordAnswered records that an answer has begun, which an endpoint that crashes on a part
// of its prompt never does.
func (c *CrashTracker) RecordAnswered(now time.Time, parts []banyanplank.PartID) {
	if len(parts) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cleared := c.parts.recordAnswered(now, parts)
	if len(cleared) == 0 {
		return
	}
	c.notify(Event{Name: EventPartCleared, Parts: cleared, Evidence: "an answer has begun"})
	c.share(now, banyanplank.Finding{Kind: banyanplank.FindingCleared, Parts: cleared})
	c.onUrgent()
}

// PartCounts returns the number of suspect parts of prompts and that of convictions.
func (c *CrashTracker) PartCounts() (suspected, convicted int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.parts.suspects), len(c.parts.convictions)
}

// AreAnswered reports whether the parts of a prompt are known to be sound: answers to other
// prompts with each of them have begun at this entry.
func (c *CrashTracker) AreAnswered(parts []banyanplank.PartID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parts.isAnswered(parts)
}

// addPartDeaths adds the prompts of runs that had no answer at a death, and shares them.
func (c *CrashTracker) addPartDeaths(now time.Time, death banyanplank.Finding, runs []pendingRun) (changed bool) {
	for _, p := range runs {
		finding := banyanplank.Finding{Kind: banyanplank.FindingDeath, Death: death.Death, Age: death.Age, Parts: p.Parts}
		if !p.Answered && c.addPartDeath(now, finding) {
			c.parts.deaths[death.Death].own = true
			c.share(now, finding)
			changed = true
		}
	}
	return changed
}

// addPartDeath adds a prompt at a death and notifies of what changes by it.
func (c *CrashTracker) addPartDeath(now time.Time, finding banyanplank.Finding) (changed bool) {
	return c.changeParts(finding.Age, func() bool {
		return c.parts.addDeath(finding.Death, now.Add(-finding.Age), finding.Parts)
	})
}

// changeParts applies a change to the parts and notifies of new suspects and convictions.
func (c *CrashTracker) changeParts(age time.Duration, change func() bool) (changed bool) {
	suspectsBefore, convictionsBefore := len(c.parts.suspects), len(c.parts.convictions)
	if !change() {
		return false
	}
	c.hasSuspects.Store(true)
	c.onSuspect()
	if len(c.parts.suspects) > suspectsBefore {
		var parts []banyanplank.PartID
		for part := range c.parts.suspects {
			parts = append(parts, part)
		}
		c.notify(Event{Name: EventSuspected, Parts: parts, Evidence: "unanswered at a death", Age: age})
	}
	for _, conviction := range c.parts.convictions[min(convictionsBefore, len(c.parts.convictions)):] {
		c.notify(Event{Name: EventPartConvicted, Parts: conviction.parts, Evidence: "unanswered at consecutive deaths", Age: age})
	}
	return true
}

// mergePartFinding merges what another entry found of the parts of prompts.
func (c *CrashTracker) mergePartFinding(now time.Time, finding banyanplank.Finding) {
	at := now.Add(-finding.Age)
	switch finding.Kind {
	case banyanplank.FindingDeath:
		c.addPartDeath(now, finding)
		c.shareAnswered(now, finding.Parts)
	case banyanplank.FindingCleared:
		for _, part := range finding.Parts {
			if c.parts.clear(at, part) {
				c.notify(Event{Name: EventPartCleared, Parts: []banyanplank.PartID{part}, Evidence: "told by another entry", Age: finding.Age})
				c.onUrgent()
			}
		}
	case banyanplank.FindingConvicted:
		c.changeParts(finding.Age, func() bool { return c.parts.convict(now, at, finding.Parts, finding.Remaining) })
		c.shareAnswered(now, finding.Parts)
	case banyanplank.FindingTrial:
		c.trials.hear(now, TrialID(finding.Death))
	}
}

// shareAnswered tells the other entries which of the parts that one of them suspects had
// been answered, unless it has just done so. An entry that restarted may not know.
func (c *CrashTracker) shareAnswered(now time.Time, parts []banyanplank.PartID) {
	for _, part := range parts {
		answeredAt, known := c.parts.lastAnswer(part)
		if !known {
			continue
		}
		c.parts.clear(answeredAt, part)
		isShared := slices.ContainsFunc(c.outgoing, func(f sharedFinding) bool {
			return f.finding.Kind == banyanplank.FindingCleared && slices.Contains(f.finding.Parts, part)
		})
		if !isShared {
			c.share(now, banyanplank.Finding{Kind: banyanplank.FindingCleared, Parts: []banyanplank.PartID{part}, Age: now.Sub(answeredAt)})
			c.onUrgent()
		}
	}
}

// sharedPartFindings returns the convictions, the suspect prompts and the trial of this
// entry.
func (c *CrashTracker) sharedPartFindings(now time.Time) (findings []banyanplank.Finding) {
	for _, conviction := range c.parts.convictions[max(0, len(c.parts.convictions)-maxSharedConvictions):] {
		if now.Before(conviction.until) {
			findings = append(findings, conviction.finding(now))
		}
	}
	for _, p := range c.parts.prompts[max(0, len(c.parts.prompts)-maxSharedPrompts):] {
		findings = append(findings, p.finding(now))
	}
	if c.trials.own != 0 {
		findings = append(findings, banyanplank.Finding{Kind: banyanplank.FindingTrial, Death: banyanplank.DeathID(c.trials.own), Parts: c.trials.ownParts})
	}
	return findings
}

// FindingsToSave returns the convictions and the suspect prompts, to be kept across the
// restart of all entries. It returns none if this entry observed none of the deaths: others
// save them.
func (c *CrashTracker) FindingsToSave(now time.Time) (findings []banyanplank.Finding) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.parts.hasOwnDeath() {
		return nil
	}
	for _, conviction := range c.parts.convictions {
		if now.Before(conviction.until) {
			findings = append(findings, conviction.finding(now))
		}
	}
	for _, p := range c.parts.prompts {
		findings = append(findings, p.finding(now))
	}
	return findings
}

// hasOwnDeath reports whether this entry had a prompt at a known death.
func (t *partTracker) hasOwnDeath() bool {
	for _, d := range t.deaths {
		if d.own {
			return true
		}
	}
	return false
}

// finding returns the conviction as a finding for other entries.
func (c *partConviction) finding(now time.Time) banyanplank.Finding {
	return banyanplank.Finding{Kind: banyanplank.FindingConvicted, Parts: c.parts, Age: now.Sub(c.lastDeath), Remaining: c.until.Sub(now)}
}

// finding returns the suspect prompt as a finding for other entries.
func (p suspectPrompt) finding(now time.Time) banyanplank.Finding {
	return banyanplank.Finding{Kind: banyanplank.FindingDeath, Death: p.death, Parts: p.parts, Age: now.Sub(p.diedAt)}
}
