// Package collector collects the requests of each client account that all entries counted.
//
// Each entry sends its counts about once a second to the [Receivers], which keep them in a
// [Ledger]. An [Exchanger] does both. A [Collector] at any entry sums the words of the receivers, so that no entry needs to
// know which one reports.
//
//	c := collector.New(collector.WithMembers(self, members), collector.WithPeers(client))
//	x := collector.NewExchanger(incarnation, c)
//	x.Record("account")
//	report, err := c.Collect(ctx, window)
package collector

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/counter"
)

// Defaults of a [Collector].
const (
	// DefaultLate is the time after the end of a window at which its report is due.
	DefaultLate = 10 * time.Second
	// DefaultOff is the maximum deviation of a count from the true count.
	DefaultOff = 0.05
	// DefaultMaxDoubt is the highest probability of a wrong report. A wrong report costs the
	// operators as much as a missing one, so one is made if it is more likely right.
	DefaultMaxDoubt = 0.5
)

// Times and limits of a collection.
const (
	// receiverCount is the number of entries that receive the counts of all. Counts are lost
	// if all of them die within a second.
	receiverCount = 3
	// settleTime is the time after the end of a window in which the last messages about it
	// arrive.
	settleTime = SendInterval + 250*time.Millisecond
	// patience is the time after the end of a window in which missing counts are waited for,
	// though the report would be within the allowed deviation.
	patience = 5 * time.Second
	// reportTime is the time before the deadline of a report that its sender needs.
	reportTime = 2 * time.Second
	// retryInterval is the time between two attempts to complete the counts.
	retryInterval = 500 * time.Millisecond
	// fetchTimeout bounds a request to a peer for words, and countsTimeout one for counts,
	// which are megabytes at hundreds of entries. maxFetches bounds the requests at once, and
	// maxAsked the silent entries that are asked at a time.
	fetchTimeout  = 500 * time.Millisecond
	countsTimeout = 2 * time.Second
	maxFetches    = 4
	maxAsked      = 16
	// retainMargin is the number of closed windows that are kept beyond those that can still
	// be reported: the last one before, by which rates are estimated, and one for the
	// differences between the clocks.
	retainMargin = 2
	// silentAge is the age of the last word of an entry above which a receiver checks whether
	// its process runs, and maxChecks the number of such checks at a time.
	silentAge = SendInterval + sendTimeout
	maxChecks = 8
	// noWindow requests words without counts.
	noWindow = math.MinInt64
)

// ErrEnded means that the process of an entry does not run.
var ErrEnded = errors.New("entry has ended")

// Peers exchanges counts with other entries.
type Peers interface {
	// Send sends a message to an entry.
	Send(ctx context.Context, id banyanplank.DaemonID, message *Message) (reply Reply, err error)
	// Fetch returns what an entry knows about some windows, or about all if none is named. The
	// error matches [ErrEnded] if the entry's process is known to have ended.
	Fetch(ctx context.Context, id banyanplank.DaemonID, windows ...int64) (export Export, err error)
}

// Receivers returns those of the live entries, in the order of their IDs, that receive the counts
// of all.
func Receivers(alive []banyanplank.DaemonID) (receivers []banyanplank.DaemonID) {
	return alive[:min(len(alive), receiverCount)]
}

// aliveIDs returns the IDs of the live ones of some entries.
func aliveIDs(members []Member) (alive []banyanplank.DaemonID) {
	for _, m := range members {
		if m.IsAlive {
			alive = append(alive, m.ID)
		}
	}
	return alive
}

// retainedWindows returns the number of closed windows to keep for reports that are due some time after
// the end of their window.
func retainedWindows(window, late time.Duration) (windows int) {
	return int((late+window-1)/window) + retainMargin
}

// Collector implements [banyanplank.UsageCollector]. It is safe for concurrent use.
type Collector struct {
	window   time.Duration
	late     time.Duration
	off      float64
	maxDoubt float64
	now      func() time.Time
	members  func() []Member
	refresh  func()
	ledger   *Ledger
	peers    Peers
	self     banyanplank.DaemonID
	last     atomic.Pointer[Coverage]

	// mutex guards seen, the times at which entries were last members.
	mutex sync.Mutex
	seen  map[banyanplank.DaemonID]time.Time
}

var _ banyanplank.UsageCollector = (*Collector)(nil)

// Option configures a [Collector].
type Option func(*Collector)

