// Package surveyor holds what an entry believes of the system: the routes in
// force, the endpoints, the availability zones out of service and the other
// entries. It is a pure model; its snapshots are immutable.
package surveyor

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/router"
	"github.com/banyanplank/banyanplank/state/follower"
)

// The times that the model acts on.
const (
	// TickInterval is the time between two [banyanplank.TickMsg].
	TickInterval = 200 * time.Millisecond
	// aliveAge is how old the last heartbeat of a live entry may be.
	aliveAge = 1200 * time.Millisecond
	// farAge is the same for entries of other availability zones, which send
	// fewer heartbeats across.
	farAge = 2200 * time.Millisecond
	// returnGrace is how long an endpoint that the platform no longer lists
	// after an outage of its store may take to register again.
	returnGrace = 2 * time.Second
	// forgetAge is after how long an entry that was never heard is taken off
	// the platform's list.
	forgetAge = 30 * time.Second
	// registerPause is the time between two attempts to register.
	registerPause = time.Second
)

// HeardMsg is a heartbeat of a peer.
type HeardMsg struct{ Beat *beater.Beat }

// DrainMsg tells that this entry stops soon.
type DrainMsg struct{}

// RegisterCmd asks to write the own entry of the members.
type RegisterCmd struct{ Member banyanplank.Member }

// RegisteredMsg ends a RegisterCmd.
type RegisteredMsg struct{ Err error }

// RemoveCmd asks to remove the entry of a member that is gone.
type RemoveCmd struct{ ID banyanplank.DaemonID }

// NoteCmd asks to log a change of belief.
type NoteCmd struct {
	Event string
	// Topic and Key name what changed, Value what it is now.
	Topic banyanplank.Topic
	Key   string
	Value string
	// Revision is the platform's revision that the belief is as of, Age how
	// old the word on it is.
	Revision banyanplank.Version
	Age      time.Duration
	Err      error
}

// Snapshot is what an entry believes.
type Snapshot struct {
	// Router is nil until a routing table is known.
	Router   *router.Router
	Backends []banyanplank.Backend
	Out      map[banyanplank.Zone]bool
	// Entries are the live entries that take new callers, this one included
	// unless it drains. Peers are all entries that heartbeats go to.
	Entries []banyanplank.Member
	Peers   []banyanplank.Member
	// Alive counts the entries that live, this one included.
	Alive int
	// Known counts the entries that may be at work, heard or not, this one included.
	Known     int
	Revisions map[banyanplank.Topic]banyanplank.Version
	// Blind tells that the platform's topics can't be followed.
	Blind bool
	// Watches tells that this entry is one of those that watch the platform:
	// the first of its zone that can.
	Watches bool
	// Leads tells that this entry does what one has to do for all: it is the
	// first of those that take callers, and hears most of those that are known.
	Leads bool
	// Follows tells that this entry leads next.
	Follows bool
	// Ready tells that this entry may take new callers.
	Ready bool
}

// Model is the control state. Create it with NewModel.
type Model struct {
	self     banyanplank.Member
	router   *router.Router
	listed   map[banyanplank.BackendID]*listing
	out      map[banyanplank.Zone]bool
	members  map[banyanplank.DaemonID]*membership
	topics   map[banyanplank.Topic]*topic
	draining bool
	// dark is when no entry that watches could last see the platform.
	dark time.Time
	// began is when the entry started, and wanted since when it has to take over from
	// blind entries of its zone.
	began  time.Time
	wanted time.Time
	// registered tells that the own entry was written, asked when that was
	// last tried.
	registered bool
	asked      time.Time
	snapshot   *Snapshot
	notes      []banyanplank.Command
}

// listing is an endpoint of service discovery.
type listing struct {
	backend banyanplank.Backend
	// missing is when the endpoint was found to be no longer listed, if so.
	missing time.Time
}

// membership is what is known of another entry.
type membership struct {
	member banyanplank.Member
	// listed tells that the platform lists it, known since when.
	listed bool
	known  time.Time
	// heard is when the last heartbeat came.
	heard time.Time
	ready bool
	blind bool
	// watches tells that the entry watches the platform for others.
	watches bool
	alive   bool
}

// topic is how far a topic is known.
type topic struct {
	revision banyanplank.Version
	// changed is the revision at which the latest changes were known.
	changed banyanplank.Version
	listed  bool
	lost    bool
}

// NewModel returns the control state of the entry self, which knows nothing.
func NewModel(self banyanplank.Member) *Model {
	m := &Model{
		self:    self,
		listed:  make(map[banyanplank.BackendID]*listing),
		out:     make(map[banyanplank.Zone]bool),
		members: make(map[banyanplank.DaemonID]*membership),
		topics:  make(map[banyanplank.Topic]*topic),
	}
	m.snapshot = &Snapshot{}
	m.publish(false)
	return m
}

// Snapshot returns the belief after the last update.
func (m *Model) Snapshot() (s *Snapshot) { return m.snapshot }

