package balancer

import (
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The control of how many calls an engine runs at once.
const (
	// paceShare is the part of the longest pause on time that passes may take in
	// the mean. Single ones take longer, as prompts are read between them.
	paceShare = 0.7
	// slownessMemory is the time in which what was measured before counts 1/e. Maps
	// follow a shift of the demand in less, so that a short slow time doesn't
	// refuse callers whose streams would begin after it.
	slownessMemory = 500 * time.Millisecond
	// leastOutput is the part of its calls a second that an engine must still finish
	// to run fewer at once. Below that all are served, late, rather than most refused:
	// callers count a late answer for about half.
	leastOutput = 0.6
	// gapDecay is the weight of the latest gap in the mean.
	gapDecay = 0.05
)

// pace measures the passes of a group of engines, and bounds the calls that each runs
// so that streams go on without long pauses. The engine's data tell what a pass takes by
// the calls in it. How much longer it does take, for uneven experts, slow ranks and
// prompts that are read, is measured.
type pace struct {
	engine banyanplank.EngineSpec
	// gap is the longest pause on time, or zero.
	gap  time.Duration
	mean time.Duration
	// slowness is how many times longer passes take than the engine's data tell.
	slowness float64
	at       time.Time
}

// configure takes in the engine's data and the longest pause that callers take as on
// time.
func (c *pace) configure(engine *banyanplank.EngineSpec, gap time.Duration) {
	c.gap = gap
	if engine != nil {
		c.engine = *engine
	}
}

// observe takes in the time between two events of a stream, while each engine of the
// group has calls in the mean.
func (c *pace) observe(now time.Time, gap time.Duration, calls float64) {
	if c.mean == 0 {
		c.mean = gap
	}
	c.mean += time.Duration(gapDecay * float64(gap-c.mean))
	usual := c.pass(max(1, calls))
	if usual == 0 {
		return
	}
	slowness := gap.Seconds() / usual.Seconds()
	if c.slowness == 0 {
		c.slowness = slowness
	}
	weight := 1 - math.Exp(-now.Sub(c.at).Seconds()/slownessMemory.Seconds())
	c.slowness += weight * (slowness - c.slowness)
	c.at = now
}

// pass returns how long a pass with so many calls takes by the engine's data.
func (c *pace) pass(calls float64) (usual time.Duration) {
	step := c.engine.Step.Seconds() + calls*c.engine.PerSequence.Seconds()
	return time.Duration(float64(max(1, c.engine.Stride)) * step * float64(time.Second))
}

// limit returns the calls that each engine may run with passes as slow as now.
func (c *pace) limit(slots float64) (calls float64) {
	if c.gap == 0 || c.slowness == 0 || c.engine.PerSequence == 0 {
		return slots
	}
	step := paceShare * c.gap.Seconds() / c.slowness / float64(max(1, c.engine.Stride))
	calls = (step - c.engine.Step.Seconds()) / c.engine.PerSequence.Seconds()
	if calls >= slots || c.output(calls) < leastOutput*c.output(slots) {
		return slots
	}
	return calls
}

// output returns the events a second of an engine with so many calls, by its data.
func (c *pace) output(calls float64) (events float64) {
	return max(0, calls) / c.pass(max(0, calls)).Seconds()
}