// WithWindow sets the length of a window. The default is [counter.DefaultWindow].
func WithWindow(length time.Duration) Option { return func(c *Collector) { c.window = length } }

// WithLate sets the time after the end of a window at which its report is due. The default is
// [DefaultLate].
func WithLate(late time.Duration) Option { return func(c *Collector) { c.late = late } }

// WithOff sets the maximum deviation of a reported count from the true count, as a fraction of
// it. The default is [DefaultOff].
func WithOff(off float64) Option { return func(c *Collector) { c.off = off } }

// WithMaxDoubt sets the probability of a wrong report up to which a report is made. The default
// is [DefaultMaxDoubt].
func WithMaxDoubt(probability float64) Option {
	return func(c *Collector) { c.maxDoubt = probability }
}

// WithClock sets the true time. The default is the time of day. An [Exchanger] replaces it.
func WithClock(now func() time.Time) Option { return func(c *Collector) { c.now = now } }

// WithMembers sets this entry and a function that returns all entries, including this one, in the
// order of their IDs. The default is no entry.
func WithMembers(self banyanplank.DaemonID, members func() []Member) Option {
	return func(c *Collector) { c.self, c.members = self, members }
}

// WithPeers sets the client for other entries. The default reaches none.
func WithPeers(peers Peers) Option { return func(c *Collector) { c.peers = peers } }

// errNoPeers means that no client for other entries is set.
var errNoPeers = errors.New("no connection to other entries")

// noPeers reaches no other entry.
type noPeers struct{}

// Send implements Peers.
func (noPeers) Send(context.Context, banyanplank.DaemonID, *Message) (reply Reply, err error) {
	return reply, errNoPeers
}

// Fetch implements Peers.
func (noPeers) Fetch(context.Context, banyanplank.DaemonID, ...int64) (export Export, err error) {
	return Export{}, errNoPeers
}

// New returns a collector.
func New(options ...Option) *Collector {
	c := &Collector{
		window: counter.DefaultWindow, late: DefaultLate, off: DefaultOff, maxDoubt: DefaultMaxDoubt,
		seen: make(map[banyanplank.DaemonID]time.Time),
		now:  time.Now, members: func() []Member { return nil }, refresh: func() {}, peers: noPeers{},
	}
	for _, option := range options {
		option(c)
	}
	c.ledger = NewLedger(c.window, retainedWindows(c.window, c.late))
	return c
}

// Coverage returns how much of the last collected window was known.
func (c *Collector) Coverage() (coverage Coverage) {
	if last := c.last.Load(); last != nil {
		return *last
	}
	return Coverage{}
}

// Collect implements [banyanplank.UsageCollector]. It waits until the counts are complete, or
// until there is just time to report them.
func (c *Collector) Collect(ctx context.Context, window int64) (report banyanplank.UsageReport, err error) {
	defer func() { err = errors.Wrapf(err, "collect usage of window %d", window) }()
	end := counter.WindowStart(window+1, c.window)
	if err := banyanplank.Sleep(ctx, end.Add(min(settleTime, c.late/2)).Sub(c.now())); err != nil {
		return report, err
	}
	reportAt := end.Add(max(c.late-reportTime, c.late/2))
	for {
		// Requests to peers must not take the time that the report needs.
		left := max(reportAt.Sub(c.now()), fetchTimeout)
		requests, cancel := context.WithTimeout(ctx, left)
		totals, coverage := c.collectOnce(requests, window)
		cancel()
		c.last.Store(&coverage)
		if err := ctx.Err(); err != nil {
			return report, err
		}
		now := c.now()
		isLast := now.Add(retryInterval).After(reportAt)
		switch isSure := coverage.Doubt <= c.maxDoubt; {
		case now.After(end.Add(time.Duration(c.ledger.retain-1) * c.window)):
			return report, errors.Wrap(banyanplank.ErrUsageIncomplete, "counts are no longer kept")
		case isSure && (len(coverage.Incomplete) == 0 || isLast || now.After(end.Add(patience))):
			return banyanplank.UsageReport{Window: window, Counts: totals}, nil
		case isLast:
			return report, errors.Wrapf(banyanplank.ErrUsageIncomplete, "%d of %d entries, missing for up to %s, doubt %.3f",
				len(coverage.Incomplete), coverage.Entries, coverage.Oldest, coverage.Doubt)
		}
		if err := banyanplank.Sleep(ctx, retryInterval); err != nil {
			return report, err
		}
	}
}

