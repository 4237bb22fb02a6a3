package banyanplank

import (
	"cmp"
	"fmt"
)

// Era counts how often the platform's store returned from an older copy of its state. Zero
// means that the store has not reported an era.
type Era uint64

// Position is a point in the history of the platform's store. Revisions rise within an era, and
// are given out again in the next one.
type Position struct {
	Era      Era     `json:"era,omitempty"`
	Revision Version `json:"revision"`
}

// Compare returns a negative number if p lies before other, zero if both are the same, and a
// positive number otherwise. Any position of a later era lies behind those of earlier ones.
func (p Position) Compare(other Position) (order int) {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsBefore reports whether p lies before other.
func (p Position) IsBefore(other Position) (before bool) { return p.Compare(other) < 0 }

// Later returns the later one of p and other.
func (p Position) Later(other Position) (later Position) {
	if p.IsBefore(other) {
		return other
	}
	return p
}

// String returns the era and the revision, separated by a slash.
func (p Position) String() (text string) { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
