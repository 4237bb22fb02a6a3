package planner

import "time"

// copyStep is the part of a plan's delay from which on the time to copy counts. Plans
// whose copies take less are not told apart.
const copyStep = 0.125

// chooseSoon tries plans that fill few slots of each rank, then more, and returns the
// one that wins most for the time until it is in use. Ranks copy side by side, so that
// time follows the rank that fills most.
func (d *draft) chooseSoon(from *Input) (paths [][]step, taken []int) {
	prices := &d.input.Prices
	paths, taken = make([][]step, len(d.before)), make([]int, len(d.before))
	best := 0.0
	staging := max(1, d.budget.longest(), int(copyStep*prices.Delay.Seconds()/prices.Copy.Seconds()))
	for staging = min(staging, d.input.Limits.Staging); staging > 0; staging = min(d.input.Limits.Staging, staging+max(1, staging/2)) {
		steps := d.searchWithin(from, d.budget.clone(staging))
		b := d.budget.clone(staging)
		tried := choose(b, d.leastSlope(), steps, d.evacuated)
		won := d.stepTime(d.evacuated) - d.stepTime(d.peaks(steps, tried))
		until := prices.Delay + time.Duration(b.longest())*prices.Copy
		rate := won.Seconds() / until.Seconds()
		if rate > best {
			best, paths, taken = rate, steps, tried
		}
		if rate < best || b.longest() < staging || staging == d.input.Limits.Staging {
			return paths, taken
		}
	}
	return paths, taken
}

// searchWithin improves all layers within the budget, in each step the one that has
// the best change left. The change is made afresh when other layers have used up the
// ranks that it needs.
func (d *draft) searchWithin(from *Input, b *budget) (paths [][]step) {
	paths = make([][]step, len(d.before))
	layers, changes := make([]*layer, len(paths)), make([]candidate, len(paths))
	for i := range layers {
		layers[i] = newLayer(from, d.ranks, i)
		layers[i].budget = b
		changes[i] = layers[i].nextChange()
	}
	for {
		i := widest(changes)
		if i < 0 {
			return paths
		}
		l, c := layers[i], &changes[i]
		if !l.isPayable(c) {
			*c = l.nextChange()
			continue
		}
		moves := l.commit(*c)
		loads := len(moves)
		if n := len(paths[i]); n > 0 {
			loads += paths[i][n-1].loads
		}
		paths[i] = append(paths[i], step{moves: moves, loads: loads, peak: l.peak()})
		if !b.take(moves) {
			return paths
		}
		*c = l.nextChange()
	}
}

// isPayable reports whether the budget still has room for the change.
func (l *layer) isPayable(c *candidate) bool {
	for _, rank := range c.touches() {
		if l.isFull(rank) {
			return false
		}
	}
	return true
}

// widest returns the layer with the change that relieves most for each slot filled, or
// -1.
func widest(changes []candidate) (layer int) {
	layer = -1
	for i, c := range changes {
		if c.ok && (layer < 0 || c.score > changes[layer].score) {
			layer = i
		}
	}
	return layer
}
