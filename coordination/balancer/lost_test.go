package balancer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// TestLostRank has a group of ranks lose one. Its streams fall silent, then all
// calls are declined for two seconds. Callers are refused at once and told to
// return when it is likely open, few calls are sent in vain, and the group is used
// again soon after it opens.
func TestLostRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(engine(12), endpoints("chat", 16, 12, "a"), 1)
		var streams []*Lease
		for range 20 {
			lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 400 * time.Millisecond})
			is.NoErr(err)
			lease.Begun()
			streams = append(streams, lease)
		}
		const stall, down = 1500 * time.Millisecond, 2 * time.Second
		begin := time.Now()
		sent, refused, served := 0, 0, time.Duration(0)
		for time.Since(begin) < stall+down+time.Second {
			age := time.Since(begin)
			if age >= stall {
				for _, l := range streams {
					l.Finish(Result{Kind: Failed})
				}
				streams = nil
			}
			lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 400 * time.Millisecond})
			switch {
			case err != nil:
				refusal := refusalOf(t, err)
				is.Equal(refusal.Outcome, banyanplank.NotRun)
				is.True(refusal.RetryAfter >= time.Second)
				refused++
			case age > silence && age < stall+down:
				sent++
				lease.Finish(Result{Kind: Declined, Blameless: true})
			default:
				if age >= stall+down && served == 0 {
					served = age - stall - down
				}
				lease.Begun()
				lease.Finish(Result{Kind: Served})
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.True(sent <= 14) // one in each quarter of a second, of 150
		is.True(refused >= 100)
		is.True(served <= probePause+20*time.Millisecond)
	})
}

// TestReturningCallers has a group lose a rank for as long as the platform takes to
// start it again. Callers that are refused come back once, when they are told to, and
// the group takes nearly all of them then.
func TestReturningCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const back, form, callers = 1600 * time.Millisecond, 600 * time.Millisecond, 320
		backends := endpoints("chat", 16, 12, "a")
		b := newTest(engine(12), backends, 1)
		begin := time.Now()
		down := func() bool { return time.Since(begin) < back+form }
		// call makes a call and returns when to come back, or zero.
		call := func() (after time.Duration) {
			lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 400 * time.Millisecond})
			if err != nil {
				return refusalOf(t, err).RetryAfter
			}
			if down() {
				lease.Finish(Result{Kind: Declined, Blameless: true})
				return b.RetryAfter("chat")
			}
			lease.Begun()
			lease.Finish(Result{Kind: Served})
			return 0
		}
		var work conc.WaitGroup
		work.Go(func() {
			time.Sleep(back)
			backends[3].ID = "chat-new"
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{engine(12)}, Backends: backends, Entries: 1})
		})
		var refused, again atomic.Int64
		for i := range callers {
			work.Go(func() {
				time.Sleep(time.Duration(i) * (back + form) / callers)
				after := call()
				if after == 0 {
					return
				}
				refused.Add(1)
				time.Sleep(after)
				if call() > 0 {
					again.Add(1)
				}
			})
		}
		work.Wait()
		is.True(refused.Load() > callers/2)
		is.True(again.Load() < refused.Load()/10)
	})
}

// TestLostRankOfMany has one of four groups behind a service lose a rank. The others
// go on: of its calls some are sent in vain to see whether it is open, and none is
// refused.
func TestLostRankOfMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backends := endpoints("chat", 32, 12, "a")
		for i := range backends {
			backends[i].Group = banyanplank.GroupName([]string{"g0", "g1", "g2", "g3"}[i%4])
		}
		b := newTest(engine(12), backends, 1)
		vain, served := 0, 0
		for range 400 { // four seconds
			lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 400 * time.Millisecond})
			is.NoErr(err)
			if lease.Backend.Group == "g2" {
				lease.Finish(Result{Kind: Declined, Blameless: true})
				vain++
			} else {
				lease.Begun()
				lease.Finish(Result{Kind: Served})
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(vain <= 17) // one in each quarter of a second
		is.True(served >= 383)
	})
}
