package balancer

import (
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Parameters of the concurrency limit of engines.
const (
	// passGapShare is the part of the longest accepted gap that a pass may take on
	// average. Some passes take longer, as prompts are read between them.
	passGapShare = 0.7
	// slowdownTimeConstant is the time in which the weight of a measurement falls
	// to 1/e. Expert maps follow a shift of the demand faster, so it smooths out
	// slow phases that end before the streams of new callers would start.
	slowdownTimeConstant = 500 * time.Millisecond
	// minThroughputShare is the part of its throughput with all slots in use that
	// an engine must keep under a lower limit. Below it, all calls are served late
	// instead of most being refused: callers value a late answer at about half.
	minThroughputShare = 0.6
	// gapWeight is the weight of the latest gap in the moving average.
	gapWeight = 0.05
)

// concurrencyLimiter limits the calls that each engine of a group runs at once, so
// that the gaps between the events of streams stay short. The engine's specification
// gives the nominal time of a pass by its number of calls. Uneven expert load, slow
// ranks and the reading of prompts make passes slower; the limiter measures by how
// much.
type concurrencyLimiter struct {
	engine banyanplank.EngineSpec
	// maxGap is the longest gap that callers accept as on time. Zero means no limit.
	maxGap  time.Duration
	meanGap time.Duration
	// slowdown is the ratio of the measured to the nominal time of a pass.
	slowdown   float64
	observedAt time.Time
}

// configure sets the engine's specification, if there is one, and the longest gap
// that callers accept as on time.
func (c *concurrencyLimiter) configure(engine *banyanplank.EngineSpec, maxGap time.Duration) {
	c.maxGap = maxGap
	if engine != nil {
		c.engine = *engine
	}
}

// observe records the time between two events of a stream. The engines of the group
// have on average calls in flight.
func (c *concurrencyLimiter) observe(now time.Time, gap time.Duration, calls float64) {
	if c.meanGap == 0 {
		c.meanGap = gap
	}
	c.meanGap += time.Duration(gapWeight * float64(gap-c.meanGap))
	nominal := c.engine.PassTime(max(1, calls))
	if nominal == 0 {
		return
	}
	slowdown := gap.Seconds() / nominal.Seconds()
	if c.slowdown == 0 {
		c.slowdown = slowdown
	}
	weight := 1 - math.Exp(-now.Sub(c.observedAt).Seconds()/slowdownTimeConstant.Seconds())
	c.slowdown += weight * (slowdown - c.slowdown)
	c.observedAt = now
}

// limit returns the number of calls that each engine may run at the present
// slowdown. It is slots if no limit is needed, or if one would cost too much
// throughput.
func (c *concurrencyLimiter) limit(slots float64) (calls float64) {
	if c.maxGap == 0 || c.slowdown == 0 || c.engine.SequenceTime == 0 {
		return slots
	}
	maxStep := passGapShare * c.maxGap.Seconds() / c.slowdown / float64(max(1, c.engine.StepsPerPass))
	calls = (maxStep - c.engine.BaseStepTime.Seconds()) / c.engine.SequenceTime.Seconds()
	if calls >= slots || c.throughput(calls) < minThroughputShare*c.throughput(slots) {
		return slots
	}
	return calls
}

// throughput returns the nominal events per second of an engine with the given number
// of calls.
func (c *concurrencyLimiter) throughput(calls float64) (eventsPerSecond float64) {
	return max(0, calls) / c.engine.PassTime(max(0, calls)).Seconds()
}
