package ranks_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/ranks"
)

// TestBarrierAgreesInOnePass measures on the paused clock what the comparison
// of maps adds to a step. Carried by the messages of the barrier it adds
// nothing; as a second exchange it adds one more pass.
func TestBarrierAgreesInOnePass(t *testing.T) {
	rounds := map[int]time.Duration{2: 1, 16: 4, 64: 6, 256: 8}
	for n, passes := range rounds {
		for _, delay := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
			t.Run(fmt.Sprintf("%d ranks %v", n, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					plain, alike := ranks.NewBarrier(n, delay).Measure(t.Context(), slices.Repeat([]banyanplank.MapID{0}, n), 1)
					is.Equal(alike, 0)
					armed, alike := ranks.NewBarrier(n, delay).Measure(t.Context(), slices.Repeat([]banyanplank.MapID{7}, n), 1)
					is.Equal(alike, n)
					twice, _ := ranks.NewBarrier(n, delay).Measure(t.Context(), slices.Repeat([]banyanplank.MapID{7}, n), 2)
					t.Logf("%d ranks, one way %v: barrier %v, with the comparison %v, as a second exchange %v", n, delay, plain, armed, twice)
					is.Equal(plain, passes*delay)
					is.Equal(armed, plain)
					is.Equal(twice, 2*plain)
				})
			})
		}
	}
}

func TestBarrierFindsTheOddOne(t *testing.T) {
	for odd := range 5 {
		synctest.Test(t, func(t *testing.T) {
			armed := slices.Repeat([]banyanplank.MapID{7}, 5)
			armed[odd] = 0
			_, alike := ranks.NewBarrier(5, time.Millisecond).Measure(t.Context(), armed, 1)
			is.New(t).Equal(alike, 0) // not one rank switches
		})
	}
}

func TestGroupSwitchesTogether(t *testing.T) {
	is := is.New(t)
	var uses []ranks.Use
	g := ranks.NewGroup(2, 1, ranks.WithRecord(func(u ranks.Use) { uses = append(uses, u) }),
		ranks.WithFencing(func(rank int) bool { return rank == 0 }))
	order := func(rank int, kind banyanplank.OrderKind, fence uint64) error {
		return g.Order(rank, banyanplank.Order{Kind: kind, Fence: fence, Map: 2, Step: 2})
	}
	is.True(order(0, banyanplank.OrderSwitch, 1) != nil) // not prepared
	for rank := range 2 {
		is.NoErr(order(rank, banyanplank.OrderPrepare, 1))
	}
	is.NoErr(order(0, banyanplank.OrderSwitch, 1))
	is.True(g.Advance())
	is.True(g.Advance()) // one rank is armed, which is not enough
	is.NoErr(order(1, banyanplank.OrderSwitch, 1))
	is.True(g.Advance())
	is.Equal(uses, []ranks.Use{{1, 0, 1}, {1, 1, 1}, {2, 0, 1}, {2, 1, 1}, {3, 0, 2}, {3, 1, 2}})
	is.NoErr(order(0, banyanplank.OrderAbort, 2))
	is.True(errors.Is(order(0, banyanplank.OrderAbort, 1), ranks.ErrOldFence))
	is.NoErr(order(1, banyanplank.OrderAbort, 1)) // doesn't check
}

func TestRestartedRankJoinsWithTheMapInUse(t *testing.T) {
	is := is.New(t)
	g := ranks.NewGroup(2, 1)
	g.Stop(1)
	is.Equal(g.Advance(), false)
	g.Start(1, 9)
	s, ok := g.Status(1)
	is.True(ok)
	is.Equal(s.Map, banyanplank.MapID(1))
	g.Stop(0)
	g.Stop(1)
	g.Start(0, 9)
	g.Start(1, 8)
	s, _ = g.Status(1)
	is.Equal(s.Map, banyanplank.MapID(9)) // the first of a stopped group decides
}
