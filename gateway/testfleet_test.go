package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/transport/logger"
)

// testStore is the platform's store of a [testFleet].
type testStore struct {
	mutex    sync.Mutex
	revision banyanplank.Version
	changes  []testChange
	changed  chan struct{}
	// silent lists the entries whose calls are not answered.
	silent map[banyanplank.DaemonID]bool
	// calls counts the calls of each entry for the topics that it follows.
	calls map[banyanplank.DaemonID]int
}

// testChange is one change in a [testStore].
type testChange struct {
	topic    banyanplank.Topic
	revision banyanplank.Version
	entry    banyanplank.DiscoveryItem
}

// put writes an entry of a topic. A nil value removes the entry.
func (s *testStore) put(topic banyanplank.Topic, key string, value any) (revision banyanplank.Version) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.changes = append(s.changes, testChange{topic, s.revision, banyanplank.DiscoveryItem{Key: key, Value: value}})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// setSilent sets the entries whose calls are not answered from now on. Calls that wait
// for changes are not answered either.
func (s *testStore) setSilent(ids ...banyanplank.DaemonID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = make(map[banyanplank.DaemonID]bool)
	for _, id := range ids {
		s.silent[id] = true
	}
}

// countCall counts a call of an entry. Calls for the list of entries, which follow each start
// of one, don't count.
func (s *testStore) countCall(id banyanplank.DaemonID, topic banyanplank.Topic) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if topic != banyanplank.TopicMembers {
		s.calls[id]++
	}
}

// callCount returns the number of calls of an entry so far for the topics that it follows.
func (s *testStore) callCount(id banyanplank.DaemonID) (calls int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[id]
}

// changesSince returns the changes of a topic after a revision, or silent if the entry
// gets no answer now.
func (s *testStore) changesSince(id banyanplank.DaemonID, topic banyanplank.Topic, after banyanplank.Version) (entries []banyanplank.DiscoveryItem, revision banyanplank.Version, changed chan struct{}, silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.changes {
		if c.topic == topic && c.revision > after {
			entries = append(entries, c.entry)
		}
	}
	return entries, s.revision, s.changed, s.silent[id]
}

// testStoreTimeout is how long an entry waits for an answer that is due.
const testStoreTimeout = 700 * time.Millisecond

// testStoreClient is the client of one entry. It implements banyanplank.Discovery.
type testStoreClient struct {
	store *testStore
	id    banyanplank.DaemonID
}

// call waits for changes, and for the end of its time limit if the entry gets no answer.
func (c *testStoreClient) call(ctx context.Context, topic banyanplank.Topic, after banyanplank.Position, wait time.Duration) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	c.store.countCall(c.id, topic)
	ctx, cancel := context.WithTimeout(ctx, wait+testStoreTimeout)
	defer cancel()
	elapsed := time.After(wait)
	for {
		entries, revision, changed, silent := c.store.changesSince(c.id, topic, after.Revision)
		if silent {
			<-ctx.Done()
			return nil, position, ctx.Err()
		}
		if len(entries) > 0 || wait == 0 {
			return entries, banyanplank.Position{Revision: revision}, nil
		}
		select {
		case <-changed:
		case <-elapsed:
			wait = 0
		case <-ctx.Done():
			return nil, position, ctx.Err()
		}
	}
}

func (c *testStoreClient) List(ctx context.Context, topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	return c.call(ctx, topic, banyanplank.Position{}, 0)
}

func (c *testStoreClient) Changes(ctx context.Context, topic banyanplank.Topic, after banyanplank.Position, wait time.Duration) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	return c.call(ctx, topic, after, wait)
}

func (c *testStoreClient) Peek(ctx context.Context, topic banyanplank.Topic, after banyanplank.Position) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	return c.call(ctx, topic, after, 0)
}

func (c *testStoreClient) Register(_ context.Context, member banyanplank.Member) (position banyanplank.Position, err error) {
	return banyanplank.Position{Revision: c.store.put(banyanplank.TopicMembers, string(member.ID), member)}, nil
}

func (c *testStoreClient) Remove(_ context.Context, id banyanplank.DaemonID) (err error) {
	c.store.put(banyanplank.TopicMembers, string(id), nil)
	return nil
}

