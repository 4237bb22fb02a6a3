// Package surveyor maintains an entry's view of the system: the routing table in
// force, the endpoints, the availability zones out of service and the other
// entries. It is a model without I/O; its snapshots are immutable.
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

// Intervals and timeouts of the model.
const (
	// TickInterval is the time between two [banyanplank.TickMsg].
	TickInterval = 200 * time.Millisecond
	// localHeartbeatMaxAge is the age of the last heartbeat above which an entry of the
	// same availability zone counts as silent.
	localHeartbeatMaxAge = 1200 * time.Millisecond
	// remoteHeartbeatMaxAge is the same for entries of other availability zones, which
	// send fewer heartbeats across zones.
	remoteHeartbeatMaxAge = 2200 * time.Millisecond
	// reregisterGrace is the time after an outage of the platform's store in which an endpoint
	// must register again.
	reregisterGrace = 2 * time.Second
	// memberForgetAge is the time without heartbeats after which an entry is removed
	// from the platform's list.
	memberForgetAge = 30 * time.Second
	// registerRetryInterval is the minimum time between two attempts to register.
	registerRetryInterval = time.Second
)

// HeardMsg reports a heartbeat from a peer.
type HeardMsg struct{ Heartbeat *beater.Heartbeat }

// DrainMsg reports that this entry is about to stop.
type DrainMsg struct{}

// RegisterCmd requests writing this entry to the platform's list of members.
type RegisterCmd struct{ Member banyanplank.Member }

// RegisteredMsg is the result of a [RegisterCmd].
type RegisteredMsg struct{ Err error }

// RemoveCmd requests removing a failed member from the platform's list.
type RemoveCmd struct{ ID banyanplank.DaemonID }

// EventIgnored is the event of a [Note] on changes that this entry ignores, since they are older
// than what it knows.
const EventIgnored = "older changes ignored"

// Note describes a state change for a log line.
type Note struct {
	Event string
	// Topic and Key identify what changed; Value is the new state.
	Topic banyanplank.Topic
	Key   string
	Value string
	// Position is the position of the new state in the platform's store, and Age the time
	// since it was requested or last confirmed.
	Position banyanplank.Position
	Age      time.Duration
	// Confirmed is the time since this entry last confirmed with the platform that it
	// knew all changes of the topic, without the call that led to the new state.
	Confirmed time.Duration
	Err       error
}

// Snapshot is the view of an entry after an update.
type Snapshot struct {
	// Router is nil until a routing table is known.
	Router   *router.Router
	Backends []banyanplank.Backend
	// Missing holds those of the Backends that the platform no longer lists and that have
	// time to return.
	Missing  map[banyanplank.BackendID]bool
	ZonesOut map[banyanplank.Zone]bool
	// Held is what differs in the store, and comes into force unless it is written again.
	Held Held
	// Entries are the live entries that accept new callers, including this one
	// unless it drains. Peers are all entries that heartbeats are sent to.
	Entries []banyanplank.Member
	Peers   []banyanplank.Member
	// AliveEntries is the number of live entries, including this one, and AliveIDs lists
	// their IDs in order.
	AliveEntries int
	AliveIDs     []banyanplank.DaemonID
	// FollowingIDs lists those of AliveIDs that can follow the platform's store.
	FollowingIDs []banyanplank.DaemonID
	// KnownEntries is the number of entries that may be running, including this one and those
	// without recent heartbeats.
	KnownEntries int
	// Positions holds the position of the latest change of each topic.
	Positions map[banyanplank.Topic]banyanplank.Position
	// DiscoveryLost reports that at least one topic of the platform can't be followed.
	DiscoveryLost bool
	// IsWatcher reports whether this entry watches the platform. The first entry of
	// each zone that can reach the platform does.
	IsWatcher bool
	// IsLeader reports whether this entry is the leader: the first of those that accept
	// callers, while it receives heartbeats from a majority of the known entries.
	IsLeader bool
	// IsStandby reports whether this entry is next in line to lead.
	IsStandby bool
	// Ready reports whether this entry may accept new callers.
	Ready bool
}

