// Package planner computes expert placement: which replicas of which experts
// each rank of a group holds, so that the slowest rank of each layer carries as
// little load as possible relative to the cost of moving weights.
//
// A plan is a pure function of its [Input]: it reads no clock and no random
// source, and the same input gives the same plan.
//
//	plan, err := planner.Make(planner.Input{
//		Map:        current,
//		Popularity: popularity,
//		Ranks:      ranks,
//		Limits:     planner.Limits{Loads: 600, Staging: 8},
//		Prices:     prices,
//		NextID:     banyanplank.NewMapID(fence, sequence),
//	})
//	if plan.HasMoves() { ... }
package planner

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Defaults and bounds of a plan.
const (
	// defaultMargin is used if [Limits.Margin] is zero.
	defaultMargin = 2
	// minLayerLoads is the lower limit of layerLoadLimit, in slots.
	minLayerLoads = 32
	// layerShareFactor multiplies a layer's even share of the budget in
	// layerLoadLimit.
	layerShareFactor = 4
)

// Make returns the plan for the input. If the input is invalid or every rank is
// excluded, it returns an error and no plan, and the current map stays in use.
func Make(input Input) (plan Plan, err error) {
	defer func() { err = errors.Wrapf(err, "plan for group %q", input.Map.Group) }()
	if err := input.check(); err != nil {
		return Plan{}, err
	}
	ranks := newRanks(input.Ranks)
	if ranks.usable == 0 {
		return Plan{}, errors.New("every rank is excluded")
	}
	d := &draft{input: &input, ranks: ranks, budget: newBudget(input.Limits, input.Map.Shape.Layers, len(input.Ranks))}
	d.copyMap()
	d.drainExcluded()
	d.improve()
	return d.plan()
}

// draft is a plan under construction.
type draft struct {
	input  *Input
	ranks  *ranks
	budget *budget
	next   banyanplank.ExpertMap
	// before, drained and after are the peaks of the layers: on the current
	// map, after the excluded ranks are drained, and after all moves.
	before            []float64
	drained           []float64
	after             []float64
	means             []float64
	pending           int
	movedFromExcluded bool
	improved          bool
}

// copyMap initializes the next map as a copy of the current one.
func (d *draft) copyMap() {
	d.next = d.input.Map
	d.next.ID = d.input.NextID
	d.next.Placement = slices.Clone(d.input.Map.Placement)
	layers := d.input.Map.Shape.Layers
	d.before = make([]float64, layers)
	d.drained = make([]float64, layers)
	d.after = make([]float64, layers)
	d.means = make([]float64, layers)
}

// drainExcluded moves experts away from excluded ranks. It runs first, so that
// it has priority in the use of the budget.
func (d *draft) drainExcluded() {
	for i := range d.before {
		l := newLayer(d.input, d.ranks, i)
		d.before[i] = l.peak()
		d.means[i] = l.mean()
		if d.ranks.usable < len(d.ranks.excluded) {
			d.pending += l.drainExcluded(d.budget)
			copy(d.next.Layer(i), l.places)
		}
		d.drained[i] = l.peak()
	}
	d.movedFromExcluded = !slices.Equal(d.next.Placement, d.input.Map.Placement)
	copy(d.after, d.drained)
}

// improve applies the steps that reduce the step time by more than their cost.
func (d *draft) improve() {
	start := *d.input
	start.Map = d.next
	layerSteps, taken := d.planSteps(&start)
	after := d.peaksAfter(layerSteps, taken)
	if slices.Max(taken) == 0 || !d.isProfitable(taken, layerSteps, after) {
		return
	}
	d.improved = true
	d.after = after
	for i, n := range taken {
		applySteps(&d.next, layerSteps[i][:n])
	}
}

// planSteps searches steps for each layer and returns them together with how
// many of each layer are taken.
func (d *draft) planSteps(start *Input) (layerSteps [][]step, taken []int) {
	if d.input.Prices.Copy > 0 {
		return d.planStepsByGainRate(start)
	}
	layerSteps = make([][]step, len(d.before))
	for i := range layerSteps {
		l := newLayer(start, d.ranks, i)
		layerSteps[i] = l.search(d.layerLoadLimit())
	}
	return layerSteps, chooseSteps(d.budget, d.minSlope(), layerSteps, d.drained)
}

