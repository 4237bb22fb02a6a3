package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
