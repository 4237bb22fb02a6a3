package planner

import (
	"slices"

	"github.com/banyanplank/banyanplank"
)

// budget is what a plan may still fill.
type budget struct {
	limits Limits
	loads  int
	// filled counts the slots filled by rank, and layered by layer and rank.
	filled  []int
	layered []int
}

// newBudget returns the budget of a whole plan. Zero limits of loads and staging mean
// none.
func newBudget(limits Limits, layers, ranks int) *budget {
	return &budget{limits: limits, loads: limits.Loads, filled: make([]int, ranks), layered: make([]int, layers*ranks)}
}

// clone returns a budget of which as much is used, with another bound on the slots of
// one rank.
func (b *budget) clone(staging int) *budget {
	c := &budget{limits: b.limits, loads: b.loads, filled: slices.Clone(b.filled), layered: slices.Clone(b.layered)}
	c.limits.Staging = min(b.limits.Staging, staging)
	return c
}

// longest returns the slots that the rank fills that fills most.
func (b *budget) longest() (slots int) { return slices.Max(b.filled) }

// layer returns where the slots of a move's layer and rank are counted.
func (b *budget) layer(v banyanplank.SlotMove) (count *int) {
	return &b.layered[int(v.Layer)*len(b.filled)+int(v.Rank)]
}

// covers reports whether one more move may be paid for.
func (b *budget) covers(v banyanplank.SlotMove) bool {
	return b.loads > 0 && b.filled[v.Rank] < b.limits.Staging && (b.limits.Layer == 0 || *b.layer(v) < b.limits.Layer)
}

// take pays for the moves and reports whether the budget covers them. It pays
// for all of them or for none.
func (b *budget) take(moves []banyanplank.SlotMove) (ok bool) {
	for i, v := range moves {
		if !b.covers(v) {
			b.giveBack(moves[:i])
			return false
		}
		b.count(v, 1)
	}
	return true
}

// giveBack returns what take has paid.
func (b *budget) giveBack(moves []banyanplank.SlotMove) {
	for _, v := range moves {
		b.count(v, -1)
	}
}

// count notes n moves like v.
func (b *budget) count(v banyanplank.SlotMove, n int) {
	b.loads -= n
	b.filled[v.Rank] += n
	*b.layer(v) += n
}

// evacuate empties the slots of excluded ranks as far as the budget allows. An
// expert that lives nowhere else first gets a place on the lightest usable
// rank that has a spare slot. It returns how many experts have none yet.
func (l *layer) evacuate(b *budget) (pending int) {
	for i := range l.places {
		rank, slot := i/l.slots, i%l.slots
		if !l.ranks.excluded[rank] || l.places[i] == banyanplank.NoExpert {
			continue
		}
		if l.isSpare(rank, slot) || l.rehome(b, l.places[i]) {
			l.put(rank, slot, banyanplank.NoExpert)
			continue
		}
		pending++
	}
	return pending
}

// rehome gives the expert a place on a usable rank.
func (l *layer) rehome(b *budget, expert uint16) (ok bool) {
	for _, rank := range l.byTime() {
		slot, ok := l.lightestSpare(rank)
		if !ok {
			continue
		}
		move := banyanplank.SlotMove{Layer: uint16(l.index), Rank: uint16(rank), Slot: uint16(slot), Expert: expert}
		if b.take([]banyanplank.SlotMove{move}) {
			l.put(rank, slot, expert)
			return true
		}
	}
	return false
}

// lightestSpare returns the spare slot of a rank whose replica carries least.
func (l *layer) lightestSpare(rank int) (slot int, ok bool) {
	least := 0.0
	for s := range l.slots {
		if !l.isSpare(rank, s) {
			continue
		}
		carried := 0.0
		if e := l.at(rank, s); e != banyanplank.NoExpert {
			carried = l.share(int(e))
		}
		if !ok || carried < least {
			slot, least, ok = s, carried, true
		}
	}
	return slot, ok
}
