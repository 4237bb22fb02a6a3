package surveyor

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/state/follower"
)

// applyMembers applies the platform's list of entries.
func (m *Model) applyMembers(now time.Time, msg follower.TopicMsg) {
	present := make(map[banyanplank.DaemonID]bool)
	for _, e := range msg.Entries {
		id := banyanplank.DaemonID(e.Key)
		member, ok := e.Value.(banyanplank.Member)
		present[id] = ok
		switch {
		case id == m.self.ID:
			m.registered = ok && member.Incarnation >= m.self.Incarnation
		case ok:
			m.memberOf(now, member).isListed = true
		case m.members[id] != nil:
			m.members[id].isListed = false
		}
	}
	if !msg.IsFullList {
		return
	}
	m.registered = m.registered && present[m.self.ID]
	for id, s := range m.members {
		s.isListed = s.isListed && present[id]
	}
}

// memberOf returns the state of a member, which it adds or updates for a new incarnation.
func (m *Model) memberOf(now time.Time, member banyanplank.Member) (s *membership) {
	s = m.members[member.ID]
	if s == nil {
		s = &membership{member: member, knownSince: now}
		m.members[member.ID] = s
	}
	if member.Incarnation > s.member.Incarnation {
		s.member, s.knownSince = member, now
	}
	return s
}

// applyHeartbeat applies a heartbeat and reports whether the snapshot changes.
func (m *Model) applyHeartbeat(now time.Time, beat *beater.Heartbeat) (changed bool) {
	if beat.From == m.self.ID {
		return false
	}
	known := m.members[beat.From]
	if beat.IsLean && (known == nil || known.member.Incarnation != beat.Incarnation) {
		// A full heartbeat of that incarnation follows.
		return false
	}
	previous := banyanplank.Incarnation(0)
	if known != nil {
		previous = known.member.Incarnation
	}
	s := m.memberOf(now, banyanplank.Member{
		ID:            beat.From,
		Incarnation:   beat.Incarnation,
		Role:          banyanplank.RoleEntry,
		Zone:          beat.Zone,
		PeerAddress:   beat.Peer,
		CallerAddress: beat.Caller,
	})
	if beat.Incarnation < s.member.Incarnation {
		return false
	}
	s.heardAt = now
	if beat.ConfirmedAge > 0 {
		m.outage.recordReached(now.Add(-beat.ConfirmedAge))
	}
	changed = !s.isAlive || s.member.Incarnation != previous || s.isReady != beat.Ready || s.discoveryLost != beat.CannotFollow || s.isWatcher != beat.IsWatcher
	if !s.isAlive {
		m.logEvent(Note{Event: "peer heard", Topic: banyanplank.TopicMembers, Key: string(beat.From)})
	}
	s.isAlive, s.isReady, s.discoveryLost, s.isWatcher = true, beat.Ready, beat.CannotFollow, beat.IsWatcher
	return changed
}

// isPlatformReached reports whether this entry, or another live one that watches the
// platform, can reach it.
func (m *Model) isPlatformReached(now time.Time) bool {
	if t := m.topic(banyanplank.TopicBackends); !t.isLost && !t.confirmedAt.IsZero() && now.Sub(t.confirmedAt) < confirmationMaxAge {
		return true
	}
	for _, s := range m.members {
		if s.isAlive && s.isWatcher && !s.discoveryLost {
			return true
		}
	}
	return false
}

// Delays before an entry starts to watch.
const (
	// watchStartDelay is how long a new entry waits for the heartbeats of its zone,
	// which come every 120 ms. Without it, all would watch when all start together.
	watchStartDelay = 400 * time.Millisecond
	// takeoverDelay is how long all preceding entries of the zone must have lost a
	// platform that others can reach. The heartbeats of other zones take 0.72 s to
	// report that none can.
	takeoverDelay = time.Second
	// confirmationMaxAge is the age of the last confirmation by the platform up to which it
	// counts as reached. An entry that doesn't watch asks for one each 1.4 s.
	confirmationMaxAge = 2 * time.Second
)

// shouldWatch decides whether this entry watches the platform for others.
func (m *Model) shouldWatch(now time.Time) (watches bool) {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	first, takeover := m.watchEligibility(now)
	if !takeover {
		m.takeoverSince = time.Time{}
	} else if m.takeoverSince.IsZero() {
		m.takeoverSince = now
	}
	return now.Sub(m.startedAt) >= watchStartDelay && (first || (takeover && now.Sub(m.takeoverSince) >= takeoverDelay))
}

// watchEligibility reports whether this entry is among the first of its zone that
// have to watch the platform, or has to take over from them. The first entry of a zone
// watches. A later one watches while all preceding ones can't reach the platform: the
// second always, the others only while some entry can reach it, which bounds the calls
// to a platform that is down.
func (m *Model) watchEligibility(now time.Time) (first, takeover bool) {
	preceding := 0
	for id, s := range m.members {
		if !s.isAlive || s.member.Zone != m.self.Zone || id > m.self.ID {
			continue
		}
		if !s.discoveryLost {
			return false, false
		}
		preceding++
	}
	return preceding < 2, preceding >= 2 && m.isPlatformReached(now)
}

// maxHeartbeatAge returns the maximum age of the last heartbeat of a live entry.
func (m *Model) maxHeartbeatAge(s *membership) (age time.Duration) {
	if s.member.Zone == m.self.Zone {
		return localHeartbeatMaxAge
	}
	return remoteHeartbeatMaxAge
}

// maintainMembers registers this entry if needed and removes entries that have been
// silent for too long.
func (m *Model) maintainMembers(now time.Time) {
	if !m.registered && !m.draining && now.Sub(m.registerTriedAt) >= registerRetryInterval {
		m.registerTriedAt = now
		m.commands = append(m.commands, RegisterCmd{Member: m.self})
	}
	for id, s := range m.members {
		if s.isAlive || now.Sub(later(s.knownSince, s.heardAt)) < memberForgetAge {
			continue
		}
		if s.isListed && m.isFirstAlive() {
			m.commands = append(m.commands, RemoveCmd{ID: id})
		}
		delete(m.members, id)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isFirstAlive reports whether this entry is the first of the live ones, which does
// the work that only one of them needs to do.
func (m *Model) isFirstAlive() bool {
	for id, s := range m.members {
		if s.isAlive && id < m.self.ID {
			return false
		}
	}
	return true
}
