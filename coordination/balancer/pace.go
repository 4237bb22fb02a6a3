package balancer

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// The control of how many calls an engine runs at once.
const (
	// gapTarget is the longest mean time between events that is aimed at.
	// Callers count an answer as late beyond a longest pause that is stated
	// with the route; single pauses are longer than the mean.
	gapTarget = 95 * time.Millisecond
	// adjustEvery is the time between two changes of the limit. Calls of a few
	// seconds show the effect of a change only after some passes.
	adjustEvery = 400 * time.Millisecond
	// leastLimit keeps an engine in use while its pace recovers.
	leastLimit = 3
	// raise and lower are how much the limit changes at a time.
	raise = 0.5
	lower = 0.9
	// headroom is the part of the target below which the limit may rise.
	headroom = 0.85
	// gapDecay is the weight of the latest gap in the mean.
	gapDecay = 0.05
)

// pace measures the passes of the engines of a service, and bounds the calls
// that each runs so that streams go on without long pauses.
type pace struct {
	slots float64
	limit float64
	mean  time.Duration
	next  time.Time
}

// configure takes in the engine's slots.
func (c *pace) configure(engine *banyanplank.EngineSpec) {
	if engine == nil {
		return
	}
	if c.limit == 0 {
		c.limit = float64(engine.Slots)
	}
	c.slots = float64(engine.Slots)
	c.limit = min(c.limit, c.slots)
}

// observe takes in the time between two events of a stream.
func (c *pace) observe(now time.Time, gap time.Duration) {
	if c.mean == 0 {
		c.mean = gap
	}
	c.mean += time.Duration(gapDecay * float64(gap-c.mean))
	if now.Before(c.next) || c.limit == 0 {
		return
	}
	c.next = now.Add(adjustEvery)
	switch {
	case c.mean > gapTarget:
		c.limit = max(leastLimit, c.limit*lower)
	case c.mean < time.Duration(headroom*float64(gapTarget)):
		c.limit = min(c.slots, c.limit+raise)
	}
}
