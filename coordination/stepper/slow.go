package stepper

import (
	"slices"

	"github.com/banyanplank/banyanplank"
)

// reportSlow records the slow endpoints of one group and reports those of all groups of
// its service.
func (s *Stepper) reportSlow(key groupKey, state *epochState, endpoints []banyanplank.BackendID) {
	s.onSlow(key.service, s.recordSlow(key, state, endpoints))
}

// recordSlow records the slow endpoints of one group and returns those of all groups of
// its service.
func (s *Stepper) recordSlow(key groupKey, state *epochState, endpoints []banyanplank.BackendID) (all []banyanplank.BackendID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state.slowEndpoints = endpoints
	for otherKey, other := range s.states {
		if otherKey.service == key.service {
			all = append(all, other.slowEndpoints...)
		}
	}
	slices.Sort(all)
	return all
}

// slowEndpoints returns the endpoints that slow down the group.
func (g *group) slowEndpoints() (endpoints []banyanplank.BackendID) {
	for i, isSlow := range slowRanks(slowdowns(g.reports)) {
		if isSlow {
			endpoints = append(endpoints, g.backends[i].ID)
		}
	}
	return endpoints
}

// slowdowns returns the pass time of each rank relative to its usual one.
func slowdowns(reports []banyanplank.RankReport) (all []float64) {
	for _, r := range reports {
		all = append(all, r.Slowdown)
	}
	return all
}
