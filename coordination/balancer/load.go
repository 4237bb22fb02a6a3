package balancer

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// ServiceLoad is the load of a service on all its endpoints, of this entry and its peers.
type ServiceLoad struct {
	Service banyanplank.ServiceName
	// Capacity is the mean number of calls that one usable endpoint runs concurrently within
	// their objectives. It is 0 if there is none.
	Capacity float64
	// Waiting is the number of calls that wait at this entry.
	Waiting int
	// Running is the number of calls in flight, by the zone of their endpoints. A zone
	// without calls has an element too.
	Running map[banyanplank.Zone]float64
	// Endpoints is the number of endpoints that are not leaving, by zone.
	Endpoints map[banyanplank.Zone]int
}

// Loads returns the load of all services, in no particular order.
func (b *Balancer) Loads() (loads []ServiceLoad) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	for _, p := range b.pools {
		loads = append(loads, p.load(now))
	}
	return loads
}

// load returns the load of the service.
func (p *pool) load(now time.Time) (load ServiceLoad) {
	load = ServiceLoad{
		Service: p.spec.Name, Waiting: len(p.queue),
		Running: make(map[banyanplank.Zone]float64), Endpoints: make(map[banyanplank.Zone]int),
	}
	usable := 0
	for _, s := range p.shuffled {
		load.Running[s.backend.Zone] += s.callsInFlight()
		if !s.backend.Leaving {
			load.Endpoints[s.backend.Zone]++
		}
		if !s.isUsable(now) {
			continue
		}
		usable++
		capacity := p.limit(s)
		if p.spec.Engine == nil {
			// More calls than slots may be sent, but wait in the endpoint.
			capacity /= plainCallsPerSlot
		}
		load.Capacity += capacity
	}
	if usable > 0 {
		load.Capacity /= float64(usable)
	}
	return load
}
