// Package scaler computes how many endpoints a service needs in each availability zone.
//
// An endpoint takes a while to start, so the need follows the load that is expected by then. It
// includes spare endpoints, so that the loss of a zone leaves enough. A higher need takes effect
// at once. A lower one takes effect after a minute, one endpoint at a time, so that the number
// does not oscillate: endpoints are billed per second, but a missing one costs calls.
//
//	s := scaler.New()
//	for _, order := range s.Update(now, services) {
//		send(order)
//	}
package scaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

const (
	// targetUse is the share of an endpoint's capacity that is planned to be used. Load
	// varies around its mean, and a call that waits for a slot misses its objective.
	targetUse = 0.8
	// saturatedUse is the share of the capacity in use above which more calls may be wanted
	// than are seen, since the rest is refused, and saturatedGrowth the factor by which the
	// load is then taken to be higher.
	saturatedUse    = 0.95
	saturatedGrowth = 1.3
	// holdTime is how long the need has to be lower before the number falls.
	holdTime = time.Minute
	// minStepTime is the least time between two reductions of the same zone.
	minStepTime = 5 * time.Second
	// loadTime and trendTime are the time constants of the averages of the load and of its
	// change.
	loadTime  = 3 * time.Second
	trendTime = 15 * time.Second
	// maxTrendGrowth bounds the load expected after the start of an endpoint, relative to the
	// present one.
	maxTrendGrowth = 2.0
	// forgetTime is how long a service that is no longer given is remembered.
	forgetTime = 5 * time.Minute
)

// ZoneLoad is the state of a service in an availability zone.
type ZoneLoad struct {
	Zone banyanplank.Zone
	// Endpoints is the number of endpoints that are not leaving.
	Endpoints int
	// Running is the number of calls in flight at the endpoints of the zone.
	Running float64
	// IsOut reports that the zone is being evacuated.
	IsOut bool
}

// ServiceLoad is the state of a service.
type ServiceLoad struct {
	Service banyanplank.ServiceName
	Spec    banyanplank.AutoscaleSpec
	// Capacity is the number of calls that one endpoint runs concurrently within their
	// objectives. Zero means unknown.
	Capacity float64
	// ColdTime is how long a new endpoint serves less than its capacity.
	ColdTime time.Duration
	// Demand is the number of calls that all callers want to run concurrently. Zero means
	// unknown; the calls that run and wait count in any case.
	Demand float64
	// Waiting is the number of calls that wait for an endpoint.
	Waiting float64
	Zones   []ZoneLoad
}

// Scaler computes the number of endpoints. It is not safe for concurrent use.
type Scaler struct {
	services map[banyanplank.ServiceName]*service
}

// service is the state of one service.
type service struct {
	seenAt time.Time
	load   float64
	trend  float64
	zones  map[banyanplank.Zone]*zone
}

// zone is the state of a service in a zone.
type zone struct {
	desired int
	// needs holds the needs of the last [holdTime] that no later one exceeds, in order.
	needs     []need
	since     time.Time
	reducedAt time.Time
}

// need is the number of endpoints that were needed at a time.
type need struct {
	at    time.Time
	count int
}

// New returns a scaler that knows no service.
func New() *Scaler { return &Scaler{services: make(map[banyanplank.ServiceName]*service)} }

