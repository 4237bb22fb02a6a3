// Package assembler puts the parts of one answer in order at an entry. It
// drops what comes late, doubled or from an earlier attempt, and tells a whole
// answer from a cut one.
package assembler

import (
	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The errors of an [Assembler]. After one of them the path under the attempt
// must be replaced and asked for the answer from [Assembler.Next] on.
var (
	// ErrGap means that a part before the received one is missing.
	ErrGap = errors.New("answer part missing")
	// ErrLength means that the end does not match the parts received.
	ErrLength = errors.New("answer end does not match its parts")
)

// Assembler follows one answer over all its attempts and connections. The
// zero value waits for an attempt. It is not safe for concurrent use.
type Assembler struct {
	attempt banyanplank.AttemptID
	path    uint64
	next    uint64
	whole   bool
	dropped uint64
}

// New returns an assembler for a caller who has the first offset parts.
func New(offset uint64) *Assembler {
	return &Assembler{next: offset}
}

// Switch makes attempt the only one whose parts count, over a new path. The
// returned number must come with every message that the path delivers.
func (a *Assembler) Switch(attempt banyanplank.AttemptID) (path uint64) {
	a.attempt = attempt
	a.path++
	return a.path
}

// Next returns the offset of the first part not yet accepted.
func (a *Assembler) Next() (offset uint64) {
	return a.next
}

// Whole reports whether the answer has ended with all its parts.
func (a *Assembler) Whole() bool {
	return a.whole
}

// Dropped returns the number of messages that were late, doubled or crossed.
func (a *Assembler) Dropped() (count uint64) {
	return a.dropped
}

// Accept takes a part that path delivered under attempt. Deliver tells that
// the part is the next one and must go to the caller.
func (a *Assembler) Accept(path uint64, attempt banyanplank.AttemptID, part banyanplank.Part) (deliver bool, err error) {
	if !a.current(path, attempt) || part.Offset < a.next {
		a.dropped++
		return false, nil
	}
	if part.Offset > a.next {
		return false, errors.Wrapf(ErrGap, "offset %d in place of %d", part.Offset, a.next)
	}
	a.next++
	return true, nil
}

// Finish takes the end that path delivered under attempt. It reports whether
// the answer is now whole.
func (a *Assembler) Finish(path uint64, attempt banyanplank.AttemptID, end banyanplank.End) (whole bool, err error) {
	if !a.current(path, attempt) {
		a.dropped++
		return false, nil
	}
	if end.Parts != a.next {
		return false, errors.Wrapf(ErrLength, "%d parts in place of %d", a.next, end.Parts)
	}
	a.whole = true
	return true, nil
}

// current reports whether a message of the path and attempt may count.
func (a *Assembler) current(path uint64, attempt banyanplank.AttemptID) bool {
	return !a.whole && path == a.path && attempt == a.attempt
}
