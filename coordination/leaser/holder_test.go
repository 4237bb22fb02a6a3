package leaser_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
	"github.com/banyanplank/banyanplank/standin/platform"
)

// dutyCall is a call that the platform received.
type dutyCall struct {
	at     time.Time
	holder banyanplank.DaemonID
	token  uint64
}

// dutyFleet is a number of entries that compete for one duty, and the calls they made.
type dutyFleet struct {
	ctx     context.Context
	stop    context.CancelFunc
	group   conc.WaitGroup
	stores  []*platform.Platform
	holders []*leaser.Holder
	frozen  []*atomic.Int64
	// pauses hold the channel on which a paused entry waits.
	pauses []*atomic.Pointer[chan struct{}]

	// late holds how long calls are on their way to the platform, in turns.
	late []time.Duration

	mutex sync.Mutex
	calls []dutyCall
}

// newDutyFleet starts count entries, each 2 s after the one before.
func newDutyFleet(t *testing.T, count int, options ...platform.Option) (f *dutyFleet) {
	f = &dutyFleet{}
	f.ctx, f.stop = context.WithCancel(t.Context())
	shared := platform.New(options...)
	for i := range count {
		f.add(shared.Client(), banyanplank.DaemonID(fmt.Sprint("front-a-", i)), 1)
		time.Sleep(2 * time.Second)
	}
	return f
}

// add starts an entry.
func (f *dutyFleet) add(store *platform.Platform, id banyanplank.DaemonID, incarnation banyanplank.Incarnation) (h *leaser.Holder) {
	frozen, pause := &atomic.Int64{}, &atomic.Pointer[chan struct{}]{}
	h = leaser.NewHolder(store, banyanplank.DutyUsage, banyanplank.Member{ID: id, Incarnation: incarnation},
		leaser.WithFrozenTime(func() time.Duration {
			if c := pause.Load(); c != nil {
				<-*c
			}
			return time.Duration(frozen.Load())
		}))
	f.pauses = append(f.pauses, pause)
	f.stores, f.holders, f.frozen = append(f.stores, store), append(f.holders, h), append(f.frozen, frozen)
	f.group.Go(func() { _ = h.Run(f.ctx) })
	return h
}

// act makes each entry try to make a call, every 100 ms for a duration. It returns the holders
// that made calls, each repetition left out.
func (f *dutyFleet) act(duration time.Duration, result error) (order []banyanplank.DaemonID) {
	begin := len(f.calls)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range f.holders {
			_ = h.Do(f.ctx, func(ctx context.Context, term banyanplank.Term) error {
				late := f.record(term)
				if banyanplank.Sleep(ctx, late) != nil {
					return banyanplank.ErrUncertain
				}
				return result
			})
		}
	}
	for _, c := range f.calls[begin:] {
		order = append(order, c.holder)
	}
	return slices.Compact(order)
}

// record records a call, and returns for how long it is on its way.
func (f *dutyFleet) record(term banyanplank.Term) (late time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.late) > 0 {
		late = f.late[len(f.calls)%len(f.late)]
	}
	f.calls = append(f.calls, dutyCall{time.Now().Add(late), term.Holder, term.Token})
	return late
}

// check checks that tokens never decrease, that none has two holders, and that no entry acts
// again within the lease after another acted in between.
func (f *dutyFleet) check(fail func(format string, args ...any)) {
	owners := map[uint64]banyanplank.DaemonID{}
	slices.SortStableFunc(f.calls, func(a, b dutyCall) int { return a.at.Compare(b.at) })
	for i, c := range f.calls {
		if owner, ok := owners[c.token]; ok && owner != c.holder {
			fail("token %d of %s and %s", c.token, owner, c.holder)
		}
		owners[c.token] = c.holder
		if i == 0 {
			continue
		}
		if c.token < f.calls[i-1].token {
			fail("token %d after %d", c.token, f.calls[i-1].token)
		}
		other := false
		for j := i - 1; j >= 0 && c.at.Sub(f.calls[j].at) < leaser.DefaultLease; j-- {
			other = other || f.calls[j].holder != c.holder
			if other && f.calls[j].holder == c.holder {
				fail("%s acts, then another, and then it again within the lease", c.holder)
				break
			}
		}
	}
}

