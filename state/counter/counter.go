// Package counter counts, at one entry, the requests of each client account that begin to run
// in each window of true time, and estimates the true time.
//
//	c := counter.New()
//	c.Record(clock.Now(reading), "account")
//	changes, through := c.Changes(0, 100)
//
// Counts only grow, and each carries the revision of its last change, so that a receiver of
// repeated, lost or reordered changes can merge them by their maximum.
package counter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Defaults and limits of a [Counter].
const (
	// DefaultWindow is the length of a window.
	DefaultWindow = 5 * time.Second
	// DefaultMaxAccounts is the number of client accounts that are counted in a window.
	DefaultMaxAccounts = 50_000
	// maxWindows bounds the windows that are kept. The oldest is dropped first.
	maxWindows = 64
)

// Lost is the account of the requests of a window that were not counted for their own account,
// because there were too many accounts.
const Lost banyanplank.AccountID = ""

// Change is the number of requests of an account in a window so far.
type Change struct {
	Window  int64
	Account banyanplank.AccountID
	Count   int64
	// Revision increases with each change of any count of the counter.
	Revision uint64
}

// Counter counts the requests of one entry. It is safe for concurrent use.
type Counter struct {
	length      time.Duration
	maxAccounts int

	mutex    sync.Mutex
	revision uint64
	windows  map[int64]map[banyanplank.AccountID]*cell
}

// cell is the count of an account in a window, with the revision of its last change.
type cell struct {
	count    int64
	revision uint64
}

// Option configures a [Counter].
type Option func(*Counter)

// WithWindow sets the length of a window. The default is [DefaultWindow].
func WithWindow(length time.Duration) Option {
	return func(c *Counter) { c.length = length }
}

// WithMaxAccounts sets the number of client accounts that are counted in a window. The requests
// of further accounts are counted as [Lost]. The default is [DefaultMaxAccounts].
func WithMaxAccounts(accounts int) Option {
	return func(c *Counter) { c.maxAccounts = accounts }
}

// New returns a counter without counts.
func New(options ...Option) *Counter {
	c := &Counter{length: DefaultWindow, maxAccounts: DefaultMaxAccounts, windows: make(map[int64]map[banyanplank.AccountID]*cell)}
	for _, option := range options {
		option(c)
	}
	return c
}

// WindowAt returns the number of the window that contains a time, for windows of a length.
func WindowAt(at time.Time, length time.Duration) (window int64) {
	nanoseconds := at.UnixNano()
	window = nanoseconds / int64(length)
	if nanoseconds%int64(length) < 0 {
		window--
	}
	return window
}

// WindowStart returns the time at which a window of a length begins.
func WindowStart(window int64, length time.Duration) (start time.Time) {
	return time.Unix(0, window*int64(length))
}

// Record counts a request that began to run at a true time.
func (c *Counter) Record(at time.Time, account banyanplank.AccountID) {
	window := WindowAt(at, c.length)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	accounts := c.windows[window]
	if accounts == nil {
		accounts = make(map[banyanplank.AccountID]*cell)
		c.windows[window] = accounts
		if len(c.windows) > maxWindows {
			delete(c.windows, slices.Min(slices.Collect(maps.Keys(c.windows))))
		}
	}
	counted := accounts[account]
	if counted == nil && len(accounts) >= c.maxAccounts {
		account = Lost
		counted = accounts[account]
	}
	if counted == nil {
		counted = &cell{}
		accounts[account] = counted
	}
	c.revision++
	counted.count++
	counted.revision = c.revision
}

// Changes returns the counts that changed after a revision, in the order of their revisions and
// at most limit of them, and the revision through which they are complete.
func (c *Counter) Changes(after uint64, limit int) (changes []Change, through uint64) {
	c.mutex.Lock()
	through = c.revision
	if after < c.revision {
		for window, accounts := range c.windows {
			for account, counted := range accounts {
				if counted.revision > after {
					changes = append(changes, Change{Window: window, Account: account, Count: counted.count, Revision: counted.revision})
				}
			}
		}
	}
	c.mutex.Unlock()
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if len(changes) > limit {
		changes = changes[:limit]
		through = changes[limit-1].Revision
	}
	return changes, through
}

// Revision returns the revision of the last change.
func (c *Counter) Revision() (revision uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision
}

// Prune drops the windows before a window.
func (c *Counter) Prune(before int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for window := range c.windows {
		if window < before {
			delete(c.windows, window)
		}
	}
}
