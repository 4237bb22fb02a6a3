package suspecter

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// quarantineDivisor limits the suspects of one death to an eighth of the service's
// agents.
const quarantineDivisor = 8

// Picker sends the suspects of a death to few agents. A suspect runs alone, so its
// agent must first drain all other requests. If the suspects of one death were
// spread over all agents, they would block the whole service.
//
// Entries with the same member list choose the same agents. Picker implements
// [banyanplank.Picker].
type Picker struct {
	banyanplank.Picker
	relay *Relay

	mu     sync.Mutex
	agents map[banyanplank.ServiceName][]banyanplank.DaemonID
}

// NewPicker returns a picker that chooses with inner and takes the suspects from
// relay.
func NewPicker(inner banyanplank.Picker, relay *Relay) *Picker {
	return &Picker{Picker: inner, relay: relay}
}

// Pick implements [banyanplank.Picker]. A suspect falls back to all agents if none
// of its quarantine agents can be picked.
func (p *Picker) Pick(now time.Time, query banyanplank.Query) (choice banyanplank.Choice, err error) {
	findings := p.relay.FindingsFor(now, query.Fingerprint)
	if len(findings) == 0 {
		return p.Picker.Pick(now, query)
	}
	quarantined := query
	quarantined.Tried = append(slices.Clone(query.Tried), p.agentsOutsideQuarantine(query.Service, findings[0].Death)...)
	if choice, err = p.Picker.Pick(now, quarantined); err == nil {
		return choice, nil
	}
	return p.Picker.Pick(now, query)
}

// agentsOutsideQuarantine returns the agents of a service that must not run the
// suspects of a death.
func (p *Picker) agentsOutsideQuarantine(service banyanplank.ServiceName, death banyanplank.DeathID) (agents []banyanplank.DaemonID) {
	p.mu.Lock()
	agents = slices.Clone(p.agents[service])
	p.mu.Unlock()
	slices.SortFunc(agents, func(a, b banyanplank.DaemonID) int {
		return cmp.Or(cmp.Compare(rendezvousHash(b, death), rendezvousHash(a, death)), cmp.Compare(a, b))
	})
	quarantined := (len(agents) + quarantineDivisor - 1) / quarantineDivisor
	return agents[quarantined:]
}

// rendezvousHash returns the weight of an agent for a death in rendezvous hashing.
func rendezvousHash(agent banyanplank.DaemonID, death banyanplank.DeathID) (hash uint64) {
	return xxhash.Sum64String(string(agent) + "\x00" + strconv.FormatUint(uint64(death), 16))
}

// Reconfigure implements [banyanplank.Picker].
func (p *Picker) Reconfigure(now time.Time, members []banyanplank.Member, configuration *banyanplank.Configuration) {
	agents := map[banyanplank.ServiceName][]banyanplank.DaemonID{}
	for _, m := range members {
		if m.Role == banyanplank.RoleAgent && m.State == banyanplank.MemberLive && !configuration.IsZoneOut(m.Zone) {
			agents[m.Service] = append(agents[m.Service], m.ID)
		}
	}
	p.mu.Lock()
	p.agents = agents
	p.mu.Unlock()
	p.Picker.Reconfigure(now, members, configuration)
}
