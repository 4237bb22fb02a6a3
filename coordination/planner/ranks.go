package planner

import "slices"

// minSpeed is the lower limit of the speed that a rank is planned with.
const minSpeed = 0.01

// ranks holds the properties of the ranks that all layers share. Instances and
// zones are failure domains: the replicas of an expert are spread over them.
type ranks struct {
	speed    []float64
	excluded []bool
	// instanceOf and zoneOf hold the index of each rank's instance and zone.
	instanceOf []int
	zoneOf     []int
	// instances and zones count those with a usable rank.
	instances int
	zones     int
	// totalSpeed is the sum of the speeds of all usable ranks.
	totalSpeed float64
	usable     int
}

// newRanks indexes the instances and zones of the ranks.
func newRanks(described []Rank) *ranks {
	r := &ranks{}
	var instances, zones []string
	for _, d := range described {
		r.speed = append(r.speed, plannedSpeed(d))
		r.excluded = append(r.excluded, d.Excluded)
		if !d.Excluded {
			r.totalSpeed += plannedSpeed(d)
			r.usable++
		}
		r.instanceOf = append(r.instanceOf, indexOrAppend(&instances, string(d.Instance)))
		r.zoneOf = append(r.zoneOf, indexOrAppend(&zones, string(d.Zone)))
	}
	r.instances = r.countUsableDomains(r.instanceOf, len(instances))
	r.zones = r.countUsableDomains(r.zoneOf, len(zones))
	return r
}

// plannedSpeed returns the speed that a rank is planned with.
func plannedSpeed(r Rank) float64 {
	if r.Speed == 0 {
		return 1
	}
	return max(r.Speed, minSpeed)
}

// indexOrAppend returns the index of name in names, and appends it if missing.
func indexOrAppend(names *[]string, name string) (index int) {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// countUsableDomains counts the domains that have a usable rank.
func (r *ranks) countUsableDomains(domainOf []int, domains int) (count int) {
	seen := make([]bool, domains)
	for i, domain := range domainOf {
		if !r.excluded[i] && !seen[domain] {
			seen[domain] = true
			count++
		}
	}
	return count
}

// maxPerDomain returns how many of an expert's replicas may share one of the
// domains: at most one more than an even share, and never all of them unless
// there is only one domain or one replica. Two replicas are always apart.
func maxPerDomain(replicas, domains int) (count int) {
	if domains <= 1 || replicas <= 1 {
		return replicas
	}
	return min((replicas+domains-1)/domains+1, replicas-1)
}

// isWithinDomainLimits reports whether an expert with replicas on holders may get
// another one on the rank added while the one on the rank removed goes. Pass -1
// if none is removed.
func (r *ranks) isWithinDomainLimits(holders []uint16, added, removed int) bool {
	return r.isWithinDomainLimit(holders, r.instanceOf, r.instances, added, removed) &&
		r.isWithinDomainLimit(holders, r.zoneOf, r.zones, added, removed)
}

// isWithinDomainLimit checks one kind of domain: the domain of the rank added
// must not exceed the limit on replicas.
func (r *ranks) isWithinDomainLimit(holders []uint16, domainOf []int, domains, added, removed int) bool {
	inDomain, total := 1, 1
	for _, h := range holders {
		if int(h) == removed || r.excluded[h] {
			continue
		}
		total++
		if domainOf[h] == domainOf[added] {
			inDomain++
		}
	}
	return inDomain <= maxPerDomain(total, domains)
}

// hasDomainOverLimit reports whether some instance or zone holds too many of the
// replicas that remain after the one on the rank removed goes.
func (r *ranks) hasDomainOverLimit(holders []uint16, removed int) bool {
	return r.hasDomainOfKindOverLimit(holders, r.instanceOf, r.instances, removed) ||
		r.hasDomainOfKindOverLimit(holders, r.zoneOf, r.zones, removed)
}

// hasDomainOfKindOverLimit checks one kind of domain for hasDomainOverLimit.
func (r *ranks) hasDomainOfKindOverLimit(holders []uint16, domainOf []int, domains, removed int) bool {
	total := 0
	for _, h := range holders {
		if int(h) != removed && !r.excluded[h] {
			total++
		}
	}
	if domains <= 1 || total <= 1 {
		return false
	}
	for _, h := range holders {
		if int(h) != removed && !r.excluded[h] && r.countInDomain(holders, domainOf, domainOf[h], removed) > maxPerDomain(total, domains) {
			return true
		}
	}
	return false
}

// countInDomain counts the usable replicas in a domain, without the one on the
// rank removed.
func (r *ranks) countInDomain(holders []uint16, domainOf []int, domain, removed int) (count int) {
	for _, h := range holders {
		if int(h) != removed && !r.excluded[h] && domainOf[h] == domain {
			count++
		}
	}
	return count
}
