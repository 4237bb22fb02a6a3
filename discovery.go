package banyanplank

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted means that the platform no longer has the changes since the
// requested position. The caller must list again.
var ErrCompacted = errors.New("history compacted")

// ErrNewEra means that the platform's store returned from an older copy since the requested
// position. Such errors match [ErrCompacted], too.
var ErrNewEra = errors.New("store returned from an older copy")

// Discovery is the platform's service discovery. An entry reads routes,
// endpoints, zones and peers from it. Every method counts as one call or more
// against the platform's limits, including a Changes call that waits.
type Discovery interface {
	// List returns all entries of a topic and the position of this snapshot.
	List(ctx context.Context, topic Topic) (entries []DiscoveryItem, position Position, err error)
	// Changes waits for changes after a position and returns them with the
	// position to continue from. It returns no entries once wait has elapsed, and
	// [ErrNewEra] if the store is in a later era.
	Changes(ctx context.Context, topic Topic, after Position, wait time.Duration) (entries []DiscoveryItem, position Position, err error)
	// Peek returns the changes after a position that are known so far, without
	// waiting. It is cheap but may lag: the returned position is the latest
	// that it covers. It returns [ErrNewEra] if the store is in a later era.
	Peek(ctx context.Context, topic Topic, after Position) (entries []DiscoveryItem, position Position, err error)
	// Register writes the entry of a member, overwriting any previous one, and
	// returns the position of the change.
	Register(ctx context.Context, member Member) (position Position, err error)
	// Remove removes the entry of a member.
	Remove(ctx context.Context, id DaemonID) (err error)
}

// FindingStore keeps findings across the restart of all daemons.
type FindingStore interface {
	// LoadFindings returns what each daemon saved last.
	LoadFindings(ctx context.Context) (findings map[DaemonID]StoredFindings, err error)
	// SaveFindings replaces what a daemon saved. No findings remove it.
	SaveFindings(ctx context.Context, id DaemonID, findings StoredFindings) (err error)
}
