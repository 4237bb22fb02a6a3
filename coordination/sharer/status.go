package sharer

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// ServiceStatus describes the last division of a service's capacity.
type ServiceStatus struct {
	Service banyanplank.ServiceName
	// Capacity and Demand are those of all entries, in slot-seconds per second. Demand
	// includes Returning, the calls that come back with a promise at this entry.
	Capacity, Demand, Returning float64
	// Pressure is the demand as a fraction of the capacity, or 0 if that is unknown.
	Pressure float64
	// Heard is the number of entries whose demand is known, including this one, and Known
	// is the number of all entries.
	Heard, Known int
	// Listed is the number of accounts that some entry lists, in all priorities.
	Listed int
	// Admitted and Refused count the decisions of this entry since it started.
	Admitted, Refused uint64
	// Priorities holds the priorities with demand, most urgent first.
	Priorities []PriorityStatus
}

// PriorityStatus describes one priority in a division.
type PriorityStatus struct {
	Priority int
	// Demand and Allocated are those of all entries, in slot-seconds per second. Allocated
	// is Demand while everything is admitted.
	Demand, Allocated float64
	// Share is the admitted fraction of the demand.
	Share float64
}

// Status returns the state of all services by name, for logs and metrics.
func (s *Sharer) Status(now time.Time) (statuses []ServiceStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.elapsed(now)
	for _, v := range s.services {
		if at-v.dividedAt >= divisionInterval {
			s.divide(at, v)
		}
		statuses = append(statuses, v.status(at))
	}
	slices.SortFunc(statuses, func(x, y ServiceStatus) int { return cmp.Compare(x.Service, y.Service) })
	return statuses
}

// status returns the state of one service.
func (v *service) status(now time.Duration) (t ServiceStatus) {
	t = ServiceStatus{
		Service: v.name, Capacity: v.capacity, Demand: v.demand, Returning: v.returning.at(now, demandWindow), Pressure: v.pressure,
		Heard: v.heard, Known: v.known, Listed: len(v.listings), Admitted: v.admitted, Refused: v.refused,
	}
	for i := range v.levels {
		level := &v.levels[i]
		if level.total <= 0 {
			continue
		}
		p := PriorityStatus{Priority: i, Demand: level.total, Allocated: level.total, Share: 1}
		if v.isDivided {
			p.Allocated, p.Share = level.allocated, level.share()
		}
		t.Priorities = append(t.Priorities, p)
	}
	return t
}
