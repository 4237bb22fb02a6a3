package admitter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// The accounting for work that an earlier run of the agent left behind.
const (
	// settleTime is how long after its start an agent still learns of work
	// that it did not start, because reports lag.
	settleTime = 3 * time.Second
	// residueTime is how long such work is believed to go on at most.
	residueTime = 10 * time.Minute
)

// residue is the work that the endpoint holds and this run of the agent did
// not start.
type residue struct {
	// longest is the longest answer that such work may still make.
	longest int
	// tokens is what it holds, growth what it may still come to hold.
	tokens int
	growth int
	since  time.Time
	// own holds the attempts that this run started while it settled, others
	// the attempts that it did not start.
	own    map[banyanplank.AttemptID]bool
	others map[banyanplank.AttemptID]bool
}

func newResidue(now time.Time, longest int) *residue {
	return &residue{
		longest: longest,
		since:   now,
		own:     map[banyanplank.AttemptID]bool{},
		others:  map[banyanplank.AttemptID]bool{},
	}
}

// isSettled reports whether the agent has run long enough to know all of it.
func (r *residue) isSettled(now time.Time) bool {
	return now.Sub(r.since) >= settleTime
}

// start tells that this run of the agent starts an attempt.
func (r *residue) start(now time.Time, id banyanplank.AttemptID) {
	if !r.isSettled(now) {
		r.own[id] = true
	}
}

// observe takes in a report while own requests run at the endpoint.
func (r *residue) observe(now time.Time, report banyanplank.EndpointReport, own int) {
	settled := r.isSettled(now)
	if settled && r.tokens == 0 {
		return
	}
	count := max(0, report.Running+report.Waiting-own)
	if len(report.Attempts) > 0 {
		count = r.count(report.Attempts, settled)
	}
	tokens := 0
	if count > 0 {
		tokens = max(1, report.Held*count/max(count, report.Running))
	}
	if settled {
		r.tokens, r.growth = tokens, min(r.growth, count*r.longest)
		return
	}
	r.tokens, r.growth = max(r.tokens, tokens), max(r.growth, count*r.longest)
}

// count returns how many of the listed attempts are others'.
func (r *residue) count(listed []banyanplank.AttemptID, settled bool) (count int) {
	for _, id := range listed {
		if !settled && !r.own[id] {
			r.others[id] = true
		}
		if r.others[id] {
			count++
		}
	}
	return count
}

// clear forgets all of it, because the endpoint has restarted.
func (r *residue) clear() {
	r.tokens, r.growth = 0, 0
	clear(r.others)
}

// expire drops what can no longer run.
func (r *residue) expire(now time.Time) {
	if now.Sub(r.since) > residueTime {
		r.clear()
	}
}
