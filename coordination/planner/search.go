package planner

import (
	"cmp"
	"slices"

	"github.com/banyanplank/banyanplank"
)

// The bounds of the search in one layer.
const (
	// lightest is how many of the lightest ranks are tried for a new replica.
	lightest = 24
	// lowest is how many of the least loaded experts are tried in place of a
	// spare replica on the heaviest rank.
	lowest = 32
	// tolerance is how far above the mean a layer counts as balanced.
	tolerance = 0.002
	// improvement is the least relative improvement of a step.
	improvement = 1e-6
)

// step is one change on the way to a better layer. Either one slot is
// written, or two slots exchange their experts.
type step struct {
	moves []banyanplank.SlotMove
	// loads counts the slots filled so far, this step included.
	loads int
	// peak is the time of the slowest rank after this step.
	peak float64
}

// candidate is a change under consideration.
type candidate struct {
	ok     bool
	score  float64
	rank   int
	slot   int
	expert uint16
	// swap tells that the slot exchanges its expert with other.
	swap      bool
	otherRank int
	otherSlot int
	// chain is set when the change is one.
	chain *chain
}

// search improves the layer step by step, always at its slowest rank, until
// no change helps or limit slots have been filled.
func (l *layer) search(limit int) (steps []step) {
	loads := 0
	for loads < limit {
		best := l.nextChange()
		if !best.ok {
			break
		}
		moves := l.commit(best)
		loads += len(moves)
		steps = append(steps, step{moves: moves, loads: loads, peak: l.peak()})
	}
	return steps
}

// nextChange returns the best change at the slowest rank, if any helps.
func (l *layer) nextChange() (best candidate) {
	mean := l.mean()
	rank, peak := l.heaviest()
	if rank < 0 || peak <= mean*(1+tolerance) {
		return candidate{}
	}
	return l.bestChange(rank, peak, mean)
}

// bestChange returns the change that relieves rank most for each slot filled.
func (l *layer) bestChange(rank int, peak, mean float64) (best candidate) {
	order := l.byTime()
	l.tryReplicas(&best, rank, peak, mean, order)
	l.tryReplacements(&best, rank, peak, mean)
	l.trySwaps(&best, rank, peak, mean, order)
	if !best.ok {
		l.tryChains(&best, rank, peak, mean, order)
	}
	return best
}

// byTime returns the usable ranks, least time first. The order is kept from
// call to call, because sorting what is nearly sorted is cheap.
func (l *layer) byTime() (order []int) {
	if l.order == nil {
		for r := range l.load {
			if !l.ranks.excluded[r] {
				l.order = append(l.order, r)
			}
		}
	}
	slices.SortFunc(l.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(l.time(a), l.time(b)), a-b)
	})
	return l.order
}

// tryReplicas tries to give an expert of rank another replica on a light rank.
func (l *layer) tryReplicas(best *candidate, rank int, peak, mean float64, order []int) {
	for _, to := range order[:min(lightest, len(order))] {
		if to == rank || l.isFull(to) {
			continue
		}
		for slot := range l.slots {
			if !l.isSpare(to, slot) {
				continue
			}
			for _, e := range l.places[rank*l.slots : (rank+1)*l.slots] {
				if e != banyanplank.NoExpert && !l.holds(to, e) {
					l.tryPut(best, to, slot, e, peak, mean)
				}
			}
		}
	}
}

// tryReplacements tries to replace a spare replica on rank by a light expert.
func (l *layer) tryReplacements(best *candidate, rank int, peak, mean float64) {
	if l.isFull(rank) {
		return
	}
	for slot := range l.slots {
		if !l.isSpare(rank, slot) {
			continue
		}
		for _, e := range l.lightExperts() {
			if !l.holds(rank, e) {
				l.tryPut(best, rank, slot, e, peak, mean)
			}
		}
	}
}

// lightExperts returns the experts whose next replica would carry least.
func (l *layer) lightExperts() (light []uint16) {
	if l.light == nil {
		l.light = make([]uint16, l.experts)
		l.next = make([]float64, l.experts)
		for e := range l.light {
			l.light[e] = uint16(e)
		}
	}
	for e := range l.next {
		l.next[e] = l.weight[e] / float64(len(l.homes[e])+1)
	}
	slices.SortFunc(l.light, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(l.next[a], l.next[b]), int(a)-int(b))
	})
	return l.light[:min(lowest, len(l.light))]
}

