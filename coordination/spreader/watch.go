package spreader

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

const (
	// watchersPerZone is the number of members of an availability zone that
	// watch the object API.
	watchersPerZone = 3
	// watchRing is the ring whose order chooses the watchers.
	watchRing = 1
	// proofInterval is the time between two reads that prove the revision.
	proofInterval = 2 * time.Second
	// retryFirst and retryLast bound the pause after a failed call.
	retryFirst = time.Second
	retryLast  = 2 * time.Second
	// listTicks is the number of ticks between two reads of the instance list.
	listTicks = 10
)

// storeState is what the daemon knows of the object API.
type storeState struct {
	version  banyanplank.Version
	watching bool
	reading  bool
	listing  bool
	loading  bool
	// answered is when the API last answered: the time of the question.
	answered time.Time
	// readAt is when the next read is due, and pause grows with failures.
	readAt time.Time
	pause  time.Duration
}

// rank counts the live members of the daemon's availability zone that come
// before it in the order of their hashes. Those of the lowest ranks watch for
// all others. All daemons that agree on the members agree on the ranks.
func (m *Model) rank() (rank int) {
	own := m.table.rows[m.self.Member.ID].places[watchRing]
	for _, r := range m.table.rows {
		member := &r.record.Member
		if member.State == banyanplank.MemberLive && r.places[watchRing] < own && member.Zone == m.self.Member.Zone {
			rank++
		}
	}
	return rank
}

// storeCommands returns the calls to the object API that are due. Watchers wait
// for changes and prove the revision. Others ask only when they start or when
// no peer answers.
func (m *Model) storeCommands() (commands []banyanplank.Command) {
	rank := m.rank()
	watcher := rank < watchersPerZone
	lonely := !m.ready || m.now.Sub(m.contact) > ContactFor
	if (watcher || lonely) && !m.store.reading && !m.now.Before(m.store.readAt) {
		m.store.reading = true
		commands = append(commands, ReadCmd{})
	}
	if watcher && !m.store.watching && m.store.pause == 0 && m.store.version > 0 {
		m.store.watching = true
		commands = append(commands, WatchCmd{After: m.store.version})
	}
	if rank == 0 && !m.store.listing && m.ticks%listTicks == 0 {
		m.store.listing = true
		commands = append(commands, InstancesCmd{})
	}
	return commands
}

// rootRead takes in the root object.
func (m *Model) rootRead(msg RootMsg) (commands []banyanplank.Command) {
	if msg.Watch {
		m.store.watching = false
	} else {
		m.store.reading = false
	}
	if msg.Err != nil {
		m.backOff()
		return nil
	}
	m.store.answered = later(m.store.answered, msg.Sent)
	m.store.pause = 0
	if !msg.Watch {
		m.store.readAt = m.now.Add(proofInterval)
	}
	if len(msg.Value) == 0 {
		return nil
	}
	m.store.version = max(m.store.version, msg.Version)
	root, err := sharder.DecodeRoot(msg.Value)
	if err != nil || root.Revision < m.revision() {
		return nil
	}
	m.prove(root.Revision, msg.Sent)
	return m.load(msg.Value)
}

// backOff waits longer after each failure, with a random part.
func (m *Model) backOff() {
	m.store.pause = min(max(retryFirst, 2*m.store.pause), retryLast)
	m.store.readAt = m.now.Add(m.store.pause/2 + time.Duration(m.random.Int64N(int64(m.store.pause))))
}

// load reads the shards that a newer root needs.
func (m *Model) load(rootValue []byte) (commands []banyanplank.Command) {
	commands = m.arrived(rootValue, nil)
	return append(commands, m.loadMissing()...)
}

// loadMissing reads from the object API what the newer root still lacks.
func (m *Model) loadMissing() (commands []banyanplank.Command) {
	if m.fetch.root.Revision <= m.revision() || m.store.loading {
		return nil
	}
	m.store.loading = true
	return []banyanplank.Command{ShardsCmd{Names: sharder.Missing(m.fetch.root, m.fetch.values)}}
}

// shardsRead takes in shards from the object API.
func (m *Model) shardsRead(msg ShardsMsg) (commands []banyanplank.Command) {
	m.store.loading = false
	commands = m.arrived(nil, msg.Shards)
	if msg.Err != nil {
		m.backOff()
		return commands
	}
	// The index names shards that were not known before.
	return append(commands, m.loadMissing()...)
}
