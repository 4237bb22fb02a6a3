package planner

import (
	"cmp"
	"slices"

	"github.com/banyanplank/banyanplank"
)

// Bounds of the search in one layer.
const (
	// maxLightRanks is how many of the least loaded ranks are tried for a new
	// replica.
	maxLightRanks = 24
	// maxLightExperts is how many of the experts with the lightest next replica
	// are tried in place of a spare replica on the slowest rank.
	maxLightExperts = 32
	// balanceTolerance is how far the peak of a balanced layer may exceed the
	// mean, as a fraction of the mean.
	balanceTolerance = 0.002
	// minImprovement is the minimum improvement of a step, as a fraction of the
	// peak.
	minImprovement = 1e-6
)

// step is one change of a layer in the search: one slot is written, two slots
// swap their experts, or a chain is applied.
type step struct {
	moves []banyanplank.SlotMove
	// loads counts the slots filled so far, including this step.
	loads int
	// peak is the time of the slowest rank after this step.
	peak float64
}

// candidate is a change under consideration. Its score is the reduction of the
// peak per slot filled.
type candidate struct {
	ok     bool
	score  float64
	rank   int
	slot   int
	expert uint16
	// isSwap is set if the slot swaps its expert with otherSlot of otherRank.
	isSwap    bool
	otherRank int
	otherSlot int
	// chain is set if the change is a chain; the fields from rank to otherSlot
	// are then unused.
	chain *chain
}

// search improves the layer step by step, each time at its slowest rank, until
// no change helps or at least limit slots have been filled.
func (l *layer) search(limit int) (steps []step) {
	loads := 0
	for loads < limit {
		best := l.nextChange()
		if !best.ok {
			break
		}
		moves := l.apply(best)
		loads += len(moves)
		steps = append(steps, step{moves: moves, loads: loads, peak: l.peak()})
	}
	return steps
}

// nextChange returns the best change at the slowest rank, if any helps.
func (l *layer) nextChange() (best candidate) {
	mean := l.mean()
	rank, peak := l.slowestRank()
	if rank < 0 || peak <= mean*(1+balanceTolerance) {
		return candidate{}
	}
	return l.bestChange(rank, peak, mean)
}

// bestChange returns the change with the highest score at rank.
func (l *layer) bestChange(rank int, peak, mean float64) (best candidate) {
	order := l.ranksByTime()
	l.tryReplicas(&best, rank, peak, mean, order)
	l.tryReplacements(&best, rank, peak, mean)
	l.trySwaps(&best, rank, peak, mean, order)
	if !best.ok {
		l.tryChains(&best, rank, peak, mean, order)
	}
	return best
}

// ranksByTime returns the usable ranks in order of increasing time. The order is
// kept between calls, because sorting a nearly sorted slice is cheap.
func (l *layer) ranksByTime() (order []int) {
	if l.rankOrder == nil {
		for r := range l.load {
			if !l.ranks.excluded[r] {
				l.rankOrder = append(l.rankOrder, r)
			}
		}
	}
	slices.SortFunc(l.rankOrder, func(a, b int) int {
		return cmp.Or(cmp.Compare(l.rankTime(a), l.rankTime(b)), a-b)
	})
	return l.rankOrder
}

// tryReplicas tries to add a replica of an expert of rank on a light rank.
func (l *layer) tryReplicas(best *candidate, rank int, peak, mean float64, order []int) {
	for _, lightRank := range order[:min(maxLightRanks, len(order))] {
		if lightRank == rank || l.isAtLimit(lightRank) {
			continue
		}
		for slot := range l.slots {
			if !l.isSpare(lightRank, slot) {
				continue
			}
			for _, e := range l.places[rank*l.slots : (rank+1)*l.slots] {
				if e != banyanplank.NoExpert && !l.holds(lightRank, e) {
					l.tryPut(best, lightRank, slot, e, peak, mean)
				}
			}
		}
	}
}

// tryReplacements tries to replace a spare replica on rank by a light expert.
func (l *layer) tryReplacements(best *candidate, rank int, peak, mean float64) {
	if l.isAtLimit(rank) {
		return
	}
	for slot := range l.slots {
		if !l.isSpare(rank, slot) {
			continue
		}
		for _, e := range l.lightestExperts() {
			if !l.holds(rank, e) {
				l.tryPut(best, rank, slot, e, peak, mean)
			}
		}
	}
}

// lightestExperts returns the experts whose next replica would carry the least
// load.
func (l *layer) lightestExperts() (light []uint16) {
	if l.expertOrder == nil {
		l.expertOrder = make([]uint16, l.experts)
		l.nextShare = make([]float64, l.experts)
		for e := range l.expertOrder {
			l.expertOrder[e] = uint16(e)
		}
	}
	for e := range l.nextShare {
		l.nextShare[e] = l.demand[e] / float64(len(l.holders[e])+1)
	}
	slices.SortFunc(l.expertOrder, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(l.nextShare[a], l.nextShare[b]), int(a)-int(b))
	})
	return l.expertOrder[:min(maxLightExperts, len(l.expertOrder))]
}