// end checks the calls and stops all entries.
func (f *dutyFleet) end(t *testing.T) {
	t.Helper()
	f.check(t.Errorf)
	f.stop()
	f.group.Wait()
}

// TestDutyMovesFromLostHolder guards against a duty that stays with a holder that is cut off
// from the store or from the platform, and against one that acts beyond its term.
func TestDutyMovesFromLostHolder(t *testing.T) {
	tests := map[string]struct {
		cutStore bool
		result   error
		within   time.Duration
	}{
		"cut off from the store":             {true, nil, 8 * time.Second},
		"cut off from the platform":          {false, banyanplank.ErrUncertain, 10 * time.Second},
		"rejected by the platform with 503s": {false, banyanplank.ErrUnavailable, 6 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newDutyFleet(t, 2)
				is.Equal(f.act(time.Second, nil), []banyanplank.DaemonID{"front-a-0"})
				f.stores[0].SetDown(test.cutStore)
				is.Equal(f.act(test.within, test.result), []banyanplank.DaemonID{"front-a-0", "front-a-1"})
				f.end(t)
			})
		})
	}
}

// TestDutyMovesFromKilledHolder guards against a duty that nobody takes after its holder died,
// against an early takeover, and against a restarted process that acts under its old token.
func TestDutyMovesFromKilledHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDutyFleet(t, 1)
		f.act(time.Second, nil)
		f.stop()
		f.group.Wait()
		died, store := time.Now(), f.stores[0]
		f.ctx, f.stop = context.WithCancel(t.Context())
		f.stores, f.holders, f.frozen = nil, nil, nil
		f.add(store, "front-a-0", 2) // the same entry, restarted
		f.act(10*time.Second, nil)
		last := f.calls[len(f.calls)-1]
		is.Equal(last.token, uint64(2))
		for _, c := range f.calls {
			is.True(c.token == 1 || c.at.Sub(died) >= leaser.DefaultLease)
		}
		f.end(t)
	})
}

// TestFrozenHolderStops guards against a holder that acts after a freeze, which the monotonic
// clock doesn't count, before the store has confirmed its term, and before the platform counts
// its calls again.
func TestFrozenHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDutyFleet(t, 1)
		f.act(time.Second, nil)
		f.stores[0].SetDown(true)
		f.frozen[0].Add(int64(time.Second))
		is.Equal(len(f.act(time.Second, nil)), 0) // its term hasn't ended by the monotonic clock
		f.stores[0].SetDown(false)
		is.Equal(f.act(3*time.Second, nil), []banyanplank.DaemonID{"front-a-0"})
		f.frozen[0].Add(int64(time.Second))
		thawed, before := time.Now(), len(f.calls)
		f.act(3*time.Second, nil)
		is.True(f.calls[before].at.Sub(thawed) >= leaser.DefaultThaw)
		f.end(t)
	})
}

// TestPausedHolderStops guards against a holder that was paused between two calls, and that is
// woken late and makes the second call after another entry took over.
func TestPausedHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDutyFleet(t, 2)
		f.act(time.Second, nil)
		wake := make(chan struct{})
		f.pauses[0].Store(&wake)
		paused, result := f.holders[0], error(nil)
		f.holders = f.holders[1:]
		f.group.Go(func() {
			result = paused.Do(f.ctx, func(_ context.Context, term banyanplank.Term) error {
				f.record(term)
				return nil
			})
		})
		is.Equal(f.act(10*time.Second, nil), []banyanplank.DaemonID{"front-a-1"})
		close(wake)
		is.Equal(f.act(3*time.Second, nil), []banyanplank.DaemonID{"front-a-1"})
		f.end(t)
		is.True(errors.Is(result, leaser.ErrNotHeld))
	})
}

