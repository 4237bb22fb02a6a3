package surveyor

import (
	"reflect"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/follower"
)

// How long an entry keeps what it knows against an older copy from which the store returned, while
// operators and endpoints write again what they wrote since.
const (
	// tableHold is the time for the routing table in force. Without it, a client account whose
	// key was taken away would be served again.
	tableHold = 30 * time.Second
	// zoneHold is the time for zones out of service.
	zoneHold = tableHold
	// departureMemory is how long endpoints are remembered that have left. A copy is some
	// seconds old.
	departureMemory = time.Minute
	// departureHeartbeats is the number of heartbeats after which the store drops an endpoint
	// that doesn't write.
	departureHeartbeats = 3
)

// held is what an entry keeps against an older copy of the store.
type held struct {
	// table is the older routing table that the store has, or nil.
	table *banyanplank.RoutingTable
	// backends are endpoints that have left, and that the store lists again, with the time
	// from which they count as alive after all.
	backends map[banyanplank.BackendID]heldBackend
	// zones are the zones out of service that the store doesn't list, with the time from which
	// they count as back in service.
	zones map[banyanplank.Zone]time.Time
	// departures are the endpoints that have left of late.
	departures map[banyanplank.BackendID]departure
}

// Held is what an entry holds back against an older copy of the store.
type Held struct {
	// Table is an older routing table that the store has, or nil.
	Table *banyanplank.RoutingTable
	// Backends are endpoints that have left, and that the store lists.
	Backends []banyanplank.Backend
	// ZonesOut are zones out of service that the store doesn't list.
	ZonesOut map[banyanplank.Zone]bool
}

// export returns what is held.
func (h *held) export() (exported Held) {
	exported = Held{Table: h.table, ZonesOut: make(map[banyanplank.Zone]bool, len(h.zones))}
	for _, b := range h.backends {
		exported.Backends = append(exported.Backends, b.backend)
	}
	for zone := range h.zones {
		exported.ZonesOut[zone] = true
	}
	return exported
}

// heldBackend is an endpoint that is listed, but has left before.
type heldBackend struct {
	backend  banyanplank.Backend
	position banyanplank.Position
	until    time.Time
}

// departure is the end of an incarnation of an endpoint, and the era in which it was known.
type departure struct {
	born, at time.Time
	era      banyanplank.Era
}

// newHeld returns a held with nothing in it.
func newHeld() (h held) {
	return held{
		backends:   make(map[banyanplank.BackendID]heldBackend),
		zones:      make(map[banyanplank.Zone]time.Time),
		departures: make(map[banyanplank.BackendID]departure),
	}
}

// recordDeparture records that an endpoint has left.
func (m *Model) recordDeparture(now time.Time, backend banyanplank.Backend) {
	m.held.departures[backend.ID] = departure{born: backend.Born, at: now, era: m.topic(banyanplank.TopicBackends).position.Era}
}

// recordReturn records that the store has returned from an older copy. Endpoints that the copy
// doesn't list have time to register again.
func (m *Model) recordReturn(now time.Time, msg follower.TopicMsg, previous banyanplank.Position) {
	source := "platform"
	if msg.Relayed {
		source = "peer"
	}
	m.logEvent(Note{Event: "store returned", Topic: msg.Topic, Position: msg.Position, Value: "was at " + previous.String() + ", known from " + source, Age: now.Sub(msg.RequestedAt)})
	if msg.Topic == banyanplank.TopicBackends {
		m.outage.grant(now)
	}
}

// extendHolds lets the time of the holds pass only while this process runs and the store answers it:
// otherwise, nothing that was written again can be known. The same holds for the time in which
// endpoints may return, while no entry reaches the store.
func (m *Model) extendHolds(now time.Time) {
	elapsed := now.Sub(m.outage.updatedAt)
	if m.topic(banyanplank.TopicBackends).isLost && m.outage.hasGrace(m.outage.updatedAt) && !m.isPlatformReached(now) {
		m.outage.graceUntil = m.outage.graceUntil.Add(elapsed)
	}
	for name, t := range m.topics {
		if t.returnedAt.IsZero() || !t.isLost && elapsed <= maxUpdateGap {
			continue
		}
		t.returnedAt = t.returnedAt.Add(elapsed)
		switch name {
		case banyanplank.TopicBackends:
			for id, h := range m.held.backends {
				h.until = h.until.Add(elapsed)
				m.held.backends[id] = h
			}
		case banyanplank.TopicZonesOut:
			for zone, until := range m.held.zones {
				m.held.zones[zone] = until.Add(elapsed)
			}
		}
	}
}

// backendHold returns the time for endpoints that have left.
func (m *Model) backendHold() (hold time.Duration) {
	return departureHeartbeats*m.endpointHeartbeat + reregisterGrace
}

