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
	// watchRing is the ring whose order selects the watchers.
	watchRing = 1
	// proofInterval is the time between two reads that prove the installed
	// revision.
	proofInterval = 2 * time.Second
	// minRetryBackoff and maxRetryBackoff bound the backoff after a failed call.
	minRetryBackoff = time.Second
	maxRetryBackoff = 2 * time.Second
	// listIntervalTicks is the number of ticks between two reads of the instance
	// list.
	listIntervalTicks = 10
)

// storeState tracks the calls to the object API.
type storeState struct {
	version  banyanplank.Version
	watching bool
	reading  bool
	listing  bool
	loading  bool
	// answeredAt is the send time of the latest call that the API answered.
	answeredAt time.Time
	// nextRead is when the next read is due. backoff grows with consecutive
	// failures.
	nextRead time.Time
	backoff  time.Duration
}

// watchRank counts the live members of the daemon's availability zone that
// precede it on watchRing. The members with the lowest ranks watch on behalf of
// all others. Daemons that agree on the members agree on the ranks.
func (m *Model) watchRank() (rank int) {
	own := m.members.rows[m.self.Member.ID].positions[watchRing]
	for _, r := range m.members.rows {
		member := &r.record.Member
		if member.State == banyanplank.MemberLive && r.positions[watchRing] < own && member.Zone == m.self.Member.Zone {
			rank++
		}
	}
	return rank
}

// storeCommands returns the calls to the object API that are due. Watchers wait
// for changes and prove the revision. Other members read only while they start
// or when no peer answers.
func (m *Model) storeCommands() (commands []banyanplank.Command) {
	rank := m.watchRank()
	watcher := rank < watchersPerZone
	withoutPeers := !m.ready || m.now.Sub(m.lastContact) > MaxContactAge
	if (watcher || withoutPeers) && !m.store.reading && !m.now.Before(m.store.nextRead) {
		m.store.reading = true
		commands = append(commands, ReadRootCmd{})
	}
	if watcher && !m.store.watching && m.store.backoff == 0 && m.store.version > 0 {
		m.store.watching = true
		commands = append(commands, WatchRootCmd{After: m.store.version})
	}
	if rank == 0 && !m.store.listing && m.ticks%listIntervalTicks == 0 {
		m.store.listing = true
		commands = append(commands, ListInstancesCmd{})
	}
	return commands
}

// handleRoot handles the result of a read or watch of the root object.
func (m *Model) handleRoot(msg RootMsg) (commands []banyanplank.Command) {
	if msg.FromWatch {
		m.store.watching = false
	} else {
		m.store.reading = false
	}
	if msg.Err != nil {
		m.backOffStore()
		return nil
	}
	m.store.answeredAt = laterOf(m.store.answeredAt, msg.Sent)
	m.store.backoff = 0
	if !msg.FromWatch {
		m.store.nextRead = m.now.Add(proofInterval)
	}
	if len(msg.Value) == 0 {
		return nil
	}
	m.store.version = max(m.store.version, msg.Version)
	root, err := sharder.DecodeRoot(msg.Value)
	if err != nil || root.Revision < m.revision() {
		return nil
	}
	m.recordProof(root.Revision, msg.Sent)
	return m.loadRoot(msg.Value)
}

// backOffStore schedules the next read with exponential backoff and jitter.
func (m *Model) backOffStore() {
	m.store.backoff = min(max(minRetryBackoff, 2*m.store.backoff), maxRetryBackoff)
	m.store.nextRead = m.now.Add(m.store.backoff/2 + time.Duration(m.random.Int64N(int64(m.store.backoff))))
}

// loadRoot loads the shards that a newer root needs.
func (m *Model) loadRoot(rootValue []byte) (commands []banyanplank.Command) {
	commands = m.addParts(rootValue, nil)
	return append(commands, m.loadMissingShards()...)
}

// loadMissingShards reads the shards that the newer root lacks from the object
// API.
func (m *Model) loadMissingShards() (commands []banyanplank.Command) {
	if m.fetch.root.Revision <= m.revision() || m.store.loading {
		return nil
	}
	m.store.loading = true
	return []banyanplank.Command{ReadShardsCmd{Names: sharder.Missing(m.fetch.root, m.fetch.values)}}
}

// handleShards handles shards read from the object API.
func (m *Model) handleShards(msg ShardsMsg) (commands []banyanplank.Command) {
	m.store.loading = false
	commands = m.addParts(nil, msg.Shards)
	if msg.Err != nil {
		m.backOffStore()
		return commands
	}
	// An index shard may name further shards.
	return append(commands, m.loadMissingShards()...)
}