// tryPut replaces best by the write if its score is higher.
func (l *layer) tryPut(best *candidate, rank, slot int, expert uint16, peak, mean float64) {
	score := peak - max(mean, l.peakAfterPut(rank, slot, expert))
	if score <= peak*minImprovement || (best.ok && score <= best.score) {
		return
	}
	if !l.isPutAllowed(rank, slot, expert) {
		return
	}
	*best = candidate{ok: true, score: score, rank: rank, slot: slot, expert: expert}
}

// isPutAllowed reports whether the write keeps the replicas of both experts
// within the domain limits.
func (l *layer) isPutAllowed(rank, slot int, expert uint16) bool {
	old := l.expertAt(rank, slot)
	if old != banyanplank.NoExpert && l.ranks.hasDomainOverLimit(l.holders[old], rank) {
		return false
	}
	return l.ranks.isWithinDomainLimits(l.holders[expert], rank, -1)
}

// trySwaps tries to swap an expert of rank with a lighter one of another rank,
// least loaded ranks first. It skips ranks with which no swap could have a higher
// score than best.
func (l *layer) trySwaps(best *candidate, rank int, peak, mean float64, order []int) {
	if l.isAtLimit(rank) {
		return
	}
	for _, otherRank := range order {
		if otherRank == rank || l.isAtLimit(otherRank) {
			continue
		}
		evenTime := (l.load[rank] + l.load[otherRank]) / (l.ranks.speed[rank] + l.ranks.speed[otherRank])
		scoreBound := (peak - max(mean, evenTime)) / 2
		if scoreBound <= peak*minImprovement || (best.ok && scoreBound <= best.score) {
			continue
		}
		for slot := range l.slots {
			for otherSlot := range l.slots {
				l.trySwap(best, rank, slot, otherRank, otherSlot, peak, mean)
			}
		}
	}
}

// trySwap replaces best by the swap if its score is higher.
func (l *layer) trySwap(best *candidate, rank, slot, otherRank, otherSlot int, peak, mean float64) {
	e, f := l.expertAt(rank, slot), l.expertAt(otherRank, otherSlot)
	if e == banyanplank.NoExpert || f == banyanplank.NoExpert || e == f {
		return
	}
	delta := l.share(int(e)) - l.share(int(f))
	if delta <= 0 {
		return
	}
	after := max(
		(l.load[rank]-delta)/l.ranks.speed[rank],
		(l.load[otherRank]+delta)/l.ranks.speed[otherRank],
	)
	score := (peak - max(mean, after)) / 2
	if score <= peak*minImprovement || (best.ok && score <= best.score) {
		return
	}
	if l.holds(otherRank, e) || l.holds(rank, f) {
		return
	}
	if !l.ranks.isWithinDomainLimits(l.holders[e], otherRank, rank) || !l.ranks.isWithinDomainLimits(l.holders[f], rank, otherRank) {
		return
	}
	*best = candidate{ok: true, score: score, rank: rank, slot: slot, expert: f, isSwap: true, otherRank: otherRank, otherSlot: otherSlot}
}

// filledRanks returns the ranks whose slots the change fills.
func (c *candidate) filledRanks() (ranks []int) {
	switch {
	case c.chain != nil:
		return []int{c.chain.lightRank, c.chain.spareRank}
	case c.isSwap:
		return []int{c.rank, c.otherRank}
	default:
		return []int{c.rank}
	}
}

// apply applies the change to the working state and returns its moves.
func (l *layer) apply(c candidate) (moves []banyanplank.SlotMove) {
	if c.chain != nil {
		return l.applyChain(*c.chain)
	}
	if !c.isSwap {
		l.put(c.rank, c.slot, c.expert)
		return []banyanplank.SlotMove{l.slotMove(c.rank, c.slot)}
	}
	e := l.expertAt(c.rank, c.slot)
	l.put(c.rank, c.slot, banyanplank.NoExpert)
	l.put(c.otherRank, c.otherSlot, e)
	l.put(c.rank, c.slot, c.expert)
	return []banyanplank.SlotMove{l.slotMove(c.rank, c.slot), l.slotMove(c.otherRank, c.otherSlot)}
}

// slotMove returns the move that fills a slot with its current expert.
func (l *layer) slotMove(rank, slot int) banyanplank.SlotMove {
	return banyanplank.SlotMove{
		Layer:  uint16(l.index),
		Rank:   uint16(rank),
		Slot:   uint16(slot),
		Expert: l.expertAt(rank, slot),
	}
}
