package tallier

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Pair is the service and account that calls are counted by.
type Pair struct {
	Service banyanplank.ServiceName
	// Account is empty for the aggregate of accounts that are not kept by name.
	Account banyanplank.AccountID
}

// Counts holds the number of calls of one pair by outcome.
type Counts struct {
	// Calls is the number of all calls.
	Calls uint64
	// Failed is the number of calls that did not succeed.
	Failed uint64
	// Slow is the number of calls that succeeded but exceeded a latency bound of the
	// objective.
	Slow uint64
}

// Add adds other to the counts.
func (c *Counts) Add(other Counts) {
	c.Calls += other.Calls
	c.Failed += other.Failed
	c.Slow += other.Slow
}

// badCalls returns the number of calls that burn the error budget.
func (c Counts) badCalls() (calls uint64) {
	return c.Failed + c.Slow
}

// Cell holds the counts of one pair in one bucket.
type Cell struct {
	Pair
	Counts
}

// Bucket holds the counts of one span of time.
type Bucket struct {
	Start time.Time
	Span  time.Duration
	// Cells are sorted by service, then account.
	Cells []Cell
}

// Tally holds the counts of one daemon. Each call is counted once in every
// resolution.
type Tally struct {
	Daemon      banyanplank.DaemonID
	Incarnation banyanplank.Incarnation
	Zone        banyanplank.Zone
	// At is the time of the snapshot.
	At time.Time
	// IncludesEarlier reports whether the counts of the daemon's earlier incarnations are
	// included.
	IncludesEarlier bool
	Buckets         []Bucket
}

// Resolutions of a tally.
const (
	// Minute buckets are retained for 10 minutes.
	Minute = time.Minute
	// FiveMinutes buckets are retained for 6 hours.
	FiveMinutes = 5 * time.Minute
	// Hour buckets are retained for 3 days.
	Hour = time.Hour
)

const (
	retainedMinutes     = 10
	retainedFiveMinutes = 73
	retainedHours       = 73
)

const (
	// maxOpenPairs limits the pairs of an open bucket.
	maxOpenPairs = 1024
	// maxClosedPairs limits the named pairs of a closed bucket.
	maxClosedPairs = 32
)
