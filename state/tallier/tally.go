package tallier

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Pair names what calls are counted by.
type Pair struct {
	Service banyanplank.ServiceName
	// Account is empty for the accounts that are counted together.
	Account banyanplank.AccountID
}

// Counts counts the calls of one pair.
type Counts struct {
	// Calls counts all calls.
	Calls uint64
	// Failed counts those that did not succeed.
	Failed uint64
	// Slow counts those that succeeded, but missed the objective's times.
	Slow uint64
}

// Add adds other counts.
func (c *Counts) Add(other Counts) {
	c.Calls += other.Calls
	c.Failed += other.Failed
	c.Slow += other.Slow
}

// bad counts what burns a budget.
func (c Counts) bad() (calls uint64) {
	return c.Failed + c.Slow
}

// Cell is what one pair counted in one bucket.
type Cell struct {
	Pair
	Counts
}

// Bucket holds the counts of one span of time.
type Bucket struct {
	Start time.Time
	Span  time.Duration
	// Cells are in the order of their pairs.
	Cells []Cell
}

// Tally is what one daemon counted. Each call is counted once in the buckets
// of every resolution.
type Tally struct {
	Daemon      banyanplank.DaemonID
	Incarnation banyanplank.Incarnation
	Zone        banyanplank.Zone
	// At is when the tally was taken.
	At time.Time
	// Whole tells that the counts of the daemon's earlier runs are in it.
	Whole   bool
	Buckets []Bucket
}

// The resolutions of a tally.
const (
	// Minute buckets reach back 10 minutes.
	Minute = time.Minute
	// FiveMinutes buckets reach back 6 hours.
	FiveMinutes = 5 * time.Minute
	// Hour buckets reach back 3 days.
	Hour = time.Hour
)

const (
	minutesKept     = 10
	fiveMinutesKept = 73
	hoursKept       = 73
)

const (
	// openPairs bounds the pairs of a bucket that still counts.
	openPairs = 1024
	// closedPairs bounds the pairs of a closed bucket.
	closedPairs = 32
)
