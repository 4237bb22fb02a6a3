package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// ErrNotHeld means that this entry may not act for the duty now. The call was not made.
var ErrNotHeld = errors.New("duty is not held")

// DutyPrefix is the prefix of the object names of duties.
const DutyPrefix = "duties/"

// Timing of a duty.
const (
	// dutyTerm is how long a holder may act after a renewal. A slow renewal and one more fit
	// into it. A longer term delays the next holder: a report is due 10 s after its window.
	dutyTerm = 2500 * time.Millisecond
	// dutyRenewInterval is the time between two renewals. Writes are priced.
	dutyRenewInterval = time.Second
	// dutyRetryInterval is the time between two attempts after a failure.
	dutyRetryInterval = 250 * time.Millisecond
	// dutyReadInterval is the time between two reads by a candidate.
	dutyReadInterval = 1500 * time.Millisecond
	// dutyTickInterval is the time between two ticks of the model.
	dutyTickInterval = 250 * time.Millisecond
	// minTickInterval is the least time between two looks for a freeze.
	minTickInterval = 20 * time.Millisecond
	// dutyStoreTimeout bounds one call to the store.
	dutyStoreTimeout = time.Second
	// dutyCallTimeout bounds one call to the platform.
	dutyCallTimeout = time.Second
	// releaseWait is how long a planned stop waits for a call that runs.
	releaseWait = 500 * time.Millisecond
	// minCallTime is how much of the term has to be left to begin a call.
	minCallTime = 200 * time.Millisecond
	// freezeTolerance is the missing time up to which the machine doesn't count as frozen.
	// The two readings differ by microseconds.
	freezeTolerance = 20 * time.Millisecond
	// yieldFailures and yieldTime are the number of failed calls, and the time since the
	// first of them, after which a holder yields the duty: it may be cut off from the
	// platform while others are not.
	yieldFailures = 3
	yieldTime     = 3 * time.Second
)

// Defaults of a [Holder].
const (
	// DefaultLease is the time within which no two holders act in turns.
	DefaultLease = 3 * time.Second
	// DefaultThaw is the time to wait after a freeze.
	DefaultThaw = 300 * time.Millisecond
)

// Holder holds a duty: while it runs, it competes for the duty, and makes the calls of the duty
// while it holds it. Its methods may be called from many goroutines.
type Holder struct {
	duty     banyanplank.Duty
	member   banyanplank.Member
	leaser   *Leaser
	lease    time.Duration
	thaw     time.Duration
	interval time.Duration
	frozen   func() time.Duration
	onChange func(term banyanplank.Term, held bool)

	// calling holds a token while a call is made. Calls are made one at a time.
	calling chan struct{}

	mutex sync.Mutex
	// term is the last one that onChange was called with.
	term       banyanplank.Term
	held       bool
	released   bool
	lastFrozen time.Duration
	thawedAt   time.Time
	// era is the latest one passed to [Holder.SetEra].
	era banyanplank.Era
	// endCall ends the call that is being made.
	endCall context.CancelFunc
	// nextCallAt is when the next call may be made, uncertainUntil until when a call
	// without a reply may still arrive.
	nextCallAt     time.Time
	uncertainUntil time.Time
	failures       int
	firstFailure   time.Time
	// yielding is set from the decision to yield until the duty is released.
	yielding bool
	// blockedUntil is the time until which this entry doesn't act after it yielded.
	blockedUntil time.Time
}

// HolderOption configures a [Holder].
type HolderOption func(*Holder)

// WithLease sets the time within which no other holder may act and then this one again, as the
// platform defines it. A new holder waits that much longer than the term of the old one. The
// default is [DefaultLease].
func WithLease(lease time.Duration) HolderOption {
	return func(h *Holder) { h.lease = lease }
}

// WithThaw sets how long the holder waits after a freeze of its machine, as the platform may
// ignore calls before. The default is [DefaultThaw].
func WithThaw(thaw time.Duration) HolderOption {
	return func(h *Holder) { h.thaw = thaw }
}

// WithCallInterval sets the least time between two calls. Set it to the number of duties
// divided by the rate that the platform allows for all. The default is no limit.
func WithCallInterval(interval time.Duration) HolderOption {
	return func(h *Holder) { h.interval = interval }
}

