// Package forwarder forwards requests from an entry to endpoints and returns
// their answers: it picks an agent, opens an attempt there, and retries,
// reconnects or gives up, as package arbiter decides, when a connection, an
// agent or an endpoint fails.
package forwarder

import (
	"context"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/claimer"
	"github.com/banyanplank/banyanplank/coordination/retrier"
)

// Answer is the answer of an attempt, read from one connection.
type Answer interface {
	// ReadHead waits for the head of the answer.
	ReadHead() (head banyanplank.Head, err error)
	// Next returns the next part, or [io.EOF] after the last one.
	Next() (part banyanplank.Part, err error)
	// End returns the end of the answer. It is valid after Next has returned
	// [io.EOF].
	End() (end banyanplank.End)
	// Close cancels the attempt if it has not ended, because the caller
	// disconnected.
	Close() (err error)
	// Detach closes the connection and lets the attempt run on.
	Detach()
}

// Opener opens attempts at agents. Its errors and those of the answer are
// [*banyanplank.Refusal] values. A refusal with
// [banyanplank.ReasonUnreachable] comes from the opener itself; its outcome is
// [banyanplank.NotRun] only if nothing was sent. All others come from the agent.
type Opener interface {
	// Open sends request to the agent of member and returns its answer once the
	// agent has accepted it. With fresh it uses a new connection.
	Open(ctx context.Context, member banyanplank.Member, request *banyanplank.Request, fresh bool) (answer Answer, err error)
	// Identify returns the incarnation of the agent that responds at the
	// member's address.
	Identify(ctx context.Context, member banyanplank.Member) (incarnation banyanplank.Incarnation, err error)
}

// Claimer binds the idempotency key of an at-most-once request to one agent.
type Claimer interface {
	Claim(ctx context.Context, now time.Time, key claimer.Key, proposal banyanplank.Binding) (binding banyanplank.Binding, err error)
	Rebind(ctx context.Context, key claimer.Key, from, proposal banyanplank.Binding) (binding banyanplank.Binding, err error)
	Find(ctx context.Context, key claimer.Key) (binding banyanplank.Binding, found bool, err error)
}

// Retrier limits the retries of requests at other agents.
type Retrier interface {
	// AddFirstAttempt counts a request that is not a retry.
	AddFirstAttempt(account banyanplank.AccountID)
	// Allow returns the delay before one more attempt. ok is false if no further
	// attempt is allowed.
	Allow(now time.Time, attempt retrier.Attempt) (delay time.Duration, ok bool)
}

// Locator returns the member with the given ID, if it is not gone.
type Locator func(id banyanplank.DaemonID) (member banyanplank.Member, ok bool)

const (
	// defaultMaxAttempts limits the attempts and connections of one request.
	defaultMaxAttempts = 4
	// reconnectBackoff is the delay before the second connection to the same
	// agent. It doubles with each further one.
	reconnectBackoff = 50 * time.Millisecond
	// deadlineGrace extends the entry's deadline so that the refusal of the
	// agent, whose outcome is more precise, arrives first.
	deadlineGrace = 250 * time.Millisecond
)

// Forwarder forwards requests to agents.
type Forwarder struct {
	picker      banyanplank.Picker
	opener      Opener
	claimer     Claimer
	locate      Locator
	retrier     Retrier
	zone        banyanplank.Zone
	maxAttempts int
}

// Option configures a [Forwarder].
type Option func(*Forwarder)

// WithZone sets the availability zone of the entry. Use it so that the picker
// can prefer endpoints in the same zone. The default is none.
func WithZone(zone banyanplank.Zone) Option {
	return func(f *Forwarder) { f.zone = zone }
}

// WithMaxAttempts limits the attempts and connections of one request. The default
// is 4.
func WithMaxAttempts(attempts int) Option {
	return func(f *Forwarder) { f.maxAttempts = attempts }
}

