package spreader

import (
	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// Record is the state of a member as one daemon knows it.
type Record struct {
	Member banyanplank.Member
	// Sequence orders the records of one incarnation. Only the member itself
	// increments it, to refute a wrong record.
	Sequence uint32
}

// Supersedes reports whether the record is newer than other.
func (r Record) Supersedes(other Record) (newer bool) {
	if r.Member.Incarnation != other.Member.Incarnation {
		return r.Member.Incarnation > other.Member.Incarnation
	}
	if r.Sequence != other.Sequence {
		return r.Sequence > other.Sequence
	}
	return r.Member.State > other.Member.State
}

// sum returns a hash of the record, or zero for a member that is gone.
func (r Record) sum() (sum uint64) {
	if r.Member.State == banyanplank.MemberGone {
		return 0
	}
	var bits [13]byte
	for i := range 8 {
		bits[i] = byte(r.Member.Incarnation >> (8 * i))
	}
	for i := range 4 {
		bits[8+i] = byte(r.Sequence >> (8 * i))
	}
	bits[12] = byte(r.Member.State)
	h := xxhash.New()
	_, _ = h.WriteString(string(r.Member.ID))
	_, _ = h.Write(bits[:])
	return h.Sum64()
}
