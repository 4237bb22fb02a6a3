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
	// places holds the experts, indexed by rank*slots+slot.
	places []uint16
	// demand is the demand of each expert in tokens per second.
	demand []float64
	// holders lists the ranks that hold each expert, in ascending order.
	holders [][]uint16
	// load is the demand that each rank carries, in tokens per second.
	load []float64
	// budget, if set, limits the ranks whose slots may be filled.
	budget *budget
	// loadChanges is scratch space for the loads that a change results in.
	loadChanges []loadChange
	// rankOrder, expertOrder and nextShare are scratch space of the search: the
	// usable ranks by time, the experts by the load of their next replica, and
	// that load.
	rankOrder   []int
	expertOrder []uint16
	nextShare   []float64
}

// loadChange is the load that one rank would have after a change.
type loadChange struct {
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
		demand:  make([]float64, shape.Experts),
		holders: make([][]uint16, shape.Experts),
		load:    make([]float64, shape.Ranks),
	}
	for e, tokens := range input.Popularity.Layer(index) {
		l.demand[e] = float64(tokens)
	}
	for i, e := range l.places {
		if e != banyanplank.NoExpert {
			l.holders[e] = append(l.holders[e], uint16(i/l.slots))
		}
	}
	l.computeLoads()
	return l
}

// computeLoads computes the load of every rank.
func (l *layer) computeLoads() {
	clear(l.load)
	for e, holders := range l.holders {
		for _, r := range holders {
			l.load[r] += l.share(e)
		}
	}
}

// share returns the demand that each replica of an expert carries.
func (l *layer) share(expert int) float64 {
	return l.demand[expert] / float64(len(l.holders[expert]))
}

// rankTime returns the load of a rank divided by its speed.
func (l *layer) rankTime(rank int) float64 {
	return l.load[rank] / l.ranks.speed[rank]
}

// slowestRank returns the usable rank with the longest time, and that time. The
// rank is -1 if none is usable.
func (l *layer) slowestRank() (rank int, peak float64) {
	rank = -1
	for r := range l.load {
		if l.ranks.excluded[r] {
			continue
		}
		if t := l.rankTime(r); rank < 0 || t > peak {
			rank, peak = r, t
		}
	}
	return rank, peak
}

// peak returns the time of the slowest usable rank.
func (l *layer) peak() (peak float64) {
	_, peak = l.slowestRank()
	return peak
}

// mean returns the time of each rank under a perfectly balanced load.
func (l *layer) mean() (mean float64) {
	for _, w := range l.demand {
		mean += w
	}
	return mean / l.ranks.totalSpeed
}

// expertAt returns the expert in a slot.
func (l *layer) expertAt(rank, slot int) uint16 {
	return l.places[rank*l.slots+slot]
}

// isAtLimit reports whether the budget allows no more slots of the rank in this
// layer to be filled.
func (l *layer) isAtLimit(rank int) bool {
	return l.budget != nil && !l.budget.hasRoom(banyanplank.SlotMove{Layer: uint16(l.index), Rank: uint16(rank)})
}

// holds reports whether rank has a replica of expert.
func (l *layer) holds(rank int, expert uint16) bool {
	return slices.Contains(l.places[rank*l.slots:(rank+1)*l.slots], expert)
}

// isSpare reports whether a slot is empty or its expert also has a replica on
// another usable rank.
func (l *layer) isSpare(rank, slot int) bool {
	e := l.expertAt(rank, slot)
	if e == banyanplank.NoExpert {
		return true
	}
	for _, r := range l.holders[e] {
		if int(r) != rank && !l.ranks.excluded[r] {
			return true
		}
	}
	return false
}

// put writes an expert into a slot and updates holders and loads.
func (l *layer) put(rank, slot int, expert uint16) {
	i := rank*l.slots + slot
	if old := l.places[i]; old != banyanplank.NoExpert {
		l.updateHolders(int(old), func(holders []uint16) []uint16 {
			position, _ := slices.BinarySearch(holders, uint16(rank))
			return slices.Delete(holders, position, position+1)
		})
	}
	l.places[i] = expert
	if expert != banyanplank.NoExpert {
		l.updateHolders(int(expert), func(holders []uint16) []uint16 {
			position, _ := slices.BinarySearch(holders, uint16(rank))
			return slices.Insert(holders, position, uint16(rank))
		})
	}
}

// updateHolders edits the holders of an expert and redistributes its load.
func (l *layer) updateHolders(expert int, edit func([]uint16) []uint16) {
	for _, r := range l.holders[expert] {
		l.load[r] -= l.share(expert)
	}
	l.holders[expert] = edit(l.holders[expert])
	for _, r := range l.holders[expert] {
		l.load[r] += l.share(expert)
	}
}

// addLoadChange adds delta to the load of a rank in l.loadChanges.
func (l *layer) addLoadChange(rank int, delta float64) {
	for i := range l.loadChanges {
		if l.loadChanges[i].rank == rank {
			l.loadChanges[i].load += delta
			return
		}
	}
	l.loadChanges = append(l.loadChanges, loadChange{rank: rank, load: l.load[rank] + delta})
}

// peakOfChanges returns the time of the slowest usable rank in l.loadChanges.
func (l *layer) peakOfChanges() (peak float64) {
	for _, c := range l.loadChanges {
		if !l.ranks.excluded[c.rank] {
			peak = max(peak, c.load/l.ranks.speed[c.rank])
		}
	}
	return peak
}

// peakAfterPut returns the time of the slowest usable rank among those whose
// load changes when the expert is written into the slot.
func (l *layer) peakAfterPut(rank, slot int, expert uint16) (peak float64) {
	l.loadChanges = l.loadChanges[:0]
	if expert != banyanplank.NoExpert {
		replicas := float64(len(l.holders[expert]))
		demand := l.demand[expert]
		l.addLoadChange(rank, demand/(replicas+1))
		for _, r := range l.holders[expert] {
			l.addLoadChange(int(r), demand/(replicas+1)-demand/replicas)
		}
	}
	if old := l.expertAt(rank, slot); old != banyanplank.NoExpert {
		replicas := float64(len(l.holders[old]))
		demand := l.demand[old]
		l.addLoadChange(rank, -demand/replicas)
		for _, r := range l.holders[old] {
			if int(r) != rank {
				l.addLoadChange(int(r), demand/(replicas-1)-demand/replicas)
			}
		}
	}
	return l.peakOfChanges()
}
