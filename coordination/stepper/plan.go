package stepper

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/planner"
)

// Parameters of planning.
const (
	// horizon is how long the demand is expected to last.
	horizon = 4 * time.Second
	// expectedExit is how long a rank is expected to run after it was first known to be
	// leaving. Endpoints serve for at least 2 s then.
	expectedExit = 2 * time.Second
	// planDelay is the time from a shift of the demand until the plan is made and all
	// ranks are armed: one round and several passes of 100 ms.
	planDelay = 250 * time.Millisecond
	// copySlowdown is the relative increase of the pass time while weights are copied.
	copySlowdown = 0.15
	// minGainLongPasses is the minimum share of the step time that a plan must save while
	// passes are long, and minGainShortPasses the one while they are short: callers do not
	// notice a faster step then, and moving weights has no benefit.
	minGainLongPasses  = 0.03
	minGainShortPasses = 0.25
	// Passes up to shortPassShare of the longest pause within the latency target are
	// short, and those above longPassShare are long.
	shortPassShare = 0.35
	longPassShare  = 0.6
	// nominalStepsPerSecond is the step rate to which demand is scaled.
	nominalStepsPerSecond = 100
	// slowdownThreshold is the multiple of its usual pass time from which on a rank gets no
	// experts and no calls, since all ranks wait for it.
	slowdownThreshold = 2
	// maxSlowShare is the largest share of the ranks that may be excluded as slow.
	maxSlowShare = 0.25
)

// placement holds the experts of a map by layer and rank.
type placement [][][]uint16

// plan is a map and its expected benefit.
type plan struct {
	placement placement
	// skewBefore and skewAfter are the load of the heaviest rank divided by the mean load,
	// averaged over the layers.
	skewBefore float64
	skewAfter  float64
	// gain is the share of the step time that the map saves.
	gain         float64
	movesExperts bool
	// forced is set when experts are moved off a slow rank.
	forced bool
}

// makePlan returns a map for the demand, which pays off within lifetime. It differs from
// the current one by at most the spare experts of each rank and layer.
func makePlan(spec *banyanplank.EngineSpec, current placement, weight [][]float64, slowdowns []float64, lifetime time.Duration) (p plan, err error) {
	defer func() { err = errors.Wrap(err, "plan expert map") }()
	input := planInput(spec, current, weight, slowdowns, lifetime)
	if input.Prices.Token == 0 {
		return plan{placement: current, skewBefore: 1, skewAfter: 1}, nil
	}
	result, err := planner.Make(input)
	if err != nil {
		return plan{}, err
	}
	for l := range current {
		p.placement = append(p.placement, unflatten(result.Map, l))
	}
	p.skewBefore, p.skewAfter = result.SkewBefore, result.SkewAfter
	p.movesExperts, p.forced = result.HasMoves(), result.Reason == planner.ReasonExcluded
	// Only the expert share of the step time grows with the skew.
	share := spec.ExpertShare
	p.gain = share * (p.skewBefore - p.skewAfter) / (1 - share + share*p.skewBefore)
	return p, nil
}

// minGain returns the minimum gain at which a plan is worth moving experts, interpolated
// by the ratio of the pass time to the longest pause within the latency target.
func minGain(passTime, maxPause time.Duration) (gain float64) {
	if passTime == 0 || maxPause == 0 {
		return minGainLongPasses
	}
	position := (float64(passTime)/float64(maxPause) - shortPassShare) / (longPassShare - shortPassShare)
	return minGainShortPasses + (minGainLongPasses-minGainShortPasses)*min(1, max(0, position))
}

// planInput returns the input of the planner. The price of a token is zero when there is
// no demand.
func planInput(spec *banyanplank.EngineSpec, current placement, weight [][]float64, slowdowns []float64, lifetime time.Duration) (input planner.Input) {
	layers, ranks := len(current), len(current[0])
	shape := banyanplank.MapShape{Ranks: ranks, Layers: layers, Experts: spec.Experts, Slots: spec.ExpertSlots}
	input = planner.Input{
		Map:        banyanplank.ExpertMap{ID: 1, Shape: shape},
		Popularity: banyanplank.Popularity{Shape: shape},
		Ranks:      make([]planner.Rank, ranks),
		Limits:     planner.Limits{Loads: spec.MaxNewExperts * ranks * layers, Staging: spec.MaxNewExperts * layers, Layer: spec.MaxNewExperts},
		NextID:     2,
	}
	total := 0.0
	for l, layer := range current {
		input.Map.Placement = append(input.Map.Placement, flatten(layer, shape)...)
		for _, w := range weight[l] {
			input.Popularity.Tokens = append(input.Popularity.Tokens, float32(w))
			total += w
		}
	}
	excluded := slowRanks(slowdowns)
	for r, slowdown := range slowdowns {
		input.Ranks[r].Excluded = excluded[r]
		if slowdown > 1 {
			input.Ranks[r].Speed = 1 / slowdown
		}
	}
	if total == 0 {
		return input
	}
	mean := total / float64(layers*ranks) / nominalStepsPerSecond
	layerTime := spec.ExpertShare * spec.BaseStepTime.Seconds() / float64(layers)
	copyTime := spec.ExpertBytes / max(1, spec.LinkRate) * float64(time.Second)
	input.Prices = planner.Prices{
		Fixed:   time.Duration((1 - spec.ExpertShare) * float64(spec.BaseStepTime)),
		Token:   max(1, time.Duration(layerTime/mean*float64(time.Second))),
		Steps:   nominalStepsPerSecond,
		Load:    time.Duration(copySlowdown * copyTime),
		Horizon: lifetime,
		Copy:    max(1, time.Duration(copyTime)),
		Delay:   planDelay,
	}
	return input
}

// slowRanks reports which ranks are excluded as slow. None is when more than maxSlowShare
// of them are slow.
func slowRanks(slowdowns []float64) (slow []bool) {
	slow = make([]bool, len(slowdowns))
	count := 0
	for r, slowdown := range slowdowns {
		slow[r] = slowdown >= slowdownThreshold
		if slow[r] {
			count++
		}
	}
	if float64(count) > maxSlowShare*float64(len(slowdowns)) {
		clear(slow)
	}
	return slow
}

// flatten returns the experts of a layer by rank and slot in one slice.
func flatten(layer [][]uint16, shape banyanplank.MapShape) (slots []uint16) {
	slots = make([]uint16, 0, shape.Ranks*shape.Slots)
	for _, experts := range layer {
		for s := range shape.Slots {
			if s < len(experts) {
				slots = append(slots, experts[s])
			} else {
				slots = append(slots, banyanplank.NoExpert)
			}
		}
	}
	return slots
}

// unflatten returns the experts of layer l by rank.
func unflatten(m banyanplank.ExpertMap, l int) (layer [][]uint16) {
	slots := m.Layer(l)
	for r := range m.Shape.Ranks {
		experts := []uint16{}
		for _, e := range slots[r*m.Shape.Slots : (r+1)*m.Shape.Slots] {
			if e != banyanplank.NoExpert {
				experts = append(experts, e)
			}
		}
		slices.Sort(experts)
		layer = append(layer, experts)
	}
	return layer
}
