package spreader

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// TickInterval is the time between two [banyanplank.TickMsg] that a [Model]
// expects.
const TickInterval = time.Second

// Model is the control state of one daemon: its members, its revision and how
// sure it is of it. It implements [banyanplank.Model].
type Model struct {
	self    Record
	random  *rand.Rand
	table   *table
	seeds   []netip.AddrPort
	started time.Time
	now     time.Time
	ticks   int
	// ticked tells that the message in hand is a tick.
	ticked bool
	// joined tells that a peer has told all members.
	joined bool
	// seeded tells that the addresses of peers have been looked up.
	seeded   bool
	joining  bool
	ready    bool
	replaced bool

	held  held
	fetch fetch
	store storeState

	// contact is when a peer last answered: the time of the question.
	contact time.Time
	// proof is when the revision was last known to be the accepted one.
	proof time.Time
	reach reach
	// hot counts the ticks in which all neighbors hear of a new revision.
	hot int
	// urgent counts the ticks in which all neighbors hear the news of members.
	urgent   int
	snapshot *Snapshot
}

// held is the configuration in force.
type held struct {
	root          sharder.Root
	rootValue     []byte
	values        map[sharder.Name][]byte
	joiner        sharder.Joiner
	configuration *banyanplank.Configuration
	log           []change
}

// ModelOption configures a [Model].
type ModelOption func(*Model)

// WithSeeds gives addresses at which peers may be found at the start. Use it so
// that a daemon can start while the object API is down. The default is none.
func WithSeeds(addresses []netip.AddrPort) ModelOption {
	return func(m *Model) { m.seeds = append(m.seeds, addresses...) }
}

// NewModel returns the state of a daemon that starts now and knows nothing.
// Random spreads the daemon's calls; it belongs to the model from then on.
func NewModel(now time.Time, member banyanplank.Member, random *rand.Rand, options ...ModelOption) (m *Model) {
	self := Record{Member: member}
	m = &Model{self: self, random: random, started: now, now: now, table: newTable(self, now)}
	for _, option := range options {
		option(m)
	}
	m.publish()
	return m
}

// Update implements [banyanplank.Model].
func (m *Model) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	m.now = now
	_, m.ticked = msg.(banyanplank.TickMsg)
	switch msg := msg.(type) {
	case banyanplank.TickMsg:
		commands = m.tick()
	case DigestMsg:
		commands = m.answer(msg)
	case ReplyMsg:
		commands = m.replied(msg)
	case FetchedMsg:
		commands = m.fetched(msg)
	case RootMsg:
		commands = m.rootRead(msg)
	case ShardsMsg:
		commands = m.shardsRead(msg)
	case InstancesMsg:
		m.listed(msg)
	case SeedsMsg:
		m.seeded = true
		m.addSeeds(msg.Addresses)
	case LeaveMsg:
		m.leave()
	}
	if m.urgent == urgentTicks {
		commands = append(commands, m.exchanges()...)
	}
	m.refresh()
	return m, commands
}

// Snapshot returns the view of the state after the last update.
func (m *Model) Snapshot() (s *Snapshot) { return m.snapshot }

// revision returns the revision in force.
func (m *Model) revision() (revision banyanplank.Revision) { return m.held.root.Revision }

// tick does what time asks for.
func (m *Model) tick() (commands []banyanplank.Command) {
	m.ticks++
	if m.replaced {
		return nil
	}
	m.expire()
	if len(m.reach.sample) == 0 {
		m.resample()
	}
	m.reach.measure(m.now)
	m.noteDoubt()
	commands = append(commands, m.exchanges()...)
	commands = append(commands, m.bootstrap()...)
	commands = append(commands, m.refetch()...)
	return append(commands, m.storeCommands()...)
}

// leave changes the daemon's own state, which is urgent news.
func (m *Model) leave() {
	m.amend(banyanplank.MemberLeaving)
}

// amend changes what the daemon says of itself.
func (m *Model) amend(state banyanplank.MemberState) {
	m.self.Beat++
	m.self.Member.State = state
	m.put(m.self)
}

// refresh derives what depends on several parts of the state, and publishes.
func (m *Model) refresh() {
	m.reach.members = max(m.reach.members, m.table.up)
	m.latchReady()
	m.publish()
}

// isFresh reports whether the newest proof is recent.
func (m *Model) isFresh() (fresh bool) {
	return !m.proof.IsZero() && m.now.Sub(m.proof) <= FreshFor
}

// startGrace is how long a starting daemon waits for peers while the object
// API answers.
const startGrace = 5 * time.Second

// latchReady decides once whether the daemon has caught up: with a peer that
// told all members, or with the object API alone when no peer answers.
func (m *Model) latchReady() {
	if m.ready || m.held.configuration == nil || m.fetch.heard > m.revision() {
		return
	}
	patient := m.seeded && len(m.seeds) == 0 || m.now.Sub(m.started) >= startGrace
	m.ready = m.joined || (m.isFresh() && patient)
}

// publish makes a new snapshot. The members in it are at most one tick old once
// the daemon is ready.
func (m *Model) publish() {
	s := &Snapshot{
		Self: m.self.Member, Configuration: m.held.configuration,
		started: m.ready, replaced: m.replaced,
		alone: m.isAlone(), majority: m.hasMajority(),
		proof: m.proof, contact: m.contact, behind: m.fetch.since,
		rootValue: m.held.rootValue, values: m.held.values, log: m.held.log,
	}
	if m.snapshot == nil || m.table.dirty && (m.ticked || !m.snapshot.started) {
		s.records = m.table.records()
		s.Members = membersOf(s.records)
		m.table.dirty = false
	} else {
		s.records, s.Members = m.snapshot.records, m.snapshot.Members
	}
	m.snapshot = s
}

// membersOf returns the members that are not gone.
func membersOf(records []Record) (members []banyanplank.Member) {
	for _, r := range records {
		if r.Member.State != banyanplank.MemberGone {
			members = append(members, r.Member)
		}
	}
	return members
}
