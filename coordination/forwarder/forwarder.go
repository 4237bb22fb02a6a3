// Package forwarder takes a request at an entry to an endpoint and back: it
// picks an agent, opens an attempt there and tries another agent while the
// request is known not to have run.
package forwarder

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Opener opens an attempt at an agent. Its errors and those of the answer are
// [*banyanplank.Refusal] values.
type Opener interface {
	Open(ctx context.Context, member banyanplank.Member, request *banyanplank.Request) (answer banyanplank.Answer, err error)
}

// defaultAttempts bounds the agents that one request tries.
const defaultAttempts = 3

// Forwarder forwards requests.
type Forwarder struct {
	picker   banyanplank.Picker
	opener   Opener
	zone     banyanplank.Zone
	attempts int
}

// Option configures a [Forwarder].
type Option func(*Forwarder)

// WithZone tells in which availability zone the entry is. Use it so that the
// picker can prefer near endpoints. The default is none.
func WithZone(zone banyanplank.Zone) Option {
	return func(f *Forwarder) { f.zone = zone }
}

// WithAttempts bounds the agents that one request tries. The default is 3.
func WithAttempts(attempts int) Option {
	return func(f *Forwarder) { f.attempts = attempts }
}

// New returns a forwarder that chooses with picker and calls through opener.
func New(picker banyanplank.Picker, opener Opener, options ...Option) *Forwarder {
	f := &Forwarder{picker: picker, opener: opener, attempts: defaultAttempts}
	for _, option := range options {
		option(f)
	}
	return f
}

// Forward runs request at some endpoint. The error is a
// [*banyanplank.Refusal]. The caller must close the answer.
func (f *Forwarder) Forward(ctx context.Context, request *banyanplank.Request) (answer banyanplank.Answer, err error) {
	query := banyanplank.Query{
		Service: request.Service,
		Account: request.Account,
		Zone:    f.zone,
		Demand:  request.Demand,
	}
	for attempt := range f.attempts {
		choice, pickErr := f.picker.Pick(time.Now(), query)
		if pickErr != nil {
			return nil, firstOf(err, pickErr)
		}
		request.Attempt = banyanplank.AttemptID(fmt.Sprintf("%s.%d", request.ID, attempt))
		answer, err = f.try(ctx, choice, request)
		if err == nil || !mayRetry(ctx, err) {
			return answer, err
		}
		query.Avoid = append(query.Avoid, choice.Member.ID)
	}
	return nil, err
}

// try opens one attempt and wraps its answer so that closing it counts the
// choice out.
func (f *Forwarder) try(ctx context.Context, choice banyanplank.Choice, request *banyanplank.Request) (answer banyanplank.Answer, err error) {
	began := time.Now()
	answer, err = f.opener.Open(ctx, choice.Member, request)
	if err != nil {
		f.picker.Finish(time.Now(), choice, resultOf(err))
		return nil, err
	}
	return &counted{Answer: answer, picker: f.picker, choice: choice, began: began}, nil
}

// resultOf tells the picker what a refusal says of the agent.
func resultOf(err error) (result banyanplank.Result) {
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) {
		return banyanplank.Result{}
	}
	return banyanplank.Result{
		Reached: refusal.Reason != banyanplank.ReasonUnreachable,
		Started: refusal.Outcome != banyanplank.NotRun,
	}
}

// mayRetry reports whether another agent may get the request.
func mayRetry(ctx context.Context, err error) bool {
	var refusal *banyanplank.Refusal
	if ctx.Err() != nil || !errors.As(err, &refusal) {
		return false
	}
	return refusal.Outcome == banyanplank.NotRun && refusal.Reason != banyanplank.ReasonInvalid
}

// firstOf prefers what an agent said over what the picker says after it.
func firstOf(earlier, later error) error {
	if earlier != nil {
		return earlier
	}
	return later
}

// counted is an answer whose closing counts its choice out.
type counted struct {
	banyanplank.Answer
	picker banyanplank.Picker
	choice banyanplank.Choice
	began  time.Time
	first  time.Duration
	closed bool
}

// Next implements [banyanplank.Answer].
func (c *counted) Next() (part banyanplank.Part, err error) {
	part, err = c.Answer.Next()
	if c.first == 0 && (err == nil || errors.Is(err, io.EOF)) {
		c.first = time.Since(c.began)
	}
	return part, err
}

// Close implements [banyanplank.Answer].
func (c *counted) Close() (err error) {
	if c.closed {
		return nil
	}
	c.closed = true
	c.picker.Finish(time.Now(), c.choice, banyanplank.Result{Reached: true, Started: true, First: c.first})
	return c.Answer.Close()
}
