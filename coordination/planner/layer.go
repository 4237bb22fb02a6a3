package planner

import (
	"slices"

	"github.com/banyanplank/banyanplank"
)

// layer is the working state of one layer while a plan is made.
type layer struct {
	index   int
	slots   int
	experts int
	ranks   *ranks
	// places holds the experts by rank and slot.
	places []uint16
	// weight is the demand of each expert.
	weight []float64
	// homes lists the ranks that hold each expert, in ascending order.
	homes [][]uint16
	// load is the demand that each rank carries.
	load []float64
	// budget, if set, bounds the ranks that changes may fill slots of.
	budget *budget
	// changed is scratch space for the loads that a change would make.
	changed []change
	// order, light and next are scratch space of the search: the ranks by
	// time, the experts by the load of their next replica, and that load.
	order []int
	light []uint16
	next  []float64
}

// change is the load that one rank would have.
type change struct {
	rank int
	load float64
}

// newLayer returns the working state of one layer of the input.
func newLayer(input *Input, ranks *ranks, index int) *layer {
	shape := input.Map.Shape
	l := &layer{
		index:   index,
		slots:   shape.Slots,
		experts: shape.Experts,
		ranks:   ranks,
		places:  slices.Clone(input.Map.Layer(index)),
		weight:  make([]float64, shape.Experts),
		homes:   make([][]uint16, shape.Experts),
		load:    make([]float64, shape.Ranks),
	}
	for e, tokens := range input.Popularity.Layer(index) {
		l.weight[e] = float64(tokens)
	}
	for i, e := range l.places {
		if e != banyanplank.NoExpert {
			l.homes[e] = append(l.homes[e], uint16(i/l.slots))
		}
	}
	l.weigh()
	return l
}

// weigh computes the load of every rank.
func (l *layer) weigh() {
	clear(l.load)
	for e, homes := range l.homes {
		for _, r := range homes {
			l.load[r] += l.share(e)
		}
	}
}

// share returns the demand that each replica of an expert carries.
func (l *layer) share(expert int) float64 {
	return l.weight[expert] / float64(len(l.homes[expert]))
}

// time returns the load of a rank over its speed.
func (l *layer) time(rank int) float64 {
	return l.load[rank] / l.ranks.speed[rank]
}

// heaviest returns the usable rank whose step takes longest, and its time.
func (l *layer) heaviest() (rank int, peak float64) {
	rank = -1
	for r := range l.load {
		if l.ranks.excluded[r] {
			continue
		}
		if t := l.time(r); rank < 0 || t > peak {
			rank, peak = r, t
		}
	}
	return rank, peak
}

// peak returns the time of the slowest rank.
func (l *layer) peak() (peak float64) {
	_, peak = l.heaviest()
	return peak
}

// mean returns the time of each rank if the load were spread perfectly.
func (l *layer) mean() (mean float64) {
	for _, w := range l.weight {
		mean += w
	}
	return mean / l.ranks.total
}

// at returns the expert in a slot.
func (l *layer) at(rank, slot int) uint16 {
	return l.places[rank*l.slots+slot]
}

// isFull reports whether the plan may fill no more slots of the rank in this layer.
func (l *layer) isFull(rank int) bool {
	return l.budget != nil && !l.budget.covers(banyanplank.SlotMove{Layer: uint16(l.index), Rank: uint16(rank)})
}

// holds reports whether rank has a replica of expert.
func (l *layer) holds(rank int, expert uint16) bool {
	return slices.Contains(l.places[rank*l.slots:(rank+1)*l.slots], expert)
}

// isSpare reports whether a slot is empty or its expert also has another
// usable place.
func (l *layer) isSpare(rank, slot int) bool {
	e := l.at(rank, slot)
	if e == banyanplank.NoExpert {
		return true
	}
	for _, r := range l.homes[e] {
		if int(r) != rank && !l.ranks.excluded[r] {
			return true
		}
	}
	return false
}

// put writes an expert into a slot and updates homes and loads.
func (l *layer) put(rank, slot int, expert uint16) {
	i := rank*l.slots + slot
	if old := l.places[i]; old != banyanplank.NoExpert {
		l.shift(int(old), func(homes []uint16) []uint16 {
			at, _ := slices.BinarySearch(homes, uint16(rank))
			return slices.Delete(homes, at, at+1)
		})
	}
	l.places[i] = expert
	if expert != banyanplank.NoExpert {
		l.shift(int(expert), func(homes []uint16) []uint16 {
			at, _ := slices.BinarySearch(homes, uint16(rank))
			return slices.Insert(homes, at, uint16(rank))
		})
	}
}

// shift changes the homes of an expert and moves its load along.
func (l *layer) shift(expert int, edit func([]uint16) []uint16) {
	for _, r := range l.homes[expert] {
		l.load[r] -= l.share(expert)
	}
	l.homes[expert] = edit(l.homes[expert])
	for _, r := range l.homes[expert] {
		l.load[r] += l.share(expert)
	}
}

// add notes in l.changed that a rank's load would grow by delta.
func (l *layer) add(rank int, delta float64) {
	for i := range l.changed {
		if l.changed[i].rank == rank {
			l.changed[i].load += delta
			return
		}
	}
	l.changed = append(l.changed, change{rank: rank, load: l.load[rank] + delta})
}

// changedPeak returns the time of the slowest usable rank among those noted.
func (l *layer) changedPeak() (peak float64) {
	for _, c := range l.changed {
		if !l.ranks.excluded[c.rank] {
			peak = max(peak, c.load/l.ranks.speed[c.rank])
		}
	}
	return peak
}

// peakAfterPut returns the time of the slowest rank that writing the expert
// into the slot would touch.
func (l *layer) peakAfterPut(rank, slot int, expert uint16) (peak float64) {
	l.changed = l.changed[:0]
	if expert != banyanplank.NoExpert {
		n := float64(len(l.homes[expert]))
		w := l.weight[expert]
		l.add(rank, w/(n+1))
		for _, r := range l.homes[expert] {
			l.add(int(r), w/(n+1)-w/n)
		}
	}
	if old := l.at(rank, slot); old != banyanplank.NoExpert {
		n := float64(len(l.homes[old]))
		w := l.weight[old]
		l.add(rank, -w/n)
		for _, r := range l.homes[old] {
			if int(r) != rank {
				l.add(int(r), w/(n-1)-w/n)
			}
		}
	}
	return l.changedPeak()
}
