package reporter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// Merge selects from the tallies that daemons answered with and those that they
// stored, so that no call is counted twice. StoredOnly is the number of daemons
// that have only a stored tally.
//
// The newer tally of a daemon includes all of the older one, unless it has not restored
// the tally of the daemon's earlier incarnations yet; then both are joined. Usually the
// answer is the newer one, but a daemon may store a tally after it has answered.
func Merge(answered, stored []tallier.Tally) (joined []tallier.Tally, storedOnly int) {
	newest := make(map[banyanplank.DaemonID]tallier.Tally)
	for _, tally := range answered {
		known, ok := newest[tally.Daemon]
		if !ok || isNewer(tally, known) {
			newest[tally.Daemon] = tally
		}
	}
	for _, tally := range stored {
		known, ok := newest[tally.Daemon]
		if !ok {
			newest[tally.Daemon] = tally
			storedOnly++
			continue
		}
		newest[tally.Daemon] = mergeTallies(known, tally)
	}
	joined = slices.SortedFunc(maps.Values(newest), func(a, b tallier.Tally) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return joined, storedOnly
}

// mergeTallies returns the newer of two tallies of one daemon, with the counts of the older
// one if they are not included.
func mergeTallies(a, b tallier.Tally) (merged tallier.Tally) {
	older, merged := a, b
	if !isNewer(b, a) {
		older, merged = b, a
	}
	if !merged.IncludesEarlier && merged.Incarnation > older.Incarnation {
		merged.Buckets = slices.Concat(merged.Buckets, older.Buckets)
	}
	return merged
}

// isNewer reports whether a has a later incarnation than b, or the same one and a
// later time.
func isNewer(a, b tallier.Tally) (newer bool) {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), a.At.Compare(b.At)) > 0
}
