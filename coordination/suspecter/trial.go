package suspecter

import (
	"maps"
	"time"

	"github.com/banyanplank/banyanplank"
)

// TrialDelay is how long an entry waits between the claim of a trial and the trial, so that
// it hears of the claims of entries in other availability zones.
const TrialDelay = 60 * time.Millisecond

// peerTrialTime is how long a peer's trial counts after it was last heard of. Entries hear
// from all others within that time, even if a heartbeat is lost.
const peerTrialTime = 1500 * time.Millisecond

// TrialID identifies a trial. Of two entries that claim one at the same time, the one with
// the lower ID goes first.
type TrialID uint64

// trials holds the trials of all entries. A trial runs one request with suspect parts, while
// no other such request runs.
type trials struct {
	own      TrialID
	ownParts []banyanplank.PartID
	// heard holds until when trials of other entries count.
	heard map[TrialID]time.Time
}

// hear records that another entry claims or runs a trial.
func (s *trials) hear(now time.Time, id TrialID) {
	s.expire(now)
	s.heard[id] = now.Add(peerTrialTime)
}

// expire forgets the trials that were not heard of for peerTrialTime.
func (s *trials) expire(now time.Time) {
	maps.DeleteFunc(s.heard, func(_ TrialID, until time.Time) bool { return now.After(until) })
}

// runningAtPeer reports whether another entry runs a trial, and the lowest ID of these.
func (s *trials) runningAtPeer(now time.Time) (lowest TrialID, running bool) {
	s.expire(now)
	for id := range s.heard {
		if !running || id < lowest {
			lowest, running = id, true
		}
	}
	return lowest, running
}

// ClaimTrial claims the trial of a request with suspect parts. It fails while another trial
// runs. The caller waits for [TrialDelay], calls [CrashTracker.ConfirmTrial], and calls
// [CrashTracker.EndTrial] once the request has ended or its answer has begun.
func (c *CrashTracker) ClaimTrial(now time.Time, id TrialID, parts []banyanplank.PartID) (ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, running := c.trials.runningAtPeer(now); running || c.trials.own != 0 {
		return false
	}
	c.trials.own, c.trials.ownParts = id, parts
	c.onUrgent()
	return true
}

// ConfirmTrial reports whether the claimed trial may start. If another entry claimed one
// before, it ends the claim.
func (c *CrashTracker) ConfirmTrial(now time.Time, id TrialID) (ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if lowest, running := c.trials.runningAtPeer(now); running && lowest < id {
		c.trials.own, c.trials.ownParts = 0, nil
		return false
	}
	c.notify(Event{Name: EventTried, Parts: c.trials.ownParts, Evidence: "no other trial runs"})
	return true
}

// EndTrial ends a trial or its claim. Peers learn of it by the finding that it led to, or
// as they no longer hear of it.
func (c *CrashTracker) EndTrial(id TrialID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.trials.own == id {
		c.trials.own, c.trials.ownParts = 0, nil
	}
}
