// Package usagereporter reports to the platform how many requests of each client account began
// to run in each window of time.
//
// The platform must never accept two different reports for a window. The body of a report is
// therefore created in the store before it is sent, on condition that the store has none for the
// window, and only a stored body is ever sent. Whoever holds the duty later finds it there and
// repeats the same bytes. If in doubt, a window is not reported.
//
// When the store returned from an older copy, in a new era, it may lack bodies that were sent.
// Whoever knows them creates them again, and the holder of before also prepares the reports that it
// hadn't begun. Others report a window that had ended by then only if its body is in the store.
//
//	r := usagereporter.New(holder, store, platform, collector, usagereporter.WithWindow(5*time.Second))
//	err := r.Run(ctx)
package usagereporter

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
)

// ObjectPrefix is the prefix of the object names of reports.
const ObjectPrefix = "reports/"

// Defaults of a [Reporter].
const (
	// DefaultWindow is the length of a window.
	DefaultWindow = 5 * time.Second
	// DefaultLate is how long after the end of its window a report is due.
	DefaultLate = 10 * time.Second
)

const (
	// tickInterval is the time between two looks for windows to report.
	tickInterval = 250 * time.Millisecond
	// settleTime is how long after the end of a window its counts are collected. Entries send
	// theirs at least once a second.
	settleTime = 1500 * time.Millisecond
	// sendTime is how much of the time for a report has to be left to send it.
	sendTime = 500 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// stepTolerance is the change of the clock against the monotonic clock between two
	// ticks from which on it counts as stepped.
	stepTolerance = 200 * time.Millisecond
	// stepHoldTime is how long the time before a step counts. Clocks that jump return, but one
	// that was wrong at the start of the process doesn't.
	stepHoldTime = time.Minute
	// retryInterval is the time between two attempts for the same window.
	retryInterval = 500 * time.Millisecond
	// prepareTime is how long the holder of before prepares reports in a new era. Nobody holds the
	// duty earlier than that, and others detect the era up to 1.5 s later.
	prepareTime = 5 * time.Second
	// maxDeletions bounds the reports that one tick removes from the store.
	maxDeletions = 2
)

// errInDoubt means that the store may have lost the report of a window, which then may have been
// sent.
var errInDoubt = errors.New("report may be lost from the store")

// Outcome is how the report of a window ended.
type Outcome string

// The outcomes.
const (
	// OutcomeSent means that the platform accepted the report.
	OutcomeSent Outcome = "sent"
	// OutcomeRepeated means that the platform accepted a report of an earlier attempt or
	// holder that was sent again.
	OutcomeRepeated Outcome = "repeated"
	// OutcomeRejected means that the platform rejected the report, so that a repeat does not help.
	OutcomeRejected Outcome = "rejected"
	// OutcomeDoubtful means that too many counts may be missing.
	OutcomeDoubtful Outcome = "doubtful"
	// OutcomeLate means that the time for the report ended before it was accepted.
	OutcomeLate Outcome = "late"
)

// Outcomes lists the outcomes.
var Outcomes = []Outcome{OutcomeSent, OutcomeRepeated, OutcomeRejected, OutcomeDoubtful, OutcomeLate}

// Event describes the end of the report of a window.
type Event struct {
	Window  int64
	Outcome Outcome
	Token   uint64
	// Sum is the sum of all counts. It is 0 if this entry didn't collect them.
	Sum int64
	// Entries is the number of entries whose counts are contained, and Oldest the age of the
	// oldest of these counts. Both are 0 without [WithCoverage].
	Entries int
	Oldest  time.Duration
	// After is the time from the end of the window.
	After time.Duration
	Err   error
}

// Holder makes calls while it holds the duty. [leaser.Holder] implements it.
type Holder interface {
	Term() (term banyanplank.Term, held bool)
	Do(ctx context.Context, call func(ctx context.Context, term banyanplank.Term) error) (err error)
}

var _ Holder = (*leaser.Holder)(nil)

