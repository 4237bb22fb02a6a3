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

// TestForgottenHistory has the store forget its history while there are changes. A daemon
// that doesn't watch learns them from a peer, and lists the topic only if none tells.
func TestForgottenHistory(t *testing.T) {
	tests := map[string]struct {
		options []Option
		calls   int
		keys    []string
	}{
		"a peer tells":     {[]Option{WithPeers(peers{revision: 3})}, 1, []string{"told", "z"}},
		"a peer is behind": {[]Option{WithPeers(peers{revision: 1})}, 2, []string{"x", "y", "z"}},
		"no peers":         {nil, 2, []string{"x", "y", "z"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, l := newStore(), &listener{}
				f := New(s, l.send, append(test.options, WithWatcher(func() bool { return false }))...)
				follow(t, f, 8*time.Second, func() {
					time.Sleep(time.Second)
					s.write("x")
					s.write("y")
					s.mutex.Lock()
					s.oldest = 3
					s.mutex.Unlock()
					f.Hint(banyanplank.TopicBackends, 3)
					time.Sleep(time.Second)
					s.write("z")
					f.Hint(banyanplank.TopicBackends, 4)
				})
				is.Equal(l.keys(), test.keys)
				is.Equal(s.counts()[0], test.calls)
			})
		})
	}
}

// TestOutageIsProbedOnce has a daemon that watches three topics lose the store. One of them
// finds out when it is back, and the others go on at once.
func TestOutageIsProbedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const down = 10 * time.Second
		s, l := newStore(), &listener{}
		f := New(s, l.send)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var work conc.WaitGroup
		for _, topic := range []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicBackends, banyanplank.TopicZonesOut} {
			work.Go(func() { f.Follow(ctx, topic) })
		}
		time.Sleep(time.Second)
		s.mutex.Lock()
		for range 1000 {
			s.errors = append(s.errors, banyanplank.ErrUnavailable)
		}
		before := s.calls
		s.mutex.Unlock()
		time.Sleep(down)
		s.mutex.Lock()
		calls := s.calls - before
		s.errors = nil
		s.mutex.Unlock()
		// One topic at the pace of one, and the others now and then.
		is.True(calls <= int(down/(DefaultPause/2))+2*int(down/waitForProbe)+6)
		s.write("x")
		time.Sleep(2 * DefaultPause)
		is.Equal(l.keys(), []string{"x", "x", "x"})
		work.Wait()
	})
}

// TestSeriesOfChanges has many changes come in a series, as when all endpoints start. They
// are read in a few calls, each soon.
func TestSeriesOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, l := newStore(), &listener{}
		follow(t, New(s, l.send), 5*time.Second, func() {
			time.Sleep(time.Second)
			before := s.counts()[0]
			for range 72 {
				s.write("x")
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(gather)
			is.Equal(len(l.keys()), 72)
			is.True(s.counts()[0]-before <= 10)
		})
	})
}