// TestReleasedDutyMovesAtOnce guards against a planned stop that delays the next holder, and
// against two restarting entries that act in turns.
func TestReleasedDutyMovesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDutyFleet(t, 2)
		f.act(time.Second, nil)
		f.holders[0].Release(t.Context())
		is.Equal(f.act(1700*time.Millisecond, nil), []banyanplank.DaemonID{"front-a-1"})
		f.add(f.stores[0], "front-a-0", 2)
		f.holders[1].Release(t.Context())
		released := time.Now()
		is.Equal(f.act(6*time.Second, nil), []banyanplank.DaemonID{"front-a-0"})
		is.True(f.calls[len(f.calls)-1].at.Sub(released) > leaser.DefaultLease)
		f.end(t)
	})
}

// TestHolderStopsInNewEra guards against a holder that acts on a lease that the store has lost,
// with a call that is being made, until it asks the store itself; and against a duty that nobody
// takes then, or that is taken before another holder has stopped.
func TestHolderStopsInNewEra(t *testing.T) {
	for name, age := range map[string]time.Duration{"copy with the lease": 2 * time.Second, "copy without": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newDutyFleet(t, 2, platform.WithEra(1))
				is.Equal(f.act(6*time.Second, nil), []banyanplank.DaemonID{"front-a-0"})
				f.holders[0].SetEra(1) // known already
				_, held := f.holders[0].Term()
				is.True(held)
				returned := time.Now()
				err := f.holders[0].Do(t.Context(), func(ctx context.Context, term banyanplank.Term) error {
					f.record(term)
					f.stores[0].Return(age)
					f.holders[0].SetEra(2)
					return ctx.Err()
				})
				is.True(errors.Is(err, context.Canceled))
				_, held = f.holders[0].Term()
				is.True(!held)
				begin := len(f.calls)
				is.Equal(len(f.act(10*time.Second, nil)), 1)
				is.True(f.calls[begin].at.Sub(returned) >= 2500*time.Millisecond+leaser.DefaultLease)
				is.Equal(f.calls[begin].token, uint64(2<<32+1))
				f.end(t)
			})
		})
	}
}

// TestUncertainCallDelaysNextHolder guards against a call without a reply that arrives after
// one of the next holder, also if a later call had a reply.
func TestUncertainCallDelaysNextHolder(t *testing.T) {
	for name, results := range map[string][]error{
		"last call": {banyanplank.ErrUncertain}, "call before": {banyanplank.ErrUncertain, nil}, "two calls": {banyanplank.ErrUncertain, banyanplank.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newDutyFleet(t, 2)
				for _, result := range results {
					_ = f.holders[0].Do(t.Context(), func(context.Context, banyanplank.Term) error { return result })
				}
				f.holders[0].Release(t.Context())
				is.Equal(len(f.act(leaser.DefaultLease, nil)), 0)
				is.Equal(f.act(6*time.Second, nil), []banyanplank.DaemonID{"front-a-1"})
				f.end(t)
			})
		})
	}
}

// TestCallEndsWithinTerm guards against a call that is still under way when the next holder acts.
func TestCallEndsWithinTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDutyFleet(t, 1)
		f.stores[0].SetDown(true)
		for range 30 {
			err := f.holders[0].Do(t.Context(), func(ctx context.Context, term banyanplank.Term) error {
				deadline, ok := ctx.Deadline()
				is.True(ok && !deadline.After(term.Until))
				return nil
			})
			is.True(err == nil || errors.Is(err, leaser.ErrNotHeld))
			time.Sleep(100 * time.Millisecond)
		}
		f.end(t)
	})
}

