package leaser_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
	"github.com/banyanplank/banyanplank/standin/platform"
)

// seed makes every run draw the same cases unless the command line says otherwise.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(seed)
	}
	os.Exit(m.Run())
}

const step = 250 * time.Millisecond

// call is a call to the store on its way.
type call struct {
	command banyanplank.Command
	sent    time.Time
	effect  time.Time
	reply   time.Time
	lost    bool
	done    bool
	msg     banyanplank.Msg
}

// candidate is one model that asks for the lease.
type candidate struct {
	model  *leaser.Model
	calls  []*call
	paused bool
}

// world is a store with one lease and its candidates.
type world struct {
	now        time.Time
	version    banyanplank.Version
	value      []byte
	down       bool
	slow       int
	loss       int
	candidates []*candidate
	owner      map[uint64]int
}

func newWorld(count int) (w *world) {
	w = &world{now: time.Unix(1_800_000_000, 0), owner: map[uint64]int{}}
	for i := range count {
		w.candidates = append(w.candidates, &candidate{model: leaser.NewModel(banyanplank.Member{
			ID: banyanplank.DaemonID(fmt.Sprint("agent-", i)), Incarnation: 1,
		})})
	}
	return w
}

// advance lets one step pass, with drawn delays and losses.
func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(step)
	for _, c := range w.candidates {
		for _, k := range c.calls {
			w.arrive(k)
		}
		if c.paused {
			continue
		}
		w.deliver(t, c)
		_, commands := c.model.Update(w.now, banyanplank.TickMsg{})
		w.send(t, c, commands)
	}
	w.verify(t)
}

// arrive lets a call take effect at the store when its time has come.
func (w *world) arrive(k *call) {
	if k.done || w.now.Before(k.effect) {
		return
	}
	k.done = true
	if w.down {
		k.msg = failure(k, banyanplank.ErrUnavailable)
		return
	}
	switch c := k.command.(type) {
	case leaser.ReadCmd:
		k.msg = leaser.ReadMsg{Object: banyanplank.Object{Version: w.version, Value: w.value}}
	case leaser.WriteCmd:
		if c.Expect != w.version {
			k.msg = failure(k, banyanplank.ErrConflict)
			return
		}
		w.version++
		w.value = c.Value
		k.msg = leaser.WroteMsg{Command: c, Sent: k.sent, Version: w.version}
	}
}

func failure(k *call, err error) (msg banyanplank.Msg) {
	if c, ok := k.command.(leaser.WriteCmd); ok {
		return leaser.WroteMsg{Command: c, Sent: k.sent, Err: err}
	}
	return leaser.ReadMsg{Err: err}
}

// callLimit is when a candidate gives a call up.
const callLimit = 3 * time.Second

// deliver hands replies and timeouts to the candidate. A write that timed out
// may still arrive later.
func (w *world) deliver(t *rapid.T, c *candidate) {
	calls := c.calls
	c.calls = nil // replies lead to new calls
	for _, k := range calls {
		switch {
		case k.done && !k.lost && !w.now.Before(k.reply):
			_, commands := c.model.Update(w.now, k.msg)
			w.send(t, c, commands)
		case w.now.Sub(k.sent) >= callLimit && !k.lost:
			k.lost = true
			_, commands := c.model.Update(w.now, failure(k, banyanplank.ErrUncertain))
			w.send(t, c, commands)
			c.calls = append(c.calls, k)
		case !k.done || !k.lost:
			c.calls = append(c.calls, k)
		}
	}
}

func (w *world) send(t *rapid.T, c *candidate, commands []banyanplank.Command) {
	for _, command := range commands {
		there := time.Duration(rapid.IntRange(0, w.slow).Draw(t, "there")) * step
		back := time.Duration(rapid.IntRange(0, w.slow).Draw(t, "back")) * step
		lost := rapid.IntRange(0, 99).Draw(t, "lost") < w.loss
		reply := w.now.Add(there + back)
		if lost {
			reply = w.now.Add(time.Hour)
		}
		c.calls = append(c.calls, &call{command: command, sent: w.now, effect: w.now.Add(there), reply: reply})
	}
}

