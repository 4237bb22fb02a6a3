package planner

import "github.com/banyanplank/banyanplank"

// chainTries bounds the chains that are tried for one step.
const chainTries = 400

// chain is a change of two writes: an expert that lives only in one slot of a
// light rank moves to a spare slot elsewhere, and the slot that it leaves gets
// a replica of an expert of the heaviest rank.
type chain struct {
	to        int
	slot      int
	expert    uint16
	other     int
	otherSlot int
	moved     uint16
}

// tryChains looks for a chain that relieves rank. It is for ranks that no
// single write and no exchange can relieve.
func (l *layer) tryChains(best *candidate, rank int, peak, mean float64, order []int) {
	tries := chainTries
	for _, to := range order[:min(lightest, len(order))] {
		for slot := range l.slots {
			if to == rank || l.isFull(to) || l.isSpare(to, slot) {
				continue
			}
			for _, e := range l.places[rank*l.slots : (rank+1)*l.slots] {
				c := chain{to: to, slot: slot, expert: e, moved: l.at(to, slot)}
				if e == banyanplank.NoExpert || l.holds(to, e) || !l.ranks.isApart(l.homes[e], to, -1) {
					continue
				}
				if limit := l.chainLimit(c, rank, peak, mean); limit <= peak*improvement || (best.ok && limit <= best.score) {
					continue
				}
				l.tryChain(best, c, rank, peak, mean, order, &tries)
				if tries == 0 {
					return
				}
			}
		}
	}
}

// chainLimit bounds the score of a chain, wherever its moved expert goes.
func (l *layer) chainLimit(c chain, rank int, peak, mean float64) (limit float64) {
	n := float64(len(l.homes[c.expert]))
	w := l.weight[c.expert]
	to := (l.load[c.to] - l.share(int(c.moved)) + w/(n+1)) / l.ranks.speed[c.to]
	from := (l.load[rank] - w/n + w/(n+1)) / l.ranks.speed[rank]
	return (peak - max(mean, to, from)) / 2
}

// tryChain looks for the lightest rank with a spare slot for the moved expert.
func (l *layer) tryChain(best *candidate, c chain, rank int, peak, mean float64, order []int, tries *int) {
	for _, other := range order {
		if other == c.to || other == rank || l.isFull(other) || l.holds(other, c.moved) {
			continue
		}
		for slot := range l.slots {
			c.other, c.otherSlot = other, slot
			if !l.mayChain(c, peak) {
				continue
			}
			score := (peak - max(mean, l.peakAfterChain(c, rank))) / 2
			if score > peak*improvement && (!best.ok || score > best.score) {
				*best = candidate{ok: true, score: score, chain: &c}
				return
			}
			if *tries--; *tries == 0 {
				return
			}
		}
	}
}

// mayChain reports whether the moved expert may go to the spare slot.
func (l *layer) mayChain(c chain, peak float64) bool {
	if !l.isSpare(c.other, c.otherSlot) {
		return false
	}
	old := l.at(c.other, c.otherSlot)
	load := l.load[c.other] + l.share(int(c.moved))
	if old != banyanplank.NoExpert {
		load -= l.share(int(old))
	}
	if old == c.expert || load/l.ranks.speed[c.other] >= peak {
		return false
	}
	return old == banyanplank.NoExpert || !l.ranks.losesSpread(l.homes[old], c.other)
}

// peakAfterChain carries the chain out, returns the time of the slowest rank
// that it touches, and takes it back.
func (l *layer) peakAfterChain(c chain, rank int) (peak float64) {
	old := l.at(c.other, c.otherSlot)
	l.put(c.other, c.otherSlot, c.moved)
	l.put(c.to, c.slot, c.expert)
	peak = max(l.time(c.to), l.time(c.other), l.time(rank))
	for _, e := range []uint16{old, c.expert} {
		if e != banyanplank.NoExpert {
			peak = max(peak, l.slowestHome(e))
		}
	}
	l.put(c.to, c.slot, c.moved)
	l.put(c.other, c.otherSlot, old)
	return peak
}

// slowestHome returns the time of the slowest usable rank that holds expert.
func (l *layer) slowestHome(expert uint16) (peak float64) {
	for _, r := range l.homes[expert] {
		if !l.ranks.excluded[r] {
			peak = max(peak, l.time(int(r)))
		}
	}
	return peak
}

// commitChain carries the chain out.
func (l *layer) commitChain(c chain) (moves []banyanplank.SlotMove) {
	l.put(c.other, c.otherSlot, c.moved)
	l.put(c.to, c.slot, c.expert)
	return []banyanplank.SlotMove{l.move(c.other, c.otherSlot), l.move(c.to, c.slot)}
}
