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
	// logLimit bounds the revisions whose changes are remembered.
	logLimit = 16
	// namesLimit bounds the shards that one request names.
	namesLimit = 64
	// fetchInterval is the time between two attempts.
	fetchInterval = TickInterval
	// sourceLimit bounds the peers that are remembered as sources, and
	// parallelFetches the peers that are asked again at once.
	sourceLimit     = 4
	parallelFetches = 2
)

// fetch is the way from the revision in force to a newer one.
type fetch struct {
	// heard is the newest revision that anyone spoke of, and since is when it
	// was first known to be ahead. Since is zero when nothing is ahead.
	heard banyanplank.Revision
	since time.Time
	// sources are peers that spoke of a newer revision, the latest last.
	sources []netip.AddrPort
	// due is when the next calls go out, and attempts counts them.
	due      time.Time
	attempts int
	// root and values are what has arrived of the next revision.
	root      sharder.Root
	rootValue []byte
	values    map[sharder.Name][]byte
	// proven is a revision that was accepted at proof.
	proven banyanplank.Revision
	proof  time.Time
}

// heardRevision notes a peer's revision and fetches it if it is newer.
func (m *Model) heardRevision(revision banyanplank.Revision, source netip.AddrPort) (commands []banyanplank.Command) {
	if revision <= m.revision() {
		return nil
	}
	m.noteAhead(revision)
	m.fetch.sources = slices.DeleteFunc(m.fetch.sources, func(a netip.AddrPort) bool { return a == source })
	m.fetch.sources = append(m.fetch.sources, source)
	m.fetch.sources = m.fetch.sources[max(0, len(m.fetch.sources)-sourceLimit):]
	return m.refetch()
}

// noteAhead notes that a revision exists that is not in force here.
func (m *Model) noteAhead(revision banyanplank.Revision) {
	m.fetch.heard = max(m.fetch.heard, revision)
	if m.fetch.since.IsZero() {
		m.fetch.since = m.now
	}
}

// refetch asks for what is missing if that is due: one peer first, two at once
// when it did not answer.
func (m *Model) refetch() (commands []banyanplank.Command) {
	if m.fetch.heard <= m.revision() || len(m.fetch.sources) == 0 || m.now.Before(m.fetch.due) {
		return nil
	}
	m.fetch.due = m.now.Add(fetchInterval)
	m.fetch.attempts++
	first := max(0, len(m.fetch.sources)-min(m.fetch.attempts, parallelFetches))
	for _, source := range m.fetch.sources[first:] {
		commands = append(commands, FetchCmd{From: source, Request: m.request()})
	}
	return commands
}

// request returns what to ask a peer for.
func (m *Model) request() (request FetchRequest) {
	request.Have = m.revision()
	if m.fetch.root.Revision > m.revision() {
		names := sharder.Missing(m.fetch.root, m.fetch.values)
		request.Names = names[:min(len(names), namesLimit)]
	}
	return request
}

// fetched takes in what a peer sent.
func (m *Model) fetched(msg FetchedMsg) (commands []banyanplank.Command) {
	if msg.Command.Request.Members {
		m.joining = false
		m.joined = m.joined || msg.Err == nil
		m.join(msg.Reply.Members)
	}
	if msg.Err != nil {
		return nil
	}
	had := len(m.fetch.values)
	commands = m.arrived(msg.Reply.Root, msg.Reply.Shards)
	if len(m.fetch.values) > had {
		commands = append(commands, FetchCmd{From: msg.Command.From, Request: m.request()})
	}
	return commands
}

// join takes in all members that a peer knows. They are no news to others.
func (m *Model) join(records []Record) {
	for _, record := range records {
		if record.Member.ID == m.self.Member.ID {
			m.learn(record)
			continue
		}
		m.table.put(record, m.now)
	}
	if !m.reach.proved {
		m.sampleAll()
	}
}

// arrived takes in parts of a newer revision and puts it in force when it is
// whole.
func (m *Model) arrived(rootValue []byte, shards []sharder.Shard) (commands []banyanplank.Command) {
	if len(rootValue) > 0 {
		m.takeRoot(rootValue)
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

// takeRoot notes a newer root and keeps the shards that it shares.
func (m *Model) takeRoot(value []byte) {
	root, err := sharder.DecodeRoot(value)
	if err != nil || root.Revision <= max(m.revision(), m.fetch.root.Revision) {
		return
	}
	m.noteAhead(root.Revision)
	values := make(map[sharder.Name][]byte, root.Shards)
	maps.Copy(values, m.fetch.values)
	maps.Copy(values, m.held.values)
	m.fetch.root, m.fetch.rootValue, m.fetch.values = root, value, values
}

// install puts the fetched revision in force and tells the neighbors.
func (m *Model) install() (commands []banyanplank.Command) {
	root, values := m.fetch.root, m.fetch.values
	keepOnly(values, root.Names(values))
	configuration, err := m.held.joiner.Join(root, values)
	if err != nil {
		m.fetch.root, m.fetch.values = sharder.Root{}, nil
		return nil
	}
	m.remember(root, values)
	m.held.root, m.held.rootValue, m.held.values = root, m.fetch.rootValue, values
	m.held.configuration = configuration
	m.settle()
	m.hot = hotTicks
	return m.exchanges()
}

// settle clears what was pending for the revision now in force.
func (m *Model) settle() {
	f := fetch{}
	if m.fetch.heard > m.revision() {
		f.heard, f.since, f.sources = m.fetch.heard, m.now, m.fetch.sources
	}
	proven, proof := m.fetch.proven, m.fetch.proof
	m.fetch = f
	if proven > 0 {
		m.prove(proven, proof)
	}
}

// remember logs which shards the root brings.
func (m *Model) remember(root sharder.Root, values map[sharder.Name][]byte) {
	if m.held.root.Revision > 0 && root.Revision != m.held.root.Revision+1 {
		m.held.log = nil
	}
	c := change{revision: root.Revision}
	for name := range values {
		if _, ok := m.held.values[name]; !ok {
			c.names = append(c.names, name)
		}
	}
	log := append(append([]change(nil), m.held.log...), c)
	m.held.log = log[max(0, len(log)-logLimit):]
}

// keepOnly removes all values but the named ones.
func keepOnly(values map[sharder.Name][]byte, names []sharder.Name) {
	maps.DeleteFunc(values, func(name sharder.Name, _ []byte) bool {
		_, named := slices.BinarySearch(names, name)
		return !named
	})
}
