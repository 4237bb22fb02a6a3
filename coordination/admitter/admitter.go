package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Defaults of the options. The initial limit is in tokens or slots.
const (
	defaultMaxWaiting         = 1024
	defaultMaxWaitingBytes    = 8 << 20
	defaultInitialLimit       = 1
	defaultMaxInheritedOutput = 1024
)

// Admitter implements [banyanplank.Admitter]. Create it with [New].
type Admitter struct {
	daemon      banyanplank.DaemonID
	incarnation banyanplank.Incarnation
	service     banyanplank.ServiceName
	zone        banyanplank.Zone
	models      []string
	adapters    []string

	mu          sync.Mutex
	scheduler   *scheduler
	zoneOut     bool
	closeReason banyanplank.Reason
	sequence    uint64
	// configuration is the latest one applied.
	configuration *banyanplank.Configuration
}

var _ banyanplank.Admitter = (*Admitter)(nil)

// Option configures an [Admitter].
type Option func(*Admitter)

// WithZone sets the agent's zone. The admitter is closed while the configuration
// marks the zone as out. By default no zone is set.
func WithZone(zone banyanplank.Zone) Option {
	return func(a *Admitter) { a.zone = zone }
}

// WithService sets the endpoint's service, whose latency objectives bound the
// wait in the queue and the limit. By default there are no objectives.
func WithService(service banyanplank.ServiceName) Option {
	return func(a *Admitter) { a.service = service }
}

// WithQueue bounds the number of waiting requests and the total size of their
// bodies in bytes. The defaults are 1024 requests and 8 MiB.
func WithQueue(maxCount, maxBytes int) Option {
	return func(a *Admitter) { a.scheduler.maxWaiting, a.scheduler.maxWaitingBytes = maxCount, maxBytes }
}

// WithInitialLimit sets the limit, in tokens or slots, while the capacity is unknown.
// The default is 1, which runs plain requests one at a time and keeps model
// requests waiting until the first report.
func WithInitialLimit(limit int) Option {
	return func(a *Admitter) { a.scheduler.limit.initial = limit }
}

// WithCapacity sets the capacity, in tokens or slots, to assume until the
// endpoint reports one. By default the capacity is unknown until then.
func WithCapacity(capacity int) Option {
	return func(a *Admitter) { a.scheduler.limit.capacity = max(0, capacity) }
}

// WithColdDivisor sets the divisor of the capacity that gives the limit in cold
// start. The default is 16, which allows a sixteenth of the capacity. Use it for
// an endpoint that is known to carry more or less in cold start.
func WithColdDivisor(divisor int) Option {
	return func(a *Admitter) { a.scheduler.limit.coldDivisor = divisor }
}

// WithMaxCapacity sets an upper bound, in tokens or slots, on the capacity that the
// endpoint reports. Use it if the reports may be wrong. By default there is no
// bound.
func WithMaxCapacity(maxCapacity int) Option {
	return func(a *Admitter) { a.scheduler.limit.maxCapacity = maxCapacity }
}

// WithMaxInheritedOutput sets the number of tokens to reserve for the further growth of
// each answer that an earlier run of the agent started. The default is 1024.
func WithMaxInheritedOutput(tokens int) Option {
	return func(a *Admitter) { a.scheduler.inherited.maxOutput = tokens }
}

// New returns an admitter for the endpoint of the given agent. Its limit starts
// as in cold start.
func New(daemon banyanplank.DaemonID, incarnation banyanplank.Incarnation, options ...Option) *Admitter {
	a := &Admitter{
		daemon:      daemon,
		incarnation: incarnation,
		scheduler: &scheduler{
			limit:           limit{initial: defaultInitialLimit, coldDivisor: defaultColdDivisor},
			queue:           newQueue(),
			inherited:       newInheritedWork(time.Now(), defaultMaxInheritedOutput),
			maxWaiting:      defaultMaxWaiting,
			maxWaitingBytes: defaultMaxWaitingBytes,
		},
	}
	for _, option := range options {
		option(a)
	}
	a.scheduler.limit.reset()
	return a
}

// waiter is an offered request. It is the grant once the request is admitted.
type waiter struct {
	ticket
	admitter *Admitter
	// result receives the decision on a request that waits, nil if it may run.
	// It is nil for a request that was decided at once.
	result chan *banyanplank.Refusal
}

// Admit implements [banyanplank.Admitter]. A request that cannot start before
// its deadline, or within its service's objective for the first token, is
// refused at once.
func (a *Admitter) Admit(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error) {
	return a.admit(ctx, request, false)
}

// AdmitAlone is [Admitter.Admit] for a request that must not run along with
// others. It waits until the endpoint is idle, and no other request starts until
// the grant is released. Only the request's deadline bounds the wait.
func (a *Admitter) AdmitAlone(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error) {
	return a.admit(ctx, request, true)
}

func (a *Admitter) admit(ctx context.Context, request *banyanplank.Request, alone bool) (grant banyanplank.Grant, err error) {
	if ctx.Err() != nil {
		return nil, canceledRefusal()
	}
	w, refusal := a.offer(request, alone)
	if refusal != nil {
		return nil, refusal
	}
	if w.result == nil {
		return w, nil
	}
	if refusal = a.awaitResult(ctx, w); refusal != nil {
		return nil, refusal
	}
	return w, nil
}

