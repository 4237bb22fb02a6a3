package planner

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Rank describes one rank to the planner.
type Rank struct {
	Instance banyanplank.InstanceID
	Zone     banyanplank.Zone
	// Speed is the throughput of the rank relative to a healthy one. Zero means 1.
	Speed float64
	// Excluded is set for a rank that is lost or has stalled for long. It must
	// hold no expert that has a replica elsewhere.
	Excluded bool
}

// Limits bounds the moves of one plan.
type Limits struct {
	// Loads bounds the slots that one plan fills from the weight store.
	Loads int
	// Staging bounds the slots that one rank fills in one plan. The rank keeps
	// the new weights beside the old ones until the map switch.
	Staging int
	// Layer bounds the slots of one layer that one rank fills in one plan. Zero
	// means no limit other than Staging.
	Layer int
	// Gain is the minimum reduction of the step time, as a fraction of it.
	Gain float64
	// Margin is the factor by which the step time saved must exceed the cost.
	// Zero means 2. A factor above 1 adds hysteresis against gains that are
	// only noise.
	Margin float64
}

// Prices holds the costs that convert loads and moves into step time.
type Prices struct {
	// Fixed is the part of a step that doesn't depend on the expert map.
	Fixed time.Duration
	// Token is the time that one token of one expert adds to a rank's step.
	Token time.Duration
	// Steps is the number of steps per second.
	Steps float64
	// Load is the step time that the group loses for each slot filled.
	Load time.Duration
	// Switch is the step time that the group loses for a switch of the map.
	Switch time.Duration
	// Copy is the time in which a rank fills one slot; a rank fills its slots
	// one after the other. Delay is the time that a plan takes in addition. If
	// Copy is set, a plan limits the slots of each rank so that it saves the
	// most step time relative to the time until the map is in use; the
	// remaining moves are left to the next plan.
	Copy  time.Duration
	Delay time.Duration
	// Horizon is the time for which the demand is expected to stay the same.
	Horizon time.Duration
}

// Input holds everything that a plan depends on.
type Input struct {
	Map        banyanplank.ExpertMap
	Popularity banyanplank.Popularity
	Ranks      []Rank
	Limits     Limits
	Prices     Prices
	// NextID is the id of the map that the plan makes. It must be above Map.ID.
	NextID banyanplank.MapID
}

// check returns an error if no plan can be made from the input.
func (i *Input) check() (err error) {
	if err := i.Map.Check(); err != nil {
		return err
	}
	if i.Popularity.Shape != i.Map.Shape {
		return errors.Newf("popularity of shape %+v, map has %+v", i.Popularity.Shape, i.Map.Shape)
	}
	if want := i.Map.Shape.Layers * i.Map.Shape.Experts; len(i.Popularity.Tokens) != want {
		return errors.Newf("popularity of %d experts, want %d", len(i.Popularity.Tokens), want)
	}
	for n, tokens := range i.Popularity.Tokens {
		if math.IsNaN(float64(tokens)) || math.IsInf(float64(tokens), 0) || tokens < 0 {
			return errors.Newf("popularity of expert %d in layer %d is %g tokens/s",
				n%i.Map.Shape.Experts, n/i.Map.Shape.Experts, tokens)
		}
	}
	if i.NextID <= i.Map.ID {
		return errors.Newf("next map id %d is not above %d", i.NextID, i.Map.ID)
	}
	return i.checkBounds()
}

// checkBounds checks ranks, limits and prices.
func (i *Input) checkBounds() (err error) {
	if len(i.Ranks) != i.Map.Shape.Ranks {
		return errors.Newf("%d ranks described, map has %d", len(i.Ranks), i.Map.Shape.Ranks)
	}
	for n, r := range i.Ranks {
		if r.Speed < 0 || math.IsNaN(r.Speed) || math.IsInf(r.Speed, 0) {
			return errors.Newf("rank %d has speed %g", n, r.Speed)
		}
	}
	if l := i.Limits; l.Loads < 0 || l.Staging < 0 || l.Layer < 0 || l.Gain < 0 || l.Margin < 0 {
		return errors.Newf("negative limit in %+v", l)
	}
	if p := i.Prices; p.Token <= 0 || p.Steps <= 0 || p.Horizon <= 0 || p.Load < 0 || p.Switch < 0 || p.Fixed < 0 || p.Copy < 0 || p.Delay < 0 {
		return errors.Newf("token time, steps and horizon must be positive and no other price negative in %+v", p)
	}
	return nil
}

// Plan is the result of [Make].
type Plan struct {
	// Map is the proposed map, or the current one if there are no moves.
	Map banyanplank.ExpertMap
	// Moves are the slot writes that turn the current map into Map.
	Moves []banyanplank.SlotMove
	// Loads counts the slots that must be filled from the weight store.
	Loads int
	// Before and After are the predicted step times.
	Before time.Duration
	After  time.Duration
	// SkewBefore and SkewAfter are the time of the slowest rank over the mean,
	// averaged over the layers.
	SkewBefore float64
	SkewAfter  float64
	// Gain is the step time saved over the horizon. Cost is the step time that
	// the loads and the map switch take.
	Gain time.Duration
	Cost time.Duration
	// Pending counts, over all layers, the replicas left on excluded ranks
	// because their expert has no usable replica yet.
	Pending int
	// Reason is why the plan changes the map or keeps it.
	Reason Reason
}

// HasMoves reports whether the plan changes the map.
func (p Plan) HasMoves() bool { return len(p.Moves) > 0 }

// Reason is a short fixed word for why a plan changes the map or keeps it.
type Reason string

// The reasons of a plan.
const (
	// ReasonGain changes the map because the step time saved exceeds the cost.
	ReasonGain Reason = "gain"
	// ReasonExcluded moves experts away from an excluded rank.
	ReasonExcluded Reason = "excluded"
	// ReasonBalanced keeps the map because the layers are balanced.
	ReasonBalanced Reason = "balanced"
	// ReasonCost keeps the map because the step time saved is below the minimum
	// gain or doesn't cover the cost.
	ReasonCost Reason = "cost"
)
