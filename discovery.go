package banyanplank

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted means that the platform no longer has the changes since the
// revision that was asked for. List again.
var ErrCompacted = errors.New("history compacted")

// Discovery is where an entry learns of routes, endpoints, zones and peers. Every
// method counts as one call or more against the platform's limits, a waiting
// Changes included.
type Discovery interface {
	// List returns all entries of a topic and the revision that they are as of.
	List(ctx context.Context, topic Topic) (entries []Listed, revision Version, err error)
	// Changes waits for changes after a revision and returns them with the
	// revision to go on from. It returns none when wait has passed.
	Changes(ctx context.Context, topic Topic, after Version, wait time.Duration) (entries []Listed, revision Version, err error)
	// Peek returns the changes after a revision that are known by now. It is
	// cheap, and may be behind: the revision tells how far it goes.
	Peek(ctx context.Context, topic Topic, after Version) (entries []Listed, revision Version, err error)
	// Register writes the entry of a member, whatever was there before, and
	// returns the revision of the change.
	Register(ctx context.Context, member Member) (revision Version, err error)
	// Remove removes the entry of a member.
	Remove(ctx context.Context, id DaemonID) (err error)
}
