// Package runner runs requests at the agent. Each attempt is a session: it is
// admitted, runs at the endpoint and appends its answer to a held stream,
// whether or not an entry reads it. Entries read the answer from any offset and
// may reconnect.
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/holder"
	"github.com/banyanplank/banyanplank/state/recorder"
)

// Sink receives the progress of one attempt. Its errors mean that the entry is
// no longer reachable; ctx has then ended, and its cause is [ErrCallerGone] if
// the caller disconnected.
type Sink interface {
	// Accepted reports that the agent has accepted the request.
	Accepted(ctx context.Context) (err error)
	// Head sends the head of the answer.
	Head(ctx context.Context, head banyanplank.Head) (err error)
	// Part sends the next part. It blocks while too much data is
	// unacknowledged, and returns the cause of ctx if ctx ends first.
	Part(ctx context.Context, part banyanplank.Part) (err error)
	// HandleAcks registers ack, which is called with the number of parts that the
	// entry has acknowledged, whenever that number grows.
	HandleAcks(ack func(offset uint64))
}

// ErrCallerGone is the cause of a context that ends because the caller
// disconnected. After any other cause the entry may reconnect.
var ErrCallerGone = errors.New("caller gone")

// The default durations of a [Runner].
const (
	// DefaultReconnectGrace is how long a session runs on without a reader.
	DefaultReconnectGrace = 10 * time.Second
	// DefaultRetention is how long an answer is kept after its end.
	DefaultRetention = 30 * time.Second
	// DefaultResultRetention is how long the answer of an at-most-once request
	// is kept after its end.
	DefaultResultRetention = 10 * time.Minute
	// DefaultMaxOverrun is how long an at-most-once request may run past its
	// deadline.
	DefaultMaxOverrun = 10 * time.Minute
)

// Runner runs requests at one endpoint.
type Runner struct {
	endpoint        banyanplank.Endpoint
	admitter        banyanplank.Admitter
	holder          *holder.Holder
	recorder        *recorder.Recorder
	reconnectGrace  time.Duration
	retention       time.Duration
	resultRetention time.Duration
	maxOverrun      time.Duration

	mu           sync.Mutex
	sessions     map[sessionKey]*session
	running      int
	sessionGroup conc.WaitGroup
	// stopped is set when a planned stop has reached its time limit.
	stopped atomic.Bool
}

// sessionKey identifies an attempt. It includes the account so that no caller
// can read the answer of another account.
type sessionKey struct {
	account banyanplank.AccountID
	attempt banyanplank.AttemptID
}

// Option configures a [Runner].
type Option func(*Runner)

// WithHolder stores answers in h. Use it to set memory budgets. The default is
// a holder with the default budgets.
func WithHolder(h *holder.Holder) Option {
	return func(r *Runner) { r.holder = h }
}

// WithReconnectGrace sets how long a session runs on without a reader. Use a
// longer grace period where callers reconnect slowly. The default is
// [DefaultReconnectGrace].
func WithReconnectGrace(grace time.Duration) Option {
	return func(r *Runner) { r.reconnectGrace = grace }
}

// WithRetention sets how long an answer is kept after its end. The default is
// [DefaultRetention].
func WithRetention(retention time.Duration) Option {
	return func(r *Runner) { r.retention = retention }
}

// WithResultRetention sets how long the answer of an at-most-once request is
// kept for retries. A longer retention uses more memory. The default is
// [DefaultResultRetention].
func WithResultRetention(retention time.Duration) Option {
	return func(r *Runner) { r.resultRetention = retention }
}

// New returns a runner that runs at endpoint the requests that admitter admits.
// The recorder must be the only one of this incarnation of the agent.
func New(endpoint banyanplank.Endpoint, admitter banyanplank.Admitter, records *recorder.Recorder, options ...Option) *Runner {
	r := &Runner{
		endpoint:        endpoint,
		admitter:        admitter,
		recorder:        records,
		reconnectGrace:  DefaultReconnectGrace,
		retention:       DefaultRetention,
		resultRetention: DefaultResultRetention,
		maxOverrun:      DefaultMaxOverrun,
		sessions:        make(map[sessionKey]*session),
	}
	for _, option := range options {
		option(r)
	}
	if r.holder == nil {
		r.holder = holder.New()
	}
	return r
}

// Load returns the latest load report of the agent.
func (r *Runner) Load() (report banyanplank.LoadReport) {
	return r.admitter.Load()
}

// Identity returns the ID and the incarnation of the agent.
func (r *Runner) Identity() (daemon banyanplank.DaemonID, incarnation banyanplank.Incarnation) {
	return r.recorder.Owner()
}

// Running returns the number of requests that are queued or running.
func (r *Runner) Running() (requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// Wait blocks until all sessions have ended. Call it after the last Run.
func (r *Runner) Wait() {
	r.sessionGroup.Wait()
}

// Stop cancels all sessions, as at the time limit of a planned stop.
func (r *Runner) Stop() {
	r.stopped.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		s.stop()
	}
}

