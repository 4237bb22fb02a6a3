package planner

import "slices"

// slowest is the least speed that a rank is planned with.
const slowest = 0.01

// ranks holds what all layers need to know of the ranks.
type ranks struct {
	speed    []float64
	excluded []bool
	// instance and zone number the places of each rank.
	instance []int
	zone     []int
	// instances and zones count those with a usable rank.
	instances int
	zones     int
	// total is the speed of all usable ranks.
	total  float64
	usable int
}

// newRanks numbers the instances and zones of the ranks.
func newRanks(described []Rank) *ranks {
	r := &ranks{}
	var instances, zones []string
	for _, d := range described {
		r.speed = append(r.speed, speedOf(d))
		r.excluded = append(r.excluded, d.Excluded)
		if !d.Excluded {
			r.total += speedOf(d)
			r.usable++
		}
		r.instance = append(r.instance, number(&instances, string(d.Instance)))
		r.zone = append(r.zone, number(&zones, string(d.Zone)))
	}
	r.instances = r.countUsable(r.instance, len(instances))
	r.zones = r.countUsable(r.zone, len(zones))
	return r
}

// speedOf returns the speed that a rank is planned with.
func speedOf(r Rank) float64 {
	if r.Speed == 0 {
		return 1
	}
	return max(r.Speed, slowest)
}

// number returns the position of name in names, appending it when new.
func number(names *[]string, name string) (index int) {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// countUsable counts the numbers that belong to a usable rank.
func (r *ranks) countUsable(numbers []int, size int) (count int) {
	seen := make([]bool, size)
	for i, n := range numbers {
		if !r.excluded[i] && !seen[n] {
			seen[n] = true
			count++
		}
	}
	return count
}

// most returns how many of an expert's replicas may share one place when there
// are so many places around: never all of them, and at most one more than an
// even share. Two replicas are always apart.
func most(replicas, places int) (count int) {
	if places <= 1 || replicas <= 1 {
		return replicas
	}
	return min((replicas+places-1)/places+1, replicas-1)
}

// isApart reports whether the replicas on homes, without the rank gone, may get
// one more on the rank added. Pass -1 for no rank gone.
func (r *ranks) isApart(homes []uint16, added, gone int) bool {
	return r.isSpread(homes, r.instance, r.instances, added, gone) &&
		r.isSpread(homes, r.zone, r.zones, added, gone)
}

// isSpread checks one kind of place: the one that gains a replica must not
// hold too many of them.
func (r *ranks) isSpread(homes []uint16, place []int, places, added, gone int) bool {
	here, all := 1, 1
	for _, h := range homes {
		if int(h) == gone || r.excluded[h] {
			continue
		}
		all++
		if place[h] == place[added] {
			here++
		}
	}
	return here <= most(all, places)
}

// losesSpread reports whether the replicas on homes without the rank gone
// leave some instance or zone with too many of them.
func (r *ranks) losesSpread(homes []uint16, gone int) bool {
	return r.isCrowded(homes, r.instance, r.instances, gone) ||
		r.isCrowded(homes, r.zone, r.zones, gone)
}

// isCrowded reports whether some place holds too many of the replicas that
// remain without the rank gone.
func (r *ranks) isCrowded(homes []uint16, place []int, places, gone int) bool {
	all := 0
	for _, h := range homes {
		if int(h) != gone && !r.excluded[h] {
			all++
		}
	}
	if places <= 1 || all <= 1 {
		return false
	}
	for _, h := range homes {
		if int(h) != gone && !r.excluded[h] && r.countAt(homes, place, place[h], gone) > most(all, places) {
			return true
		}
	}
	return false
}

// countAt counts the replicas at one place, without the rank gone.
func (r *ranks) countAt(homes []uint16, place []int, at, gone int) (count int) {
	for _, h := range homes {
		if int(h) != gone && !r.excluded[h] && place[h] == at {
			count++
		}
	}
	return count
}