// verify checks that at most one candidate that runs believes that it holds the
// lease, and that no fencing number has two owners.
func (w *world) verify(t *rapid.T) {
	holders := 0
	for i, c := range w.candidates {
		lease := c.model.Lease()
		if !lease.Held(w.now) {
			continue
		}
		holders++
		if owner, ok := w.owner[lease.Fence]; ok && owner != i {
			t.Fatalf("fencing number %d has two owners", lease.Fence)
		}
		w.owner[lease.Fence] = i
		for fence := range w.owner {
			if fence > lease.Fence {
				t.Fatalf("fencing number %d is held after %d", lease.Fence, fence)
			}
		}
	}
	if holders > 1 {
		t.Fatalf("%d holders at once", holders)
	}
}

// TestOneHolder lets candidates run into slow, lost and late calls, outages and
// pauses. For a longer run: go test ./coordination/leaser -run OneHolder -rapid.checks=10000
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "candidates"))
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			w.down = rapid.IntRange(0, 3).Draw(t, "down") == 0
			w.slow = rapid.IntRange(0, 20).Draw(t, "slow")
			w.loss = rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "loss")
			for _, c := range w.candidates {
				c.paused = rapid.IntRange(0, 3).Draw(t, "paused") == 0
			}
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				w.advance(t)
			}
		}
	})
}

// hold runs two leasers, the first with a head start, and returns them.
func hold(ctx context.Context, group *conc.WaitGroup, stores ...*platform.Platform) (leasers []*leaser.Leaser) {
	for i, store := range stores {
		l := leaser.New(store, "group/langtang", banyanplank.Member{ID: banyanplank.DaemonID(fmt.Sprint("agent-", i)), Incarnation: 1})
		group.Go(func() { _ = l.Run(ctx) })
		leasers = append(leasers, l)
		time.Sleep(2 * time.Second)
	}
	return leasers
}

func TestLeaseMovesWhenTheHolderIsCutOff(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		moves  bool
	}{
		"short outage": {10 * time.Second, false},
		"long outage":  {40 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var group conc.WaitGroup
				store := platform.New()
				first, second := store.Client(), store.Client()
				leasers := hold(ctx, &group, first, second)
				is.True(leasers[0].Lease().Held(time.Now()))
				is.True(!leasers[1].Lease().Held(time.Now()))
				first.SetDown(true)
				for ended := time.Now().Add(test.outage); time.Now().Before(ended); {
					time.Sleep(100 * time.Millisecond)
					is.True(!leasers[0].Lease().Held(time.Now()) || !leasers[1].Lease().Held(time.Now()))
				}
				is.Equal(leasers[1].Lease().Held(time.Now()), test.moves)
				is.Equal(leasers[0].Lease().Held(time.Now()), !test.moves)
				first.SetDown(false)
				if test.moves {
					is.Equal(leasers[1].Lease().Fence, uint64(2))
				}
				cancel()
				group.Wait()
			})
		})
	}
}

func TestOnlyCandidatesCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		store := platform.New()
		first, second := store.Client(), store.Client()
		leasers := hold(ctx, &group, first, second)
		leasers[0].Stand(false) // a holder goes on
		leasers[1].Stand(false)
		calls := second.Calls().Reads()
		time.Sleep(time.Minute)
		is.True(leasers[0].Lease().Held(time.Now()))
		is.Equal(second.Calls().Reads(), calls)
		cancel()
		group.Wait()
	})
}

func TestCandidatesAreFew(t *testing.T) {
	is := is.New(t)
	var members []banyanplank.Member
	for i := range 256 {
		members = append(members, banyanplank.Member{ID: banyanplank.DaemonID(fmt.Sprint("agent-", i))})
	}
	count := 0
	for _, m := range members {
		if leaser.IsCandidate("group/langtang", m.ID, members) {
			count++
		}
	}
	is.Equal(count, leaser.CandidateCount)
}

func TestReleasedLeaseMovesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		store := platform.New()
		leasers := hold(ctx, &group, store, store)
		leasers[0].Release(ctx)
		time.Sleep(leaser.RenewInterval + time.Second)
		is.True(!leasers[0].Lease().Held(time.Now()))
		is.True(leasers[1].Lease().Held(time.Now()))
		is.Equal(leasers[1].Lease().Fence, uint64(2))
		cancel()
		group.Wait()
	})
}
