package balancer

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// herd plays many entries that learn late of each other's calls, and returns the
// part of the calls that find an endpoint with more calls than it has places.
func herd(choose func(b *Balancer, i int) *Lease, all []*Balancer) (over float64) {
	type running struct {
		lease *Lease
		by    int
		until time.Time
	}
	const rate, work, slots = 270, 1100 * time.Millisecond, 10
	random := rand.New(rand.NewPCG(3, 4))
	held := make(map[banyanplank.BackendID]int)
	var calls []running
	sent, crowded := 0, 0
	for tick := range 1000 { // 10 s in steps of 10 ms
		now := time.Now()
		kept := calls[:0]
		for _, c := range calls {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			held[c.lease.Backend.ID]--
			c.lease.Finish(Result{Kind: Served})
		}
		calls = kept
		for range rate / 100 {
			i := random.IntN(len(all))
			lease := choose(all[i], i)
			sent++
			held[lease.Backend.ID]++
			if held[lease.Backend.ID] > slots {
				crowded++
			}
			calls = append(calls, running{lease: lease, by: i, until: now.Add(work)})
		}
		for i, b := range all {
			word := b.InFlight()
			for j, peer := range all {
				if i != j && (tick+i)%60 == 0 {
					peer.Hear(now, banyanplank.DaemonID(rune('a'+i)), word)
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return float64(crowded) / float64(sent)
}

// TestHerd has 40 entries with late news of each other not send to the same
// endpoints, while the service has three times the places that are needed.
func TestHerd(t *testing.T) {
	tests := map[string]struct {
		entries int // that each believes to share the endpoints with
		most    float64
		least   float64
	}{
		"sampled":          {entries: 40, most: 0.001},
		"all, the control": {entries: 1, least: 0.001, most: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var all []*Balancer
				for i := range 40 {
					b := New(WithZone("a"), WithRandom(rand.New(rand.NewPCG(1, uint64(i)))))
					b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{engine(10)}, Backends: endpoints("chat", 72, 10, "a"), Entries: test.entries})
					all = append(all, b)
				}
				over := herd(func(b *Balancer, _ int) *Lease {
					lease, err := b.Acquire(t.Context(), Query{Service: "chat", Prompt: 800, Goal: time.Second})
					is.NoErr(err)
					return lease
				}, all)
				t.Logf("%.4f of the calls found no place", over)
				is.True(over <= test.most)
				is.True(over >= test.least)
			})
		})
	}
}

// TestPace has the limit fall while streams pause longer than the engine's data tell,
// and rise again.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c pace
		c.configure(&banyanplank.EngineSpec{Slots: 12, Step: 5 * time.Millisecond, PerSequence: time.Millisecond, Stride: 4}, 120*time.Millisecond)
		is.Equal(c.limit(12), 12.0) // nothing known
		play := func(slowness float64, span time.Duration) {
			for range int(span / (10 * time.Millisecond)) {
				calls := c.limit(12)
				c.observe(time.Now(), time.Duration(slowness*float64(c.pass(calls))), calls)
				time.Sleep(10 * time.Millisecond)
			}
		}
		play(1.2, 5*time.Second)
		is.Equal(c.limit(12), 12.0)
		play(1.8, 5*time.Second)
		is.True(c.limit(12) < 8)
		is.True(c.limit(12) > 5)
		// Passes stay below the longest pause as soon as the limit holds.
		is.True(time.Duration(1.8*float64(c.pass(c.limit(12)))) < 120*time.Millisecond)
		play(1.2, 5*time.Second)
		is.Equal(c.limit(12), 12.0)
		// Where few calls would be as late as many, none is refused for it.
		play(5, 5*time.Second)
		is.Equal(c.limit(12), 12.0)
	})
}

// TestTwoPaces has one of two groups behind a service be slow. The other keeps its
// limit.
func TestTwoPaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spec := engine(12)
		spec.Engine.Step, spec.Engine.PerSequence, spec.Engine.Stride = 5*time.Millisecond, time.Millisecond, 4
		backends := endpoints("chat", 16, 12, "a")
		for i := range backends {
			backends[i].Group = banyanplank.GroupName([]string{"g0", "g1"}[i%2])
		}
		b := newTest(spec, backends, 1)
		b.Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{spec}, Backends: backends, Entries: 1,
			Gaps: map[banyanplank.ServiceName]time.Duration{"chat": 120 * time.Millisecond}})
		var streams []*Lease
		for range 96 {
			lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 400 * time.Millisecond})
			is.NoErr(err)
			lease.Begun()
			streams = append(streams, lease)
		}
		gaps := map[banyanplank.GroupName]time.Duration{"g0": 95 * time.Millisecond, "g1": 50 * time.Millisecond}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for _, l := range streams {
				l.Event(gaps[l.Backend.Group])
			}
		}
		held := make(map[banyanplank.GroupName]int)
		for range 96 {
			if lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 400 * time.Millisecond}); err == nil {
				held[lease.Backend.Group]++
			}
		}
		is.Equal(held["g0"], 0)  // its streams pause too long already
		is.True(held["g1"] > 32) // of 48 places
	})
}
