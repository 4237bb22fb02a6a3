package planner

import (
	"cmp"
	"slices"

	"github.com/banyanplank/banyanplank"
)

// Pack returns a map built from scratch by the greedy replicate-and-pack method
// published for DeepSeek's expert parallelism load balancer, in its global
// form: spare slots go one by one to the expert with the largest demand per
// replica, then the replicas, heaviest first, go to the least loaded rank that
// has room. A rank never gets an expert twice. The current places, the limits
// and the prices of the input are ignored. It returns an error if the input or
// the resulting map is invalid.
func Pack(input Input) (next banyanplank.ExpertMap, err error) {
	if err := input.check(); err != nil {
		return banyanplank.ExpertMap{}, err
	}
	next = input.Map
	next.ID = input.NextID
	next.Placement = make([]uint16, len(input.Map.Placement))
	ranks := newRanks(input.Ranks)
	for i := range input.Map.Shape.Layers {
		l := newLayer(&input, ranks, i)
		l.placeReplicas(l.replicaCounts())
		copy(next.Layer(i), l.places)
	}
	return next, next.Check()
}

// PackAndImprove returns a map built from scratch by [Pack] and then improved
// until no change helps, regardless of how many slots it moves. It returns the
// errors of Pack.
func PackAndImprove(input Input) (next banyanplank.ExpertMap, err error) {
	packed, err := Pack(input)
	if err != nil {
		return banyanplank.ExpertMap{}, err
	}
	start := input
	start.Map = packed
	ranks := newRanks(input.Ranks)
	for i := range packed.Shape.Layers {
		l := newLayer(&start, ranks, i)
		l.search(len(l.places))
		copy(packed.Layer(i), l.places)
	}
	return packed, packed.Check()
}

// PeakLowerBound returns a lower bound of the peak of a layer over all maps, in
// tokens per second of a rank of speed 1: the mean load, or the largest expert
// split into as many replicas as there are ranks and spare slots for.
func PeakLowerBound(input Input, layer int) (peak float64) {
	ranks := newRanks(input.Ranks)
	l := newLayer(&input, ranks, layer)
	maxReplicas := min(ranks.usable, 1+ranks.usable*l.slots-l.experts)
	fastest := slices.Max(ranks.speed)
	return max(l.mean(), slices.Max(l.demand)/float64(maxReplicas)/fastest)
}

// Peak returns the time of the slowest rank of a layer of the input's map, in
// tokens per second of a rank of speed 1.
func Peak(input Input, layer int) (peak float64) {
	return newLayer(&input, newRanks(input.Ranks), layer).peak()
}

// replicaCounts returns the number of replicas for each expert.
func (l *layer) replicaCounts() (counts []int) {
	counts = make([]int, l.experts)
	for e := range counts {
		counts[e] = 1
	}
	for range l.ranks.usable*l.slots - l.experts {
		best := -1
		for e, n := range counts {
			if n >= l.ranks.usable {
				continue
			}
			if best < 0 || l.demand[e]*float64(counts[best]) > l.demand[best]*float64(n) {
				best = e
			}
		}
		if best < 0 {
			return counts
		}
		counts[best]++
	}
	return counts
}

// replica is a replica to be placed, with the demand that it carries.
type replica struct {
	expert uint16
	demand float64
}

// placeReplicas clears the layer and places counts[e] replicas of each expert e.
// It leaves out a replica that no rank has room for. It doesn't update holders.
func (l *layer) placeReplicas(counts []int) {
	var all []replica
	for e, n := range counts {
		for range n {
			all = append(all, replica{expert: uint16(e), demand: l.demand[e] / float64(n)})
		}
	}
	slices.SortStableFunc(all, func(a, b replica) int { return cmp.Compare(b.demand, a.demand) })
	for i := range l.places {
		l.places[i] = banyanplank.NoExpert
	}
	filled := make([]int, len(l.load))
	clear(l.load)
	for _, r := range all {
		if rank := l.leastLoadedRank(filled, r.expert); rank >= 0 {
			l.places[rank*l.slots+filled[rank]] = r.expert
			filled[rank]++
			l.load[rank] += r.demand
		}
	}
}

// leastLoadedRank returns the usable rank with the least time that has room for
// the expert, or -1 if there is none.
func (l *layer) leastLoadedRank(filled []int, expert uint16) (rank int) {
	rank = -1
	for r := range filled {
		if filled[r] == l.slots || l.ranks.excluded[r] || l.holds(r, expert) {
			continue
		}
		if rank < 0 || l.rankTime(r) < l.rankTime(rank) {
			rank = r
		}
	}
	return rank
}
