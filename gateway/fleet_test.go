package gateway

import (
	"fmt"
	"regexp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/follower"
)

// TestChangesAreLoggedInOrder guards against log lines that show older versions of the
// configuration as if they had replaced newer ones. All changes of one message used to be
// logged by concurrent goroutines.
func TestChangesAreLoggedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const versions = 9
		f := newTestFleet(map[banyanplank.Zone]int{"a": 1})
		f.run(t, func() {
			time.Sleep(time.Second)
			f.store.setSilent("a-1")
			for version := uint64(2); version <= versions; version++ {
				f.store.put(banyanplank.TopicRouting, "main", &banyanplank.RoutingTable{Version: version})
			}
			time.Sleep(5 * time.Second)
			f.store.setSilent()
			time.Sleep(5 * time.Second)
		})
		lines := regexp.MustCompile(`routing in force.*version \d`).FindAllString(f.logs.String(), -1)
		is.Equal(len(lines), versions)
		is.True(slices.IsSortedFunc(lines, func(a, b string) int { return int(a[len(a)-1]) - int(b[len(b)-1]) }))
	})
}

// configurationBound is the time within which a configuration has to be in force at every
// entry that the store answers.
const configurationBound = 2 * time.Second

// TestServedEntryFollowsWhileStoreIgnoresOthers guards against an entry that serves an
// outdated configuration because it takes the silence of the entries that watch the store
// for the absence of changes, while the store answers only itself.
func TestServedEntryFollowsWhileStoreIgnoresOthers(t *testing.T) {
	three := map[banyanplank.Zone]int{"a": 3, "b": 2, "c": 2}
	tests := map[string]struct {
		entries map[banyanplank.Zone]int
		served  banyanplank.DaemonID
	}{
		"first of its zone":         {three, "b-1"},
		"second of its zone":        {three, "c-2"},
		"third of its zone":         {three, "a-3"},
		"last of one zone":          {map[banyanplank.Zone]int{"a": 6}, "a-6"},
		"in the middle of one zone": {map[banyanplank.Zone]int{"a": 9}, "a-4"},
		"second of two":             {map[banyanplank.Zone]int{"a": 2}, "a-2"},
	}
	for name, test := range tests {
		for delay := time.Duration(0); delay < 2*time.Second; delay += 270 * time.Millisecond {
			t.Run(fmt.Sprintf("%s, %s later", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newTestFleet(test.entries)
					f.run(t, func() {
						time.Sleep(7*time.Second + 3*delay)
						f.store.setSilent(f.except(test.served)...)
						time.Sleep(delay)
						for version := uint64(2); version < 8; version++ {
							f.store.put(banyanplank.TopicRouting, "main", &banyanplank.RoutingTable{Version: version})
							time.Sleep(configurationBound)
							is.Equal(f.version(test.served), version)
						}
					})
				})
			})
		}
	}
}

// TestEntryWithoutHeartbeatsFollows guards against an entry that hears none of its peers, or not
// those that watch the store, and serves an outdated configuration.
func TestEntryWithoutHeartbeatsFollows(t *testing.T) {
	tests := map[string]func(from, to banyanplank.DaemonID) bool{
		"hears nobody":                  func(_, to banyanplank.DaemonID) bool { return to == "a-3" },
		"hears no watching entry":       func(from, to banyanplank.DaemonID) bool { return to == "a-3" && from[2:] == "1" },
		"hears only its own zone":       func(from, to banyanplank.DaemonID) bool { return to == "a-3" && from[0] != 'a' },
		"hears only other zones":        func(from, to banyanplank.DaemonID) bool { return to == "a-3" && from[0] == 'a' },
		"nobody hears it":               func(from, _ banyanplank.DaemonID) bool { return from == "a-3" },
		"nobody hears a watching entry": func(from, _ banyanplank.DaemonID) bool { return from[2:] == "1" },
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(map[banyanplank.Zone]int{"a": 3, "b": 2, "c": 2})
				f.run(t, func() {
					time.Sleep(7 * time.Second)
					f.setCut(cut)
					for version := uint64(2); version < 8; version++ {
						f.store.put(banyanplank.TopicRouting, "main", &banyanplank.RoutingTable{Version: version})
						time.Sleep(configurationBound)
						is.Equal(f.version("a-3"), version)
					}
				})
			})
		})
	}
}

// TestLateHeartbeatsHideNoChange guards against an entry that takes an old confirmation for a recent
// one, because the heartbeat that carries it was on its way for long, and serves an outdated
// configuration.
func TestLateHeartbeatsHideNoChange(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(map[banyanplank.Zone]int{"a": 3, "b": 2, "c": 2})
				f.run(t, func() {
					time.Sleep(7 * time.Second)
					f.setDelay(delay)
					for version := uint64(2); version < 8; version++ {
						f.store.put(banyanplank.TopicRouting, "main", &banyanplank.RoutingTable{Version: version})
						time.Sleep(configurationBound)
						is.Equal(f.version("a-3"), version)
					}
				})
			})
		})
	}
}

// TestHealthyFleetCallsStoreRarely guards against calls of entries that don't watch while those
// that do confirm that there are no changes.
func TestHealthyFleetCallsStoreRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const span, topics = 30 * time.Second, 3
		f := newTestFleet(map[banyanplank.Zone]int{"a": 5, "b": 5})
		f.run(t, func() {
			time.Sleep(span)
			for _, d := range f.daemons {
				interval := follower.DefaultPollInterval
				if d.self.ID[2:] == "1" {
					interval = follower.DefaultWatchTimeout
				}
				calls := topics * float64(span/interval)
				// Besides, each entry lists the topics at its start, and watches each of them
				// once if it has not heard the first entry of its zone by then.
				is.True(float64(f.store.callCount(d.self.ID)) <= 1.1*calls+2*topics)
			}
		})
	})
}

// TestLapsedEndpointIsForgottenByAll guards against an endpoint that lapsed during an outage
// and stays known for good to an entry that learned of it through a peer, which still waited
// for its return.
func TestLapsedEndpointIsForgottenByAll(t *testing.T) {
	for outage := 5 * time.Second; outage < 7*time.Second; outage += 130 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(map[banyanplank.Zone]int{"a": 2})
				f.store.put(banyanplank.TopicBackends, "x", banyanplank.Backend{ID: "x", Service: "s"})
				f.run(t, func() {
					time.Sleep(3 * time.Second)
					f.store.setSilent("a-1", "a-2")
					time.Sleep(outage)
					f.store.put(banyanplank.TopicBackends, "x", nil)
					f.store.setSilent("a-2")
					time.Sleep(8 * time.Second)
					is.Equal(len(f.daemon("a-1").snapshot.Load().Backends), 0)
					is.Equal(len(f.daemon("a-2").snapshot.Load().Backends), 0)
				})
			})
		})
	}
}
