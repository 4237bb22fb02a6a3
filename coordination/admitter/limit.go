package admitter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// The endpoint's limit in cold start and its growth.
const (
	// defaultColdShare is the part of the capacity that a cold endpoint carries.
	defaultColdShare = 16
	// growthShare is the part of each finished request's tokens by which the
	// limit grows.
	growthShare = 2
	// cutShare is the part of the limit that one cut takes away.
	cutShare = 16
	// cutEvery is the shortest time between two cuts.
	cutEvery = 500 * time.Millisecond
	// pacedShare is the part of the capacity that is kept however slow steps are.
	pacedShare = 8
	// coldTime is how long a report of cold start counts when no other follows.
	coldTime = 30 * time.Second
	// easyShare and hardShare are the parts of the step-time objective, in
	// hundredths, below which the limit may grow and above which it is cut.
	easyShare = 90
	hardShare = 96
)

// limit bounds the tokens that the endpoint may hold.
type limit struct {
	// capacity is what the endpoint can hold when warm. Zero means unknown.
	capacity int
	// ceiling bounds the capacity that is believed. Zero means no bound.
	ceiling int
	// floor is the limit while the capacity is unknown.
	floor int
	// coldShare is the part of the capacity that a cold endpoint carries.
	coldShare int
	current   int
	// coldUntil is how long the endpoint's word that it is cold counts.
	coldUntil time.Time
	// between is the objective for the time between tokens, or zero.
	between time.Duration
	cutAt   time.Time
}

// coldBound is the limit of a cold endpoint.
func (l *limit) coldBound() int {
	if l.capacity == 0 {
		return l.floor
	}
	return max(1, l.capacity/l.coldShare)
}

// reset returns the limit to cold start.
func (l *limit) reset() {
	l.current = l.coldBound()
}

// observe takes in what the endpoint reports.
func (l *limit) observe(now time.Time, report banyanplank.EndpointReport) {
	l.resize(report.Capacity)
	l.coldUntil = now
	if report.Cold {
		l.coldUntil = now.Add(coldTime)
	}
}

// adopt starts from what the endpoint carries already, when this run of the
// agent sees it first.
func (l *limit) adopt(report banyanplank.EndpointReport) {
	if !report.Cold {
		l.current = max(l.current, min(l.capacity, report.Held))
	}
}

// resize takes in the capacity that the endpoint reports.
func (l *limit) resize(capacity int) {
	if capacity <= 0 {
		return
	}
	if l.ceiling > 0 {
		capacity = min(capacity, l.ceiling)
	}
	known := l.capacity > 0
	l.capacity = capacity
	if !known {
		l.reset()
	}
	l.current = min(l.current, capacity)
}

// grow raises the limit after a request of the given tokens has finished well.
func (l *limit) grow(now time.Time, tokens int, step time.Duration) {
	if now.Before(l.coldUntil) || l.capacity == 0 {
		return
	}
	isSlow := l.between > 0 && step*100 > l.between*easyShare
	if isSlow && l.current >= l.pacedBound() {
		return
	}
	l.current = min(l.capacity, l.current+max(1, tokens/growthShare))
}

// cut lowers the limit while steps take longer than the objective.
func (l *limit) cut(now time.Time, held int, step time.Duration) {
	if l.between == 0 || step*100 <= l.between*hardShare || now.Sub(l.cutAt) < cutEvery {
		return
	}
	l.cutAt = now
	used := min(l.current, held)
	l.current = min(l.current, max(l.pacedBound(), used-used/cutShare))
}

// pacedBound is the limit below which slow steps do not lower it, because the
// objective may be out of reach at any load.
func (l *limit) pacedBound() int {
	return l.capacity / pacedShare
}

// isWarming reports whether the limit has not yet left cold start.
func (l *limit) isWarming() bool {
	return l.capacity == 0 || l.current <= l.coldBound()
}
