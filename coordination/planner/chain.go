package planner

import "github.com/banyanplank/banyanplank"

// maxChainsTried bounds the chains evaluated in one search step.
const maxChainsTried = 400

// chain is an ejection chain of two writes: movedExpert, whose only replica is
// in a slot of a lightly loaded rank, moves to a spare slot of another rank,
// and the slot that it leaves gets a replica of an expert of the slowest rank.
type chain struct {
	lightRank   int
	lightSlot   int
	expert      uint16
	spareRank   int
	spareSlot   int
	movedExpert uint16
}

// tryChains looks for a chain that lowers the time of rank. It is used only
// when no single write and no swap does.
func (l *layer) tryChains(best *candidate, rank int, peak, mean float64, order []int) {
	remaining := maxChainsTried
	for _, lightRank := range order[:min(maxLightRanks, len(order))] {
		for slot := range l.slots {
			if lightRank == rank || l.isAtLimit(lightRank) || l.isSpare(lightRank, slot) {
				continue
			}
			for _, expert := range l.places[rank*l.slots : (rank+1)*l.slots] {
				c := chain{lightRank: lightRank, lightSlot: slot, expert: expert, movedExpert: l.expertAt(lightRank, slot)}
				if expert == banyanplank.NoExpert || l.holds(lightRank, expert) || !l.ranks.isWithinDomainLimits(l.holders[expert], lightRank, -1) {
					continue
				}
				if scoreBound := l.chainScoreBound(c, rank, peak, mean); scoreBound <= peak*minImprovement || (best.ok && scoreBound <= best.score) {
					continue
				}
				l.tryChain(best, c, rank, peak, mean, order, &remaining)
				if remaining == 0 {
					return
				}
			}
		}
	}
}

// chainScoreBound returns an upper bound of the score of c over all spare slots
// that movedExpert may go to.
func (l *layer) chainScoreBound(c chain, rank int, peak, mean float64) (scoreBound float64) {
	replicas := float64(len(l.holders[c.expert]))
	demand := l.demand[c.expert]
	lightTime := (l.load[c.lightRank] - l.share(int(c.movedExpert)) + demand/(replicas+1)) / l.ranks.speed[c.lightRank]
	heavyTime := (l.load[rank] - demand/replicas + demand/(replicas+1)) / l.ranks.speed[rank]
	return (peak - max(mean, lightTime, heavyTime)) / 2
}

// tryChain looks for the least loaded rank with a spare slot for c.movedExpert.
// It subtracts the evaluated chains from remaining and stops at zero.
func (l *layer) tryChain(best *candidate, c chain, rank int, peak, mean float64, order []int, remaining *int) {
	for _, spareRank := range order {
		if spareRank == c.lightRank || spareRank == rank || l.isAtLimit(spareRank) || l.holds(spareRank, c.movedExpert) {
			continue
		}
		for slot := range l.slots {
			c.spareRank, c.spareSlot = spareRank, slot
			if !l.isChainAllowed(c, peak) {
				continue
			}
			score := (peak - max(mean, l.peakAfterChain(c, rank))) / 2
			if score > peak*minImprovement && (!best.ok || score > best.score) {
				*best = candidate{ok: true, score: score, chain: &c}
				return
			}
			if *remaining--; *remaining == 0 {
				return
			}
		}
	}
}

// isChainAllowed reports whether c.movedExpert may go to the spare slot.
func (l *layer) isChainAllowed(c chain, peak float64) bool {
	if !l.isSpare(c.spareRank, c.spareSlot) {
		return false
	}
	old := l.expertAt(c.spareRank, c.spareSlot)
	load := l.load[c.spareRank] + l.share(int(c.movedExpert))
	if old != banyanplank.NoExpert {
		load -= l.share(int(old))
	}
	if old == c.expert || load/l.ranks.speed[c.spareRank] >= peak {
		return false
	}
	return old == banyanplank.NoExpert || !l.ranks.hasDomainOverLimit(l.holders[old], c.spareRank)
}

// peakAfterChain applies the chain, returns the time of the slowest rank whose
// load it changes, and reverts it.
func (l *layer) peakAfterChain(c chain, rank int) (peak float64) {
	old := l.expertAt(c.spareRank, c.spareSlot)
	l.put(c.spareRank, c.spareSlot, c.movedExpert)
	l.put(c.lightRank, c.lightSlot, c.expert)
	peak = max(l.rankTime(c.lightRank), l.rankTime(c.spareRank), l.rankTime(rank))
	for _, e := range []uint16{old, c.expert} {
		if e != banyanplank.NoExpert {
			peak = max(peak, l.slowestHolderTime(e))
		}
	}
	l.put(c.lightRank, c.lightSlot, c.movedExpert)
	l.put(c.spareRank, c.spareSlot, old)
	return peak
}

// slowestHolderTime returns the time of the slowest usable rank that holds expert.
func (l *layer) slowestHolderTime(expert uint16) (peak float64) {
	for _, r := range l.holders[expert] {
		if !l.ranks.excluded[r] {
			peak = max(peak, l.rankTime(int(r)))
		}
	}
	return peak
}

// applyChain writes both slots of the chain and returns the moves.
func (l *layer) applyChain(c chain) (moves []banyanplank.SlotMove) {
	l.put(c.spareRank, c.spareSlot, c.movedExpert)
	l.put(c.lightRank, c.lightSlot, c.expert)
	return []banyanplank.SlotMove{l.slotMove(c.spareRank, c.spareSlot), l.slotMove(c.lightRank, c.lightSlot)}
}