// Run starts request or joins the session that runs it, and sends the answer to
// sink. The error is always a [*banyanplank.Refusal]; it is nil only if the
// answer is complete.
func (r *Runner) Run(ctx context.Context, request *banyanplank.Request, sink Sink) (end banyanplank.End, err error) {
	defer func() { err = toRefusal(err) }()
	s, err := r.joinSession(request)
	if err != nil {
		return end, err
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	defer func() { s.removeReader(errors.Is(context.Cause(ctx), ErrCallerGone)) }()
	if err := sink.Accepted(ctx); err != nil {
		return end, err
	}
	end, err = s.sendAnswer(ctx, request.Offset, sink)
	if errors.Is(err, context.DeadlineExceeded) {
		return end, s.deadlineError()
	}
	if err == nil && !request.AtMostOnce {
		// A delivered answer may be evicted when memory is needed.
		s.stream.Ack(s.stream.NextOffset())
	}
	return end, err
}

// joinSession finds the session of the request or starts one, and counts the
// caller as a reader.
func (r *Runner) joinSession(request *banyanplank.Request) (s *session, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := sessionKey{account: request.Account, attempt: request.Attempt}
	if known, ok := r.sessions[key]; ok {
		if known.callDigest != request.CallDigest() {
			return nil, newRefusal(banyanplank.NotRun, banyanplank.ReasonConflict, "The attempt belongs to another call.")
		}
		known.readers++
		known.stream.SetDiscardUnread(false)
		return known, nil
	}
	if request.AttachOnly {
		return nil, newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonStale, "The attempt is unknown to the agent.")
	}
	if request.AtMostOnce {
		return r.joinAtMostOnce(key, request)
	}
	if request.Offset > 0 && !request.IsResumable() {
		return nil, newRefusal(banyanplank.NotRun, banyanplank.ReasonInvalid, "The answer cannot be resumed at another endpoint.")
	}
	reservation := r.holder.Reserve(request.Account)
	if !reservation.Grow(len(request.Body)) {
		reservation.Release()
		return nil, refuseForMemory()
	}
	return r.startSession(key, request, r.holder.Open(request.Account), reservation), nil
}

// refuseForMemory refuses a request whose body exceeds the memory budget.
func refuseForMemory() (refusal *banyanplank.Refusal) {
	return newRefusal(banyanplank.NotRun, banyanplank.ReasonLimit,
		"The memory budget for requests and answers held at the agent is used up.")
}

// joinAtMostOnce starts an at-most-once request or joins the recorded earlier run
// of it.
func (r *Runner) joinAtMostOnce(key sessionKey, request *banyanplank.Request) (s *session, err error) {
	if !time.Now().Before(request.Deadline) {
		return nil, newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonDeadline, "The call arrived after its deadline.")
	}
	stream := r.holder.Open(request.Account)
	start, earlier, err := r.recorder.Begin(time.Now(), request.RecordKey(), request.Binding, stream)
	if start {
		return r.startAtMostOnce(key, request, stream)
	}
	stream.Drop()
	if err != nil {
		return nil, err
	}
	return &session{runner: r, request: request, callDigest: request.CallDigest(), stream: earlier, readers: 1, shared: true}, nil
}

// startAtMostOnce starts the session of an at-most-once request. If its body
// exceeds the memory budget, the record is released: the request is never run.
func (r *Runner) startAtMostOnce(key sessionKey, request *banyanplank.Request, stream *holder.Stream) (s *session, err error) {
	reservation := r.holder.Reserve(request.Account)
	if !reservation.Grow(len(request.Body)) {
		reservation.Release()
		stream.Drop()
		refusal := refuseForMemory()
		r.recorder.Release(request.RecordKey(), request.Binding.Generation, refusal)
		return nil, refusal
	}
	return r.startSession(key, request, stream, reservation), nil
}

// startSession starts a new session with one reader. An at-most-once request
// always runs from its first part on, whatever offset the caller requests.
func (r *Runner) startSession(key sessionKey, request *banyanplank.Request, stream *holder.Stream, reservation *holder.Reservation) (s *session) {
	if request.AtMostOnce {
		whole := *request
		whole.Offset = 0
		request = &whole
	}
	waiting, cancel := context.WithDeadline(context.Background(), request.Deadline)
	s = &session{
		runner:          r,
		key:             key,
		request:         request,
		callDigest:      request.CallDigest(),
		stream:          stream,
		firstOffset:     request.Offset,
		readers:         1,
		cancel:          cancel,
		done:            make(chan struct{}),
		bodyReservation: reservation,
	}
	r.sessions[key] = s
	r.running++
	r.sessionGroup.Go(func() { s.run(waiting) })
	return s
}

// toRefusal returns a refusal unchanged and any other error as a refusal with an
// unknown outcome.
func toRefusal(err error) error {
	if err == nil {
		return nil
	}
	var refusal *banyanplank.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonEndpoint, err.Error())
}

// isNotRun reports whether err is a refusal of a request that was not run.
func isNotRun(err error) bool {
	var refusal *banyanplank.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == banyanplank.NotRun
}

func newRefusal(outcome banyanplank.Outcome, reason banyanplank.Reason, detail string) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: time.Second,
		Detail:     detail,
	}
}
