package promiser

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The division of the room for returning calls.
const (
	// roomShare is the part of the capacity that is kept for returning calls.
	roomShare = 0.15
	// frameLength is the time in which slots are dealt to the entries in turn. Each frame
	// begins with another entry, so that entries whose capacity estimates differ slightly
	// still agree on the owners. A service with less than one slot per frame keeps no room.
	frameLength = 8 * time.Second
	// maxSlots bounds the slots of a frame.
	maxSlots = 1 << 20
)

// room is what an entry keeps free for returning calls of one service.
type room struct {
	// slots is the number of slots of all entries per frame. They are equally spaced.
	slots int
	// entries is the number of entries that share the slots, position that of this entry.
	entries, position int
	// taken holds the moments that are promised, in order.
	taken []time.Time
}

// divide sets the capacity in calls per second and the entries that share it.
func (r *room) divide(perSecond float64, entries, position int) {
	slots := perSecond * roomShare * frameLength.Seconds()
	if !(slots >= 1) {
		slots = 0
	}
	r.slots = int(math.Min(slots, maxSlots))
	r.entries = max(1, entries)
	r.position = min(max(0, position), r.entries-1)
}

// maxOwn returns the maximum number of open promises of this entry.
func (r *room) maxOwn() int {
	if r.entries == 1 {
		return maxAlone
	}
	return maxOwn
}

// take reserves the earliest free slot of this entry from first to latest after now, both
// included. It returns false if there is none.
func (r *room) take(now time.Time, first, latest time.Duration) (at time.Time, ok bool) {
	if r.slots == 0 || first > latest || len(r.taken) >= maxAlone {
		return time.Time{}, false
	}
	start, end := now.Add(first), now.Add(latest)
	// Own slots of a changed division, or after a step of the clock, keep some distance to
	// those already taken.
	gap := frameLength * time.Duration(r.entries) / time.Duration(r.slots) / 2
	next := 0
	frame := start.UnixNano() / int64(frameLength)
	for ; ; frame++ {
		frameStart := now.Add(time.Duration(frame*int64(frameLength) - now.UnixNano()))
		if frameStart.After(end) {
			return time.Time{}, false
		}
		for slot := r.firstSlot(frame); slot < r.slots; slot += r.entries {
			at = frameStart.Add(time.Duration(int64(frameLength) * int64(slot) / int64(r.slots)))
			if at.Before(start) {
				continue
			}
			if at.After(end) {
				return time.Time{}, false
			}
			for next < len(r.taken) && at.Sub(r.taken[next]) >= gap {
				next++
			}
			if next == len(r.taken) || r.taken[next].Sub(at) >= gap {
				r.taken = slices.Insert(r.taken, next, at)
				return at, true
			}
		}
	}
}

// firstSlot returns the first slot of this entry in the frame.
func (r *room) firstSlot(frame int64) (slot int) {
	offset := int(xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(frame))) % uint64(r.entries))
	return (r.position - offset + r.entries) % r.entries
}

// release removes the moments that are past.
func (r *room) release(now time.Time) {
	past := 0
	for past < len(r.taken) && r.taken[past].Before(now) {
		past++
	}
	r.taken = slices.Delete(r.taken, 0, past)
}
