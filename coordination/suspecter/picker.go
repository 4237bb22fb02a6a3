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

// quarantineShare is the part of a service's agents that run the suspects of
// one death: 8 stands for an eighth.
const quarantineShare = 8

// Picker is a picker that sends the suspects of a death to few agents. A
// suspect runs alone, so an agent must let everything else end first. If the
// suspects of one death went everywhere, the whole service would stop for them.
//
// All entries with the same members name the same agents. It implements
// [banyanplank.Picker].
type Picker struct {
	banyanplank.Picker
	relay *Relay

	mu     sync.Mutex
	agents map[banyanplank.ServiceName][]banyanplank.DaemonID
}

// NewPicker returns a picker that chooses with inner and knows suspects from
// relay.
func NewPicker(inner banyanplank.Picker, relay *Relay) *Picker {
	return &Picker{Picker: inner, relay: relay}
}

// Pick implements [banyanplank.Picker].
func (p *Picker) Pick(now time.Time, query banyanplank.Query) (choice banyanplank.Choice, err error) {
	findings := p.relay.About(now, query.Fingerprint)
	if len(findings) == 0 {
		return p.Picker.Pick(now, query)
	}
	narrow := query
	narrow.Avoid = append(slices.Clone(query.Avoid), p.others(query.Service, findings[0].Death)...)
	if choice, err = p.Picker.Pick(now, narrow); err == nil {
		return choice, nil
	}
	return p.Picker.Pick(now, query)
}

// others returns the agents of a service that do not run the suspects of a
// death.
func (p *Picker) others(service banyanplank.ServiceName, death banyanplank.DeathID) (others []banyanplank.DaemonID) {
	p.mu.Lock()
	others = slices.Clone(p.agents[service])
	p.mu.Unlock()
	slices.SortFunc(others, func(a, b banyanplank.DaemonID) int {
		return cmp.Or(cmp.Compare(rank(b, death), rank(a, death)), cmp.Compare(a, b))
	})
	chosen := (len(others) + quarantineShare - 1) / quarantineShare
	return others[chosen:]
}

// rank is the rendezvous hash of an agent and a death.
func rank(agent banyanplank.DaemonID, death banyanplank.DeathID) (hash uint64) {
	return xxhash.Sum64String(string(agent) + "\x00" + strconv.FormatUint(uint64(death), 16))
}

// Renew implements [banyanplank.Picker].
func (p *Picker) Renew(now time.Time, members []banyanplank.Member, configuration *banyanplank.Configuration) {
	agents := map[banyanplank.ServiceName][]banyanplank.DaemonID{}
	for _, m := range members {
		if m.Role == banyanplank.RoleAgent && m.State == banyanplank.MemberLive && !configuration.IsZoneOut(m.Zone) {
			agents[m.Service] = append(agents[m.Service], m.ID)
		}
	}
	p.mu.Lock()
	p.agents = agents
	p.mu.Unlock()
	p.Picker.Renew(now, members, configuration)
}
