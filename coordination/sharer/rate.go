package sharer

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the averages of demand. They follow 86% of a
	// change within a second.
	demandWindow = 500 * time.Millisecond
	// recentWindow is the time constant of an average that shows the beginning and the
	// end of a burst within a second, including the time between heartbeats. It is too noisy for shares.
	recentWindow = 150 * time.Millisecond
	// sparseWindow is the time constant for accounts with few calls at an entry, where the
	// average over demandWindow would be that of the last call.
	sparseWindow = 2 * time.Second
	// minDenseCalls is the number of calls in demandWindow from which an account's average
	// over that time is precise enough.
	minDenseCalls = 3
)

// rate is an exponential average of cost per second. The zero value is no demand.
type rate struct {
	perSecond float64
	// updatedAt is the time since the sharer's epoch.
	updatedAt time.Duration
}

// add counts a cost in slot-seconds in an average with a time constant. A time before the
// last update counts as the last update.
func (r *rate) add(now, window time.Duration, cost float64) {
	r.perSecond = r.at(now, window) + cost/window.Seconds()
	r.updatedAt = max(r.updatedAt, now)
}

// at returns the average at a time.
func (r *rate) at(now, window time.Duration) (perSecond float64) {
	return r.perSecond * decay(now-r.updatedAt, window)
}

// decay returns the factor by which an average falls in a time without calls.
func decay(elapsed, window time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(window))
}

// accountRate is the average demand of one account. The zero value is no demand.
type accountRate struct {
	// dense is the cost per second and denseCalls the number of calls per second over
	// demandWindow; sparse and sparseCalls are those over sparseWindow.
	dense, denseCalls, sparse, sparseCalls float64
	updatedAt                              time.Duration
}

// add counts a call with a cost in slot-seconds.
func (r *accountRate) add(now time.Duration, cost float64) {
	r.decay(now)
	r.dense += cost / demandWindow.Seconds()
	r.sparse += cost / sparseWindow.Seconds()
	r.denseCalls += 1 / demandWindow.Seconds()
	r.sparseCalls += 1 / sparseWindow.Seconds()
}

// decay lets the averages fall until a time.
func (r *accountRate) decay(now time.Duration) {
	if now <= r.updatedAt {
		return
	}
	elapsed := now - r.updatedAt
	short, long := decay(elapsed, demandWindow), decay(elapsed, sparseWindow)
	r.dense *= short
	r.denseCalls *= short
	r.sparse *= long
	r.sparseCalls *= long
	r.updatedAt = now
}

// isDense reports whether the average over demandWindow is precise enough. Either count of
// calls suffices: the short one follows an account that suddenly sends more, and the long
// one avoids a change of averages at every lull.
func (r *accountRate) isDense() bool {
	return max(r.denseCalls, r.sparseCalls)*demandWindow.Seconds() >= minDenseCalls
}

// isSignificant reports whether there were enough calls to tell the account's demand
// from that of a single call.
func (r *accountRate) isSignificant() bool {
	const minCalls = 3
	return r.sparseCalls*sparseWindow.Seconds() >= minCalls
}