// testFleet is several entries in one process, with the daemons' own control loops,
// followers and heartbeats, but without sockets.
type testFleet struct {
	store   *testStore
	daemons []*Daemon
	logs    *logBuffer
	mutex   sync.Mutex
	// cut reports whether heartbeats from one entry to another are lost.
	cut func(from, to banyanplank.DaemonID) bool
}

// newTestFleet returns a fleet with the given number of entries in each availability zone,
// named after their zone: a-1, a-2, b-1 and so on. All know the first routing table.
func newTestFleet(entries map[banyanplank.Zone]int) (f *testFleet) {
	f = &testFleet{
		store: &testStore{revision: 1, changed: make(chan struct{}), calls: make(map[banyanplank.DaemonID]int)},
		logs:  &logBuffer{},
		cut:   func(banyanplank.DaemonID, banyanplank.DaemonID) bool { return false },
	}
	f.store.put(banyanplank.TopicRouting, "main", &banyanplank.RoutingTable{Version: 1})
	for zone, n := range entries {
		for i := range n {
			id := banyanplank.DaemonID(fmt.Sprintf("%s-%d", zone, i+1))
			peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, zone[0], byte(i + 1)}), 7340)
			settings := Settings{Name: id, Zone: zone, Listen: Listen{Peer: peer, Caller: peer}, Limits: Limits{Memory: 1 << 28}}
			d := New(settings, &testStoreClient{f.store, id}, &memoryFindings{}, testCodec{}, nil, logger.New(f.logs))
			d.relay.client = &http.Client{Transport: testRelay{f}}
			f.daemons = append(f.daemons, d)
		}
	}
	return f
}

// except returns the IDs of all entries but one.
func (f *testFleet) except(id banyanplank.DaemonID) (others []banyanplank.DaemonID) {
	for _, d := range f.daemons {
		if d.self.ID != id {
			others = append(others, d.self.ID)
		}
	}
	return others
}

// daemon returns the entry with an ID.
func (f *testFleet) daemon(id banyanplank.DaemonID) (d *Daemon) {
	for _, d := range f.daemons {
		if d.self.ID == id {
			return d
		}
	}
	panic("no entry " + id)
}

// version returns the version of the routing table in force at an entry.
func (f *testFleet) version(id banyanplank.DaemonID) (version uint64) {
	return f.daemon(id).snapshot.Load().Router.Table().Version
}

// setCut sets which heartbeats are lost from now on.
func (f *testFleet) setCut(cut func(from, to banyanplank.DaemonID) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut = cut
}

// run runs all entries while play runs.
func (f *testFleet) run(t *testing.T, play func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	for _, d := range f.daemons {
		group.Go(func() { _ = d.loop.Run(ctx) })
		group.Go(func() { d.follower.Poll(ctx, banyanplank.TopicMembers, memberPollInterval) })
		for _, topic := range []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicBackends, banyanplank.TopicZonesOut} {
			group.Go(func() { d.follower.Follow(ctx, topic) })
		}
		group.Go(func() { f.sendHeartbeats(ctx, d) })
	}
	play()
	cancel()
	group.Wait()
}

// sendHeartbeats delivers the heartbeats of an entry until ctx ends.
func (f *testFleet) sendHeartbeats(ctx context.Context, d *Daemon) {
	for banyanplank.Sleep(ctx, beater.DefaultInterval) == nil {
		local, remote, localPeers, remotePeers := d.composeHeartbeats()
		f.deliver(local, localPeers)
		f.deliver(remote, remotePeers)
	}
}

// deliver passes a heartbeat to its receivers.
func (f *testFleet) deliver(beat *beater.Heartbeat, receivers []netip.AddrPort) {
	f.mutex.Lock()
	cut := f.cut
	f.mutex.Unlock()
	for _, address := range receivers {
		for _, d := range f.daemons {
			if d.self.PeerAddress == address && !cut(beat.From, d.self.ID) {
				d.handleHeartbeat(beat)
			}
		}
	}
}

// testRelay carries the requests of entries to their peers.
type testRelay struct{ fleet *testFleet }

// RoundTrip implements http.RoundTripper.
func (r testRelay) RoundTrip(request *http.Request) (response *http.Response, err error) {
	for _, d := range r.fleet.daemons {
		if d.self.PeerAddress.String() == request.URL.Host {
			recorder := httptest.NewRecorder()
			d.relay.handler().ServeHTTP(recorder, request)
			return recorder.Result(), nil
		}
	}
	return nil, fmt.Errorf("no entry at %s", request.URL.Host)
}