// Model is the state of an entry's control loop. Create it with [NewModel].
type Model struct {
	self     banyanplank.Member
	router   *router.Router
	backends map[banyanplank.BackendID]*backendState
	zonesOut map[banyanplank.Zone]bool
	members  map[banyanplank.DaemonID]*membership
	topics   map[banyanplank.Topic]*topicState
	draining bool
	outage   outage
	held     held
	// endpointHeartbeat is the time between two heartbeats of an endpoint.
	endpointHeartbeat time.Duration

	startedAt time.Time
	// takeoverSince is the time since which this entry has to take over from entries of
	// its zone that can't reach the platform; zero if it doesn't.
	takeoverSince time.Time
	// registered is set once this entry is written to the list of members, and
	// registerTriedAt is the time of the last attempt.
	registered      bool
	registerTriedAt time.Time
	snapshot        *Snapshot
	commands        []banyanplank.Command
	notes           []Note
}

// backendState is an endpoint in service discovery.
type backendState struct {
	backend banyanplank.Backend
	// missingSince is when the endpoint was first missing from the list, or zero.
	missingSince time.Time
	// hasLeft is set if it was removed, and not only missing from an older copy of the store.
	hasLeft bool
}

// membership is the state of another entry.
type membership struct {
	member banyanplank.Member
	// isListed is set while the platform lists the entry. knownSince is when its
	// current incarnation was first seen.
	isListed   bool
	knownSince time.Time
	// heardAt is when the last heartbeat arrived.
	heardAt       time.Time
	isReady       bool
	discoveryLost bool
	// isWatcher is set if the entry watches the platform for others.
	isWatcher bool
	isAlive   bool
}

// topicState is the progress in following a topic.
type topicState struct {
	position banyanplank.Position
	// changedPosition is the position of the latest change.
	changedPosition banyanplank.Position
	isListed        bool
	isLost          bool
	// returnedAt is when the topic was first read in a later era of the store than before, or
	// zero.
	returnedAt time.Time
	// confirmedAt is when the platform last had no changes beyond position.
	confirmedAt time.Time
}

// Option configures a [Model].
type Option func(*Model)

// WithEndpointHeartbeat sets the time between two heartbeats of an endpoint. The platform drops
// an endpoint after three without one. The default is [DefaultEndpointHeartbeat].
func WithEndpointHeartbeat(interval time.Duration) Option {
	return func(m *Model) { m.endpointHeartbeat, m.outage.minimum = interval, lapseHeartbeats*interval }
}

// NewModel returns a model of the entry self without any known state.
func NewModel(self banyanplank.Member, options ...Option) *Model {
	m := &Model{
		endpointHeartbeat: DefaultEndpointHeartbeat,

		outage:   outage{minimum: lapseHeartbeats * DefaultEndpointHeartbeat},
		self:     self,
		backends: make(map[banyanplank.BackendID]*backendState),
		zonesOut: make(map[banyanplank.Zone]bool),
		held:     newHeld(),
		members:  make(map[banyanplank.DaemonID]*membership),
		topics:   make(map[banyanplank.Topic]*topicState),
	}
	for _, option := range options {
		option(m)
	}
	m.snapshot = &Snapshot{}
	m.publish(false)
	return m
}

// Snapshot returns the view after the last update.
func (m *Model) Snapshot() (s *Snapshot) { return m.snapshot }

// Notes returns the state changes of the last update, in the order in which they were made.
func (m *Model) Notes() (notes []Note) { return m.notes }

