package planner

import "github.com/banyanplank/banyanplank"

// budget is what a plan may still fill.
type budget struct {
	loads   int
	staging []int
}

// newBudget returns the budget of a whole plan. Zero limits mean none.
func newBudget(limits Limits, ranks int) *budget {
	b := &budget{loads: limits.Loads, staging: make([]int, ranks)}
	for r := range b.staging {
		b.staging[r] = limits.Staging
	}
	return b
}

// take pays for the moves and reports whether the budget covers them. It pays
// for all of them or for none.
func (b *budget) take(moves []banyanplank.SlotMove) (ok bool) {
	for i, v := range moves {
		if b.loads == 0 || b.staging[v.Rank] == 0 {
			b.giveBack(moves[:i])
			return false
		}
		b.loads--
		b.staging[v.Rank]--
	}
	return true
}

// giveBack returns what take has paid.
func (b *budget) giveBack(moves []banyanplank.SlotMove) {
	for _, v := range moves {
		b.loads++
		b.staging[v.Rank]++
	}
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
