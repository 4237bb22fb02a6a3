package gateway

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Times at which what a store has lost is written again.
const (
	// rewriteTime is the time that operators and endpoints take at most.
	rewriteTime = 2 * time.Second
	// lapseTime is the time after which the store drops an endpoint that doesn't write.
	lapseTime = 3600 * time.Millisecond
)

// testKey is the key that the first routing table of a [testWorld] has, and no later one.
const testKey = "revoked"

// testWorld is what operators and endpoints last decided. It writes that to a store, and again
// after the store has returned from an older copy.
type testWorld struct {
	store *testStore
	mutex sync.Mutex
	// truth holds the current entries of each topic, and nothing for those removed.
	truth   map[banyanplank.Topic]map[string]any
	version uint64
	births  int
	// returnedAt is when the store last returned from a copy, and backAt when zones were last
	// taken back into service.
	returnedAt time.Time
	backAt     map[string]time.Time
	// timers are those of what is still to be written again.
	timers []*time.Timer
}

// newTestWorld returns a world whose store has a routing table with a key.
func newTestWorld(store *testStore) (w *testWorld) {
	w = &testWorld{store: store, backAt: make(map[string]time.Time), truth: map[banyanplank.Topic]map[string]any{
		banyanplank.TopicRouting: {}, banyanplank.TopicBackends: {}, banyanplank.TopicZonesOut: {},
	}}
	w.configure(testKey)
	return w
}

// set decides on an entry and writes it, unless the store is away. A nil value removes it.
func (w *testWorld) set(topic banyanplank.Topic, key string, value any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if value == nil {
		if topic == banyanplank.TopicZonesOut {
			w.backAt[key] = time.Now()
		}
		delete(w.truth[topic], key)
	} else {
		w.truth[topic][key] = value
	}
	w.store.put(topic, key, value)
}

// get returns the entry of a topic.
func (w *testWorld) get(topic banyanplank.Topic, key string) (value any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.truth[topic][key]
}

// configure writes the next version of the routing table, with the keys of client accounts.
func (w *testWorld) configure(keys ...string) {
	w.mutex.Lock()
	w.version++
	table := &banyanplank.RoutingTable{Version: w.version}
	w.mutex.Unlock()
	for _, key := range keys {
		table.Accounts = append(table.Accounts, banyanplank.AccountSpec{KeyDigest: key})
	}
	w.set(banyanplank.TopicRouting, "main", table)
}

// start starts a process of an endpoint.
func (w *testWorld) start(id banyanplank.BackendID) {
	w.mutex.Lock()
	w.births++
	// Endpoints of other names have other addresses.
	port := uint16(0)
	for _, b := range []byte(id) {
		port = 31*port + uint16(b)
	}
	backend := banyanplank.Backend{ID: id, Service: "s", Zone: "a", Slots: 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, 1}), port), Born: time.Unix(int64(w.births), 0).UTC()}
	w.mutex.Unlock()
	w.set(banyanplank.TopicBackends, string(id), backend)
}

// announceLeaving has an endpoint say that it leaves.
func (w *testWorld) announceLeaving(id banyanplank.BackendID) {
	if backend, ok := w.get(banyanplank.TopicBackends, string(id)).(banyanplank.Backend); ok {
		backend.Leaving = true
		w.set(banyanplank.TopicBackends, string(id), backend)
	}
}

// end ends the process of an endpoint.
func (w *testWorld) end(id banyanplank.BackendID) { w.set(banyanplank.TopicBackends, string(id), nil) }

// setZoneOut takes a zone out of service, or back.
func (w *testWorld) setZoneOut(zone banyanplank.Zone, out bool) {
	if out {
		w.set(banyanplank.TopicZonesOut, string(zone), zone)
	} else {
		w.set(banyanplank.TopicZonesOut, string(zone), nil)
	}
}

// returnFromCopy returns the store from a copy, and has each entry that it lacks, or has otherwise,
// written again after a delay. Endpoints that have ended lapse.
func (w *testWorld) returnFromCopy(copied time.Time, delay func(topic banyanplank.Topic, key string) time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.store.returnFromCopy(copied)
	w.returnedAt = time.Now()
	w.rewriteAll(delay)
}

// returnAsLeft returns the store without a loss, and has what it was not there for written.
func (w *testWorld) returnAsLeft(delay func(topic banyanplank.Topic, key string) time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.store.returnAsLeft()
	w.rewriteAll(delay)
}