// Update takes the present load of all services and returns the desired number of endpoints for
// each service and zone, in order.
func (s *Scaler) Update(now time.Time, loads []ServiceLoad) (orders []banyanplank.ScaleOrder) {
	for i := range loads {
		if loads[i].Capacity > 0 && len(loads[i].Zones) > 0 {
			orders = append(orders, s.update(now, &loads[i])...)
		}
	}
	for name, known := range s.services {
		if now.Sub(known.seenAt) > forgetTime {
			delete(s.services, name)
		}
	}
	slices.SortFunc(orders, func(a, b banyanplank.ScaleOrder) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return orders
}

// update computes the orders of one service.
func (s *Scaler) update(now time.Time, load *ServiceLoad) (orders []banyanplank.ScaleOrder) {
	known := s.services[load.Service]
	if known == nil {
		known = &service{load: load.wanted(), zones: make(map[banyanplank.Zone]*zone)}
		s.services[load.Service] = known
	} else {
		known.observe(now, load.wanted())
	}
	known.seenAt = now
	needs := load.needs(known.load, known.expected(load.Spec.BootTime+load.ColdTime))
	for i, z := range load.Zones {
		state := known.zones[z.Zone]
		if state == nil {
			state = &zone{desired: min(max(z.Endpoints, load.Spec.Min), load.Spec.Max), since: now}
			known.zones[z.Zone] = state
		}
		floor := min(int(math.Ceil(z.Running/load.Capacity)), load.Spec.Max)
		state.update(now, needs[i], floor, max(load.Spec.BootTime, minStepTime))
		state.desired = min(max(state.desired, load.Spec.Min), load.Spec.Max)
		orders = append(orders, banyanplank.ScaleOrder{Service: load.Service, Zone: z.Zone, Desired: state.desired})
	}
	return orders
}

// wanted returns the number of calls that callers want to run at once.
func (l *ServiceLoad) wanted() (calls float64) {
	endpoints := 0
	for _, z := range l.Zones {
		calls += z.Running
		endpoints += z.Endpoints
	}
	isSaturated := endpoints > 0 && calls >= saturatedUse*l.Capacity*float64(endpoints)
	calls += l.Waiting
	if isSaturated && l.Demand == 0 {
		calls *= saturatedGrowth
	}
	return max(calls, l.Demand)
}

// observe updates the averages of the load and of its change per second.
func (s *service) observe(now time.Time, load float64) {
	elapsed := now.Sub(s.seenAt)
	if elapsed <= 0 {
		return
	}
	previous := s.load
	s.load += (load - s.load) * -math.Expm1(-elapsed.Seconds()/loadTime.Seconds())
	change := (s.load - previous) / elapsed.Seconds()
	s.trend += (change - s.trend) * -math.Expm1(-elapsed.Seconds()/trendTime.Seconds())
}

// expected returns the load expected after a time, which is not below the present one.
func (s *service) expected(after time.Duration) (load float64) {
	return min(s.load+max(0, s.trend)*after.Seconds(), maxTrendGrowth*s.load)
}

// needs returns the number of endpoints that each zone needs. All zones together carry the
// expected load with room to spare, and without any one zone the others just carry the present
// load.
func (l *ServiceLoad) needs(load, expected float64) (needs []int) {
	needs = make([]int, len(l.Zones))
	var usable []int
	for i, z := range l.Zones {
		if !z.IsOut {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return needs
	}
	// Tolerates rounding, such as of 4.000000001 endpoints.
	count := func(calls float64) float64 { return math.Ceil(calls/l.Capacity - 1e-6) }
	each := math.Ceil(count(expected/targetUse) / float64(len(usable)))
	if len(usable) > 1 {
		each = max(each, math.Ceil(count(load)/float64(len(usable)-1)))
	}
	for _, i := range usable {
		needs[i] = int(min(each, float64(l.Spec.Max)))
	}
	return needs
}

// update sets the desired number of endpoints. Floor is what the running calls need.
func (z *zone) update(now time.Time, count, floor int, stepTime time.Duration) {
	count = max(count, floor)
	for len(z.needs) > 0 && z.needs[len(z.needs)-1].count <= count {
		z.needs = z.needs[:len(z.needs)-1]
	}
	z.needs = append(z.needs, need{now, count})
	for now.Sub(z.needs[0].at) > holdTime {
		z.needs = z.needs[1:]
	}
	switch highest := z.needs[0].count; {
	case count > z.desired:
		z.desired = count
	case highest < z.desired && now.Sub(z.since) >= holdTime && now.Sub(z.reducedAt) >= stepTime:
		z.desired--
		z.reducedAt = now
	}
}
