package planner

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Rank is what the planner knows of one rank.
type Rank struct {
	Instance banyanplank.InstanceID
	Zone     banyanplank.Zone
	// Speed is the rank's pace relative to a healthy one. Zero means 1.
	Speed float64
	// Excluded tells that the rank is lost or lastingly stalled, and must hold
	// no expert that lives elsewhere.
	Excluded bool
}

// Limits bounds what one plan may move.
type Limits struct {
	// Loads bounds the slots filled over the weight store in one plan.
	Loads int
	// Staging bounds the slots that one rank fills in one plan. The rank holds
	// the new weights beside the old ones until the switch.
	Staging int
	// Layer bounds the slots of one layer that one rank fills in one plan. Zero
	// leaves the bound to Staging.
	Layer int
	// Gain is the least relative step-time gain of a plan.
	Gain float64
	// Margin is by how much the step time won must exceed the cost. The
	// default is 2: hysteresis against a gain that is noise.
	Margin float64
}

// Prices turns loads and moves into time.
type Prices struct {
	// Fixed is the part of a step that no expert map changes.
	Fixed time.Duration
	// Token is the time that one token of one expert adds to a rank's step.
	Token time.Duration
	// Steps is the number of steps a second.
	Steps float64
	// Load is the step time that filling one slot costs the group.
	Load time.Duration
	// Switch is the step time that changing the map costs the group.
	Switch time.Duration
	// Copy is the time in which a rank fills one slot, one after the other, and
	// Delay the time that a plan takes besides. If Copy is set, a plan fills so few
	// slots of each rank that it wins most for the time until it is in use; what it
	// leaves is for the next plan.
	Copy  time.Duration
	Delay time.Duration
	// Horizon is how long the demand is expected to last.
	Horizon time.Duration
}

// Input is all that a plan depends on.
type Input struct {
	Map        banyanplank.ExpertMap
	Popularity banyanplank.Popularity
	Ranks      []Rank
	Limits     Limits
	Prices     Prices
	// Next is the id of the map that a plan would make.
	Next banyanplank.MapID
}

// check reports why no plan can be made from the input.
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
	if i.Next <= i.Map.ID {
		return errors.Newf("next map id %d is not above %d", i.Next, i.Map.ID)
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
		return errors.Newf("token time, steps and horizon must be above zero in %+v", p)
	}
	return nil
}

// Plan is what [Make] proposes.
type Plan struct {
	// Map is the proposed map, or the current one when nothing moves.
	Map banyanplank.ExpertMap
	// Moves turn the current map into Map.
	Moves []banyanplank.SlotMove
	// Loads counts the slots that must be filled over the weight store.
	Loads int
	// Before and After are the predicted step times.
	Before time.Duration
	After  time.Duration
	// SkewBefore and SkewAfter are the heaviest over the mean rank, averaged
	// over the layers.
	SkewBefore float64
	SkewAfter  float64
	// Gain is the step time won over the horizon, Cost what the moves take.
	Gain time.Duration
	Cost time.Duration
	// Pending counts the experts that only an excluded rank still holds.
	Pending int
	// Reason tells why the plan moves or stays.
	Reason Reason
}

// Moving reports whether the plan changes the map.
func (p Plan) Moving() bool { return len(p.Moves) > 0 }

// Reason is a short fixed word for why a plan moves or stays.
type Reason string

// The reasons of a plan.
const (
	// ReasonGain moves because it lowers the step time at a profit.
	ReasonGain Reason = "gain"
	// ReasonExcluded moves experts away from an excluded rank.
	ReasonExcluded Reason = "excluded"
	// ReasonBalanced stays because no move lowers the step time.
	ReasonBalanced Reason = "balanced"
	// ReasonCost stays because what it would win doesn't cover the cost.
	ReasonCost Reason = "cost"
)
