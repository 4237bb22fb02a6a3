package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/platform"
)

// TestDutiesEndWithTheEra guards against an entry that learns from any response that the store
// returned from an older copy, and acts on a lease from before.
func TestDutiesEndWithTheEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newTestFleet(map[banyanplank.Zone]int{"a": 1}).daemons[0]
		d.duties = &duties{self: d.self.ID}
		d.RecordEra(0, 1)
		h := d.newHolder(platform.New(platform.WithEra(1)), banyanplank.DutyScale)
		h.SetCandidate(true)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() { _ = h.Run(ctx) })
		time.Sleep(8 * time.Second)
		_, held := h.Term()
		is.True(held)
		d.RecordEra(1, 2)
		_, held = h.Term()
		is.True(!held)
		cancel()
		group.Wait()
	})
}

// TestCallsOfAllDutiesStayBelowRate guards against more calls than the rate within a second when
// the holders of all duties, which don't know of each other, call as often as they may.
func TestCallsOfAllDutiesStayBelowRate(t *testing.T) {
	const jitter = 40 * time.Millisecond // of the time that a call takes to the platform
	for _, rate := range []float64{2, 3, 4.5, 5, 7, 10, 25} {
		for duties := 1; duties <= 2; duties++ {
			is := is.New(t)
			interval := callInterval(rate, duties)
			perDuty := (time.Second + jitter + interval - 1) / interval
			is.True(duties*int(perDuty) <= int(rate))
			is.True(interval <= 2*time.Duration(float64(time.Second)*float64(duties)/rate))
		}
	}
	is := is.New(t)
	is.Equal(callInterval(0.5, 2), 4*time.Second) // on average, below one call per second
	is.Equal(callInterval(1e-9, 1), maxCallInterval)
}
