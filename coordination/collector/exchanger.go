package collector

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/counter"
)

// Limits of an [Exchanger].
const (
	// sendTimeout bounds a message to a peer, and finalTimeout the last ones of an entry that
	// stops.
	sendTimeout  = 500 * time.Millisecond
	finalTimeout = time.Second
	// maxMessagesPerTurn bounds the messages to a peer at a time.
	maxMessagesPerTurn = 8
	// maxUnsettled is the longest time after the start in which requests wait to be counted
	// until the clock is compared with that of another entry, and maxPending bounds them.
	maxUnsettled = 3 * time.Second
	maxPending   = 100_000
)

// Exchanger counts the requests of one entry in true time and exchanges the counts with other
// entries. It is safe for concurrent use.
type Exchanger struct {
	collector *Collector
	counts    *counter.Counter
	clock     *counter.Clock
	read      func() counter.Reading
	onError   func(id banyanplank.DaemonID, err error)
	onJump    func(status counter.ClockStatus)

	// startedAt is the elapsed time at which the exchanger started.
	startedAt time.Duration
	// isSettled is set once the clock is compared with that of another entry. Until then, the
	// requests wait in pending, which pendingMutex guards.
	isSettled    atomic.Bool
	pendingMutex sync.Mutex
	pending      []pendingRequest

	// mutex guards the sender.
	mutex  sync.Mutex
	sender *Sender
	// isReceiver is set while the other entries send their counts to this one, and isSynced
	// once it has the earlier counts of the other receivers. Only Step uses them.
	isReceiver bool
	isSynced   bool
	// checked is the place of the first silent entry that was checked last.
	checked int
	// jumps is the number of jumps of the time of day that are passed to onJump.
	jumps int
}

// pendingRequest is a request that is not counted yet, because its true time is not known.
type pendingRequest struct {
	account banyanplank.AccountID
	elapsed time.Duration
}

// ExchangerOption configures an [Exchanger].
type ExchangerOption func(*Exchanger)

// WithReader sets the clocks of the machine. The default is [counter.Read].
func WithReader(read func() counter.Reading) ExchangerOption {
	return func(x *Exchanger) { x.read = read }
}

// WithErrorHandler calls onError with each message that a peer did not accept. The default does
// nothing.
func WithErrorHandler(onError func(id banyanplank.DaemonID, err error)) ExchangerOption {
	return func(x *Exchanger) { x.onError = onError }
}

// WithJumpHandler calls onJump after the time of day has jumped. The default does nothing.
func WithJumpHandler(onJump func(status counter.ClockStatus)) ExchangerOption {
	return func(x *Exchanger) { x.onJump = onJump }
}

// NewExchanger returns an exchanger of an incarnation of the entry whose collector is c. The
// collector uses its clock and its counts from then on.
func NewExchanger(incarnation banyanplank.Incarnation, c *Collector, options ...ExchangerOption) *Exchanger {
	x := &Exchanger{collector: c, read: counter.Read, onError: func(banyanplank.DaemonID, error) {}, onJump: func(counter.ClockStatus) {}}
	for _, option := range options {
		option(x)
	}
	reading := x.read()
	x.startedAt, x.clock = reading.Elapsed, counter.NewClock(reading)
	x.counts = counter.New(counter.WithWindow(c.window))
	x.sender = NewSender(x.counts, c.self, incarnation, func() time.Time { return x.clock.At(x.startedAt) })
	c.now, c.refresh = x.Now, x.Refresh
	return x
}

// Now returns the estimated true time.
func (x *Exchanger) Now() (now time.Time) { return x.clock.Now(x.read()) }

// Clock returns the clock of the entry.
func (x *Exchanger) Clock() *counter.Clock { return x.clock }

// Record counts a request of an account that begins to run now.
func (x *Exchanger) Record(account banyanplank.AccountID) {
	reading := x.read()
	if !x.isSettled.Load() && x.addPending(pendingRequest{account, reading.Elapsed}) {
		return
	}
	x.counts.Record(x.clock.Now(reading), account)
}

// addPending keeps a request until the clock is settled, and reports whether it does.
func (x *Exchanger) addPending(request pendingRequest) (ok bool) {
	x.pendingMutex.Lock()
	defer x.pendingMutex.Unlock()
	if x.isSettled.Load() || len(x.pending) >= maxPending {
		return false
	}
	x.pending = append(x.pending, request)
	return true
}

// settle counts the pending requests once the clock is compared with that of another entry, or
// when they have waited for long enough.
func (x *Exchanger) settle(reading counter.Reading, final bool) {
	if x.isSettled.Load() {
		return
	}
	if !final && x.clock.Status().Sources == 0 && reading.Elapsed-x.startedAt < maxUnsettled {
		return
	}
	x.pendingMutex.Lock()
	defer x.pendingMutex.Unlock()
	for _, request := range x.pending {
		x.counts.Record(x.clock.At(request.elapsed), request.account)
	}
	x.pending = nil
	x.isSettled.Store(true)
}

// claimTime returns the true time up to which the entry has counted its requests.
func (x *Exchanger) claimTime(reading counter.Reading) (at time.Time) {
	if !x.isSettled.Load() {
		return x.clock.At(x.startedAt)
	}
	return x.clock.Now(reading)
}

