package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// eraPeers are peers that know a topic up to a position, after a number of failed requests.
type eraPeers struct {
	position banyanplank.Position
	failures int
}

func (p *eraPeers) FetchTopic(context.Context, banyanplank.Topic) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	if p.failures > 0 {
		p.failures--
		return nil, position, errors.New("busy")
	}
	return []banyanplank.DiscoveryItem{{Key: "told", Value: "told"}}, p.position, nil
}

// TestNewEraIsListedOnce guards against changes that are missed after the store has returned from an
// older copy, also where its revisions have risen beyond those known, and against a list by each
// daemon that doesn't watch.
func TestNewEraIsListedOnce(t *testing.T) {
	newEra := banyanplank.Position{Era: 1, Revision: 3}
	tests := map[string]struct {
		watches bool
		peers   Peers
		// hint is what a peer names after the return.
		hint  banyanplank.Position
		keys  []string
		lists int
	}{
		"watches":                       {watches: true, keys: []string{"a", "b", "c", "a", "new"}, lists: 2},
		"a peer knows it":               {peers: &eraPeers{position: newEra}, hint: newEra, keys: []string{"a", "b", "c", "told"}, lists: 1},
		"a peer knows it and is busy":   {peers: &eraPeers{position: newEra, failures: 2}, hint: newEra, keys: []string{"a", "b", "c", "told"}, lists: 1},
		"a peer is of the old era":      {peers: &eraPeers{position: banyanplank.Position{Revision: 4}}, hint: newEra, keys: []string{"a", "b", "c", "a", "new"}, lists: 2},
		"no peers":                      {hint: newEra, keys: []string{"a", "b", "c", "a", "new"}, lists: 2},
		"an era that isn't the store's": {peers: &eraPeers{position: newEra}, hint: banyanplank.Position{Era: 9, Revision: 3}, keys: []string{"a", "b", "c", "told", "a", "new"}, lists: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				discovery, messages := newFakeDiscovery(), &recorder{}
				f := New(discovery, messages.send, WithPeers(test.peers), WithWatcher(func() bool { return test.watches }))
				runFollower(t, f, 5*time.Second, func() {
					for _, key := range []string{"a", "b", "c"} {
						discovery.addChange(key)
					}
					time.Sleep(time.Second)
					discovery.returnOlder(2)
					discovery.addChange("new")
					f.RecordHint(banyanplank.TopicBackends, test.hint)
				})
				is.Equal(messages.keys(), test.keys)
				lists := 0
				for _, m := range messages.msgs {
					msg, ok := m.(TopicMsg)
					is.True(ok) // no topic is lost
					if msg.IsFullList && !msg.Relayed {
						lists++
					}
				}
				is.Equal(lists, test.lists)
				// A hint that can't be met causes no calls at a high rate.
				is.True(discovery.counts()[0] < 12)
			})
		})
	}
}

// TestPolledTopicIsListedInNewEra guards against a list of entries that stays the one of before the
// return of the store until the next poll, and against one that is taken from peers, which don't pass
// it on.
func TestPolledTopicIsListedInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const interval = 20 * time.Second
		discovery, messages := newFakeDiscovery(), &recorder{}
		f := New(discovery, messages.send, WithPeers(&eraPeers{position: banyanplank.Position{Era: 1, Revision: 9}}))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second+interval/4)
		defer cancel()
		var work conc.WaitGroup
		work.Go(func() { f.Poll(ctx, banyanplank.TopicMembers, interval) })
		discovery.addChange("a")
		time.Sleep(time.Second)
		discovery.returnOlder(1)
		discovery.addChange("b")
		f.RecordHint(banyanplank.TopicMembers, banyanplank.Position{Era: 1})
		work.Wait()
		is.Equal(messages.keys(), []string{"a", "b"})
		is.Equal(discovery.counts(), []int{2, 0})
	})
}
