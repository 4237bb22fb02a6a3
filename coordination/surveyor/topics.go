package surveyor

import (
	"maps"
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/follower"
)

// applyBackends applies changes of the list of endpoints. An endpoint that is no longer
// listed right after an outage of the platform, in which it can have lapsed, gets a grace
// period to register again. Otherwise it has left.
func (m *Model) applyBackends(now time.Time, msg follower.TopicMsg) {
	present := make(map[banyanplank.BackendID]bool, len(msg.Entries))
	for _, e := range msg.Entries {
		id := banyanplank.BackendID(e.Key)
		backend, ok := e.Value.(banyanplank.Backend)
		if !ok {
			m.removeBackend(now, id, msg.Position)
			continue
		}
		present[id] = true
		if backend, ok = m.holdBackend(now, backend, e.IsHeld, msg); ok {
			m.addBackend(backend, msg.Position)
		}
	}
	if !msg.IsFullList {
		return
	}
	for id := range m.backends {
		if !present[id] {
			m.removeBackend(now, id, msg.Position)
		}
	}
	maps.DeleteFunc(m.held.backends, func(id banyanplank.BackendID, _ heldBackend) bool { return !present[id] })
}

// addBackend adds or updates an endpoint.
func (m *Model) addBackend(backend banyanplank.Backend, position banyanplank.Position) {
	old := m.backends[backend.ID]
	m.backends[backend.ID] = &backendState{backend: backend}
	if old == nil || old.backend.Leaving != backend.Leaving || old.backend.Address != backend.Address ||
		old.backend.ColdStartLeft != backend.ColdStartLeft || !old.backend.Born.Equal(backend.Born) {
		m.logEvent(Note{Event: "endpoint", Topic: banyanplank.TopicBackends, Key: string(backend.ID), Position: position, Value: formatBackend(backend)})
	}
}

// currentBackends returns the endpoints, except those whose address now belongs to one
// that started later. The platform lists such endpoints until their leases expire.
func (m *Model) currentBackends() (backends []banyanplank.Backend) {
	latest := make(map[netip.AddrPort]time.Time, len(m.backends))
	for _, b := range m.backends {
		if b.backend.Born.After(latest[b.backend.Address]) {
			latest[b.backend.Address] = b.backend.Born
		}
	}
	for _, b := range m.backends {
		if !b.backend.Born.Before(latest[b.backend.Address]) {
			backends = append(backends, b.backend)
		}
	}
	return backends
}

// removeBackend removes an endpoint, or marks it as missing if it has a grace period.
func (m *Model) removeBackend(now time.Time, id banyanplank.BackendID, position banyanplank.Position) {
	delete(m.held.backends, id)
	b := m.backends[id]
	if b == nil {
		return
	}
	if m.outage.hasGrace(now) && !b.backend.Leaving {
		if b.missingSince.IsZero() {
			b.missingSince, b.hasLeft = now, !m.topic(banyanplank.TopicBackends).returnedAt.Equal(now)
			m.logEvent(Note{Event: "endpoint missing", Topic: banyanplank.TopicBackends, Key: string(id), Position: position})
		}
		return
	}
	delete(m.backends, id)
	m.recordDeparture(now, b.backend)
	m.logEvent(Note{Event: "endpoint gone", Topic: banyanplank.TopicBackends, Key: string(id), Position: position})
}

// applyZonesOut applies changes of the availability zones out of service.
func (m *Model) applyZonesOut(now time.Time, msg follower.TopicMsg) {
	present := make(map[banyanplank.Zone]bool)
	for _, e := range msg.Entries {
		zone := banyanplank.Zone(e.Key)
		present[zone] = e.Value != nil && !e.IsHeld
		m.setZoneOut(now, msg, zone, e.Value != nil)
	}
	if !msg.IsFullList {
		return
	}
	for zone := range m.zonesOut {
		if !present[zone] && !m.holdZone(now, zone) {
			m.setZoneOut(now, msg, zone, false)
		}
	}
}

// setZoneOut sets whether a zone is out of service.
func (m *Model) setZoneOut(now time.Time, msg follower.TopicMsg, zone banyanplank.Zone, out bool) {
	delete(m.held.zones, zone)
	if m.zonesOut[zone] == out {
		return
	}
	event := "zone back"
	if out {
		event = "zone out"
		m.zonesOut[zone] = true
	} else {
		delete(m.zonesOut, zone)
	}
	m.logEvent(Note{Event: event, Topic: msg.Topic, Key: string(zone), Position: msg.Position, Age: now.Sub(msg.RequestedAt)})
}
