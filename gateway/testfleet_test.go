package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/transport/logger"
)

// testFleet is several entries in one process, with the daemons' own control loops,
// followers and heartbeats, but without sockets.
type testFleet struct {
	store   *testStore
	daemons []*Daemon
	logs    *logBuffer
	mutex   sync.Mutex
	// cut reports whether heartbeats from one entry to another are lost.
	cut func(from, to banyanplank.DaemonID) bool
	// delay is how long heartbeats take.
	delay time.Duration
	// alter returns a heartbeat as its receiver gets it.
	alter func(to banyanplank.DaemonID, beat *beater.Heartbeat) *beater.Heartbeat
}

// newTestFleet returns a fleet with the given number of entries in each availability zone,
// named after their zone: a-1, a-2, b-1 and so on. All know the first routing table.
func newTestFleet(entries map[banyanplank.Zone]int) (f *testFleet) {
	f = &testFleet{
		store: newTestStore(),
		logs:  &logBuffer{},
		cut:   func(banyanplank.DaemonID, banyanplank.DaemonID) bool { return false },
		alter: func(_ banyanplank.DaemonID, beat *beater.Heartbeat) *beater.Heartbeat { return beat },
	}
	f.store.put(banyanplank.TopicRouting, "main", &banyanplank.RoutingTable{Version: 1})
	for _, zone := range slices.Sorted(maps.Keys(entries)) {
		for i := range entries[zone] {
			id := banyanplank.DaemonID(fmt.Sprintf("%s-%d", zone, i+1))
			peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, zone[0], byte(i + 1)}), 7340)
			settings := Settings{Name: id, Zone: zone, Listen: Listen{Peer: peer, Caller: peer}, Limits: Limits{Memory: 1 << 28}}
			client := &testStoreClient{store: f.store, id: id}
			d := New(settings, client, &memoryFindings{}, testCodec{}, nil, logger.New(f.logs))
			client.onEra = d.RecordEra
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

// setDelay sets how long heartbeats take from now on.
func (f *testFleet) setDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}

// run runs all entries while play runs.
func (f *testFleet) run(t *testing.T, play func()) {
	// The race detector of Go 1.26 crashes when two goroutines of a bubble poll timers in parallel:
	// these share one context of the detector.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
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
	var late conc.WaitGroup
	defer late.Wait()
	for banyanplank.Sleep(ctx, beater.DefaultInterval) == nil {
		local, remote, localPeers, remotePeers := d.composeHeartbeats()
		deliver := func() {
			f.deliver(local, localPeers)
			f.deliver(remote, remotePeers)
		}
		f.mutex.Lock()
		delay := f.delay
		f.mutex.Unlock()
		if delay == 0 {
			deliver()
			continue
		}
		late.Go(func() {
			if banyanplank.Sleep(ctx, delay) == nil {
				deliver()
			}
		})
	}
}

// deliver passes a heartbeat to its receivers.
func (f *testFleet) deliver(beat *beater.Heartbeat, receivers []netip.AddrPort) {
	f.mutex.Lock()
	cut, alter := f.cut, f.alter
	f.mutex.Unlock()
	for _, address := range receivers {
		for _, d := range f.daemons {
			if d.self.PeerAddress == address && !cut(beat.From, d.self.ID) {
				d.handleHeartbeat(alter(d.self.ID, beat))
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

// setAlter sets how heartbeats arrive from now on.
func (f *testFleet) setAlter(alter func(to banyanplank.DaemonID, beat *beater.Heartbeat) *beater.Heartbeat) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.alter = alter
}