// WithFrozenTime sets the function that returns for how long the machine has been frozen in
// total. Use it in tests. The default is [FrozenTime].
func WithFrozenTime(frozen func() time.Duration) HolderOption {
	return func(h *Holder) { h.frozen = frozen }
}

// WithChangeHandler calls notify when the duty is taken and when it is lost, for example to log
// it. The default does nothing.
func WithChangeHandler(notify func(term banyanplank.Term, held bool)) HolderOption {
	return func(h *Holder) { h.onChange = notify }
}

// NewHolder returns a holder of a duty that has not started. Only a few entries should compete
// for one duty, as each reads the store every 1.5 s. See [Holder.SetCandidate].
//
//	h := leaser.NewHolder(store, banyanplank.DutyUsage, self)
//	err := h.Do(ctx, func(ctx context.Context, term banyanplank.Term) error {
//		return platform.ReportUsage(ctx, term, body)
//	})
func NewHolder(store banyanplank.ObjectStore, duty banyanplank.Duty, member banyanplank.Member, options ...HolderOption) (h *Holder) {
	h = &Holder{
		duty:     duty,
		member:   member,
		lease:    DefaultLease,
		thaw:     DefaultThaw,
		frozen:   FrozenTime,
		onChange: func(banyanplank.Term, bool) {},
		calling:  make(chan struct{}, 1),
		endCall:  func() {},
	}
	for _, option := range options {
		option(h)
	}
	h.lastFrozen = h.frozen()
	calls := executor{store: store, name: DutyPrefix + string(duty), timeout: dutyStoreTimeout, frozen: h.frozen}
	h.leaser = newLeaser(NewDutyModel(member, h.lease), calls, dutyTickInterval)
	return h
}

// NewDutyModel returns the model of a candidate for a duty.
func NewDutyModel(member banyanplank.Member, lease time.Duration) (m *Model) {
	m = NewModel(member)
	m.timing = Timing{
		Term: dutyTerm, Takeover: dutyTerm + lease, Renew: dutyRenewInterval,
		Retry: dutyRetryInterval, Read: dutyReadInterval, Rest: lease,
	}
	return m
}

// Duty returns the duty.
func (h *Holder) Duty() (duty banyanplank.Duty) { return h.duty }

// SetCandidate sets whether the entry competes for the duty. An entry that holds the duty keeps
// it in either case. The default is true.
func (h *Holder) SetCandidate(candidate bool) { h.leaser.SetCandidate(candidate) }

// SetEra reports that the store is in an era, as any of its responses may show. A
// term of an earlier era ends at once, with the call that is being made: the store may have lost
// the lease, or one that another entry took since.
func (h *Holder) SetEra(era banyanplank.Era) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if era > h.era {
		h.era = era
		h.endCall()
	}
}

// Run competes for the duty and renews it until ctx ends.
func (h *Holder) Run(ctx context.Context) (err error) {
	work := pool.New().WithErrors()
	work.Go(func() error { return h.leaser.Run(ctx) })
	work.Go(func() error {
		// A freeze has to be noticed before the platform counts the calls of this machine again.
		for banyanplank.Sleep(ctx, max(minTickInterval, min(dutyTickInterval, h.thaw/2))) == nil {
			h.yieldIfReady(ctx)
		}
		return nil
	})
	return work.Wait()
}

// Term returns the current term, and whether this entry may act for the duty now.
func (h *Holder) Term() (term banyanplank.Term, held bool) {
	now := time.Now()
	lease := h.leaser.Lease()
	frozen := h.frozen()
	h.mutex.Lock()
	if (frozen - h.lastFrozen).Abs() > freezeTolerance {
		// A lower reading corrects one that was too high, or was made before the freeze.
		h.thawedAt = now
		h.endCall()
	}
	h.lastFrozen = frozen
	term = banyanplank.Term{Holder: h.member.ID, Token: lease.Fence, Since: lease.heldSince, Until: lease.heldUntil}
	isConfirmed := (frozen-lease.frozen).Abs() <= freezeTolerance && (h.thawedAt.IsZero() || now.Sub(h.thawedAt) >= h.thaw)
	held = term.IsHeld(now) && eraOf(term.Token) >= h.era && isConfirmed && !h.released && !h.yielding && !now.Before(h.blockedUntil)
	previous, changed := h.term, held != h.held || (held && term.Token != h.term.Token)
	if changed {
		h.held = held
	}
	if held {
		h.term = term
	}
	h.mutex.Unlock()
	switch {
	case changed && held:
		h.onChange(term, true)
	case changed:
		h.onChange(previous, false)
	}
	return term, held
}