// Receive merges the counts of another entry.
func (x *Exchanger) Receive(message *Message) (reply Reply, err error) {
	through, err := x.collector.ledger.Receive(x.Now(), message)
	if err != nil {
		return reply, err
	}
	return Reply{Through: through, Wall: x.clock.Own(x.read()).UnixNano()}, nil
}

// Export returns what this entry knows about some windows, or about all if none is named.
func (x *Exchanger) Export(windows ...int64) (export Export) {
	x.Refresh()
	return x.collector.ledger.Export(windows...)
}

// Refresh adds the latest counts of this entry to its ledger.
func (x *Exchanger) Refresh() { x.refresh(false) }

// refresh adds the latest counts of this entry to its ledger. Final reports that it counts no
// further requests.
func (x *Exchanger) refresh(final bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	self := x.collector.self
	for range maxMessagesPerTurn {
		reading := x.read()
		message, more := x.sender.Compose(self, x.claimTime(reading), final)
		through, err := x.collector.ledger.Receive(x.clock.Now(reading), message)
		if err != nil {
			x.onError(self, err)
			return
		}
		x.sender.Acknowledge(self, Reply{Through: through})
		if !more {
			return
		}
	}
}

// Run exchanges counts until ctx ends. The entry must count no requests after that.
func (x *Exchanger) Run(ctx context.Context) {
	// Entries that start together don't send at the same moments.
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(x.collector.self))
	_ = banyanplank.Sleep(ctx, time.Duration(hash.Sum32())%SendInterval)
	for ctx.Err() == nil {
		began := time.Now()
		x.Step(ctx)
		_ = banyanplank.Sleep(ctx, max(SendInterval/10, SendInterval-time.Since(began)))
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
	defer cancel()
	x.settle(x.read(), true)
	x.refresh(true)
	x.send(last, true)
}

// Step makes one exchange with the other entries.
func (x *Exchanger) Step(ctx context.Context) {
	c := x.collector
	if status := x.clock.Status(); status.Jumps != x.jumps {
		x.jumps = status.Jumps
		x.onJump(status)
	}
	x.counts.Prune(counter.WindowAt(x.Now(), c.window) - c.ledger.retain)
	c.rememberMembers()
	x.Refresh()
	x.send(ctx, false)
	x.settle(x.read(), false)
	x.updateRole(ctx)
	if x.isReceiver {
		x.checkSilent(ctx)
	}
}

// checkSilent checks whether the processes of silent entries run, so that the time of a death is
// known.
func (x *Exchanger) checkSilent(ctx context.Context) {
	silent := x.collector.ledger.Silent(x.Now(), silentAge)
	if len(silent) > maxChecks {
		x.checked = (x.checked + maxChecks) % len(silent)
		silent = slices.Concat(silent[x.checked:], silent[:x.checked])[:maxChecks]
	}
	checks := pool.New()
	for _, id := range silent {
		if id == x.collector.self {
			continue
		}
		checks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			if _, err := x.collector.peers.Fetch(ctx, id, noWindow); errors.Is(err, ErrEnded) {
				x.collector.ledger.MarkEnded(id, x.Now())
			}
		})
	}
	checks.Wait()
}

// receivers returns the entries that receive the counts of all.
func (x *Exchanger) receivers() (receivers []banyanplank.DaemonID) {
	return Receivers(aliveIDs(x.collector.members()))
}

// updateRole records whether the other entries send their counts to this one, and copies the
// counts that the other receivers have.
func (x *Exchanger) updateRole(ctx context.Context) {
	receivers, ledger := x.receivers(), x.collector.ledger
	if !slices.Contains(receivers, x.collector.self) {
		if x.isReceiver {
			ledger.ClearSince()
		}
		x.isReceiver, x.isSynced = false, false
		return
	}
	if !x.isReceiver {
		x.isReceiver = true
		ledger.SetSince(x.Now())
	}
	if !x.isSynced {
		x.isSynced = x.collector.sync(ctx, receivers)
	}
}

// send sends the counts that the receivers don't have yet.
func (x *Exchanger) send(ctx context.Context, final bool) {
	receivers, self := x.receivers(), x.collector.self
	x.mutex.Lock()
	x.sender.Forget(append(slices.Clone(receivers), self))
	x.mutex.Unlock()
	sends := pool.New()
	for _, id := range receivers {
		if id == self {
			continue
		}
		sends.Go(func() {
			for range maxMessagesPerTurn {
				more, err := x.sendOne(ctx, id, final)
				if err != nil {
					x.onError(id, err)
				}
				if err != nil || !more {
					return
				}
			}
		})
	}
	sends.Wait()
}

// sendOne sends one message to a receiver, and reports whether there is more to send.
func (x *Exchanger) sendOne(ctx context.Context, id banyanplank.DaemonID, final bool) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	sent := x.read()
	x.mutex.Lock()
	message, more := x.sender.Compose(id, x.claimTime(sent), final)
	x.mutex.Unlock()
	reply, err := x.collector.peers.Send(ctx, id, message)
	if err != nil {
		return false, err
	}
	received := x.read()
	x.clock.Observe(received, counter.Sample{Source: string(id), Time: time.Unix(0, reply.Wall), RoundTrip: received.Elapsed - sent.Elapsed})
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.sender.Acknowledge(id, reply)
	return more, nil
}
