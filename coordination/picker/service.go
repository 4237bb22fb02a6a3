package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// service holds the endpoints that may be picked for one service.
type service struct {
	// local and remote are the destinations in the entry's zone and in other
	// zones.
	local     []*destination
	remote    []*destination
	groups    map[banyanplank.GroupName]*group
	endpoints []*endpoint
	average   averageLoad
	// averagedAt is when average was last computed.
	averagedAt time.Time
}

// destination is one endpoint, or the ranks of one group in one zone.
type destination struct {
	name  string
	hash  uint64
	zone  banyanplank.Zone
	group *group
	ranks []*endpoint
}

// group is a group of ranks that run in lock-step.
type group struct {
	ranks []*endpoint
	// declaredRanks is the number of ranks in the configuration.
	declaredRanks int
	// runningRanks is the number of running ranks, including those that get no
	// new requests.
	runningRanks int
	// minPrefillRate is the prefill rate of the slowest rank, in tokens per
	// second. Zero means that no rank has reported one.
	minPrefillRate float64
}

// isComplete reports whether all ranks are running. If one is missing, the
// other ranks in lock-step wait for it.
func (g *group) isComplete() bool {
	return g.runningRanks >= g.declaredRanks
}

// updateMinPrefillRate recomputes the prefill rate of the slowest rank.
func (g *group) updateMinPrefillRate() {
	g.minPrefillRate = 0
	for _, e := range g.ranks {
		if rate := e.report.PrefillRate; rate > 0 && (g.minPrefillRate == 0 || rate < g.minPrefillRate) {
			g.minPrefillRate = rate
		}
	}
}

// averageInterval is the minimum time between two computations of the average
// load.
const averageInterval = 250 * time.Millisecond

// updateAverage recomputes the average load from all reports that are not
// stale.
func (s *service) updateAverage(now time.Time) {
	if now.Sub(s.averagedAt) < averageInterval {
		return
	}
	s.averagedAt = now
	var prefillRate, utilization float64
	var queuedTokens, reporting, withPrefillRate int
	for _, e := range s.endpoints {
		if e.reportWeight(now) == 0 {
			continue
		}
		reporting++
		queuedTokens += e.report.QueuedTokens
		utilization += float64(e.report.Held) / float64(max(1, e.report.Limit))
		if e.report.PrefillRate > 0 {
			withPrefillRate++
			prefillRate += e.report.PrefillRate
		}
	}
	s.average.prefillRate = prefillRate / float64(max(1, withPrefillRate))
	s.average.queuedTokens = queuedTokens / max(1, reporting)
	s.average.utilization = utilization / float64(max(1, reporting))
}

// serviceBuilder builds the services from the members and the configuration.
type serviceBuilder struct {
	picker        *Picker
	configuration *banyanplank.Configuration
	entryCount    int
	services      map[banyanplank.ServiceName]*service
	destinations  map[banyanplank.ServiceName]map[string]*destination
}

// addMember adds a member to its service, group and destination.
func (b *serviceBuilder) addMember(member banyanplank.Member) {
	if member.State == banyanplank.MemberGone {
		return
	}
	if member.Role == banyanplank.RoleEntry {
		b.entryCount++
		return
	}
	s := b.ensureService(member.Service)
	g := b.ensureGroup(s, member.Group)
	if g != nil {
		g.runningRanks++
	}
	if b.configuration.IsZoneOut(member.Zone) {
		b.picker.clearClosed(member.ID)
		return
	}
	if member.State != banyanplank.MemberLive {
		return
	}
	e := b.picker.ensureEndpoint(member)
	s.endpoints = append(s.endpoints, e)
	if g != nil {
		g.ranks = append(g.ranks, e)
	}
	b.addToDestination(e, g)
}

// ensureService returns the service with the given name. A new one inherits the
// previous average load.
func (b *serviceBuilder) ensureService(name banyanplank.ServiceName) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{groups: map[banyanplank.GroupName]*group{}, average: averageLoad{holdTime: defaultHoldTime}}
		if previous := b.picker.services[name]; previous != nil {
			s.average = previous.average
		}
		b.services[name] = s
		b.destinations[name] = map[string]*destination{}
	}
	return s
}

// ensureGroup returns the group with the given name, or nil for an endpoint
// outside of a group.
func (b *serviceBuilder) ensureGroup(s *service, name banyanplank.GroupName) *group {
	if name == "" {
		return nil
	}
	g, ok := s.groups[name]
	if !ok {
		g = &group{declaredRanks: b.declaredRanks(name)}
		s.groups[name] = g
	}
	return g
}

// declaredRanks returns the number of ranks of a group in the configuration, or
// zero for an undeclared group.
func (b *serviceBuilder) declaredRanks(name banyanplank.GroupName) int {
	for _, spec := range b.configuration.Groups {
		if spec.Name == name {
			return spec.Ranks
		}
	}
	return 0
}

// addToDestination adds an endpoint to its destination.
func (b *serviceBuilder) addToDestination(e *endpoint, g *group) {
	name := string(e.member.ID)
	if g != nil {
		name = string(e.member.Group) + "\x00" + string(e.member.Zone)
	}
	destinations := b.destinations[e.member.Service]
	d, ok := destinations[name]
	if !ok {
		d = &destination{name: name, zone: e.member.Zone, group: g}
		destinations[name] = d
	}
	d.ranks = append(d.ranks, e)
}

// build returns the services, each with the subset of destinations that the
// entry uses.
func (b *serviceBuilder) build(zone banyanplank.Zone) (services map[banyanplank.ServiceName]*service) {
	for name, s := range b.services {
		destinations := make([]*destination, 0, len(b.destinations[name]))
		for _, d := range b.destinations[name] {
			destinations = append(destinations, d)
		}
		slices.SortFunc(destinations, func(x, y *destination) int { return cmp.Compare(x.name, y.name) })
		for _, d := range selectSubset(b.picker.entry, destinations, subsetSize(len(destinations), b.entryCount)) {
			if d.zone == zone {
				s.local = append(s.local, d)
			} else {
				s.remote = append(s.remote, d)
			}
		}
		for _, g := range s.groups {
			g.updateMinPrefillRate()
		}
	}
	return b.services
}