// Reporter reports the usage of each window while its entry holds the duty. Run it in one
// goroutine.
type Reporter struct {
	holder    Holder
	store     banyanplank.ObjectStore
	platform  banyanplank.DutyPlatform
	collector banyanplank.UsageCollector
	window    time.Duration
	late      time.Duration
	clock     func() time.Time
	isSteady  bool
	frozen    func() time.Duration
	coverage  func(window int64) (entries int, oldest time.Duration)
	onEnd     func(Event)

	// collections runs those of the current term, which stop ends.
	collections conc.WaitGroup
	stop        context.CancelFunc
	// results holds the collections that have ended.
	mutex   sync.Mutex
	results []collection
	// latestEra is the latest one passed to [Reporter.SetEra], and tokenAtEra the token
	// that was held then, or zero. listedToken is that of the last term whose stored reports
	// were listed.
	latestEra   banyanplank.Era
	tokenAtEra  uint64
	listedToken uint64

	// token is that of the term for which listed and pending are valid.
	token    uint64
	listed   bool
	nextList time.Time
	// next is the first window that has not been begun, pending holds those begun.
	next    int64
	pending map[int64]*report
	// stored holds the reports that are in the store.
	stored map[int64]storedReport
	// bodies holds the stored bodies of windows that are not yet too late, of this era or
	// earlier ones.
	bodies map[int64][]byte
	// era is that of the store, and knowsBodies whether this process knew all bodies that were in
	// the store when it learned of the era. Otherwise that was at doubtEnd.
	era         banyanplank.Era
	knowsBodies bool
	doubtEnd    time.Time
	// prepareUntil is until when reports of a new era are prepared without the duty.
	prepareUntil time.Time
	// offset is what clockOffset returned before the clock stepped, step the size of the
	// step, and steppedAt when it was noticed.
	origin    time.Time
	offset    time.Duration
	step      time.Duration
	steppedAt time.Time
}

// collection is the result of collecting the counts of a window.
type collection struct {
	token   uint64
	usage   banyanplank.UsageReport
	window  int64
	err     error
	entries int
	oldest  time.Duration
}

// report is the state of the report of one window.
type report struct {
	window int64
	// collecting is set while the counts are collected. Encoded is the body made of them.
	collecting bool
	encoded    []byte
	// body is what the store holds. It is empty until that is certain.
	body []byte
	// repeats is set if the body may have been sent before.
	repeats bool
	sum     int64
	entries int
	oldest  time.Duration
	nextTry time.Time
	err     error
}

// storedReport is a report in the store.
type storedReport struct {
	version banyanplank.Version
	// knownAt is when this process first knew of it, by its monotonic clock.
	knownAt time.Time
}

// Option configures a [Reporter].
type Option func(*Reporter)

// WithWindow sets the length of a window. The default is [DefaultWindow].
func WithWindow(window time.Duration) Option {
	return func(r *Reporter) { r.window = window }
}

// WithLate sets how long after the end of its window a report is due. The default is
// [DefaultLate].
func WithLate(late time.Duration) Option {
	return func(r *Reporter) { r.late = late }
}

// WithClock sets the function that returns the time of day. The reporter holds against its steps
// for a minute. The default is [time.Now].
func WithClock(clock func() time.Time) Option {
	return func(r *Reporter) { r.clock, r.isSteady = clock, false }
}

// WithSteadyClock sets the function that returns the true time, of a clock that ignores steps of
// the machine's clock itself. Its steps are corrections, and are followed at once.
func WithSteadyClock(clock func() time.Time) Option {
	return func(r *Reporter) { r.clock, r.isSteady = clock, true }
}

// WithFrozenTime sets the function that returns for how long the machine has been frozen in
// total. Use it in tests. The default is [leaser.FrozenTime].
func WithFrozenTime(frozen func() time.Duration) Option {
	return func(r *Reporter) { r.frozen = frozen }
}

// WithCoverage sets the function that returns, for the window collected last, how many entries
// its counts come from, and the age of the oldest of these counts. It is for events only. The
// default returns zeros.
func WithCoverage(coverage func(window int64) (entries int, oldest time.Duration)) Option {
	return func(r *Reporter) { r.coverage = coverage }
}

// WithEventHandler calls notify at the end of each report, for example to log it. The default
// does nothing.
func WithEventHandler(notify func(Event)) Option {
	return func(r *Reporter) { r.onEnd = notify }
}

// New returns a reporter that has not started.
func New(holder Holder, store banyanplank.ObjectStore, platform banyanplank.DutyPlatform, collector banyanplank.UsageCollector, options ...Option) *Reporter {
	r := &Reporter{
		holder: holder, store: store, platform: platform, collector: collector,
		window: DefaultWindow, late: DefaultLate, clock: time.Now, frozen: leaser.FrozenTime, onEnd: func(Event) {},
		coverage: func(int64) (int, time.Duration) { return 0, 0 }, stop: func() {},
		stored: make(map[int64]storedReport), bodies: make(map[int64][]byte), origin: time.Now(),
	}
	for _, option := range options {
		option(r)
	}
	r.offset = r.clockOffset()
	return r
}

