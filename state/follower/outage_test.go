package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// TestCompactedHistoryIsReadFromPeer guards against a new list by every daemon when the
// platform compacts its history during changes. A daemon that doesn't watch lists the topic
// only if no peer has the changes.
func TestCompactedHistoryIsReadFromPeer(t *testing.T) {
	tests := map[string]struct {
		options []Option
		calls   int
		keys    []string
	}{
		"a peer is ahead":  {[]Option{WithPeers(fakePeers{revision: 3})}, 1, []string{"told", "z"}},
		"a peer is behind": {[]Option{WithPeers(fakePeers{revision: 1})}, 2, []string{"x", "y", "z"}},
		"no peers":         {nil, 2, []string{"x", "y", "z"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				discovery, messages := newFakeDiscovery(), &recorder{}
				f := New(discovery, messages.send, append(test.options, WithWatcher(func() bool { return false }))...)
				runFollower(t, f, 8*time.Second, func() {
					time.Sleep(time.Second)
					discovery.addChange("x")
					discovery.addChange("y")
					discovery.mutex.Lock()
					discovery.oldest = 3
					discovery.mutex.Unlock()
					f.RecordHint(banyanplank.TopicBackends, banyanplank.Position{Revision: 3})
					time.Sleep(time.Second)
					discovery.addChange("z")
					f.RecordHint(banyanplank.TopicBackends, banyanplank.Position{Revision: 4})
				})
				is.Equal(messages.keys(), test.keys)
				is.Equal(discovery.counts()[0], test.calls)
			})
		})
	}
}

// TestOneTopicProbesDuringOutage guards against every lost topic calling the platform at the
// full rate. One of three probes for recovery, after which the others continue at once.
func TestOneTopicProbesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const outage = 10 * time.Second
		discovery, messages := newFakeDiscovery(), &recorder{}
		f := New(discovery, messages.send)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var work conc.WaitGroup
		for _, topic := range []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicBackends, banyanplank.TopicZonesOut} {
			work.Go(func() { f.Follow(ctx, topic) })
		}
		time.Sleep(time.Second)
		discovery.mutex.Lock()
		for range 1000 {
			discovery.errors = append(discovery.errors, banyanplank.ErrUnavailable)
		}
		before := discovery.calls
		discovery.mutex.Unlock()
		time.Sleep(outage)
		discovery.mutex.Lock()
		calls := discovery.calls - before
		discovery.errors = nil
		discovery.mutex.Unlock()
		// The prober calls at its full rate, the other topics only rarely.
		is.True(calls <= int(outage/(DefaultMaxBackoff/2))+2*int(outage/maxRecoveryWait)+6)
		discovery.addChange("x")
		time.Sleep(2 * DefaultMaxBackoff)
		is.Equal(messages.keys(), []string{"x", "x", "x"})
		work.Wait()
	})
}

// TestChangeBurstIsReadInFewCalls guards against one call per change in a burst, as when all
// endpoints start.
func TestChangeBurstIsReadInFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		discovery, messages := newFakeDiscovery(), &recorder{}
		runFollower(t, New(discovery, messages.send), 5*time.Second, func() {
			time.Sleep(time.Second)
			before := discovery.counts()[0]
			for range 72 {
				discovery.addChange("x")
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(batchDelay)
			is.Equal(len(messages.keys()), 72)
			is.True(discovery.counts()[0]-before <= 10)
		})
	})
}

// TestCompactedTopicIsPolledSlowly guards against calls without a pause by a daemon that has
// lost a topic or hears no confirmation, while the platform answers that it has compacted its
// history, and a peer has the changes.
func TestCompactedTopicIsPolledSlowly(t *testing.T) {
	const span = 20 * time.Second
	for name, confirmed := range map[string]bool{"a peer confirms": true, "nobody confirms": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				discovery := newFakeDiscovery()
				f := New(discovery, (&recorder{}).send, WithPeers(fakePeers{revision: 3}), WithWatcher(func() bool { return false }))
				ctx, cancel := context.WithTimeout(t.Context(), span)
				defer cancel()
				var work conc.WaitGroup
				work.Go(func() { f.Follow(ctx, banyanplank.TopicBackends) })
				time.Sleep(time.Second)
				discovery.setUnavailable(true)
				time.Sleep(5 * time.Second)
				discovery.mutex.Lock()
				discovery.isUnavailable, discovery.oldest = false, 1000
				before := discovery.peeks + discovery.calls
				discovery.mutex.Unlock()
				for banyanplank.Sleep(ctx, 100*time.Millisecond) == nil {
					if confirmed {
						f.RecordConfirmation(time.Now())
					}
				}
				work.Wait()
				counts := discovery.counts()
				is.True(counts[0]+counts[1]-before <= 2*int(span/(idleMaxBackoff/2)))
			})
		})
	}
}
