package planner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/planner"
)

// skewedInput is a group of 8 ranks whose layers each have other experts in demand.
func skewedInput(t *testing.T, seed uint64) (input planner.Input) {
	shape := banyanplank.MapShape{Ranks: 8, Layers: 6, Experts: 64, Slots: 11}
	m, err := banyanplank.NewExpertMap("g", 1, shape)
	is.New(t).NoErr(err)
	random := rand.New(rand.NewPCG(seed, 1))
	input = planner.Input{
		Map:        m,
		Popularity: banyanplank.Popularity{Shape: shape},
		Ranks:      make([]planner.Rank, shape.Ranks),
		Limits:     planner.Limits{Loads: 192, Staging: 24, Layer: 4},
		Prices: planner.Prices{
			Fixed: 10 * time.Millisecond, Token: 100 * time.Microsecond, Steps: 100, Load: time.Microsecond,
			Horizon: 4 * time.Second, Copy: 150 * time.Millisecond, Delay: 250 * time.Millisecond,
		},
		Next: 2,
	}
	for range shape.Layers {
		for _, e := range random.Perm(shape.Experts) {
			input.Popularity.Tokens = append(input.Popularity.Tokens, 1000/float32(e+1))
		}
	}
	return input
}

// filled returns the slots that a plan fills of each rank, and of each of its layers.
func filled(plan planner.Plan) (most, layered int) {
	ranks, layers := make(map[uint16]int), make(map[[2]uint16]int)
	for _, v := range plan.Moves {
		ranks[v.Rank]++
		layers[[2]uint16{v.Layer, v.Rank}]++
		most, layered = max(most, ranks[v.Rank]), max(layered, layers[[2]uint16{v.Layer, v.Rank}])
	}
	return most, layered
}

// TestPlanWinsSoon has experts take long to copy. A plan spreads its copies over the
// ranks and wins more, for the time until it is in use, than one that copies all at
// once. The plans after it get as far.
func TestPlanWinsSoon(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		soon := skewedInput(t, seed)
		whole := soon
		whole.Prices.Copy = 0
		first, err := planner.Make(soon)
		is.NoErr(err)
		all, err := planner.Make(whole)
		is.NoErr(err)
		most, layered := filled(first)
		mostAll, _ := filled(all)
		is.True(most < mostAll)
		is.True(layered <= soon.Limits.Layer)
		rate := func(p planner.Plan, slots int) float64 {
			return (p.Before - p.After).Seconds() / (soon.Prices.Delay + time.Duration(slots)*soon.Prices.Copy).Seconds()
		}
		is.True(rate(first, most) > rate(all, mostAll))
		last := first
		for range 12 {
			soon.Map, soon.Next = last.Map, last.Map.ID+1
			last, err = planner.Make(soon)
			is.NoErr(err)
		}
		is.True(last.SkewAfter < 1.05*all.SkewAfter)
	}
}