// Update implements banyanplank.Model.
func (m *Model) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	m.notes = nil
	changed := true
	switch msg := msg.(type) {
	case follower.TopicMsg:
		changed = m.follow(now, msg)
	case follower.LostMsg:
		m.topic(msg.Topic).lost = true
		m.note(NoteCmd{Event: "topic lost", Topic: msg.Topic, Revision: m.topic(msg.Topic).revision, Err: msg.Err})
	case HeardMsg:
		changed = m.hear(now, msg.Beat)
	case RegisteredMsg:
		m.registered = msg.Err == nil
		m.note(NoteCmd{Event: "register", Topic: banyanplank.TopicMembers, Key: string(m.self.ID), Err: msg.Err})
	case DrainMsg:
		m.draining = true
	case banyanplank.PanicMsg:
		changed = false
		m.note(NoteCmd{Event: "command panicked", Key: fmt.Sprintf("%T", msg.Command), Err: msg.Err})
	case banyanplank.TickMsg:
		changed = m.tick(now)
	}
	if watches := m.watch(now); changed || watches != m.snapshot.Watches {
		m.publish(watches)
	}
	return m, m.notes
}

// note asks for a log line.
func (m *Model) note(note NoteCmd) { m.notes = append(m.notes, note) }

// topic returns how far a topic is known.
func (m *Model) topic(name banyanplank.Topic) (t *topic) {
	t = m.topics[name]
	if t == nil {
		t = &topic{}
		m.topics[name] = t
	}
	return t
}

// follow takes in what is new in a topic.
func (m *Model) follow(now time.Time, msg follower.TopicMsg) (changed bool) {
	t := m.topic(msg.Topic)
	if msg.Revision < t.revision {
		return false
	}
	first := !t.listed
	if first || len(msg.Entries) > 0 {
		t.changed = msg.Revision
	}
	t.revision, t.listed = msg.Revision, true
	if t.lost && !msg.Relayed {
		t.lost = false
		m.note(NoteCmd{Event: "topic regained", Topic: msg.Topic, Revision: msg.Revision})
	}
	graced := now.Sub(m.dark) < returnGrace
	switch msg.Topic {
	case banyanplank.TopicRouting:
		m.route(now, msg)
	case banyanplank.TopicBackends:
		m.listBackends(now, msg, graced)
	case banyanplank.TopicZonesOut:
		m.listZones(now, msg)
	case banyanplank.TopicMembers:
		m.listMembers(now, msg)
	}
	return first || len(msg.Entries) > 0 || msg.Whole
}

// route takes in a routing table that is newer than the one in force.
func (m *Model) route(now time.Time, msg follower.TopicMsg) {
	for _, e := range msg.Entries {
		table, ok := e.Value.(*banyanplank.RoutingTable)
		if !ok || (m.router != nil && table.Version <= m.router.Table().Version) {
			continue
		}
		m.router = router.New(table)
		m.note(NoteCmd{
			Event: "routing in force", Topic: msg.Topic, Key: e.Key, Revision: msg.Revision, Age: now.Sub(msg.Sent),
			Value: formatTable(table),
		})
	}
}

// tick acts on what has not come.
func (m *Model) tick(now time.Time) (changed bool) {
	for id, l := range m.listed {
		if !l.missing.IsZero() && now.Sub(l.missing) >= returnGrace {
			delete(m.listed, id)
			changed = true
			m.note(NoteCmd{Event: "endpoint gone", Topic: banyanplank.TopicBackends, Key: string(id), Age: now.Sub(l.missing)})
		}
	}
	for id, s := range m.members {
		if s.alive && now.Sub(s.heard) > m.ageOf(s) {
			s.alive = false
			changed = true
			m.note(NoteCmd{Event: "peer silent", Topic: banyanplank.TopicMembers, Key: string(id), Age: now.Sub(s.heard)})
		}
	}
	seen := m.snapshot.Watches && !m.snapshot.Blind
	if m.topic(banyanplank.TopicBackends).listed && !seen && !m.isSeenByPeers() {
		m.dark = now
	}
	m.tend(now)
	return changed
}

// publish makes a new snapshot of an entry that watches the platform or doesn't.
func (m *Model) publish(watches bool) {
	s := &Snapshot{
		Router:    m.router,
		Out:       make(map[banyanplank.Zone]bool, len(m.out)),
		Revisions: make(map[banyanplank.Topic]banyanplank.Version, len(m.topics)),
		Alive:     1,
		Known:     len(m.members) + 1,
	}
	for zone := range m.out {
		s.Out[zone] = true
	}
	for name, t := range m.topics {
		s.Revisions[name] = t.changed
		s.Blind = s.Blind || t.lost
	}
	s.Backends = m.current()
	slices.SortFunc(s.Backends, func(a, b banyanplank.Backend) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.Ready = m.router != nil && m.topic(banyanplank.TopicBackends).listed && m.topic(banyanplank.TopicZonesOut).listed && !m.draining
	if s.Ready {
		s.Entries = append(s.Entries, m.self)
	}
	for _, member := range m.members {
		s.Peers = append(s.Peers, member.member)
		if member.alive {
			s.Alive++
		}
		if member.alive && member.ready {
			s.Entries = append(s.Entries, member.member)
		}
	}
	slices.SortFunc(s.Entries, func(a, b banyanplank.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.Watches = watches
	// Of two parts of the entries that don't hear each other, one leads at most.
	most := s.Ready && 2*s.Alive > len(m.members)+1
	s.Leads = most && s.Entries[0].ID == m.self.ID
	s.Follows = most && len(s.Entries) > 1 && s.Entries[1].ID == m.self.ID
	m.snapshot = s
}
