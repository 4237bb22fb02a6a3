package reporter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// Merge chooses what to join of the tallies that daemons answered and those
// that they stored, so that no call counts twice. Idle counts the daemons that
// are known from what they stored only.
//
// A daemon that answers knows all that it stored, unless it has not read back
// yet what its earlier runs stored; then both count.
func Merge(answered, stored []tallier.Tally) (joined []tallier.Tally, idle int) {
	newest := make(map[banyanplank.DaemonID]tallier.Tally)
	for _, tally := range answered {
		held, ok := newest[tally.Daemon]
		if !ok || isNewer(tally, held) {
			newest[tally.Daemon] = tally
		}
	}
	for _, tally := range stored {
		held, ok := newest[tally.Daemon]
		switch {
		case !ok:
			newest[tally.Daemon] = tally
			idle++
		case !held.Whole && held.Incarnation > tally.Incarnation:
			held.Buckets = slices.Concat(held.Buckets, tally.Buckets)
			newest[tally.Daemon] = held
		}
	}
	joined = slices.SortedFunc(maps.Values(newest), func(a, b tallier.Tally) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return joined, idle
}

// isNewer reports whether a supersedes b.
func isNewer(a, b tallier.Tally) (newer bool) {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), a.At.Compare(b.At)) > 0
}