// isHolding reports whether a topic was read in a new era of the store no longer than a time ago.
func (m *Model) isHolding(now time.Time, topic banyanplank.Topic, hold time.Duration) bool {
	returnedAt := m.topic(topic).returnedAt
	return !returnedAt.IsZero() && now.Sub(returnedAt) < hold
}

// holdTable reports whether a routing table stays out of force, since it is not newer than the one
// in force. After a return, an older one is kept in case that the store goes on having it, and one
// of the same version replaces one that is gone.
func (m *Model) holdTable(table *banyanplank.RoutingTable) (hold bool) {
	if m.router == nil || table.Version > m.router.Table().Version {
		return false
	}
	returned := !m.topic(banyanplank.TopicRouting).returnedAt.IsZero()
	if table.Version == m.router.Table().Version {
		m.held.table = nil
		return !returned || reflect.DeepEqual(table, m.router.Table())
	}
	if returned {
		m.held.table = table
	}
	return true
}

// holdBackend returns an endpoint as it counts, and whether to add it. In the list of a new era,
// one that said that it leaves is leaving still, an earlier incarnation doesn't replace a later one,
// and one that had left, or that a peer holds, is added only if it writes again, or is listed for
// longer than an endpoint that doesn't.
func (m *Model) holdBackend(now time.Time, backend banyanplank.Backend, isHeld bool, msg follower.TopicMsg) (current banyanplank.Backend, ok bool) {
	delete(m.held.backends, backend.ID)
	hold := m.backendHold()
	known := m.backends[backend.ID]
	if msg.IsFullList && known != nil && known.backend.Leaving && known.backend.Born.Equal(backend.Born) {
		// The endpoint may be unable to write that again.
		backend.Leaving = true
	}
	if !msg.IsFullList || !m.isHolding(now, msg.Topic, hold) {
		return backend, true
	}
	switch {
	case known != nil && backend.Born.Before(known.backend.Born):
		// The copy has an earlier incarnation, which has ended.
		m.removeBackend(now, backend.ID, msg.Position)
		return backend, false
	case known != nil && isHeld && backend.Born.Equal(known.backend.Born):
		// The peer knows that it has left.
		delete(m.backends, backend.ID)
		m.held.departures[backend.ID] = departure{born: backend.Born, at: now}
	case known != nil:
		return backend, true
	}
	left, ok := m.held.departures[backend.ID]
	// One that left in this era has written again since.
	hasReturned := left.born.Equal(backend.Born) && left.era == msg.Position.Era
	if !isHeld && (!ok || backend.Born.After(left.born) || hasReturned) {
		return backend, true
	}
	m.held.backends[backend.ID] = heldBackend{backend: backend, position: msg.Position, until: m.topic(msg.Topic).returnedAt.Add(hold)}
	m.logEvent(Note{Event: "endpoint held", Topic: msg.Topic, Key: string(backend.ID), Position: msg.Position, Age: now.Sub(left.at)})
	return backend, false
}

// holdZone reports whether a zone that is no longer listed stays out of service for now.
func (m *Model) holdZone(now time.Time, zone banyanplank.Zone) (hold bool) {
	if !m.isHolding(now, banyanplank.TopicZonesOut, zoneHold) {
		return false
	}
	m.held.zones[zone] = m.topic(banyanplank.TopicZonesOut).returnedAt.Add(zoneHold)
	return true
}

// yieldHeld applies what the store has still not changed when the time to keep the earlier state
// has passed.
func (m *Model) yieldHeld(now time.Time) (changed bool) {
	routing := m.topic(banyanplank.TopicRouting)
	if table := m.held.table; table != nil && !m.isHolding(now, banyanplank.TopicRouting, tableHold) {
		m.setTable(table, Note{Event: "routing yielded", Topic: banyanplank.TopicRouting, Position: routing.position, Age: now.Sub(routing.returnedAt)})
		changed = true
	}
	for id, h := range m.held.backends {
		if !now.Before(h.until) {
			delete(m.held.backends, id)
			m.addBackend(h.backend, h.position)
			changed = true
		}
	}
	for zone, until := range m.held.zones {
		if !now.Before(until) {
			m.setZoneOut(now, follower.TopicMsg{Topic: banyanplank.TopicZonesOut, Position: m.topic(banyanplank.TopicZonesOut).position, RequestedAt: now}, zone, false)
			changed = true
		}
	}
	for id, left := range m.held.departures {
		if now.Sub(left.at) >= departureMemory && !m.isHolding(now, banyanplank.TopicBackends, m.backendHold()) {
			delete(m.held.departures, id)
		}
	}
	return changed
}
