package leaser

import (
	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// CandidateCount is the number of daemons that compete for one lease.
const CandidateCount = 3

// IsCandidate reports whether the daemon with the given id is one of the first
// [CandidateCount] live members, ordered by a hash of the lease name and the
// daemon id. Members are the daemons that may hold the lease. Daemons with the
// same member list select the same candidates. With different lists, more
// daemons compete, and the lease still has at most one holder.
func IsCandidate(name string, id banyanplank.DaemonID, members []banyanplank.Member) (candidate bool) {
	ownHash := candidateHash(name, id)
	preceding := 0
	for _, m := range members {
		if m.State == banyanplank.MemberLive && m.ID != id && candidateHash(name, m.ID) < ownHash {
			preceding++
		}
	}
	return preceding < CandidateCount
}

// candidateHash returns the sort key of a daemon among the candidates of a
// lease.
func candidateHash(name string, id banyanplank.DaemonID) (hash uint64) {
	return xxhash.Sum64String(name + "\x00" + string(id))
}
