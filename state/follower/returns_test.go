package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// slowDiscovery answers each call after some time, as a store does.
type slowDiscovery struct{ *fakeDiscovery }

// replyTime is the time that a call of a [slowDiscovery] takes.
const replyTime = 5 * time.Millisecond

func (d slowDiscovery) List(ctx context.Context, topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	time.Sleep(replyTime)
	return d.fakeDiscovery.List(ctx, topic)
}

func (d slowDiscovery) Changes(ctx context.Context, topic banyanplank.Topic, after banyanplank.Position, wait time.Duration) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	time.Sleep(replyTime)
	return d.fakeDiscovery.Changes(ctx, topic, after, wait)
}

func (d slowDiscovery) Peek(ctx context.Context, topic banyanplank.Topic, after banyanplank.Position) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	time.Sleep(replyTime)
	return d.fakeDiscovery.Peek(ctx, topic, after)
}

// TestHintsThatCannotBeMet guards against calls to the store without bound, because a malformed
// heartbeat names a position that the store doesn't have.
func TestHintsThatCannotBeMet(t *testing.T) {
	for name, hint := range map[string]banyanplank.Position{
		"huge era":      {Era: 1 << 62, Revision: 3},
		"huge revision": {Revision: 1 << 62},
	} {
		for rate, repeats := range map[string]int{"once": 1, "in each heartbeat": 25} {
			t.Run(name+", "+rate, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					discovery, messages := newFakeDiscovery(), &recorder{}
					f := New(slowDiscovery{discovery}, messages.send, WithPeers(&eraPeers{}), WithWatcher(func() bool { return false }))
					runFollower(t, f, 5*time.Second, func() {
						discovery.addChange("a")
						time.Sleep(time.Second)
						for range repeats {
							f.RecordHint(banyanplank.TopicBackends, hint)
							time.Sleep(120 * time.Millisecond)
						}
					})
					counts := discovery.counts()
					t.Logf("calls and peeks in 4 s: %v", counts)
					is.True(counts[0]+counts[1] < 60)
				})
			})
		}
	}
}