// offer passes the request to the scheduler. The result channel of w is set if
// the request waits.
func (a *Admitter) offer(request *banyanplank.Request, alone bool) (w *waiter, refusal *banyanplank.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	w = &waiter{admitter: a}
	w.alone = alone
	a.scheduler.initTicket(&w.ticket, now, request)
	w.waiter = w
	refusal = a.scheduler.offer(now, &w.ticket)
	if refusal == nil && w.phase == phaseWaiting {
		w.result = make(chan *banyanplank.Refusal, 1)
	}
	a.deliverDecisions()
	return w, refusal
}

// awaitResult waits until w is started or refused, or its caller cancels it.
func (a *Admitter) awaitResult(ctx context.Context, w *waiter) (refusal *banyanplank.Refusal) {
	var expired <-chan time.Time
	if !w.startDeadline.IsZero() {
		timer := time.NewTimer(time.Until(w.startDeadline))
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case refusal = <-w.result:
			return refusal
		case now := <-expired:
			a.expire(now, w)
		case <-ctx.Done():
			return a.abandon(w)
		}
	}
}

// expire refuses w if it still waits at its start deadline.
func (a *Admitter) expire(now time.Time, w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.expire(now, &w.ticket)
	a.deliverDecisions()
}

// abandon removes w, whose caller canceled it. If w was started concurrently, its
// reservation is released.
func (a *Admitter) abandon(w *waiter) (refusal *banyanplank.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.scheduler.abandon(now, &w.ticket) {
		a.scheduler.revertStart(now, &w.ticket)
	}
	a.deliverDecisions()
	return canceledRefusal()
}

// deliverDecisions sends the scheduler's decisions to the waiting callers.
func (a *Admitter) deliverDecisions() {
	for i, d := range a.scheduler.decisions {
		d.ticket.waiter.result <- d.refusal
		a.scheduler.decisions[i] = decision{}
	}
	a.scheduler.decisions = a.scheduler.decisions[:0]
}

// Progress implements [banyanplank.Grant].
func (w *waiter) Progress(tokens int) {
	w.admitter.mu.Lock()
	defer w.admitter.mu.Unlock()
	w.admitter.scheduler.recordProgress(time.Now(), &w.ticket, tokens)
	w.admitter.deliverDecisions()
}

// MarkStalled reports that the answer was not read for a while. The intervals between
// its parts then no longer measure the endpoint's speed.
func (w *waiter) MarkStalled() {
	w.admitter.mu.Lock()
	defer w.admitter.mu.Unlock()
	w.stalled = true
}

// Release implements [banyanplank.Grant].
func (w *waiter) Release(healthy bool) {
	w.admitter.mu.Lock()
	defer w.admitter.mu.Unlock()
	w.admitter.scheduler.finish(time.Now(), &w.ticket, healthy)
	w.admitter.deliverDecisions()
}

// Observe implements [banyanplank.Admitter].
func (a *Admitter) Observe(report banyanplank.EndpointReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.observe(time.Now(), report)
	a.deliverDecisions()
}

// Load implements [banyanplank.Admitter].
func (a *Admitter) Load() (report banyanplank.LoadReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	s := a.scheduler
	s.startWaiting(time.Now())
	a.deliverDecisions()
	return banyanplank.LoadReport{
		Daemon:       a.daemon,
		Incarnation:  a.incarnation,
		Sequence:     a.sequence,
		Limit:        s.limit.current,
		Held:         s.held + s.inherited.tokens,
		QueuedTokens: s.prefill.tokens + s.queue.promptTokens,
		Waiting:      s.queue.count,
		PrefillRate:  s.speed.prefillRate,
		StepTime:     s.speed.averageStep,
		Cold:         s.limit.isCold(),
		Closed:       s.closed != "",
		Models:       a.models,
		Adapters:     a.adapters,
	}
}

// ResetToCold reports that the endpoint was lost or not reached. The limit returns to
// that of a cold start.
func (a *Admitter) ResetToCold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.resetToCold()
}

// SetLoaded sets the models and adapters that the endpoint has loaded, which
// [Admitter.Load] reports to entries. It is called after an order that changed
// them, so the limit returns to that of a cold start.
func (a *Admitter) SetLoaded(models, adapters []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.models, a.adapters = models, adapters
	a.scheduler.resetToCold()
}

// Reconfigure implements [banyanplank.Admitter]. It returns early if the
// configuration is the one already applied.
func (a *Admitter) Reconfigure(configuration *banyanplank.Configuration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if configuration == a.configuration {
		return
	}
	a.configuration = configuration
	a.scheduler.queue.reconfigure(configuration.Accounts)
	spec, _ := configuration.FindService(a.service)
	a.scheduler.maxFirstToken = time.Duration(spec.Objective.MaxFirstToken)
	a.scheduler.limit.maxTokenInterval = time.Duration(spec.Objective.MaxTokenInterval)
	a.zoneOut = a.zone != "" && configuration.IsZoneOut(a.zone)
	a.updateClosed()
}

// Close implements [banyanplank.Admitter].
func (a *Admitter) Close(reason banyanplank.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeReason = reason
	a.updateClosed()
}

// Open implements [banyanplank.Admitter]. The admitter stays closed while its
// zone is out.
func (a *Admitter) Open() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeReason = ""
	a.updateClosed()
}

// updateClosed closes or opens the scheduler.
func (a *Admitter) updateClosed() {
	switch {
	case a.closeReason != "":
		a.scheduler.close(a.closeReason)
	case a.zoneOut:
		a.scheduler.close(banyanplank.ReasonZoneOut)
	default:
		a.scheduler.open()
	}
	a.deliverDecisions()
}
