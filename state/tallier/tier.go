package tallier

import (
	"cmp"
	"slices"
	"time"
)

// tier holds the buckets of one resolution.
type tier struct {
	span   time.Duration
	kept   int
	start  time.Time
	open   map[Pair]*Counts
	closed []Bucket
}

// newTier returns a tier without counts.
func newTier(span time.Duration, kept int) *tier {
	return &tier{span: span, kept: kept, open: make(map[Pair]*Counts)}
}

// isDue reports whether the open bucket ends at or before now.
func (t *tier) isDue(now time.Time) (due bool) {
	return !now.Before(t.start.Add(t.span))
}

// add counts in the open bucket.
func (t *tier) add(pair Pair, counts Counts) {
	held, ok := t.open[pair]
	if !ok {
		if len(t.open) >= openPairs {
			fold(t.open, openPairs/2)
		}
		held = t.hold(pair)
	}
	held.Add(counts)
}

// hold returns the counts of a pair, which may be new.
func (t *tier) hold(pair Pair) (held *Counts) {
	held, ok := t.open[pair]
	if !ok {
		held = &Counts{}
		t.open[pair] = held
	}
	return held
}

// roll closes the open bucket and opens the one that now is in.
func (t *tier) roll(now time.Time) {
	if len(t.open) > 0 {
		t.keep(Bucket{Start: t.start, Span: t.span, Cells: top(t.open, closedPairs)})
	}
	t.open = make(map[Pair]*Counts)
	t.start = now.UTC().Truncate(t.span)
	t.forget(now)
}

// keep adds a closed bucket, or its counts to one of the same start.
func (t *tier) keep(bucket Bucket) {
	index, found := slices.BinarySearchFunc(t.closed, bucket.Start, func(b Bucket, start time.Time) int {
		return b.Start.Compare(start)
	})
	if !found {
		t.closed = slices.Insert(t.closed, index, bucket)
		return
	}
	sum := make(map[Pair]*Counts)
	addCells(sum, t.closed[index].Cells)
	addCells(sum, bucket.Cells)
	t.closed[index].Cells = top(sum, closedPairs)
}

// forget drops the buckets that are too old.
func (t *tier) forget(now time.Time) {
	oldest := now.Truncate(t.span).Add(-time.Duration(t.kept) * t.span)
	t.closed = slices.DeleteFunc(t.closed, func(b Bucket) bool { return b.Start.Before(oldest) })
}

// buckets returns the closed buckets and the open one, with extra added to it.
func (t *tier) buckets(extra map[Pair]*Counts) (buckets []Bucket) {
	buckets = slices.Clone(t.closed)
	sum := make(map[Pair]*Counts)
	addAll(sum, t.open)
	addAll(sum, extra)
	if len(sum) > 0 {
		buckets = append(buckets, Bucket{Start: t.start, Span: t.span, Cells: top(sum, closedPairs)})
	}
	return buckets
}

// addCells adds cells to a sum.
func addCells(sum map[Pair]*Counts, cells []Cell) {
	for _, c := range cells {
		addTo(sum, c.Pair, c.Counts)
	}
}

// addAll adds counts to a sum.
func addAll(sum map[Pair]*Counts, counts map[Pair]*Counts) {
	for pair, held := range counts {
		addTo(sum, pair, *held)
	}
}

func addTo(sum map[Pair]*Counts, pair Pair, counts Counts) {
	held, ok := sum[pair]
	if !ok {
		held = &Counts{}
		sum[pair] = held
	}
	held.Add(counts)
}

// top returns the cells of at most limit named pairs, in pair order. What the
// other pairs of a service counted is in its pair without account.
func top(counts map[Pair]*Counts, limit int) (cells []Cell) {
	held := make(map[Pair]*Counts, len(counts))
	addAll(held, counts)
	fold(held, limit)
	for pair, c := range held {
		cells = append(cells, Cell{Pair: pair, Counts: *c})
	}
	slices.SortFunc(cells, func(a, b Cell) int { return comparePairs(a.Pair, b.Pair) })
	return cells
}

// fold counts all but limit named pairs together by service. The pairs with
// the most bad calls stay, then those with the most calls.
func fold(counts map[Pair]*Counts, limit int) {
	var named []Pair
	for pair := range counts {
		if pair.Account != "" {
			named = append(named, pair)
		}
	}
	if len(named) <= limit {
		return
	}
	slices.SortFunc(named, func(a, b Pair) int {
		return cmp.Or(
			cmp.Compare(counts[b].bad(), counts[a].bad()),
			cmp.Compare(counts[b].Calls, counts[a].Calls),
			comparePairs(a, b),
		)
	})
	for _, pair := range named[limit:] {
		addTo(counts, Pair{Service: pair.Service}, *counts[pair])
		delete(counts, pair)
	}
}

func comparePairs(a, b Pair) (order int) {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
}
