package tallier

import (
	"cmp"
	"slices"
	"time"
)

// tier holds the open bucket and the closed buckets of one resolution.
type tier struct {
	span            time.Duration
	retainedBuckets int
	start           time.Time
	open            map[Pair]*Counts
	closed          []Bucket
}

// newTier returns a tier without counts that retains the given number of closed
// buckets.
func newTier(span time.Duration, retainedBuckets int) *tier {
	return &tier{span: span, retainedBuckets: retainedBuckets, open: make(map[Pair]*Counts)}
}

// isDue reports whether the open bucket ends at or before now.
func (t *tier) isDue(now time.Time) (due bool) {
	return !now.Before(t.start.Add(t.span))
}

// add adds counts to the open bucket. If the bucket is full and the pair is new, it
// first reduces the named pairs to half of the limit.
func (t *tier) add(pair Pair, counts Counts) {
	current, ok := t.open[pair]
	if !ok {
		if len(t.open) >= maxOpenPairs {
			foldPairs(t.open, maxOpenPairs/2)
		}
		current = t.openCounts(pair)
	}
	current.Add(counts)
}

// openCounts returns the counts of a pair in the open bucket and adds the pair if it
// is new.
func (t *tier) openCounts(pair Pair) (current *Counts) {
	current, ok := t.open[pair]
	if !ok {
		current = &Counts{}
		t.open[pair] = current
	}
	return current
}

// roll closes the open bucket and opens the one that contains now.
func (t *tier) roll(now time.Time) {
	if len(t.open) > 0 {
		t.addClosed(Bucket{Start: t.start, Span: t.span, Cells: topCells(t.open, maxClosedPairs)})
	}
	t.open = make(map[Pair]*Counts)
	t.start = now.UTC().Truncate(t.span)
	t.dropExpired(now)
}

// addClosed adds a closed bucket. If one with the same start exists, it merges the
// counts.
func (t *tier) addClosed(bucket Bucket) {
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
	t.closed[index].Cells = topCells(sum, maxClosedPairs)
}

// dropExpired drops the closed buckets whose retention time has passed.
func (t *tier) dropExpired(now time.Time) {
	oldest := now.Truncate(t.span).Add(-time.Duration(t.retainedBuckets) * t.span)
	t.closed = slices.DeleteFunc(t.closed, func(b Bucket) bool { return b.Start.Before(oldest) })
}

// buckets returns the closed buckets and the open one, to which it adds extra.
func (t *tier) buckets(extra map[Pair]*Counts) (buckets []Bucket) {
	buckets = slices.Clone(t.closed)
	sum := make(map[Pair]*Counts)
	addCounts(sum, t.open)
	addCounts(sum, extra)
	if len(sum) > 0 {
		buckets = append(buckets, Bucket{Start: t.start, Span: t.span, Cells: topCells(sum, maxClosedPairs)})
	}
	return buckets
}

func addCells(sum map[Pair]*Counts, cells []Cell) {
	for _, c := range cells {
		addPair(sum, c.Pair, c.Counts)
	}
}

func addCounts(sum map[Pair]*Counts, counts map[Pair]*Counts) {
	for pair, c := range counts {
		addPair(sum, pair, *c)
	}
}

func addPair(sum map[Pair]*Counts, pair Pair, counts Counts) {
	current, ok := sum[pair]
	if !ok {
		current = &Counts{}
		sum[pair] = current
	}
	current.Add(counts)
}

// topCells returns the cells of at most limit named pairs, sorted by pair. The
// counts of the other pairs of a service are in its pair without an account.
func topCells(counts map[Pair]*Counts, limit int) (cells []Cell) {
	merged := make(map[Pair]*Counts, len(counts))
	addCounts(merged, counts)
	foldPairs(merged, limit)
	for pair, c := range merged {
		cells = append(cells, Cell{Pair: pair, Counts: *c})
	}
	slices.SortFunc(cells, func(a, b Cell) int { return comparePairs(a.Pair, b.Pair) })
	return cells
}

// foldPairs aggregates all but limit named pairs by service. It keeps the pairs with
// the most bad calls, then those with the most calls.
func foldPairs(counts map[Pair]*Counts, limit int) {
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
			cmp.Compare(counts[b].badCalls(), counts[a].badCalls()),
			cmp.Compare(counts[b].Calls, counts[a].Calls),
			comparePairs(a, b),
		)
	})
	for _, pair := range named[limit:] {
		addPair(counts, Pair{Service: pair.Service}, *counts[pair])
		delete(counts, pair)
	}
}

func comparePairs(a, b Pair) (order int) {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
}
