// Package assembler orders the parts of one answer at an entry. It drops parts
// that are late, duplicated or from an earlier attempt, and detects whether the
// answer is complete or truncated.
package assembler

import (
	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Errors of an [Assembler]. After either of them the caller must open a new
// connection for the attempt and request the answer from [Assembler.NextOffset] on.
var (
	// ErrGap means that a part before the received one is missing.
	ErrGap = errors.New("answer part missing")
	// ErrPartCount means that the number of received parts differs from the
	// one in the end of the answer.
	ErrPartCount = errors.New("answer part count mismatch")
)

// Assembler tracks one answer across all its attempts and connections. The
// zero value drops every message until [Assembler.StartConnection] is called. It is not
// safe for concurrent use.
type Assembler struct {
	attempt    banyanplank.AttemptID
	connID     uint64
	nextOffset uint64
	complete   bool
	dropped    uint64
}

// New returns an assembler for a caller that already has the first offset parts.
func New(offset uint64) *Assembler {
	return &Assembler{nextOffset: offset}
}

// StartConnection makes attempt and a new connection the only ones whose messages are
// accepted. The returned number of the connection must be passed with every
// message received on it.
func (a *Assembler) StartConnection(attempt banyanplank.AttemptID) (connID uint64) {
	a.attempt = attempt
	a.connID++
	return a.connID
}

// NextOffset returns the offset of the first part not yet accepted.
func (a *Assembler) NextOffset() (offset uint64) {
	return a.nextOffset
}

// IsComplete reports whether the end of the answer and all its parts were
// received.
func (a *Assembler) IsComplete() bool {
	return a.complete
}

// Dropped returns the number of messages dropped because they were late,
// duplicated or from an earlier attempt or connection.
func (a *Assembler) Dropped() (count uint64) {
	return a.dropped
}

// Accept checks a part received for attempt on the connection connID. If
// deliver is true, the part is the next one and must be sent to the caller. It
// returns [ErrGap] if an earlier part is missing.
func (a *Assembler) Accept(connID uint64, attempt banyanplank.AttemptID, part banyanplank.Part) (deliver bool, err error) {
	if !a.isCurrent(connID, attempt) || part.Offset < a.nextOffset {
		a.dropped++
		return false, nil
	}
	if part.Offset > a.nextOffset {
		return false, errors.Wrapf(ErrGap, "got offset %d, want %d", part.Offset, a.nextOffset)
	}
	a.nextOffset++
	return true, nil
}

// Finish checks the end received for attempt on the connection connID. It
// reports whether the answer is now complete, and returns [ErrPartCount] if the
// number of received parts differs from that in end.
func (a *Assembler) Finish(connID uint64, attempt banyanplank.AttemptID, end banyanplank.End) (complete bool, err error) {
	if !a.isCurrent(connID, attempt) {
		a.dropped++
		return false, nil
	}
	if end.Parts != a.nextOffset {
		return false, errors.Wrapf(ErrPartCount, "got %d parts, want %d", a.nextOffset, end.Parts)
	}
	a.complete = true
	return true, nil
}

// isCurrent reports whether the connection and the attempt are the current ones
// and the answer is not yet complete.
func (a *Assembler) isCurrent(connID uint64, attempt banyanplank.AttemptID) bool {
	return !a.complete && connID == a.connID && attempt == a.attempt
}
