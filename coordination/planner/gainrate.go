package planner

import "time"

// minCopyShare is the copy time that the first staging limit tried allows, as a
// fraction of the plan's delay. Shorter copies hardly change the time until the
// map is in use.
const minCopyShare = 0.125

// planStepsByGainRate tries plans with increasing limits on the slots filled per
// rank. It returns the one that saves the most step time relative to the time
// until the map is in use. Ranks copy in parallel, so the rank that fills the
// most slots determines that time.
func (d *draft) planStepsByGainRate(start *Input) (layerSteps [][]step, taken []int) {
	prices := &d.input.Prices
	layerSteps, taken = make([][]step, len(d.before)), make([]int, len(d.before))
	bestRate := 0.0
	staging := max(1, d.budget.maxFilled(), int(minCopyShare*prices.Delay.Seconds()/prices.Copy.Seconds()))
	for staging = min(staging, d.input.Limits.Staging); staging > 0; staging = min(d.input.Limits.Staging, staging+max(1, staging/2)) {
		triedSteps := d.searchWithinBudget(start, d.budget.clone(staging))
		b := d.budget.clone(staging)
		triedCounts := chooseSteps(b, d.minSlope(), triedSteps, d.drained)
		saved := d.stepTime(d.drained) - d.stepTime(d.peaksAfter(triedSteps, triedCounts))
		untilUse := prices.Delay + time.Duration(b.maxFilled())*prices.Copy
		gainRate := saved.Seconds() / untilUse.Seconds()
		if gainRate > bestRate {
			bestRate, layerSteps, taken = gainRate, triedSteps, triedCounts
		}
		if gainRate < bestRate || b.maxFilled() < staging || staging == d.input.Limits.Staging {
			return layerSteps, taken
		}
	}
	return layerSteps, taken
}

// searchWithinBudget improves all layers within the budget. Each step takes the
// layer whose best change has the highest score. A change is searched again if
// other layers have used up the budget of the ranks that it fills.
func (d *draft) searchWithinBudget(start *Input, b *budget) (layerSteps [][]step) {
	layerSteps = make([][]step, len(d.before))
	layers, changes := make([]*layer, len(layerSteps)), make([]candidate, len(layerSteps))
	for i := range layers {
		layers[i] = newLayer(start, d.ranks, i)
		layers[i].budget = b
		changes[i] = layers[i].nextChange()
	}
	for {
		i := bestLayer(changes)
		if i < 0 {
			return layerSteps
		}
		l, c := layers[i], &changes[i]
		if !l.isWithinBudget(c) {
			*c = l.nextChange()
			continue
		}
		moves := l.apply(*c)
		loads := len(moves)
		if n := len(layerSteps[i]); n > 0 {
			loads += layerSteps[i][n-1].loads
		}
		layerSteps[i] = append(layerSteps[i], step{moves: moves, loads: loads, peak: l.peak()})
		if !b.reserve(moves) {
			return layerSteps
		}
		*c = l.nextChange()
	}
}

// isWithinBudget reports whether the budget has room for the change.
func (l *layer) isWithinBudget(c *candidate) bool {
	for _, rank := range c.filledRanks() {
		if l.isAtLimit(rank) {
			return false
		}
	}
	return true
}

// bestLayer returns the layer whose change has the highest score, or -1 if there
// is no change.
func bestLayer(changes []candidate) (best int) {
	best = -1
	for i, c := range changes {
		if c.ok && (best < 0 || c.score > changes[best].score) {
			best = i
		}
	}
	return best
}
