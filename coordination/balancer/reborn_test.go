package balancer

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// TestRebornEndpoints is the pattern after a loss of power: half of the listed
// endpoints have lost their addresses to new ones. Each of these gets one call in
// vain, and no more until the platform has taken it out.
func TestRebornEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(engine(12), endpoints("chat", 16, 12, "a"), 1)
		vain, served := 0, 0
		for range 100 {
			lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 400 * time.Millisecond})
			is.NoErr(err)
			time.Sleep(10 * time.Millisecond)
			if lease.Backend.ID < "chat-08" {
				lease.Finish(Result{Kind: Misdirected})
				vain++
				continue
			}
			lease.Begun()
			lease.Finish(Result{Kind: Served})
			served++
		}
		is.True(vain <= 8)
		is.True(served >= 92)
	})
}

// TestRebornGroup has all endpoints of a large group start again, and many entries
// share their cold rate. Its calls are served from the first second on, and no
// endpoint gets more than the platform allows: 1.5 times its rate and 5 more.
func TestRebornGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const entries, ranks, rate, asked = 45, 72, 14.0, 230
		spec := engine(12)
		spec.ColdRate = rate
		backends := endpoints("chat", ranks, 12, "a", "b", "c")
		for i := range backends {
			backends[i].Cold = 3 * time.Second
		}
		all := make([]*Balancer, entries)
		for i := range all {
			all[i] = New(WithZone("a"), WithRandom(rand.New(rand.NewPCG(uint64(i), 7))))
			all[i].Renew(time.Now(), Fleet{Pools: []banyanplank.PoolSpec{spec}, Backends: backends, Entries: entries})
		}
		for second := range 3 {
			served, most := 0, make(map[banyanplank.BackendID]int)
			for call := range asked {
				lease, _, err := all[call%entries].pools["chat"].admit(time.Now(), Query{Service: "chat"})
				if err == nil && lease != nil {
					served++
					most[lease.Backend.ID]++
					lease.Heard(&banyanplank.ReplyInfo{Cold: 3*time.Second - time.Duration(second)*time.Second})
					lease.Finish(Result{Kind: Served})
				}
				time.Sleep(time.Second / asked)
			}
			is.True(served >= asked*9/10)
			for _, calls := range most {
				is.True(float64(calls) <= rate*1.5+5)
			}
		}
	})
}