// WithClaimer binds idempotency keys with claimer. Use it in every entry. The
// default refuses requests with a key.
func WithClaimer(claimer Claimer) Option {
	return func(f *Forwarder) { f.claimer = claimer }
}

// WithLocator finds the agents named in keys and event IDs with locate. Use it
// in every entry. The default finds none.
func WithLocator(locate Locator) Option {
	return func(f *Forwarder) { f.locate = locate }
}

// WithRetrier limits retries at other agents with retrier. Use it in every
// entry. The default limits only the attempts of each request.
func WithRetrier(retrier Retrier) Option {
	return func(f *Forwarder) { f.retrier = retrier }
}

// New returns a forwarder that picks agents with picker and opens attempts with
// opener.
func New(picker banyanplank.Picker, opener Opener, options ...Option) *Forwarder {
	f := &Forwarder{
		picker:      picker,
		opener:      opener,
		claimer:     rejectingClaimer{},
		retrier:     noRetrier{},
		locate:      func(banyanplank.DaemonID) (member banyanplank.Member, ok bool) { return member, false },
		maxAttempts: defaultMaxAttempts,
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// noRetrier allows every retry without delay.
type noRetrier struct{}

func (noRetrier) AddFirstAttempt(banyanplank.AccountID) {}

func (noRetrier) Allow(time.Time, retrier.Attempt) (delay time.Duration, ok bool) { return 0, true }

// rejectingClaimer refuses every key.
type rejectingClaimer struct{}

var errKeysUnsupported = &banyanplank.Refusal{
	Outcome: banyanplank.NotRun,
	Reason:  banyanplank.ReasonInvalid,
	Detail:  "This entry does not support Idempotency-Key.",
}

func (rejectingClaimer) Claim(context.Context, time.Time, claimer.Key, banyanplank.Binding) (binding banyanplank.Binding, err error) {
	return binding, errKeysUnsupported
}

func (rejectingClaimer) Rebind(context.Context, claimer.Key, banyanplank.Binding, banyanplank.Binding) (binding banyanplank.Binding, err error) {
	return binding, errKeysUnsupported
}

func (rejectingClaimer) Find(context.Context, claimer.Key) (binding banyanplank.Binding, found bool, err error) {
	return binding, false, errKeysUnsupported
}

// Location identifies the agent and the attempt that hold an answer. Event IDs
// contain it.
type Location struct {
	Daemon  banyanplank.DaemonID
	Attempt banyanplank.AttemptID
}

// Delivery is the answer that the caller reads.
type Delivery interface {
	banyanplank.Answer
	// Location returns the agent and the attempt that sent the latest part.
	Location() (location Location)
}

// Forward runs request at an endpoint, or resumes the answer at location if
// that is not nil. The error is a [*banyanplank.Refusal]. The caller must close the
// delivery.
func (f *Forwarder) Forward(ctx context.Context, request *banyanplank.Request, location *Location) (delivery Delivery, err error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(deadlineGrace))
	c := newCall(ctx, cancel, f, request)
	if location != nil {
		c.resume(*location)
	} else {
		f.retrier.AddFirstAttempt(request.Account)
	}
	if err := c.openUntilHead(); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Ticket returns a key for one at-most-once call of the account to service. The
// key is bound to an agent that could run it now, without access to the object
// store. The error is the picker's.
func (f *Forwarder) Ticket(now time.Time, account banyanplank.AccountID, service banyanplank.ServiceName, nonce string) (ticket claimer.Ticket, err error) {
	choice, err := f.picker.Pick(now, banyanplank.Query{Service: service, Account: account, Zone: f.zone})
	if err != nil {
		return ticket, err
	}
	f.picker.Finish(now, choice, banyanplank.Result{Reached: true})
	return claimer.Ticket{
		Daemon:      choice.Member.ID,
		Incarnation: choice.Member.Incarnation,
		Expiry:      now.Add(claimer.DefaultTicketLifetime),
		Nonce:       nonce,
	}, nil
}
