package admitter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Limits on the accounting for work of an earlier run of the agent.
const (
	// discoveryTime is the time after the start of the agent in which reports
	// may show new inherited work, because reports lag.
	discoveryTime = 3 * time.Second
	// maxInheritedTime is the time after the start of the agent at which all
	// inherited work is assumed to have ended.
	maxInheritedTime = 10 * time.Minute
)

// inheritedWork is the work at the endpoint that an earlier run of the agent
// started.
type inheritedWork struct {
	// maxOutput is the number of tokens by which each inherited request may grow.
	maxOutput int
	// tokens is what inherited requests hold, maxGrowth what they may hold in
	// addition later.
	tokens    int
	maxGrowth int
	startedAt time.Time
	// ownAttempts holds the attempts that this run started within discoveryTime,
	// inheritedAttempts those that it did not start.
	ownAttempts       map[banyanplank.AttemptID]bool
	inheritedAttempts map[banyanplank.AttemptID]bool
}

func newInheritedWork(now time.Time, maxOutput int) *inheritedWork {
	return &inheritedWork{
		maxOutput:         maxOutput,
		startedAt:         now,
		ownAttempts:       map[banyanplank.AttemptID]bool{},
		inheritedAttempts: map[banyanplank.AttemptID]bool{},
	}
}

// isDiscoveryOver reports whether discoveryTime has passed, so that all inherited
// work is known.
func (w *inheritedWork) isDiscoveryOver(now time.Time) bool {
	return now.Sub(w.startedAt) >= discoveryTime
}

// recordStart records that this run of the agent starts an attempt.
func (w *inheritedWork) recordStart(now time.Time, id banyanplank.AttemptID) {
	if !w.isDiscoveryOver(now) {
		w.ownAttempts[id] = true
	}
}

// observe applies a report. This run of the agent has ownRequests running at the
// endpoint.
func (w *inheritedWork) observe(now time.Time, report banyanplank.EndpointReport, ownRequests int) {
	discoveryOver := w.isDiscoveryOver(now)
	if discoveryOver && w.tokens == 0 {
		return
	}
	count := max(0, report.Running+report.Waiting-ownRequests)
	if len(report.Attempts) > 0 {
		count = w.countInherited(report.Attempts, discoveryOver)
	}
	tokens := 0
	if count > 0 {
		tokens = max(1, report.Held*count/max(count, report.Running))
	}
	if discoveryOver {
		w.tokens, w.maxGrowth = tokens, min(w.maxGrowth, count*w.maxOutput)
		return
	}
	w.tokens, w.maxGrowth = max(w.tokens, tokens), max(w.maxGrowth, count*w.maxOutput)
}

// countInherited returns how many of the listed attempts are inherited.
func (w *inheritedWork) countInherited(listed []banyanplank.AttemptID, discoveryOver bool) (count int) {
	for _, id := range listed {
		if !discoveryOver && !w.ownAttempts[id] {
			w.inheritedAttempts[id] = true
		}
		if w.inheritedAttempts[id] {
			count++
		}
	}
	return count
}

// clear removes all inherited work.
func (w *inheritedWork) clear() {
	w.tokens, w.maxGrowth = 0, 0
	clear(w.inheritedAttempts)
}

// expire removes all inherited work after maxInheritedTime.
func (w *inheritedWork) expire(now time.Time) {
	if now.Sub(w.startedAt) > maxInheritedTime {
		w.clear()
	}
}
