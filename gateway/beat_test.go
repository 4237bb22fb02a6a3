package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
)

// TestLeanBeats has an entry of a large fleet tell other zones all that they need at its
// start and after each change, and else only that it lives and what it has in flight.
func TestLeanBeats(t *testing.T) {
	for _, entries := range []int{45, 150, 420} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := &Daemon{
					member:   banyanplank.Member{ID: "e0", Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.1:1")},
					balancer: balancer.New(),
					gateway:  &Gateway{witness: suspecter.NewWitness()},
				}
				snapshot := &surveyor.Snapshot{Revisions: map[banyanplank.Topic]banyanplank.Version{banyanplank.TopicRouting: 1}}
				for i := 1; i < entries; i++ {
					snapshot.Peers = append(snapshot.Peers, banyanplank.Member{Zone: banyanplank.Zone('a' + rune(i%5)), Peer: netip.MustParseAddrPort("10.0.0.2:1")})
				}
				d.view.Store(snapshot)
				whole, lean := 0, 0
				play := func(span time.Duration) {
					whole, lean = 0, 0
					for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(beater.DefaultInterval) {
						near, far, peers, others := d.compose()
						is.True(!near.IsLean)
						is.Equal(len(peers), (entries-1)/5)
						switch {
						case len(others) == 0:
						case far.IsLean:
							is.Equal(len(far.Revisions), 0)
							lean++
						default:
							whole++
						}
					}
				}
				play(wholeTime)
				is.Equal(lean, 0)
				play(time.Minute)
				is.True(2*lean > 3*whole)
				is.True(whole >= 27) // one in 2.2 s
				next := *snapshot
				next.Revisions = map[banyanplank.Topic]banyanplank.Version{banyanplank.TopicRouting: 2}
				d.view.Store(&next)
				play(wholeTime)
				is.Equal(lean, 0)
			})
		})
	}
}
