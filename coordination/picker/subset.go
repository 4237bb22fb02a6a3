package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// The size of the subset that an entry keeps to.
const (
	// leastSubset is the smallest subset.
	leastSubset = 32
	// cover is the number of entries that should reach each destination.
	cover = 8
)

// subsetSize returns how many of the destinations an entry keeps to when there
// are as many entries.
func subsetSize(destinations, entries int) (size int) {
	return max(leastSubset, (cover*destinations+entries-1)/max(1, entries))
}

// subset keeps the destinations that rank highest by a hash of the entry and
// the destination. A destination that comes or goes changes one place at most.
func subset(entry banyanplank.DaemonID, all []*destination, size int) (kept []*destination) {
	if len(all) <= size {
		return all
	}
	for _, d := range all {
		d.rank = rank(entry, d.name)
	}
	kept = slices.Clone(all)
	slices.SortFunc(kept, func(a, b *destination) int { return cmp.Compare(b.rank, a.rank) })
	kept = kept[:size]
	slices.SortFunc(kept, func(a, b *destination) int { return cmp.Compare(a.name, b.name) })
	return kept
}

// rank is the rendezvous hash of an entry and a destination.
func rank(entry banyanplank.DaemonID, name string) (hash uint64) {
	var digest xxhash.Digest
	digest.Reset()
	// A digest's writes do not fail.
	_, _ = digest.WriteString(string(entry))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
