package gateway

import (
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