// rememberMembers returns all entries, with those that were members lately.
func (c *Collector) rememberMembers() (members []Member) {
	members = c.members()
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	listed := make(map[banyanplank.DaemonID]bool, len(members))
	for _, m := range members {
		c.seen[m.ID], listed[m.ID] = now, true
	}
	for id, at := range c.seen {
		switch {
		case now.Sub(at) > memoryAge:
			delete(c.seen, id)
		case !listed[id]:
			members = append(members, Member{ID: id, isUnlisted: true})
		}
	}
	return members
}

// collectOnce sums the counts of a window that are known now, and requests missing ones.
func (c *Collector) collectOnce(ctx context.Context, window int64) (totals Counts, coverage Coverage) {
	c.refresh()
	members, ended := c.rememberMembers(), make(map[banyanplank.DaemonID]bool)
	view := NewLedger(c.window, int(c.ledger.retain))
	windows := []int64{window - 1, window}
	sum := func() (Counts, Coverage) {
		export := view.Export()
		return judge(&export, window, c.window, c.now(), members, ended, c.off)
	}
	export := c.ledger.Export(windows...)
	// The words of this entry's own ledger are valid.
	_ = view.merge(&export, window-1, window)
	totals, coverage = sum()
	receivers := Receivers(aliveIDs(members))
	isComplete := len(coverage.Incomplete) == 0 && export.Since <= counter.WindowStart(window, c.window).UnixNano()
	if isComplete && !c.othersKnowMore(ctx, &export, receivers) {
		return totals, coverage
	}
	c.fetch(ctx, countsTimeout, view, receivers, ended, windows)
	totals, coverage = sum()
	var silent []banyanplank.DaemonID
	for _, id := range coverage.Incomplete {
		if !slices.Contains(receivers, id) && !slices.Contains(silent, id) && len(silent) < maxAsked {
			silent = append(silent, id)
		}
	}
	if len(silent) > 0 {
		// An entry that is no receiver sends just its own counts.
		c.fetch(ctx, fetchTimeout, view, silent, ended, windows)
		totals, coverage = sum()
	}
	return totals, coverage
}

// othersKnowMore reports whether another receiver knows of an incarnation of an entry that is
// not in an export of this entry. It may have started and ended while this entry was cut off.
func (c *Collector) othersKnowMore(ctx context.Context, export *Export, receivers []banyanplank.DaemonID) bool {
	view := NewLedger(c.window, int(c.ledger.retain))
	c.fetch(ctx, fetchTimeout, view, receivers, make(map[banyanplank.DaemonID]bool), []int64{noWindow})
	known := make(map[origin]bool, len(export.Words))
	for i := range export.Words {
		known[origin{export.Words[i].From, export.Words[i].Incarnation}] = true
	}
	for from := range view.words {
		if !known[from] {
			return true
		}
	}
	return false
}

// fetch merges what other entries know about some windows into a view, and marks those that have
// ended.
func (c *Collector) fetch(ctx context.Context, timeout time.Duration, view *Ledger, ids []banyanplank.DaemonID, ended map[banyanplank.DaemonID]bool, windows []int64) {
	var mutex sync.Mutex
	requests := pool.New().WithMaxGoroutines(maxFetches)
	for _, id := range ids {
		if id == c.self {
			continue
		}
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			export, err := c.peers.Fetch(ctx, id, windows...)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case errors.Is(err, ErrEnded):
				ended[id] = true
				view.MarkEnded(id, c.now())
			case err == nil:
				// An entry whose words are invalid counts as silent.
				_ = view.merge(&export, slices.Min(windows), slices.Max(windows))
			}
		})
	}
	requests.Wait()
}

// sync merges all that the other receivers know into the ledger of this entry, and reports
// whether one of them responded. An entry does so when it becomes a receiver.
func (c *Collector) sync(ctx context.Context, receivers []banyanplank.DaemonID) (ok bool) {
	for _, id := range receivers {
		if id == c.self {
			continue
		}
		fetchCtx, cancel := context.WithTimeout(ctx, countsTimeout)
		export, err := c.peers.Fetch(fetchCtx, id)
		cancel()
		if err == nil && c.ledger.Import(c.now(), &export) == nil {
			ok = ok || export.Since < math.MaxInt64
		}
	}
	return ok
}