// Do makes one call for the duty. It waits for its turn under the rate limit, checks the term,
// and gives the call a deadline within the term. It returns [ErrNotHeld] without making the
// call if this entry may not act.
func (h *Holder) Do(ctx context.Context, call func(ctx context.Context, term banyanplank.Term) error) (err error) {
	defer func() { err = errors.Wrapf(err, "call for %s", h.duty) }()
	if _, held := h.Term(); !held {
		return ErrNotHeld
	}
	select {
	case h.calling <- struct{}{}:
		defer func() { <-h.calling }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := banyanplank.Sleep(ctx, h.turnDelay()); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Set before the term is checked, so that no freeze in between is missed. A later one ends the
	// call: its deadline is in monotonic time, which doesn't count the freeze.
	h.mutex.Lock()
	h.endCall = cancel
	h.mutex.Unlock()
	term, held := h.Term()
	if !held || time.Until(term.Until) < minCallTime {
		return ErrNotHeld
	}
	deadline := time.Now().Add(dutyCallTimeout)
	if term.Until.Before(deadline) {
		deadline = term.Until
	}
	earlier := h.recordCall()
	callCtx, cancelCall := context.WithDeadline(ctx, deadline)
	defer cancelCall()
	err = call(callCtx, term)
	h.recordResult(err, earlier)
	return err
}

// turnDelay returns how long the next call has to wait under the rate limit. A new holder waits
// for one interval, as the previous one may just have made a call.
func (h *Holder) turnDelay() (delay time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	next := h.nextCallAt
	if first := h.term.Since.Add(h.interval); first.After(next) {
		next = first
	}
	return time.Until(next)
}

// recordCall records the begin of a call. Until its result is known it may arrive within the
// lease. It returns until when an earlier call may still arrive.
func (h *Holder) recordCall() (earlier time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	h.nextCallAt = now.Add(h.interval)
	earlier, h.uncertainUntil = h.uncertainUntil, now.Add(dutyCallTimeout+h.lease)
	return earlier
}

// recordResult records the result of a call, and decides whether to yield the duty. A reply says
// nothing about an earlier call without one.
func (h *Holder) recordResult(err error, earlier time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	if errors.Is(err, banyanplank.ErrUncertain) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		h.uncertainUntil = now.Add(h.lease)
	} else {
		h.uncertainUntil = earlier
	}
	isFailure := errors.Is(err, banyanplank.ErrUncertain) || errors.Is(err, banyanplank.ErrUnavailable)
	switch {
	case !isFailure:
		h.failures = 0
	case h.failures == 0:
		h.failures, h.firstFailure = 1, now
	default:
		h.failures++
		h.yielding = h.yielding || (h.failures >= yieldFailures && now.Sub(h.firstFailure) >= yieldTime)
	}
}

// yieldIfReady releases a duty that is to be yielded, since calls to the platform keep failing
// here, so that another entry tries. It does so when no call without a reply can arrive any
// more, and competes again after two leases.
func (h *Holder) yieldIfReady(ctx context.Context) {
	h.Term()
	now := time.Now()
	h.mutex.Lock()
	ready := h.yielding && !now.Before(h.uncertainUntil)
	if ready {
		h.yielding, h.failures, h.blockedUntil = false, 0, now.Add(2*h.lease)
	}
	h.mutex.Unlock()
	if ready {
		h.leaser.loop.Send(ctx, ReleaseMsg{Resume: now.Add(2 * h.lease)})
	}
}

// Release gives up the duty for good, for a planned stop. It waits up to 0.5 s for a call that
// runs. If a call without a reply may still arrive, it keeps the release out of the store, so
// that the next holder waits for the end of the term and for the lease.
func (h *Holder) Release(ctx context.Context) {
	h.mutex.Lock()
	h.released = true
	h.mutex.Unlock()
	timer := time.NewTimer(releaseWait)
	defer timer.Stop()
	select {
	case h.calling <- struct{}{}:
		defer func() { <-h.calling }()
	case <-timer.C:
	}
	h.mutex.Lock()
	isSilent := time.Now().Before(h.uncertainUntil)
	h.mutex.Unlock()
	h.Term()
	h.leaser.loop.Send(ctx, ReleaseMsg{IsSilent: isSilent})
}
