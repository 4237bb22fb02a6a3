package balancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// refusalOf returns the refusal that err is.
func refusalOf(t *testing.T, err error) (refusal *banyanplank.Refusal) {
	t.Helper()
	if !errors.As(err, &refusal) {
		t.Fatalf("error %v is no refusal", err)
	}
	return refusal
}

func TestAcquireLeavesOut(t *testing.T) {
	tests := map[string]struct {
		backend banyanplank.Backend
		out     map[banyanplank.Zone]bool
		avoid   []banyanplank.BackendID
	}{
		"leaving":     {backend: banyanplank.Backend{ID: "x", Service: "chat", Zone: "a", Slots: 4, Leaving: true}},
		"zone out":    {backend: banyanplank.Backend{ID: "x", Service: "chat", Zone: "a", Slots: 4}, out: map[banyanplank.Zone]bool{"a": true}},
		"avoided":     {backend: banyanplank.Backend{ID: "x", Service: "chat", Zone: "a", Slots: 4}, avoid: []banyanplank.BackendID{"x"}},
		"other usage": {backend: banyanplank.Backend{ID: "x", Service: "other", Zone: "a", Slots: 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(WithZone("a"))
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{engine(4)}, Backends: []banyanplank.Backend{test.backend}, Out: test.out, Entries: 1})
			began := time.Now()
			_, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: time.Second, Avoid: test.avoid})
			refusal := refusalOf(t, err)
			is.Equal(refusal.Outcome, banyanplank.NotRun)
			is.True(refusal.RetryAfter > 0)                   // the caller is told when to return
			is.True(time.Since(began) < 100*time.Millisecond) // what can't be served is refused at once
		})
	}
}

// TestBurst has more calls at once than places: some wait, those that would wait
// too long are refused at once, and all places are used all the time.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const places, work = 8, 200 * time.Millisecond
		b := newTest(engine(4), endpoints("chat", 2, 4, "a"), 1)
		served, refused := 0, 0
		var work1 conc.WaitGroup
		results := make(chan bool, 1000)
		for range 400 {
			work1.Go(func() {
				began := time.Now()
				lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 400 * time.Millisecond})
				if err != nil {
					if waited := time.Since(began); waited > 200*time.Millisecond {
						t.Errorf("refused after %s", waited)
					}
					results <- false
					return
				}
				time.Sleep(work)
				lease.Finish(Result{Kind: Served})
				results <- true
			})
			time.Sleep(10 * time.Millisecond) // 100 a second, for 40 that fit
		}
		work1.Wait()
		close(results)
		for ok := range results {
			if ok {
				served++
			} else {
				refused++
			}
		}
		is.Equal(served+refused, 400)
		is.True(served >= 4*places*5*9/10) // nine tenths of what the places serve in 4 s
	})
}

// TestPriority has urgent calls go before others that wait.
func TestPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(engine(1), endpoints("chat", 1, 1, "a"), 1)
		b.pools["chat"].rate = 100
		first, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: time.Second})
		is.NoErr(err)
		order := make(chan int, 2)
		var work conc.WaitGroup
		for _, priority := range []int{5, 1} {
			work.Go(func() {
				lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: time.Second, Priority: priority})
				if err != nil {
					t.Errorf("priority %d: %v", priority, err)
					return
				}
				order <- priority
				lease.Finish(Result{Kind: Served})
			})
			synctest.Wait()
		}
		first.Finish(Result{Kind: Served})
		work.Wait()
		is.Equal(<-order, 1)
		is.Equal(<-order, 5)
	})
}

// TestLeavingCaller has a caller that leaves while it waits take no place.
func TestLeavingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(engine(1), endpoints("chat", 1, 1, "a"), 1)
		b.pools["chat"].rate = 100
		first, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: time.Second})
		is.NoErr(err)
		ctx, leave := context.WithCancel(t.Context())
		var work conc.WaitGroup
		work.Go(func() {
			_, err := b.Acquire(ctx, Query{Service: "chat", Goal: time.Second})
			if refusalOf(t, err).Reason != banyanplank.ReasonCanceled {
				t.Errorf("unexpected %v", err)
			}
		})
		synctest.Wait()
		leave()
		work.Wait()
		first.Finish(Result{Kind: Served})
		is.Equal(b.Status()[0].InFlight, 0)
		is.Equal(b.Status()[0].Waiting, 0)
	})
}

