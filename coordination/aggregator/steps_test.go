package aggregator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank/coordination/aggregator"
)

// TestReportsThatEndStepsApart takes reports of ranks that run as many tokens in
// each step and read their counts at slightly other times.
func TestReportsThatEndStepsApart(t *testing.T) {
	is := is.New(t)
	m := newMap(t, 1)
	a := aggregator.New(m)
	for rank, late := range []int{-1, 0, 1, 3} {
		report := reportOf(m, rank, 1, make([]float64, shape.Experts))
		report.Span, report.Steps = time.Second, uint64(50+late)
		for slot := range report.Tokens {
			report.Tokens[slot] = uint32(100 * report.Steps)
		}
		is.NoErr(a.Observe(start, report))
	}
	popularity, err := a.Round(start)
	is.NoErr(err)
	homes := make(map[uint16]float32)
	for _, e := range m.Layer(0) {
		homes[e]++
	}
	for e := range shape.Experts {
		perHome := popularity.Tokens[e] / homes[uint16(e)]
		is.True(perHome > 0.99*popularity.Tokens[0]/homes[0])
		is.True(perHome < 1.01*popularity.Tokens[0]/homes[0])
	}
}

// TestSlowerGroup lets a rank report for the first time after the group has become
// slower. Experts that were known before don't seem busier than its own.
func TestSlowerGroup(t *testing.T) {
	is := is.New(t)
	m := newMap(t, 1)
	a := aggregator.New(m)
	observe := func(rank int, sequence, steps uint64) {
		report := reportOf(m, rank, sequence, make([]float64, shape.Experts))
		report.Span, report.Steps = time.Second, steps
		for slot := range report.Tokens {
			report.Tokens[slot] = uint32(100 * steps)
		}
		is.NoErr(a.Observe(start, report))
	}
	for rank := range shape.Ranks - 1 {
		observe(rank, 1, 50)
	}
	_, _ = a.Round(start) // some experts are unknown
	for rank := range shape.Ranks {
		observe(rank, 2, 25)
	}
	popularity, err := a.Round(start)
	is.NoErr(err)
	homes := make(map[uint16]float32)
	for _, e := range m.Layer(0) {
		homes[e]++
	}
	for e := range shape.Experts {
		perHome := popularity.Tokens[e] / homes[uint16(e)]
		is.True(perHome > 0.99*2500 && perHome < 1.01*2500) // 100 tokens in 25 steps
	}
}
