package balancer

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Under load, entries that don't know of each other's latest calls send to the same engine:
// it rejects or queues calls while another one has free slots. So the last slots of an
// engine belong to entries of its zone, and zones tell each other what they have in flight.
const (
	// maxReservedShare is the largest fraction of the limit of an engine that is left to the
	// entries that own its slots. Each entry of the zone may send it a call before the
	// others hear of that, so that as many slots are left as there are such entries.
	maxReservedShare = 0.6
	// idleShare is the fraction of its limit up to which an engine of another zone counts as
	// idle.
	idleShare = 0.25
	// remoteReserve is the number of slots that engines of other zones keep for their own.
	remoteReserve = 1
	// dealInterval is the time for which a free slot of another zone is this entry's to use:
	// as long as it takes until others hear that it was used.
	dealInterval = 120 * time.Millisecond
	// busyShare is the fraction of the limit of its engines from which on a zone is under
	// load.
	busyShare = 0.3
)

// slotDivision determines which slots of an engine this entry owns. All entries of a zone
// derive the same division from the same lists, without an exchange. The zero value owns
// none.
type slotDivision struct {
	// endpoint is the index of the engine among those of its zone, and entry that of this
	// entry among the entries of the zone.
	endpoint, endpoints int
	entry, entries      int
}

// own returns how many of the slots belong to this entry. They are dealt to the entries in
// turn, one slot of each engine after the other.
func (d slotDivision) own(slots int) (own int) {
	if d.entries <= 1 {
		return slots * d.entries
	}
	stride := d.endpoints
	if d.endpoints%d.entries == 0 {
		stride = 1
	}
	for i := range slots {
		if (d.endpoint+i*stride)%d.entries == d.entry {
			own++
		}
	}
	return own
}

// hasFreeSlot reports whether the endpoint has a slot for another call of this entry.
//
// In the own zone it may use any while many are free, and its own ones always. In other
// zones the free ones are dealt anew each dealInterval: without that, all entries of a zone
// without capacity send to the few engines elsewhere that have some.
func (s *endpointState) hasFreeSlot(now time.Time) bool {
	limit, calls := s.pool.limit(s), s.callsInFlight()+1
	if s.pool.spec.Engine == nil || s.pool.entries <= 1 {
		return calls <= limit+0.5
	}
	if s.backend.Zone != s.pool.owner.zone {
		if calls <= idleShare*limit+0.5 {
			return true
		}
		round := int(now.UnixNano() / int64(dealInterval))
		division := slotDivision{endpoint: s.division.endpoint + round, endpoints: s.division.endpoints, entry: s.division.entry, entries: s.division.entries}
		return division.own(int(limit-calls)-remoteReserve) > 0
	}
	reserved := min(maxReservedShare*limit, float64(s.pool.zoneEntries))
	return calls <= limit-reserved+0.5 || s.ownCalls < s.slots.own(int(limit+0.5))
}

// ZoneInFlight returns the calls in flight from the entries of this zone to its endpoints, if
// the engines of a service are under load here.
func (b *Balancer) ZoneInFlight() (inFlight map[banyanplank.BackendID]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, p := range b.pools {
		if p.spec.Engine == nil || !p.isZoneBusy(busyShare) {
			continue
		}
		if inFlight == nil {
			inFlight = make(map[banyanplank.BackendID]int)
		}
		for _, s := range p.endpoints {
			if s.backend.Zone == b.zone && s.ownCalls > 0 {
				inFlight[s.backend.ID] += s.ownCalls
			}
		}
		for _, report := range b.peers {
			for id, calls := range report.inFlight {
				if s := p.endpoints[id]; report.isLocal && s != nil && s.backend.Zone == b.zone {
					inFlight[id] += calls
				}
			}
		}
	}
	return inFlight
}

// isZoneBusy reports whether the engines of this entry's zone have more calls in flight, on
// average, than a share of their limits.
func (p *pool) isZoneBusy(share float64) bool {
	calls, limit := 0.0, 0.0
	for _, s := range p.endpoints {
		if s.backend.Zone == p.owner.zone && !s.zoneOut {
			calls += s.callsInFlight()
			limit += p.limit(s)
		}
	}
	return limit > 0 && calls > share*limit
}

// UpdateZone replaces what the entries of another zone have in flight to the endpoints of
// that zone.
func (b *Balancer) UpdateZone(now time.Time, zone banyanplank.Zone, inFlight map[banyanplank.BackendID]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.zones[zone] = peerReport{receivedAt: now, inFlight: inFlight}
}

// loadShare is the fraction of the limit of its engines from which on a service is under load:
// calls may find no slot soon.
const loadShare = 0.6

// IsUnderLoad reports whether the engines of a service in this entry's zone are under load.
// Plain services never are.
func (b *Balancer) IsUnderLoad(service banyanplank.ServiceName) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.pools[service]
	return p != nil && p.spec.Engine != nil && p.isZoneBusy(loadShare)
}

// IsAnyUnderLoad reports whether any service is under load.
func (b *Balancer) IsAnyUnderLoad() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, p := range b.pools {
		if p.spec.Engine != nil && p.isZoneBusy(loadShare) {
			return true
		}
	}
	return false
}

// EngineSlots returns the number of calls that the usable engines of each service may run at
// once.
func (b *Balancer) EngineSlots(now time.Time) (slots map[banyanplank.ServiceName]float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	slots = make(map[banyanplank.ServiceName]float64)
	for name, p := range b.pools {
		if p.spec.Engine == nil {
			continue
		}
		slots[name] = 0
		for _, s := range p.endpoints {
			if s.isUsable(now) {
				slots[name] += p.limit(s)
			}
		}
	}
	return slots
}