// TestDutyCallsStayBelowRate guards against calls above the platform's rate, also by two
// holders that follow each other.
func TestDutyCallsStayBelowRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		h := leaser.NewHolder(platform.New(), banyanplank.DutyUsage, banyanplank.Member{ID: "front-a-0", Incarnation: 1},
			leaser.WithCallInterval(500*time.Millisecond), leaser.WithFrozenTime(func() time.Duration { return 0 }))
		group.Go(func() { _ = h.Run(ctx) })
		time.Sleep(time.Second)
		calls := 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			is.NoErr(h.Do(ctx, func(context.Context, banyanplank.Term) error { calls++; return nil }))
		}
		is.True(calls >= 19 && calls <= 21)
		cancel()
		group.Wait()
	})
}

// TestDutyTokensNeverDecrease guards against holders that act in turns and against tokens that
// decrease or have two owners, over interleavings of cuts, lost and slow replies, stale reads, freezes,
// releases, restarts, failing calls and calls that arrive late.
func TestDutyTokensNeverDecrease(t *testing.T) {
	// Releases are drawn most often, as entries restart one after the other.
	checkDuties(t, 0, []int{0, 1, 2, 3, 4, 5, 5, 5, 6, 7, 7, 7, 8})
}

// TestDutyTokensNeverDecreaseAcrossReturns guards against the same while the store also returns
// from copies of up to 4.5 s ago, which one entry or more learn of at once.
func TestDutyTokensNeverDecreaseAcrossReturns(t *testing.T) {
	checkDuties(t, 1, []int{0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9, 10, 10, 10})
}

// checkDuties plays generated events.
func checkDuties(t *testing.T, era banyanplank.Era, kinds []int) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 16).Draw(rt, "events")
		entries := rapid.SliceOfN(rapid.IntRange(0, 2), len(events), len(events)).Draw(rt, "entries")
		pauses := rapid.SliceOfN(rapid.SampledFrom([]int{0, 2, 8, 18, 25, 40, 90}), len(events), len(events)).Draw(rt, "pauses")
		late := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 10, 300, 900, 1500, 2500}), 1, 40).Draw(rt, "late")
		fault := ""
		synctest.Test(t, func(t *testing.T) {
			f := newDutyFleet(t, 3, platform.WithEra(era))
			current := era
			for _, milliseconds := range late {
				f.late = append(f.late, time.Duration(milliseconds)*time.Millisecond)
			}
			result := error(nil)
			for i, event := range events {
				e := entries[i]
				switch event {
				case 0:
					f.stores[e].SetDown(true)
				case 1:
					f.stores[e].SetDown(false)
				case 2:
					f.stores[e].LoseReplies(2)
				case 3:
					f.stores[e].SetDelay(time.Duration(pauses[i])*20*time.Millisecond, time.Duration(pauses[i])*5*time.Millisecond)
				case 4:
					f.frozen[e].Add(int64(time.Second))
				case 5:
					f.holders[e].Release(f.ctx)
				case 7: // a new process; the old one goes on if it wasn't stopped
					old, oldFrozen := f.holders[e], f.frozen[e]
					f.holders[e] = f.add(f.stores[e], banyanplank.DaemonID(fmt.Sprint("front-a-", e)), banyanplank.Incarnation(i+2))
					last := len(f.holders) - 1
					f.frozen[e], f.holders[last], f.frozen[last] = f.frozen[last], old, oldFrozen
				case 8:
					f.stores[e].SetReadLag(time.Duration(pauses[i]) * 50 * time.Millisecond)
				case 9, 10:
					f.stores[e].Return(time.Duration(pauses[i]) * 50 * time.Millisecond)
					current++
					f.holders[e].SetEra(current)
					if event == 10 {
						f.holders[(e+1)%len(f.holders)].SetEra(current)
					}
				case 6:
					result = map[bool]error{true: banyanplank.ErrUncertain}[result == nil]
				}
				f.act(time.Duration(pauses[i])*100*time.Millisecond, result)
			}
			f.check(func(format string, args ...any) { fault = fmt.Sprintf(format, args...) })
			f.stop()
			f.group.Wait()
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}