// SetEra reports that the store is in an era, as any of its responses may show. Call it before
// [leaser.Holder.SetEra], which ends the term.
func (r *Reporter) SetEra(era banyanplank.Era) {
	term, held := r.holder.Term()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if era <= r.latestEra {
		return
	}
	// A list that shows the era is not recorded yet.
	if r.latestEra = era; held && term.Token == r.listedToken {
		r.tokenAtEra = term.Token
	}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) (err error) {
	defer r.collections.Wait()
	defer func() { r.stop() }()
	termCtx := ctx
	for banyanplank.Sleep(ctx, tickInterval) == nil {
		r.followClock()
		term, held := r.holder.Term()
		r.followEra(term)
		switch {
		case held && eraOf(term) < r.era:
		case held:
			if term.Token != r.token {
				r.stop()
				termCtx, r.stop = context.WithCancel(ctx)
				r.token, r.listed, r.next, r.pending = term.Token, false, 0, r.knownReports()
			}
			r.tick(termCtx)
		case time.Now().Before(r.prepareUntil):
			if r.token == 0 {
				termCtx = ctx
			}
			r.prepare(termCtx)
		default:
			r.stop()
			r.token = 0
			r.clean(ctx) // the next holder may not know of what was prepared
		}
	}
	return nil
}

// eraOf returns the era in the token of a term.
func eraOf(term banyanplank.Term) (era banyanplank.Era) { return banyanplank.Era(term.Token >> 32) }

// followEra begins a new era of the store: the bodies that are known are to be created again.
func (r *Reporter) followEra(term banyanplank.Term) {
	r.mutex.Lock()
	era, token := max(r.latestEra, eraOf(term)), r.tokenAtEra
	r.tokenAtEra = 0
	r.mutex.Unlock()
	if era <= r.era {
		return
	}
	// Who held the duty when it learned of the era had created or read all bodies since its term
	// began.
	r.knowsBodies = token != 0 && token == r.token
	r.era, r.prepareUntil = era, time.Now().Add(prepareTime)
	clear(r.stored)
	if !r.knowsBodies {
		r.stop()
		r.token, r.pending, r.doubtEnd = 0, make(map[int64]*report), r.now()
	}
	maps.Copy(r.pending, r.knownReports())
}

// knownReports returns the reports whose bodies are known. They may have been sent.
func (r *Reporter) knownReports() (reports map[int64]*report) {
	reports = make(map[int64]*report, len(r.bodies))
	for window, body := range r.bodies {
		if !r.isLate(window) {
			reports[window] = &report{window: window, encoded: body, repeats: true}
		}
	}
	return reports
}

// prepare creates reports in the store without the duty, so that its next holder finds them.
func (r *Reporter) prepare(ctx context.Context) {
	r.takeResults()
	if r.knowsBodies {
		r.begin()
	}
	for _, window := range r.windows() {
		p := r.pending[window]
		left := r.endOf(window).Add(r.late).Sub(r.now())
		switch {
		case p.body != nil || left < sendTime || (p.encoded == nil && r.isInDoubt(window)):
			delete(r.pending, window)
		case p.collecting || time.Now().Before(p.nextTry):
		case p.encoded == nil:
			p.nextTry = time.Now().Add(retryInterval)
			r.collect(ctx, p, left-sendTime)
		default:
			p.nextTry = time.Now().Add(retryInterval)
			r.create(ctx, p)
		}
	}
}

// isInDoubt reports whether the report of a window may have been sent although the store has none.
// Reports are begun [settleTime] after the end of the window, by clocks that may differ.
func (r *Reporter) isInDoubt(window int64) (doubt bool) {
	return !r.endOf(window).After(r.doubtEnd)
}

// tick reports the windows that are due.
func (r *Reporter) tick(ctx context.Context) {
	if !r.listed && (time.Now().Before(r.nextList) || !r.list(ctx)) {
		return
	}
	r.begin()
	r.takeResults()
	for _, window := range r.windows() {
		if _, held := r.holder.Term(); !held {
			return
		}
		r.advance(ctx, r.pending[window])
	}
	r.clean(ctx)
}

