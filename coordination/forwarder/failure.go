package forwarder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/arbiter"
	"github.com/banyanplank/banyanplank/coordination/retrier"
)

// handleFailure does what the arbiter decides after a failure. If it returns
// nil, the call has to be opened again. The error is the final refusal.
func (c *call) handleFailure(cause error) (err error) {
	refusal := banyanplank.AsRefusal(cause)
	if isReleased(cause) && c.step >= arbiter.StepSend {
		c.sent = false
		c.keyUnused = true
	}
	decision := arbiter.Decide(c.arbiterCase(refusal))
	switch decision.Action {
	case arbiter.ActionReconnect:
		c.detach()
		c.reconnects++
		c.request.AttachOnly = c.step >= arbiter.StepSend && !c.request.AtMostOnce
		c.backOff()
		return nil
	case arbiter.ActionRetryElsewhere:
		c.detach()
		c.finishPick(refusal)
		if !c.waitForRetry(refusal) {
			return c.finalRefusal(refusal)
		}
		c.query.Tried = append(c.query.Tried, c.member.ID)
		c.member = banyanplank.Member{}
		c.mayHaveRun = c.mayHaveRun || c.sent
		c.sent = false
		c.reconnects = 0
		c.request.AttachOnly = false
		return nil
	case arbiter.ActionCancel, arbiter.ActionKeepRunning:
		_ = c.Close()
		return &banyanplank.Refusal{Outcome: banyanplank.OutcomeUnknown, Reason: banyanplank.ReasonCanceled, Detail: "The caller disconnected."}
	default:
		c.finishPick(refusal)
		return decision.Refusal
	}
}

// waitForRetry waits for the delay that the retrier sets for one more attempt.
// It returns false if the retrier allows none.
func (c *call) waitForRetry(refusal *banyanplank.Refusal) (ok bool) {
	delay, ok := c.forwarder.retrier.Allow(time.Now(), retrier.Attempt{
		Account:  c.request.Account,
		Number:   c.attempts,
		Free:     retrier.IsFree(refusal),
		Deadline: c.request.Deadline,
	})
	if !ok {
		return false
	}
	c.sleep(delay)
	return true
}

// finalRefusal returns the arbiter's refusal for the caller when no further
// attempt is allowed.
func (c *call) finalRefusal(refusal *banyanplank.Refusal) error {
	input := c.arbiterCase(refusal)
	input.TriesLeft = 0
	return arbiter.Decide(input).Refusal
}

// arbiterCase returns the arbiter's input after a refusal.
func (c *call) arbiterCase(refusal *banyanplank.Refusal) (input arbiter.Failure) {
	input = arbiter.Failure{
		Step:        c.step,
		Cause:       c.failureCause(refusal),
		Binding:     c.bindingKind,
		Refusal:     refusal,
		Delivered:   c.delivered,
		Resumable:   c.request.IsResumable(),
		PossiblyRun: c.sent || c.mayHaveRun,
		KeyUnused:   c.keyUnused,
		TimeLeft:    time.Until(c.request.Deadline),
		TriesLeft:   c.forwarder.maxAttempts - c.tries,
	}
	return input
}

// failureCause returns what ended the attempt.
func (c *call) failureCause(refusal *banyanplank.Refusal) (cause arbiter.Cause) {
	switch {
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return arbiter.CauseDeadline
	case c.ctx.Err() != nil:
		return arbiter.CauseCallerGone
	case isUnsent(refusal):
		return arbiter.CauseDial
	case refusal.Reason == banyanplank.ReasonUnreachable:
		return arbiter.CauseConnection
	case refusal.Outcome != banyanplank.OutcomeUnknown:
		return arbiter.CauseRefused
	}
	switch refusal.Reason {
	case banyanplank.ReasonStale, banyanplank.ReasonLeaving:
		return arbiter.CauseRestart
	case banyanplank.ReasonEndpoint:
		return arbiter.CauseEndpoint
	case banyanplank.ReasonExpired:
		if c.request.IsResumable() {
			return arbiter.CauseRestart
		}
	}
	return arbiter.CauseRefused
}

// backOff waits before another connection to the same agent.
func (c *call) backOff() {
	c.sleep(reconnectBackoff << min(c.reconnects-1, 5))
}

// sleep waits for delay or until the context of the call ends.
func (c *call) sleep(delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}
