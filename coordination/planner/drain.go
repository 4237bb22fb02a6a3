package planner

import (
	"slices"

	"github.com/banyanplank/banyanplank"
)

// budget counts the slots that a plan may still fill.
type budget struct {
	limits    Limits
	loadsLeft int
	// filledByRank counts the slots filled on each rank, and filledByLayerRank
	// those on each rank in each layer.
	filledByRank      []int
	filledByLayerRank []int
}

// newBudget returns the unused budget of a plan. If the limit on loads or on
// staging is zero, no slot may be filled.
func newBudget(limits Limits, layers, ranks int) *budget {
	return &budget{limits: limits, loadsLeft: limits.Loads, filledByRank: make([]int, ranks), filledByLayerRank: make([]int, layers*ranks)}
}

// clone returns a copy of the budget with the same usage, in which a rank fills
// at most maxPerRank slots.
func (b *budget) clone(maxPerRank int) *budget {
	c := &budget{limits: b.limits, loadsLeft: b.loadsLeft, filledByRank: slices.Clone(b.filledByRank), filledByLayerRank: slices.Clone(b.filledByLayerRank)}
	c.limits.Staging = min(b.limits.Staging, maxPerRank)
	return c
}

// maxFilled returns the largest number of slots filled on one rank.
func (b *budget) maxFilled() (slots int) { return slices.Max(b.filledByRank) }

// layerCount returns the counter of the move's layer and rank.
func (b *budget) layerCount(v banyanplank.SlotMove) (count *int) {
	return &b.filledByLayerRank[int(v.Layer)*len(b.filledByRank)+int(v.Rank)]
}

// hasRoom reports whether the limits allow one more move like v.
func (b *budget) hasRoom(v banyanplank.SlotMove) bool {
	return b.loadsLeft > 0 && b.filledByRank[v.Rank] < b.limits.Staging && (b.limits.Layer == 0 || *b.layerCount(v) < b.limits.Layer)
}

// reserve counts the moves against the limits and reports whether they all fit.
// If they don't, it counts none.
func (b *budget) reserve(moves []banyanplank.SlotMove) (ok bool) {
	for i, v := range moves {
		if !b.hasRoom(v) {
			b.release(moves[:i])
			return false
		}
		b.add(v, 1)
	}
	return true
}

// release undoes reserve.
func (b *budget) release(moves []banyanplank.SlotMove) {
	for _, v := range moves {
		b.add(v, -1)
	}
}

// add counts n moves like v; n may be negative.
func (b *budget) add(v banyanplank.SlotMove, n int) {
	b.loadsLeft -= n
	b.filledByRank[v.Rank] += n
	*b.layerCount(v) += n
}

// drainExcluded empties the slots of excluded ranks as far as the budget allows.
// An expert without a usable replica is first copied to the least loaded usable
// rank that has a spare slot. It returns the number of slots that stay in use
// because their expert could not be copied.
func (l *layer) drainExcluded(b *budget) (pending int) {
	for i := range l.places {
		rank, slot := i/l.slots, i%l.slots
		if !l.ranks.excluded[rank] || l.places[i] == banyanplank.NoExpert {
			continue
		}
		if l.isSpare(rank, slot) || l.copyToUsableRank(b, l.places[i]) {
			l.put(rank, slot, banyanplank.NoExpert)
			continue
		}
		pending++
	}
	return pending
}

// copyToUsableRank puts a replica of the expert on a usable rank.
func (l *layer) copyToUsableRank(b *budget, expert uint16) (ok bool) {
	for _, rank := range l.ranksByTime() {
		slot, ok := l.lightestSpareSlot(rank)
		if !ok {
			continue
		}
		move := banyanplank.SlotMove{Layer: uint16(l.index), Rank: uint16(rank), Slot: uint16(slot), Expert: expert}
		if b.reserve([]banyanplank.SlotMove{move}) {
			l.put(rank, slot, expert)
			return true
		}
	}
	return false
}

// lightestSpareSlot returns the spare slot of a rank whose replica carries the
// least load.
func (l *layer) lightestSpareSlot(rank int) (slot int, ok bool) {
	lightest := 0.0
	for s := range l.slots {
		if !l.isSpare(rank, s) {
			continue
		}
		carried := 0.0
		if e := l.expertAt(rank, s); e != banyanplank.NoExpert {
			carried = l.share(int(e))
		}
		if !ok || carried < lightest {
			slot, lightest, ok = s, carried, true
		}
	}
	return slot, ok
}
