package balancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// ask sends a call that takes a time, and reports which endpoint it reached.
func ask(ctx context.Context, b *Balancer, service banyanplank.ServiceName, takes time.Duration, reply banyanplank.ReplyInfo) (id banyanplank.BackendID, err error) {
	lease, err := b.Acquire(ctx, Query{Service: service, Goal: 400 * time.Millisecond})
	if err != nil {
		return "", err
	}
	time.Sleep(takes)
	lease.Heard(&reply)
	kind := Served
	if reply.Pause > 0 {
		kind = Declined
	}
	lease.Finish(Result{Kind: kind})
	return lease.Backend.ID, nil
}

// TestLeavingEndpoint has an endpoint that said that it leaves get no call, whatever the
// platform lists, until it is listed in a later incarnation.
func TestLeavingEndpoint(t *testing.T) {
	born := time.UnixMilli(1000)
	listed := func(born time.Time) []banyanplank.Backend {
		return []banyanplank.Backend{{ID: "one", Service: "desk", Zone: "a", Slots: 4, Born: born}}
	}
	leave := func(t *testing.T, b *Balancer) {
		lease, err := b.Acquire(t.Context(), Query{Service: "desk"})
		is.New(t).NoErr(err)
		is.New(t).True(lease.Heard(&banyanplank.ReplyInfo{Leaving: true}))
		is.New(t).True(!lease.Heard(&banyanplank.ReplyInfo{Leaving: true})) // news once
		lease.Finish(Result{Kind: Served})
	}
	tests := map[string]struct {
		play func(t *testing.T, b *Balancer)
		gets bool
	}{
		"has said nothing": {func(*testing.T, *Balancer) {}, true},
		"has said so":      {leave, false},
		"listed as ready again": {func(t *testing.T, b *Balancer) {
			leave(t, b)
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Backends: listed(born), Entries: 1})
		}, false},
		"lapsed in an outage and back": {func(t *testing.T, b *Balancer) {
			leave(t, b)
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Entries: 1})
			time.Sleep(20 * time.Second)
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Backends: listed(born), Entries: 1})
		}, false},
		"a configuration without its service, and one with it": {func(t *testing.T, b *Balancer) {
			leave(t, b)
			b.Renew(time.Now(), Fleet{Backends: listed(born), Entries: 1})
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Backends: listed(born), Entries: 1})
		}, false},
		"started again under its id": {func(t *testing.T, b *Balancer) {
			leave(t, b)
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Backends: listed(born.Add(time.Second)), Entries: 1})
		}, true},
		"another entry says so": {func(_ *testing.T, b *Balancer) {
			b.HearLeaving(time.Now(), []banyanplank.Leaver{{ID: "one", Born: born}})
		}, false},
		"another entry says so before it is listed": {func(_ *testing.T, b *Balancer) {
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Entries: 1})
			b.HearLeaving(time.Now(), []banyanplank.Leaver{{ID: "one", Born: born}})
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Backends: listed(born), Entries: 1})
		}, false},
		"another entry says so of an earlier incarnation": {func(_ *testing.T, b *Balancer) {
			b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Backends: listed(born.Add(time.Second)), Entries: 1})
			b.HearLeaving(time.Now(), []banyanplank.Leaver{{ID: "one", Born: born}})
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTest(plain(), listed(born), 1)
				test.play(t, b)
				_, err := b.Acquire(t.Context(), Query{Service: "desk"})
				is.Equal(err == nil, test.gets)
			})
		})
	}
}

// TestLeaversAreTold has an entry tell the others of those that the platform still lists
// as ready, and be silent once that lists them as leaving.
func TestLeaversAreTold(t *testing.T) {
	is := is.New(t)
	backends := endpoints("desk", 2, 4, "a")
	b := newTest(plain(), backends, 2)
	b.HearLeaving(time.Now(), []banyanplank.Leaver{{ID: "desk-01"}})
	is.Equal(len(b.Leavers()), 1)
	is.Equal(len(b.HearLeaving(time.Now(), b.Leavers())), 0) // no news
	backends[1].Leaving = true
	b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Backends: backends, Entries: 2})
	is.Equal(len(b.Leavers()), 0)
}

