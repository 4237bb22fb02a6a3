package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// Parameters of the subset size.
const (
	// minSubsetSize is the minimum size of a subset.
	minSubsetSize = 32
	// entriesPerDestination is the average number of entries that use each
	// destination.
	entriesPerDestination = 8
)

// subsetSize returns the size of each entry's subset of the destinations.
func subsetSize(destinations, entries int) (size int) {
	return max(minSubsetSize, (entriesPerDestination*destinations+entries-1)/max(1, entries))
}

// selectSubset returns the destinations with the highest rendezvous hashes.
// Adding or removing a destination changes at most one element.
func selectSubset(entry banyanplank.DaemonID, destinations []*destination, size int) (kept []*destination) {
	if len(destinations) <= size {
		return destinations
	}
	for _, d := range destinations {
		d.hash = rendezvousHash(entry, d.name)
	}
	kept = slices.Clone(destinations)
	slices.SortFunc(kept, func(a, b *destination) int { return cmp.Compare(b.hash, a.hash) })
	kept = kept[:size]
	slices.SortFunc(kept, func(a, b *destination) int { return cmp.Compare(a.name, b.name) })
	return kept
}

// rendezvousHash returns the rendezvous hash of an entry and a destination.
func rendezvousHash(entry banyanplank.DaemonID, destination string) (hash uint64) {
	var digest xxhash.Digest
	digest.Reset()
	// The writes of a digest never fail.
	_, _ = digest.WriteString(string(entry))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(destination)
	return digest.Sum64()
}
