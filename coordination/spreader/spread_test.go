package spreader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// targetSpread bounds the time until a change is in force everywhere.
const targetSpread = 13 * time.Second

func TestChangeIsInForceEverywhere(t *testing.T) {
	tests := map[string]struct {
		entries, agents, zones int
		loss                   float64
		limit                  time.Duration
	}{
		"today":                     {8, 19, 3, 0, 3 * time.Second},
		"today, a third lost":       {8, 19, 3, 1.0 / 3, targetSpread},
		"target size, a third lost": {420, 600, 7, 1.0 / 3, targetSpread},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if testing.Short() && test.entries > 100 {
				t.Skip("large fleet")
			}
			is := is.New(t)
			f := newFleet(1, test.entries, test.agents, test.zones)
			f.accept(zoned(test.zones))
			f.startAll()
			f.advance(12 * time.Second)
			is.Equal(f.inForce(), len(f.daemons))
			is.Equal(f.serving(), len(f.daemons))
			f.loss = test.loss
			f.advance(3 * time.Second)
			f.accept(zoned(test.zones, 0))
			took := f.untilInForce(test.limit)
			t.Logf("in force at %d of %d daemons after %s", f.inForce(), len(f.daemons), took)
			is.Equal(f.inForce(), len(f.daemons))
			is.True(took < test.limit)
		})
	}
}