// TestPausedEndpoint is the pattern of one endpoint of three that wants no calls for a
// while, under load of many entries. It gets none until then, and after it not from all
// entries at once.
func TestPausedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const entries, pause = 20, 2 * time.Second
		backends := endpoints("desk", 3, 8, "a")
		all := make([]*Balancer, entries)
		for i := range all {
			all[i] = New(WithZone("a"), WithRandom(rand.New(rand.NewPCG(uint64(i), 3))))
			all[i].Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{plain()}, Backends: backends, Entries: entries})
			lease, err := all[i].Acquire(t.Context(), Query{Service: "desk", Avoid: []banyanplank.BackendID{"desk-01", "desk-02"}})
			is.NoErr(err)
			lease.Heard(&banyanplank.ReplyInfo{Pause: pause})
			lease.Finish(Result{Kind: Declined})
		}
		told := time.Now()
		first, total := 0, 0
		for step := range 3000 {
			time.Sleep(time.Millisecond)
			// A repeat that has tried the others in vain would take any place.
			query := Query{Service: "desk", Avoid: []banyanplank.BackendID{"desk-01", "desk-02"}}
			lease, _, err := all[step%entries].pools["desk"].admit(time.Now(), query)
			if lease == nil {
				is.True(err != nil) // it doesn't wait for the end of the pause
				continue
			}
			after := time.Since(told) - pause
			is.True(after >= 0)
			total++
			if after < 100*time.Millisecond {
				first++
			}
			lease.Finish(Result{Kind: Served})
		}
		is.True(total > 100)      // it is in use again
		is.True(first <= entries) // and not by all entries at once
	})
}

// TestPausedRamp has an endpoint that ends its pause get one call, then two, then as many
// as it may hold.
func TestPausedRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(plain(), endpoints("desk", 1, 4, "a"), 1)
		_, err := ask(t.Context(), b, "desk", 0, banyanplank.ReplyInfo{Pause: time.Second})
		is.NoErr(err)
		time.Sleep(time.Minute)
		for _, fits := range []int{1, 2, 8} {
			var leases []*Lease
			for {
				lease, _, _ := b.pools["desk"].admit(time.Now(), Query{Service: "desk"})
				if lease == nil {
					break
				}
				leases = append(leases, lease)
			}
			is.Equal(len(leases), fits)
			for _, lease := range leases {
				lease.Finish(Result{Kind: Served})
			}
		}
	})
}

// TestPausedService is the pattern of a service all of whose endpoints want no calls.
// Callers are refused at once, with the time that is left, spread over them.
func TestPausedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause = 3 * time.Second
		b := newTest(plain(), endpoints("desk", 3, 4, "a"), 1)
		for range 3 {
			_, err := ask(t.Context(), b, "desk", 0, banyanplank.ReplyInfo{Pause: pause})
			is.NoErr(err)
		}
		times := make(map[time.Duration]bool)
		for range 50 {
			began := time.Now()
			_, err := b.Acquire(t.Context(), Query{Service: "desk", Goal: 300 * time.Millisecond})
			var refusal *banyanplank.Refusal
			is.True(errors.As(err, &refusal))
			is.Equal(time.Since(began), time.Duration(0))
			is.Equal(refusal.Outcome, banyanplank.NotRun)
			is.True(refusal.RetryAfter >= pause)
			is.True(refusal.RetryAfter <= 2*pause)
			times[refusal.RetryAfter] = true
		}
		is.True(len(times) > 40)
	})
}

// BenchmarkCall measures what a call costs at the balancer, from its place to its end.
func BenchmarkCall(b *testing.B) {
	all := newTest(plain(), endpoints("desk", 72, 8, "a", "b", "c"), 1)
	query := Query{Service: "desk", Goal: 300 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		lease, err := all.Acquire(b.Context(), query)
		if err != nil {
			b.Fatal(err)
		}
		lease.Finish(Result{Kind: Served})
	}
}