// Update implements [banyanplank.Model].
func (m *Model) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	m.commands, m.notes = nil, nil
	m.extendHolds(now)
	m.outage.recordUpdate(now)
	changed := true
	switch msg := msg.(type) {
	case follower.TopicMsg:
		changed = m.applyTopic(now, msg)
	case follower.LostMsg:
		m.topic(msg.Topic).isLost = true
		m.logEvent(Note{Event: "topic lost", Topic: msg.Topic, Position: m.topic(msg.Topic).position, Err: msg.Err})
	case HeardMsg:
		changed = m.applyHeartbeat(now, msg.Heartbeat)
	case RegisteredMsg:
		m.registered = msg.Err == nil
		m.logEvent(Note{Event: "register", Topic: banyanplank.TopicMembers, Key: string(m.self.ID), Err: msg.Err})
	case DrainMsg:
		m.draining = true
	case banyanplank.PanicMsg:
		changed = false
		m.logEvent(Note{Event: "command panicked", Key: fmt.Sprintf("%T", msg.Command), Err: msg.Err})
	case banyanplank.TickMsg:
		changed = m.expire(now)
	}
	watches := m.shouldWatch(now)
	if watches != m.snapshot.IsWatcher {
		m.logWatching(now, watches)
	}
	if changed || watches != m.snapshot.IsWatcher {
		m.publish(watches)
	}
	return m, m.commands
}

// logWatching logs that this entry starts or stops watching the platform for others.
func (m *Model) logWatching(now time.Time, watches bool) {
	event := "watch stopped"
	if watches {
		event = "watch started"
	}
	routing := m.topic(banyanplank.TopicRouting)
	m.logEvent(Note{Event: event, Topic: banyanplank.TopicRouting, Position: routing.position, Confirmed: routing.unconfirmedFor(now)})
}

// logEvent adds a log line to those of this update.
func (m *Model) logEvent(note Note) { m.notes = append(m.notes, note) }

// topic returns the state of a topic and creates it if needed.
func (m *Model) topic(name banyanplank.Topic) (t *topicState) {
	t = m.topics[name]
	if t == nil {
		t = &topicState{}
		m.topics[name] = t
	}
	return t
}

// unconfirmedFor returns the time since the platform last had no changes beyond those
// known, or zero if it never confirmed that.
func (t *topicState) unconfirmedFor(now time.Time) (age time.Duration) {
	if t.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(t.confirmedAt)
}

// applyTopic applies the new entries of a topic, and ignores older positions.
func (m *Model) applyTopic(now time.Time, msg follower.TopicMsg) (changed bool) {
	if !msg.Relayed {
		m.outage.recordReached(now)
	}
	t := m.topic(msg.Topic)
	if msg.Position.IsBefore(t.position) {
		if msg.IsFullList || len(msg.Entries) > 0 {
			m.logEvent(Note{Event: EventIgnored, Topic: msg.Topic, Position: msg.Position, Value: fmt.Sprintf("%d changes older than position %s", len(msg.Entries), t.position)})
		}
		return false
	}
	first := !t.isListed
	returned := !first && msg.Position.Era > t.position.Era
	if first || returned || len(msg.Entries) > 0 {
		t.changedPosition = msg.Position
	}
	t.isListed = true
	if returned {
		m.recordReturn(now, msg, t.position)
	}
	if returned || first && slices.ContainsFunc(msg.Entries, func(e banyanplank.DiscoveryItem) bool { return e.IsHeld }) {
		t.returnedAt = now
	}
	t.position = msg.Position
	if t.isLost && !msg.Relayed {
		t.isLost = false
		m.logEvent(Note{Event: "topic regained", Topic: msg.Topic, Position: msg.Position})
	}
	switch msg.Topic {
	case banyanplank.TopicRouting:
		m.applyRouting(now, msg)
	case banyanplank.TopicBackends:
		m.applyBackends(now, msg)
	case banyanplank.TopicZonesOut:
		m.applyZonesOut(now, msg)
	case banyanplank.TopicMembers:
		m.applyMembers(now, msg)
	}
	if msg.ConfirmedAt.After(t.confirmedAt) {
		t.confirmedAt = msg.ConfirmedAt
	}
	return first || len(msg.Entries) > 0 || msg.IsFullList
}

// applyRouting applies a routing table if it is newer than the one in force.
func (m *Model) applyRouting(now time.Time, msg follower.TopicMsg) {
	for _, e := range msg.Entries {
		table, ok := e.Value.(*banyanplank.RoutingTable)
		if !ok || m.holdTable(table) {
			continue
		}
		m.setTable(table, Note{
			Event: "routing in force", Topic: msg.Topic, Key: e.Key, Position: msg.Position, Age: now.Sub(msg.RequestedAt),
			Confirmed: m.topic(msg.Topic).unconfirmedFor(now),
		})
	}
}

