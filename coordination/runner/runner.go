// Package runner runs requests at the agent: it admits each one, hands it to
// the endpoint and passes the answer on.
package runner

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Sink takes in what becomes of one attempt. Its errors mean that the entry
// can no longer be reached.
type Sink interface {
	// Accepted tells that the endpoint may start the request from now on.
	Accepted() (err error)
	// Head opens the answer.
	Head(head banyanplank.Head) (err error)
	// Part adds the next part.
	Part(part banyanplank.Part) (err error)
}

// Runner runs requests at one endpoint.
type Runner struct {
	endpoint banyanplank.Endpoint
	admitter banyanplank.Admitter
}

// New returns a runner for endpoint, which runs what admitter admits.
func New(endpoint banyanplank.Endpoint, admitter banyanplank.Admitter) *Runner {
	return &Runner{endpoint: endpoint, admitter: admitter}
}

// Load returns the agent's newest load report.
func (r *Runner) Load() (report banyanplank.LoadReport) {
	return r.admitter.Load()
}

// Run runs request and sends its answer to sink. The error is always a
// [*banyanplank.Refusal]; without one the answer was whole.
func (r *Runner) Run(ctx context.Context, request *banyanplank.Request, sink Sink) (end banyanplank.End, err error) {
	defer func() { err = asRefusal(err) }()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	grant, err := r.admitter.Admit(ctx, request)
	if err != nil {
		return end, err
	}
	healthy := false
	defer func() { grant.Release(healthy) }()
	if err := sink.Accepted(); err != nil {
		healthy = true
		return end, notRun(banyanplank.ReasonCanceled, "the entry went away before the request started")
	}
	answer, err := r.endpoint.Run(ctx, request)
	if err != nil {
		healthy = isNotRun(err)
		return end, err
	}
	defer answer.Close()
	end, err = pass(answer, sink, grant)
	healthy = err == nil || ctx.Err() != nil
	return end, err
}

// pass copies the answer to the sink until its end.
func pass(answer banyanplank.Answer, sink Sink, grant banyanplank.Grant) (end banyanplank.End, err error) {
	if err := sink.Head(answer.Head()); err != nil {
		return end, errors.Wrap(err, "send head")
	}
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return end, nil
		}
		if err != nil {
			return end, err
		}
		if err := sink.Part(part); err != nil {
			return end, errors.Wrap(err, "send part")
		}
		grant.Progress(1)
		end.Parts = part.Offset + 1
	}
}

// asRefusal keeps refusals and takes any other error as an unknown outcome.
func asRefusal(err error) error {
	if err == nil {
		return nil
	}
	var refusal *banyanplank.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &banyanplank.Refusal{
		Outcome: banyanplank.OutcomeUnknown,
		Reason:  banyanplank.ReasonEndpoint,
		Detail:  err.Error(),
	}
}

func isNotRun(err error) bool {
	var refusal *banyanplank.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == banyanplank.NotRun
}

func notRun(reason banyanplank.Reason, detail string) error {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     reason,
		RetryAfter: time.Second,
		Detail:     detail,
	}
}