// now returns the true time as this reporter knows it.
func (r *Reporter) now() (now time.Time) { return r.clock().Add(-r.step) }

// clockOffset returns the clock minus the time that has passed on the machine, whether frozen
// or not.
func (r *Reporter) clockOffset() (offset time.Duration) {
	now := time.Now()
	return r.clock().Sub(r.origin.Round(0)) - now.Sub(r.origin) - r.frozen()
}

// followClock detects steps of the clock. A stepped clock is corrected by the size of the step
// for [stepHoldTime], and then trusted.
func (r *Reporter) followClock() {
	if r.isSteady {
		return
	}
	change := r.clockOffset() - r.offset
	switch {
	case change.Abs() <= stepTolerance:
		// Small corrections of the clock add up.
		r.offset, r.step, r.steppedAt = r.offset+change, 0, time.Time{}
	case r.steppedAt.IsZero():
		r.step, r.steppedAt = change, time.Now()
	case time.Since(r.steppedAt) > stepHoldTime:
		r.offset, r.step, r.steppedAt, r.next = r.offset+change, 0, time.Time{}, 0
	default:
		r.step = change
	}
}

// endOf returns the end of a window.
func (r *Reporter) endOf(window int64) (end time.Time) {
	return time.Unix(0, (window+1)*int64(r.window))
}

// objectName returns the name of the stored report of a window.
func objectName(window int64) (name string) { return ObjectPrefix + strconv.FormatInt(window, 10) }

// isLate reports whether the time for the report of a window has ended.
func (r *Reporter) isLate(window int64) (late bool) {
	return !r.now().Before(r.endOf(window).Add(r.late))
}

// list reads the reports in the store at the begin of a term. It reports whether the store
// replied.
func (r *Reporter) list(ctx context.Context) (ok bool) {
	r.nextList = time.Now().Add(retryInterval)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, err := r.store.List(ctx, ObjectPrefix)
	if err != nil {
		return false
	}
	for _, o := range objects {
		window, err := strconv.ParseInt(strings.TrimPrefix(o.Name, ObjectPrefix), 10, 64)
		if err != nil {
			continue
		}
		r.recordStored(window, o.Version, o.Value)
		if !r.isLate(window) && len(o.Value) > 0 {
			r.pending[window] = &report{window: window, body: o.Value, repeats: true}
		}
	}
	r.listed = true
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.listedToken = r.token
	return true
}

// recordStored records that the store holds the report of a window.
func (r *Reporter) recordStored(window int64, version banyanplank.Version, body []byte) {
	maps.DeleteFunc(r.bodies, func(window int64, _ []byte) bool { return r.isLate(window) })
	if len(body) > 0 && !r.isLate(window) {
		r.bodies[window] = body
	}
	if _, ok := r.stored[window]; !ok {
		r.stored[window] = storedReport{version: version, knownAt: time.Now()}
	}
}

// begin adds the windows that have ended and are not yet too late.
func (r *Reporter) begin() {
	now := r.now()
	first := now.Add(-r.late).UnixNano()/int64(r.window) - 1
	if r.next > 0 && r.endOf(r.next-1).After(now) {
		r.next = 0 // the clock was ahead
	}
	for w := max(r.next, first); !r.endOf(w).Add(settleTime).After(now); w++ {
		r.next = w + 1
		if r.pending[w] == nil && r.endOf(w).Add(r.late).After(now) {
			r.pending[w] = &report{window: w}
		}
	}
}

// windows returns the pending windows, the oldest first.
func (r *Reporter) windows() (windows []int64) {
	for w := range r.pending {
		windows = append(windows, w)
	}
	slices.Sort(windows)
	return windows
}

// advance takes the next steps of one report.
func (r *Reporter) advance(ctx context.Context, p *report) {
	now := r.now()
	left := r.endOf(p.window).Add(r.late).Sub(now)
	if left < sendTime {
		outcome := OutcomeLate
		if p.body == nil && p.encoded == nil {
			outcome = OutcomeDoubtful
		}
		r.end(p, outcome, p.err)
		return
	}
	// A window begun by a clock that was ahead is not due yet.
	isDue := left <= r.late-settleTime
	if p.collecting || !isDue || time.Now().Before(p.nextTry) {
		return
	}
	p.nextTry = time.Now().Add(retryInterval)
	switch {
	case p.body == nil && p.encoded == nil && r.isInDoubt(p.window):
		p.err = errInDoubt
	case p.body == nil && p.encoded == nil:
		r.collect(ctx, p, left-sendTime)
	case p.body != nil || r.create(ctx, p):
		r.send(ctx, p)
	}
}