// TestColdZone has endpoints in cold start get no more than their rate from all
// entries together, with a burst of calls at each.
func TestColdZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const entries, rate = 7, 14.0
		spec := engine(100)
		spec.ColdRate = rate
		backends := endpoints("chat", 1, 100, "a")
		backends[0].Cold = 3 * time.Second
		sent := 0
		all := make([]*Balancer, entries)
		for i := range all {
			all[i] = newTest(spec, backends, entries)
		}
		for range 100 { // a second
			for _, b := range all {
				lease, _, err := b.pools["chat"].admit(time.Now(), Query{Service: "chat"})
				if err == nil && lease != nil {
					sent++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(float64(sent) <= rate+entries) // one each is saved up
		is.True(float64(sent) >= rate/2)
	})
}

// TestFailingEndpoint has an endpoint that fails get few calls, and all of its
// share again once it is well.
func TestFailingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(plain(), endpoints("desk", 3, 6, "a"), 1)
		count := func(calls int, failing banyanplank.BackendID) (got map[banyanplank.BackendID]int) {
			got = make(map[banyanplank.BackendID]int)
			for range calls {
				lease, err := b.Acquire(t.Context(), Query{Service: "desk", Goal: 100 * time.Millisecond})
				is.NoErr(err)
				got[lease.Backend.ID]++
				time.Sleep(15 * time.Millisecond)
				kind := Served
				if lease.Backend.ID == failing {
					kind = Failed
				}
				lease.Finish(Result{Kind: kind})
			}
			return got
		}
		is.True(count(400, "desk-01")["desk-01"] <= 12) // of 6 s, a try in each pause
		count(400, "")
		is.True(count(300, "")["desk-01"] >= 50)
	})
}

// TestSlowEndpoint has an endpoint that takes ten times as long get less.
func TestSlowEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(plain(), endpoints("desk", 3, 6, "a"), 1)
		got := make(map[banyanplank.BackendID]int)
		for range 300 {
			lease, err := b.Acquire(t.Context(), Query{Service: "desk", Goal: 100 * time.Millisecond})
			is.NoErr(err)
			got[lease.Backend.ID]++
			took := 15 * time.Millisecond
			if lease.Backend.ID == "desk-01" {
				took *= 10
			}
			time.Sleep(took)
			lease.Finish(Result{Kind: Served})
		}
		is.True(got["desk-01"] < 30) // a third is its even share
	})
}

// TestRepeats has repeats of all entries stay within the share and the number
// that operators allow, in any window, however many calls fail.
func TestRepeats(t *testing.T) {
	tests := map[string]struct {
		entries int
		rate    int // requests a second at each entry
	}{
		"few entries":  {entries: 2, rate: 40},
		"many entries": {entries: 40, rate: 7},
		"no requests":  {entries: 7, rate: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var all []*Balancer
				for range test.entries {
					all = append(all, newTest(plain(), endpoints("desk", 3, 6, "a"), test.entries))
				}
				var requests, repeats []int // by tenth of a second
				for tick := range 300 {
					requests, repeats = append(requests, 0), append(repeats, 0)
					for _, b := range all {
						for range test.rate / 10 {
							b.pools["desk"].budget.fresh(time.Now())
							requests[tick]++
						}
						for range 20 {
							if b.Repeat("desk") {
								repeats[tick]++
							}
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				for end := 100; end <= 300; end++ {
					sent, again := 0, 0
					for i := end - 100; i < end; i++ {
						sent, again = sent+requests[i], again+repeats[i]
					}
					is.True(float64(again) <= 0.2*float64(sent)+90)
				}
			})
		})
	}
}

// TestCutEntriesKeepLimits has entries that hear nobody divide the slack of repeats and
// the cold rate among all that are known.
func TestCutEntriesKeepLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const entries, slack, rate = 7, 90, 14.0
		spec := plain()
		spec.ColdRate = rate
		backends := endpoints("desk", 1, 100, "a")
		backends[0].Cold = 10 * time.Second
		repeats, cold := 0, 0
		for i := range entries {
			b := New(WithRandom(rand.New(rand.NewPCG(uint64(i), 1))), WithRepeats(0, slack, 10*time.Second))
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{spec}, Backends: backends, Entries: 1, Sharers: entries})
			for b.Repeat("desk") {
				repeats++
			}
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				if lease, _, err := b.pools["desk"].admit(time.Now(), Query{Service: "desk"}); err == nil && lease != nil {
					cold++
					lease.Finish(Result{Kind: Served})
				}
			}
		}
		is.True(repeats <= slack)
		is.True(float64(cold) <= 1.5*rate+5) // each played the same second
	})
}