// tryPut keeps the write as best if it relieves more than the best so far.
func (l *layer) tryPut(best *candidate, rank, slot int, expert uint16, peak, mean float64) {
	score := peak - max(mean, l.peakAfterPut(rank, slot, expert))
	if score <= peak*improvement || (best.ok && score <= best.score) {
		return
	}
	if !l.mayPut(rank, slot, expert) {
		return
	}
	*best = candidate{ok: true, score: score, rank: rank, slot: slot, expert: expert}
}

// mayPut reports whether the write keeps replicas apart.
func (l *layer) mayPut(rank, slot int, expert uint16) bool {
	old := l.at(rank, slot)
	if old != banyanplank.NoExpert && l.ranks.losesSpread(l.homes[old], rank) {
		return false
	}
	return l.ranks.isApart(l.homes[expert], rank, -1)
}

// trySwaps tries to exchange an expert of rank with a lighter one elsewhere,
// on the lightest ranks first. It leaves out the ranks with which no exchange
// could relieve more than the best change so far.
func (l *layer) trySwaps(best *candidate, rank int, peak, mean float64, order []int) {
	if l.isFull(rank) {
		return
	}
	for _, to := range order {
		if to == rank || l.isFull(to) {
			continue
		}
		even := (l.load[rank] + l.load[to]) / (l.ranks.speed[rank] + l.ranks.speed[to])
		limit := (peak - max(mean, even)) / 2
		if limit <= peak*improvement || (best.ok && limit <= best.score) {
			continue
		}
		for slot := range l.slots {
			for other := range l.slots {
				l.trySwap(best, rank, slot, to, other, peak, mean)
			}
		}
	}
}

// trySwap keeps the exchange as best if it relieves more for each slot filled
// than the best so far.
func (l *layer) trySwap(best *candidate, rank, slot, to, other int, peak, mean float64) {
	e, f := l.at(rank, slot), l.at(to, other)
	if e == banyanplank.NoExpert || f == banyanplank.NoExpert || e == f {
		return
	}
	delta := l.share(int(e)) - l.share(int(f))
	if delta <= 0 {
		return
	}
	after := max(
		(l.load[rank]-delta)/l.ranks.speed[rank],
		(l.load[to]+delta)/l.ranks.speed[to],
	)
	score := (peak - max(mean, after)) / 2
	if score <= peak*improvement || (best.ok && score <= best.score) {
		return
	}
	if l.holds(to, e) || l.holds(rank, f) {
		return
	}
	if !l.ranks.isApart(l.homes[e], to, rank) || !l.ranks.isApart(l.homes[f], rank, to) {
		return
	}
	*best = candidate{ok: true, score: score, rank: rank, slot: slot, expert: f, swap: true, otherRank: to, otherSlot: other}
}

// touches lists the ranks that the change fills slots of.
func (c *candidate) touches() (ranks []int) {
	switch {
	case c.chain != nil:
		return []int{c.chain.to, c.chain.other}
	case c.swap:
		return []int{c.rank, c.otherRank}
	default:
		return []int{c.rank}
	}
}

// commit carries the change out in the working state.
func (l *layer) commit(c candidate) (moves []banyanplank.SlotMove) {
	if c.chain != nil {
		return l.commitChain(*c.chain)
	}
	if !c.swap {
		l.put(c.rank, c.slot, c.expert)
		return []banyanplank.SlotMove{l.move(c.rank, c.slot)}
	}
	e := l.at(c.rank, c.slot)
	l.put(c.rank, c.slot, banyanplank.NoExpert)
	l.put(c.otherRank, c.otherSlot, e)
	l.put(c.rank, c.slot, c.expert)
	return []banyanplank.SlotMove{l.move(c.rank, c.slot), l.move(c.otherRank, c.otherSlot)}
}

// move returns the move that fills a slot as it is now.
func (l *layer) move(rank, slot int) banyanplank.SlotMove {
	return banyanplank.SlotMove{
		Layer:  uint16(l.index),
		Rank:   uint16(rank),
		Slot:   uint16(slot),
		Expert: l.at(rank, slot),
	}
}
