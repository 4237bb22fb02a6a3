package leaser

import (
	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// CandidateCount is the number of daemons that stand for one lease.
const CandidateCount = 3

// IsCandidate reports whether the daemon called id is one of the first
// [CandidateCount] of the live members, in the order of a hash of the lease's
// name with theirs. Members are those that may hold the lease. Daemons that
// agree on the members agree on the candidates; if they do not, more stand, and
// the lease still has one holder.
func IsCandidate(name string, id banyanplank.DaemonID, members []banyanplank.Member) (candidate bool) {
	own := candidateHash(name, id)
	before := 0
	for _, m := range members {
		if m.State == banyanplank.MemberLive && m.ID != id && candidateHash(name, m.ID) < own {
			before++
		}
	}
	return before < CandidateCount
}

// candidateHash returns the place of a daemon in the order for a lease.
func candidateHash(name string, id banyanplank.DaemonID) (hash uint64) {
	return xxhash.Sum64String(name + "\x00" + string(id))
}
