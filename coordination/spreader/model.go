package spreader

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// TickInterval is the time between two consecutive [banyanplank.TickMsg] that a
// [Model] expects.
const TickInterval = time.Second

// Model is the control state of one daemon: its members, its installed revision
// and the evidence that this revision is current. It implements
// [banyanplank.Model].
type Model struct {
	self    Record
	random  *rand.Rand
	members *memberTable
	seeds   []netip.AddrPort
	started time.Time
	now     time.Time
	ticks   int
	// inTick reports whether the current message is a tick.
	inTick bool
	// joined reports whether a peer has sent its full member list.
	joined bool
	// seedsKnown reports whether the lookup of peer addresses has completed.
	seedsKnown   bool
	joinInFlight bool
	ready        bool
	replaced     bool

	installed installedConfig
	fetch     fetchState
	store     storeState

	// lastContact is the send time of the latest exchange that a peer answered.
	lastContact time.Time
	// provenAt is the latest time at which the installed revision was known to
	// be the accepted one.
	provenAt     time.Time
	reachability reachability
	// revisionBroadcasts counts the remaining ticks in which a new revision is
	// sent to all neighbors.
	revisionBroadcasts int
	// leaveBroadcasts counts the remaining ticks in which a leave announcement
	// is sent to all neighbors.
	leaveBroadcasts int
	snapshot        *Snapshot
}

// installedConfig is the configuration in effect and the encoded parts from
// which peers are served.
type installedConfig struct {
	root          sharder.Root
	rootValue     []byte
	values        map[sharder.Name][]byte
	joiner        sharder.Joiner
	configuration *banyanplank.Configuration
	changeLog     []revisionChange
}

// ModelOption configures a [Model].
type ModelOption func(*Model)

// WithSeeds adds addresses at which peers may be reached at startup, so that a
// daemon can start while the object API is down. The default is none.
func WithSeeds(addresses []netip.AddrPort) ModelOption {
	return func(m *Model) { m.seeds = append(m.seeds, addresses...) }
}

// NewModel returns the state of a daemon that starts at now without any
// configuration. Random adds jitter and selects peers; the model takes ownership
// of it.
func NewModel(now time.Time, member banyanplank.Member, random *rand.Rand, options ...ModelOption) (m *Model) {
	self := Record{Member: member}
	m = &Model{self: self, random: random, started: now, now: now, members: newMemberTable(self, now)}
	for _, option := range options {
		option(m)
	}
	m.publish()
	return m
}

// Update implements [banyanplank.Model].
func (m *Model) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	m.now = now
	_, m.inTick = msg.(banyanplank.TickMsg)
	switch msg := msg.(type) {
	case banyanplank.TickMsg:
		commands = m.handleTick()
	case DigestMsg:
		commands = m.handleDigest(msg)
	case ReplyMsg:
		commands = m.handleReply(msg)
	case FetchedMsg:
		commands = m.handleFetched(msg)
	case RootMsg:
		commands = m.handleRoot(msg)
	case ShardsMsg:
		commands = m.handleShards(msg)
	case InstancesMsg:
		m.handleInstances(msg)
	case SeedsMsg:
		m.seedsKnown = true
		m.addSeeds(msg.Addresses)
	case LeaveMsg:
		m.handleLeave()
	}
	if m.leaveBroadcasts == leaveBroadcastTicks {
		commands = append(commands, m.startExchanges()...)
	}
	m.refresh()
	return m, commands
}

// Snapshot returns the view of the state after the last update.
func (m *Model) Snapshot() (s *Snapshot) { return m.snapshot }

// revision returns the installed revision, or zero.
func (m *Model) revision() (revision banyanplank.Revision) { return m.installed.root.Revision }

// handleTick runs the periodic work.
func (m *Model) handleTick() (commands []banyanplank.Command) {
	m.ticks++
	if m.replaced {
		return nil
	}
	m.expireMembers()
	if len(m.reachability.sample) == 0 {
		m.sampleNeighbors()
	}
	m.reachability.measure(m.now)
	m.updateSettled()
	commands = append(commands, m.startExchanges()...)
	commands = append(commands, m.bootstrap()...)
	commands = append(commands, m.startFetches()...)
	return append(commands, m.storeCommands()...)
}

// handleLeave marks the daemon as leaving, which is broadcast at once.
func (m *Model) handleLeave() {
	m.updateSelf(banyanplank.MemberLeaving)
}

// updateSelf replaces the daemon's own record by a newer one with the state.
func (m *Model) updateSelf(state banyanplank.MemberState) {
	m.self.Sequence++
	m.self.Member.State = state
	m.putRecord(m.self)
}

// refresh updates derived state and publishes a snapshot.
func (m *Model) refresh() {
	m.reachability.memberCount = max(m.reachability.memberCount, m.members.upCount)
	m.latchReady()
	m.publish()
}

// isFresh reports whether the newest proof is at most [MaxProofAge] old.
func (m *Model) isFresh() (fresh bool) {
	return !m.provenAt.IsZero() && m.now.Sub(m.provenAt) <= MaxProofAge
}

// startGrace is how long a starting daemon waits for peers while the object API
// is reachable.
const startGrace = 5 * time.Second

// latchReady sets ready, once and for good, when the daemon has caught up: after
// a peer sent its full member list, or from the object API alone when no peer
// answers.
func (m *Model) latchReady() {
	if m.ready || m.installed.configuration == nil || m.fetch.newest > m.revision() {
		return
	}
	waitedForPeers := m.seedsKnown && len(m.seeds) == 0 || m.now.Sub(m.started) >= startGrace
	m.ready = m.joined || (m.isFresh() && waitedForPeers)
}

// publish creates a new snapshot. Its member list is at most one tick old once
// the daemon is ready.
func (m *Model) publish() {
	s := &Snapshot{
		Self: m.self.Member, Configuration: m.installed.configuration,
		ready: m.ready, replaced: m.replaced,
		isAlone: m.isAlone(), hasMajority: m.hasMajority(),
		provenAt: m.provenAt, lastContact: m.lastContact, behindSince: m.fetch.behindSince,
		rootValue: m.installed.rootValue, values: m.installed.values, changeLog: m.installed.changeLog,
	}
	if m.snapshot == nil || m.members.dirty && (m.inTick || !m.snapshot.ready) {
		s.records = m.members.records()
		s.Members = activeMembers(s.records)
		m.members.dirty = false
	} else {
		s.records, s.Members = m.snapshot.records, m.snapshot.Members
	}
	m.snapshot = s
}

// activeMembers returns the members that are not gone.
func activeMembers(records []Record) (members []banyanplank.Member) {
	for _, r := range records {
		if r.Member.State != banyanplank.MemberGone {
			members = append(members, r.Member)
		}
	}
	return members
}
