package spreader

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

const (
	// changeLogLimit bounds the revisions in the change log.
	changeLogLimit = 16
	// requestNamesLimit bounds the shard names in one request.
	requestNamesLimit = 64
	// fetchInterval is the time between two attempts.
	fetchInterval = TickInterval
	// sourceLimit bounds the peers kept as sources, and parallelFetches the
	// peers queried in parallel on a retry.
	sourceLimit     = 4
	parallelFetches = 2
)

// fetchState tracks the transition from the installed revision to a newer one.
type fetchState struct {
	// newest is the newest revision known from anyone, and behindSince is when a
	// revision newer than the installed one became known. behindSince is zero
	// when there is none.
	newest      banyanplank.Revision
	behindSince time.Time
	// sources are peers that reported a newer revision, the latest last.
	sources []netip.AddrPort
	// nextFetch is when the next requests are due, and attempts counts the
	// rounds of requests.
	nextFetch time.Time
	attempts  int
	// root and values are the received parts of the next revision.
	root      sharder.Root
	rootValue []byte
	values    map[sharder.Name][]byte
	// provenRevision is a revision, not yet installed, that was the accepted one
	// at provenAt.
	provenRevision banyanplank.Revision
	provenAt       time.Time
}

// noteRevision records a peer's revision and fetches it if it is newer.
func (m *Model) noteRevision(revision banyanplank.Revision, source netip.AddrPort) (commands []banyanplank.Command) {
	if revision <= m.revision() {
		return nil
	}
	m.noteNewerRevision(revision)
	m.fetch.sources = slices.DeleteFunc(m.fetch.sources, func(a netip.AddrPort) bool { return a == source })
	m.fetch.sources = append(m.fetch.sources, source)
	m.fetch.sources = m.fetch.sources[max(0, len(m.fetch.sources)-sourceLimit):]
	return m.startFetches()
}

// noteNewerRevision records that a revision exists that is not installed here.
func (m *Model) noteNewerRevision(revision banyanplank.Revision) {
	m.fetch.newest = max(m.fetch.newest, revision)
	if m.fetch.behindSince.IsZero() {
		m.fetch.behindSince = m.now
	}
}

// startFetches requests missing parts if a request is due: from one peer first,
// and from two in parallel if the first request did not complete the revision.
func (m *Model) startFetches() (commands []banyanplank.Command) {
	if m.fetch.newest <= m.revision() || len(m.fetch.sources) == 0 || m.now.Before(m.fetch.nextFetch) {
		return nil
	}
	m.fetch.nextFetch = m.now.Add(fetchInterval)
	m.fetch.attempts++
	first := max(0, len(m.fetch.sources)-min(m.fetch.attempts, parallelFetches))
	for _, source := range m.fetch.sources[first:] {
		commands = append(commands, FetchCmd{From: source, Request: m.fetchRequest()})
	}
	return commands
}

// fetchRequest returns the next request to send to a peer.
func (m *Model) fetchRequest() (request FetchRequest) {
	request.Have = m.revision()
	if m.fetch.root.Revision > m.revision() {
		names := sharder.Missing(m.fetch.root, m.fetch.values)
		request.Names = names[:min(len(names), requestNamesLimit)]
	}
	return request
}

// handleFetched handles a peer's reply.
func (m *Model) handleFetched(msg FetchedMsg) (commands []banyanplank.Command) {
	if msg.Command.Request.Members {
		m.joinInFlight = false
		m.joined = m.joined || msg.Err == nil
		m.addMembers(msg.Reply.Members)
	}
	if msg.Err != nil {
		return nil
	}
	had := len(m.fetch.values)
	commands = m.addParts(msg.Reply.Root, msg.Reply.Shards)
	if len(m.fetch.values) > had {
		commands = append(commands, FetchCmd{From: msg.Command.From, Request: m.fetchRequest()})
	}
	return commands
}

// addMembers adds the full member list of a peer. The records are not queued as
// updates, since the other members have them already.
func (m *Model) addMembers(records []Record) {
	for _, record := range records {
		if record.Member.ID == m.self.Member.ID {
			m.mergeRecord(record)
			continue
		}
		m.members.put(record, m.now)
	}
	if !m.reachability.sampledAtProof {
		m.sampleAllMembers()
	}
}

// addParts adds parts of a newer revision and installs it when it is complete.
func (m *Model) addParts(rootValue []byte, shards []sharder.Shard) (commands []banyanplank.Command) {
	if len(rootValue) > 0 {
		m.setNextRoot(rootValue)
	}
	if m.fetch.root.Revision <= m.revision() {
		return nil
	}
	for _, s := range shards {
		if sharder.Verify(s) == nil {
			m.fetch.values[s.Name] = s.Value
		}
	}
	if len(sharder.Missing(m.fetch.root, m.fetch.values)) > 0 {
		return nil
	}
	return m.install()
}

// setNextRoot stores a newer root and keeps the shards that are already present.
func (m *Model) setNextRoot(value []byte) {
	root, err := sharder.DecodeRoot(value)
	if err != nil || root.Revision <= max(m.revision(), m.fetch.root.Revision) {
		return
	}
	m.noteNewerRevision(root.Revision)
	values := make(map[sharder.Name][]byte, root.Shards)
	maps.Copy(values, m.fetch.values)
	maps.Copy(values, m.installed.values)
	m.fetch.root, m.fetch.rootValue, m.fetch.values = root, value, values
}

// install puts the fetched revision into effect and sends it to the neighbors.
func (m *Model) install() (commands []banyanplank.Command) {
	root, values := m.fetch.root, m.fetch.values
	retainNamed(values, root.Names(values))
	configuration, err := m.installed.joiner.Join(root, values)
	if err != nil {
		m.fetch.root, m.fetch.values = sharder.Root{}, nil
		return nil
	}
	m.logChange(root, values)
	m.installed.root, m.installed.rootValue, m.installed.values = root, m.fetch.rootValue, values
	m.installed.configuration = configuration
	m.resetFetch()
	m.revisionBroadcasts = revisionBroadcastTicks
	return m.startExchanges()
}

// resetFetch clears the fetch state after an installation. It keeps a still
// newer revision and a proof of the one now installed.
func (m *Model) resetFetch() {
	f := fetchState{}
	if m.fetch.newest > m.revision() {
		f.newest, f.behindSince, f.sources = m.fetch.newest, m.now, m.fetch.sources
	}
	proven, proof := m.fetch.provenRevision, m.fetch.provenAt
	m.fetch = f
	if proven > 0 {
		m.recordProof(proven, proof)
	}
}

// logChange appends the shards that the root introduces to the change log. It
// clears the log when revisions were skipped.
func (m *Model) logChange(root sharder.Root, values map[sharder.Name][]byte) {
	if m.installed.root.Revision > 0 && root.Revision != m.installed.root.Revision+1 {
		m.installed.changeLog = nil
	}
	c := revisionChange{revision: root.Revision}
	for name := range values {
		if _, ok := m.installed.values[name]; !ok {
			c.names = append(c.names, name)
		}
	}
	log := append(append([]revisionChange(nil), m.installed.changeLog...), c)
	m.installed.changeLog = log[max(0, len(log)-changeLogLimit):]
}

// retainNamed removes all values except the named ones. Names must be sorted.
func retainNamed(values map[sharder.Name][]byte, names []sharder.Name) {
	maps.DeleteFunc(values, func(name sharder.Name, _ []byte) bool {
		_, named := slices.BinarySearch(names, name)
		return !named
	})
}