// peaksAfter returns the peaks of the layers after the first taken[i] steps of
// each layer i.
func (d *draft) peaksAfter(layerSteps [][]step, taken []int) (after []float64) {
	after = slices.Clone(d.drained)
	for i, n := range taken {
		if n > 0 {
			after[i] = layerSteps[i][n-1].peak
		}
	}
	return after
}

// layerLoadLimit bounds the slots that the search fills in one layer, before
// chooseSteps compares the layers and splits the budget between them.
func (d *draft) layerLoadLimit() int {
	evenShare := d.budget.loadsLeft / len(d.before)
	return min(d.budget.loadsLeft, max(minLayerLoads, layerShareFactor*evenShare))
}

// minSlope returns the minimum reduction of a layer's peak, in tokens per
// second, that justifies filling one slot.
func (d *draft) minSlope() float64 {
	p := d.input.Prices
	savedPerPeakUnit := p.Token.Seconds() * p.Horizon.Seconds()
	return d.margin() * p.Load.Seconds() / savedPerPeakUnit
}

// margin returns the factor by which the gain must exceed the cost.
func (d *draft) margin() float64 {
	if d.input.Limits.Margin == 0 {
		return defaultMargin
	}
	return d.input.Limits.Margin
}

// isProfitable reports whether the taken steps together reach the minimum gain
// and exceed their cost by the margin.
func (d *draft) isProfitable(taken []int, layerSteps [][]step, after []float64) bool {
	loads := 0
	for i, n := range taken {
		if n > 0 {
			loads += layerSteps[i][n-1].loads
		}
	}
	before, planned := d.stepTime(d.drained), d.stepTime(after)
	if before-planned < time.Duration(d.input.Limits.Gain*float64(before)) {
		return false
	}
	return d.timeSaved(before, planned) > time.Duration(d.margin()*float64(d.cost(loads)))
}

// stepTime returns the time of one step with the given layer peaks.
func (d *draft) stepTime(peaks []float64) (t time.Duration) {
	sum := 0.0
	for _, p := range peaks {
		sum += p
	}
	return d.input.Prices.Fixed + time.Duration(sum/d.input.Prices.Steps*float64(d.input.Prices.Token))
}

// timeSaved returns the step time saved over the horizon.
func (d *draft) timeSaved(before, after time.Duration) (t time.Duration) {
	steps := d.input.Prices.Steps * d.input.Prices.Horizon.Seconds()
	return time.Duration(steps * float64(before-after))
}

// cost returns the step time that filling the slots and switching the map take.
func (d *draft) cost(loads int) (t time.Duration) {
	return time.Duration(loads)*d.input.Prices.Load + d.input.Prices.Switch
}

// plan checks the next map and returns the finished plan.
func (d *draft) plan() (plan Plan, err error) {
	plan = Plan{
		Map:        d.input.Map,
		Before:     d.stepTime(d.before),
		After:      d.stepTime(d.after),
		SkewBefore: skew(d.before, d.means),
		SkewAfter:  skew(d.after, d.means),
		Pending:    d.pending,
		Reason:     d.reason(),
	}
	if plan.Moves, err = d.input.Map.Diff(d.next); err != nil || len(plan.Moves) == 0 {
		return plan, err
	}
	if plan.Loads, err = d.input.Map.CountLoads(d.next); err != nil {
		return Plan{}, err
	}
	plan.Map = d.next
	plan.Gain = d.timeSaved(plan.Before, plan.After)
	plan.Cost = d.cost(plan.Loads)
	return plan, d.next.Check()
}

// reason returns why the plan changes the map or keeps it.
func (d *draft) reason() Reason {
	switch {
	case d.movedFromExcluded:
		return ReasonExcluded
	case d.improved:
		return ReasonGain
	case skew(d.before, d.means) <= 1+balanceTolerance:
		return ReasonBalanced
	default:
		return ReasonCost
	}
}

// skew returns the peak over the mean, averaged over the layers that have any
// load. It is 1 if none has.
func skew(peaks, means []float64) (average float64) {
	sum, count := 0.0, 0
	for i, m := range means {
		if m > 0 {
			sum += peaks[i] / m
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}