// collect starts to collect the counts of a window, which may wait for those that are missing.
func (r *Reporter) collect(ctx context.Context, p *report, timeout time.Duration) {
	p.collecting = true
	result := collection{token: r.token, window: p.window}
	r.collections.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		result.usage, result.err = r.collector.Collect(ctx, result.window)
		result.entries, result.oldest = r.coverage(result.window)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.results = append(r.results, result)
	})
}

// takeResults encodes the counts that have been collected.
func (r *Reporter) takeResults() {
	r.mutex.Lock()
	results := r.results
	r.results = nil
	r.mutex.Unlock()
	for _, c := range results {
		p := r.pending[c.window]
		if p == nil || c.token != r.token {
			continue
		}
		p.collecting, p.err = false, c.err
		if c.err == nil && c.usage.Window != c.window {
			p.err = errors.Newf("collected window %d", c.usage.Window)
		}
		if p.err != nil {
			continue
		}
		p.encoded, p.err = r.platform.EncodeUsage(c.usage)
		p.sum, p.entries, p.oldest, p.nextTry = 0, c.entries, c.oldest, time.Time{}
		for _, count := range c.usage.Counts {
			p.sum += count
		}
	}
}

// create creates the report of a window in the store. It reports whether it is certain what the
// store holds.
func (r *Reporter) create(ctx context.Context, p *report) (ok bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	name := objectName(p.window)
	position, err := r.store.Put(ctx, name, p.encoded, 0)
	if errors.Is(err, banyanplank.ErrConflict) {
		return r.adopt(ctx, p, name)
	}
	if err != nil {
		// The report may have been created. The next attempt finds out.
		p.err = err
		return false
	}
	r.recordStored(p.window, position.Revision, p.encoded)
	p.body = p.encoded
	return true
}

// adopt takes the report that the store already holds. An earlier attempt or an earlier holder
// created it, and may have sent it.
func (r *Reporter) adopt(ctx context.Context, p *report, name string) (ok bool) {
	object, err := r.store.Get(ctx, name)
	if err != nil {
		p.err = err
		return false
	}
	r.recordStored(p.window, object.Version, object.Value)
	p.body, p.repeats = object.Value, true
	return len(p.body) > 0
}

// send sends the stored report of a window.
func (r *Reporter) send(ctx context.Context, p *report) {
	ctx, cancel := context.WithTimeout(ctx, r.endOf(p.window).Add(r.late).Sub(r.now()))
	defer cancel()
	err := r.holder.Do(ctx, func(ctx context.Context, term banyanplank.Term) error {
		return r.platform.ReportUsage(ctx, term, p.body)
	})
	p.err = err
	switch {
	case err == nil && p.repeats:
		r.end(p, OutcomeRepeated, nil)
	case err == nil:
		r.end(p, OutcomeSent, nil)
	case errors.Is(err, banyanplank.ErrUncertain):
		p.repeats = true
	case errors.Is(err, banyanplank.ErrUnavailable), errors.Is(err, leaser.ErrNotHeld), ctx.Err() != nil:
	default:
		r.end(p, OutcomeRejected, err)
	}
}

// end ends the report of a window.
func (r *Reporter) end(p *report, outcome Outcome, err error) {
	delete(r.pending, p.window)
	r.onEnd(Event{
		Window: p.window, Outcome: outcome, Token: r.token, Sum: p.sum, Entries: p.entries, Oldest: p.oldest,
		After: r.now().Sub(r.endOf(p.window)), Err: err,
	})
}

// clean removes reports from the store that can't be sent any more. Their age counts by the
// monotonic clock too, as a wrong clock must not remove what another holder may still need.
func (r *Reporter) clean(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	deleted := 0
	for window, s := range r.stored {
		keep := 2 * r.late
		if deleted == maxDeletions || r.pending[window] != nil || time.Since(s.knownAt) < keep || r.now().Sub(r.endOf(window)) < keep {
			continue
		}
		deleted++
		err := r.store.Delete(ctx, objectName(window), s.version)
		if err == nil || errors.Is(err, banyanplank.ErrNotFound) || errors.Is(err, banyanplank.ErrConflict) {
			delete(r.stored, window)
			continue
		}
		s.knownAt = time.Now().Add(-keep + r.late)
		r.stored[window] = s
	}
}
