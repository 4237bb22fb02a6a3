package admitter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Parameters of the endpoint's limit. A divisor n stands for one n-th.
const (
	// defaultColdDivisor gives the part of the capacity that is the limit in
	// cold start.
	defaultColdDivisor = 16
	// growthDivisor gives the part of each finished request's tokens by which
	// the limit grows.
	growthDivisor = 2
	// cutDivisor gives the part of the limit by which one cut lowers it.
	cutDivisor     = 16
	minCutInterval = 500 * time.Millisecond
	// slowStepFloorDivisor gives the part of the capacity below which slow steps
	// do not lower the limit.
	slowStepFloorDivisor = 8
	// coldReportTTL is how long a report of cold start is valid if no other
	// report follows.
	coldReportTTL = 30 * time.Second
	// growBelowPercent and cutAbovePercent are percentages of the objective for
	// the time between tokens. The limit may grow below the first and is cut
	// above the second.
	growBelowPercent = 90
	cutAbovePercent  = 96
)

// limit bounds the tokens or slots that the endpoint may hold.
type limit struct {
	// capacity is what the endpoint can hold when warm, or zero if unknown.
	capacity int
	// maxCapacity bounds the reported capacity. Zero means no bound.
	maxCapacity int
	// initial is the limit while the capacity is unknown.
	initial int
	// coldDivisor divides the capacity to give the limit in cold start.
	coldDivisor int
	current     int
	// coldUntil is the time until which the latest report of cold start is valid.
	coldUntil time.Time
	// maxTokenInterval is the objective for the time between tokens. Zero means
	// no objective.
	maxTokenInterval time.Duration
	lastCut          time.Time
}

// coldLimit returns the limit in cold start.
func (l *limit) coldLimit() int {
	if l.capacity == 0 {
		return l.initial
	}
	return max(1, l.capacity/l.coldDivisor)
}

// reset sets the limit to that of a cold start.
func (l *limit) reset() {
	l.current = l.coldLimit()
}

// observe updates the capacity and the cold state from a report.
func (l *limit) observe(now time.Time, report banyanplank.EndpointReport) {
	l.setCapacity(report.Capacity)
	l.coldUntil = now
	if report.Cold {
		l.coldUntil = now.Add(coldReportTTL)
	}
}

// adoptHeld raises the limit to what a warm endpoint holds at the first report
// that this run of the agent gets.
func (l *limit) adoptHeld(report banyanplank.EndpointReport) {
	if !report.Cold {
		l.current = max(l.current, min(l.capacity, report.Held))
	}
}

// setCapacity sets the capacity. It ignores one that is not positive.
func (l *limit) setCapacity(capacity int) {
	if capacity <= 0 {
		return
	}
	if l.maxCapacity > 0 {
		capacity = min(capacity, l.maxCapacity)
	}
	known := l.capacity > 0
	l.capacity = capacity
	if !known {
		l.reset()
	}
	l.current = min(l.current, capacity)
}

// grow raises the limit after a request that reserved the given tokens has
// succeeded. Step is the 95th percentile of the step time.
func (l *limit) grow(now time.Time, tokens int, step time.Duration) {
	if now.Before(l.coldUntil) || l.capacity == 0 {
		return
	}
	isSlow := l.maxTokenInterval > 0 && step*100 > l.maxTokenInterval*growBelowPercent
	if isSlow && l.current >= l.slowStepFloor() {
		return
	}
	l.current = min(l.capacity, l.current+max(1, tokens/growthDivisor))
}

// cut lowers the limit if steps take longer than the objective allows. Step is
// the 95th percentile of the step time.
func (l *limit) cut(now time.Time, held int, step time.Duration) {
	if l.maxTokenInterval == 0 || step*100 <= l.maxTokenInterval*cutAbovePercent || now.Sub(l.lastCut) < minCutInterval {
		return
	}
	l.lastCut = now
	used := min(l.current, held)
	l.current = min(l.current, max(l.slowStepFloor(), used-used/cutDivisor))
}

// slowStepFloor returns the bound below which slow steps do not lower the limit,
// because the objective may be unreachable at any load.
func (l *limit) slowStepFloor() int {
	return l.capacity / slowStepFloorDivisor
}

// isCold reports whether the limit is still that of a cold start.
func (l *limit) isCold() bool {
	return l.capacity == 0 || l.current <= l.coldLimit()
}