// setTable puts a routing table in force.
func (m *Model) setTable(table *banyanplank.RoutingTable, note Note) {
	m.router, m.held.table = router.New(table), nil
	note.Value = formatTable(table)
	m.logEvent(note)
}

// expire removes endpoints whose grace has ended, yields to what the store still has after its
// return from an older copy, marks entries without recent
// heartbeats as silent, and maintains the list of members.
func (m *Model) expire(now time.Time) (changed bool) {
	for id, b := range m.backends {
		if !b.missingSince.IsZero() && !m.outage.hasGrace(now) {
			delete(m.backends, id)
			changed = true
			if b.hasLeft || m.outage.isReached(now) {
				m.recordDeparture(now, b.backend)
			}
			m.logEvent(Note{Event: "endpoint gone", Topic: banyanplank.TopicBackends, Key: string(id), Age: now.Sub(b.missingSince)})
		}
	}
	changed = m.yieldHeld(now) || changed
	for id, s := range m.members {
		if s.isAlive && now.Sub(s.heardAt) > m.maxHeartbeatAge(s) {
			s.isAlive = false
			changed = true
			m.logEvent(Note{Event: "peer silent", Topic: banyanplank.TopicMembers, Key: string(id), Age: now.Sub(s.heardAt)})
		}
	}
	m.maintainMembers(now)
	return changed
}

// publish builds a new snapshot.
func (m *Model) publish(watches bool) {
	s := &Snapshot{
		Router:       m.router,
		ZonesOut:     make(map[banyanplank.Zone]bool, len(m.zonesOut)),
		Positions:    make(map[banyanplank.Topic]banyanplank.Position, len(m.topics)),
		AliveEntries: 1,
		AliveIDs:     []banyanplank.DaemonID{m.self.ID},
		KnownEntries: len(m.members) + 1,
	}
	for zone := range m.zonesOut {
		s.ZonesOut[zone] = true
	}
	for name, t := range m.topics {
		s.Positions[name] = t.changedPosition
		s.DiscoveryLost = s.DiscoveryLost || t.isLost
	}
	s.Backends = m.currentBackends()
	s.Held = m.held.export()
	s.Missing = make(map[banyanplank.BackendID]bool)
	for id, b := range m.backends {
		if !b.missingSince.IsZero() {
			s.Missing[id] = true
		}
	}
	slices.SortFunc(s.Backends, func(a, b banyanplank.Backend) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.Ready = m.router != nil && m.topic(banyanplank.TopicBackends).isListed && m.topic(banyanplank.TopicZonesOut).isListed && !m.draining
	if s.Ready {
		s.Entries = append(s.Entries, m.self)
	}
	for _, member := range m.members {
		s.Peers = append(s.Peers, member.member)
		if member.isAlive {
			s.AliveEntries++
			s.AliveIDs = append(s.AliveIDs, member.member.ID)
			if !member.discoveryLost {
				s.FollowingIDs = append(s.FollowingIDs, member.member.ID)
			}
		}
		if member.isAlive && member.isReady {
			s.Entries = append(s.Entries, member.member)
		}
	}
	slices.SortFunc(s.Entries, func(a, b banyanplank.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if !s.DiscoveryLost {
		s.FollowingIDs = append(s.FollowingIDs, m.self.ID)
	}
	slices.Sort(s.AliveIDs)
	slices.Sort(s.FollowingIDs)
	s.IsWatcher = watches
	// A majority is required, so that at most one side of a network partition has
	// a leader.
	hearsMajority := s.Ready && 2*s.AliveEntries > len(m.members)+1
	s.IsLeader = hearsMajority && s.Entries[0].ID == m.self.ID
	s.IsStandby = hearsMajority && len(s.Entries) > 1 && s.Entries[1].ID == m.self.ID
	m.snapshot = s
}
