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