// rewriteAll has all entries written again that the store has otherwise. The mutex must be held.
func (w *testWorld) rewriteAll(delay func(topic banyanplank.Topic, key string) time.Duration) {
	for _, topic := range slices.Sorted(maps.Keys(w.truth)) {
		keys := slices.Sorted(maps.Keys(w.truth[topic]))
		for _, item := range w.store.objects(topic) {
			if w.truth[topic][item.Key] == nil {
				keys = append(keys, item.Key)
			}
		}
		for _, key := range keys {
			wait := lapseTime
			if topic != banyanplank.TopicBackends || w.truth[topic][key] != nil {
				wait = delay(topic, key)
			}
			w.timers = append(w.timers, time.AfterFunc(wait, func() { w.rewrite(topic, key) }))
		}
	}
}

// stop leaves what is still to be written again. The race detector fails on timers that outlast a
// bubble of synctest.
func (w *testWorld) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, timer := range w.timers {
		timer.Stop()
	}
}

// rewrite writes an entry again if the store has another one.
func (w *testWorld) rewrite(topic banyanplank.Topic, key string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var stored any
	for _, item := range w.store.objects(topic) {
		if item.Key == key {
			stored = item.Value
		}
	}
	if truth := w.truth[topic][key]; truth != stored {
		w.store.put(topic, key, truth)
	}
}

// after returns a function that returns the same delay for each entry.
func after(delay time.Duration) (f func(banyanplank.Topic, string) time.Duration) {
	return func(banyanplank.Topic, string) time.Duration { return delay }
}

// isUsable reports whether an endpoint gets requests at an entry.
func (f *testFleet) isUsable(id banyanplank.DaemonID, endpoint banyanplank.BackendID) (usable bool) {
	for _, b := range f.daemon(id).snapshot.Load().Backends {
		if b.ID == endpoint {
			return !b.Leaving
		}
	}
	return false
}

// isZoneOut reports whether a zone is out of service at an entry.
func (f *testFleet) isZoneOut(id banyanplank.DaemonID, zone banyanplank.Zone) (out bool) {
	return f.daemon(id).snapshot.Load().ZonesOut[zone]
}

// hasEra reports whether all topics of an entry are at least in an era.
func (f *testFleet) hasEra(id banyanplank.DaemonID, era banyanplank.Era) (ok bool) {
	positions := f.daemon(id).snapshot.Load().Positions
	for _, topic := range []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicBackends, banyanplank.TopicZonesOut} {
		if positions[topic].Era < era {
			return false
		}
	}
	return true
}

// difference returns how an entry differs from what was decided, or nothing. Endpoints that have
// ended don't count if they may not have lapsed yet.

func (f *testFleet) difference(id banyanplank.DaemonID, w *testWorld, haveLapsed bool) (text string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	snapshot := f.daemon(id).snapshot.Load()
	if version := snapshot.Router.Table().Version; version != w.version {
		text += fmt.Sprintf(" version %d instead of %d;", version, w.version)
	}
	for _, b := range snapshot.Backends {
		if truth, ok := w.truth[banyanplank.TopicBackends][string(b.ID)].(banyanplank.Backend); !b.Leaving && (haveLapsed && !ok || ok && (truth.Leaving || !truth.Born.Equal(b.Born))) {
			text += fmt.Sprintf(" %s of %d is usable;", b.ID, b.Born.Unix())
		}
	}
	for key, value := range w.truth[banyanplank.TopicBackends] {
		if endpoint := value.(banyanplank.Backend); !endpoint.Leaving && !f.isUsable(id, endpoint.ID) {
			text += fmt.Sprintf(" %s of %d is not usable;", key, endpoint.Born.Unix())
		}
	}
	for _, zone := range []banyanplank.Zone{"a", "b", "c"} {
		if out := w.truth[banyanplank.TopicZonesOut][string(zone)] != nil; out != snapshot.ZonesOut[zone] && (out || !w.isHeldOut(zone)) {
			text += fmt.Sprintf(" zone %s out: %t;", zone, !out)
		}
	}
	return text
}

// isHeldOut reports whether entries may hold a zone out of service: it was taken back before they
// could see that it was out in the new era, and so looks like one whose entry the store has lost. The
// mutex must be held.
func (w *testWorld) isHeldOut(zone banyanplank.Zone) (held bool) {
	if w.returnedAt.IsZero() || time.Since(w.returnedAt) > operatorsTime+configurationBound {
		return false
	}
	back, ok := w.backAt[string(zone)]
	return ok && !back.After(w.returnedAt.Add(configurationBound))
}
