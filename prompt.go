package banyanplank

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PartID identifies one part of a prompt, such as the instructions of an application,
// that requests of several client accounts can share.
type PartID uint64

// NewPartID returns the ID of the part that callers name by text.
func NewPartID(text string) PartID { return PartID(xxhash.Sum64String(text)) }

// String returns the ID in hexadecimal.
func (p PartID) String() string { return fmt.Sprintf("%016x", uint64(p)) }
