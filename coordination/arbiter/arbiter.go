// Package arbiter decides how an entry continues after a failed attempt of a
// request: whether to retry, at which agent, and which error to return to the
// caller. No other package decides that the outcome of a request is
// [banyanplank.NotRun]. The table in docs/delivery.md lists all cases, and the
// tests check each row of it.
package arbiter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Step is the progress of the latest attempt.
type Step uint8

// The steps of an attempt, in order.
const (
	// StepPick means that no agent has been chosen.
	StepPick Step = iota
	// StepBind means that the key of the request was being bound to an agent.
	StepBind
	// StepDial means that a connection to the agent was being opened or
	// checked. Nothing has been sent on it.
	StepDial
	// StepSend means that the request was sent, partly or completely, and the
	// agent has not accepted it.
	StepSend
	// StepAccept means that the agent has accepted the request.
	StepAccept
	// StepAnswer means that a part of the answer has arrived.
	StepAnswer
)

// Cause is the cause of an attempt's failure.
type Cause uint8

// The causes.
const (
	// CauseRefused means that the step was refused, with a reason.
	CauseRefused Cause = iota
	// CauseDial means that no connection to the agent could be opened.
	CauseDial
	// CauseConnection means that the connection broke, timed out or lost a part.
	CauseConnection
	// CauseRestart means that the agent has restarted and lost all knowledge of
	// the request.
	CauseRestart
	// CauseEndpoint means that the agent reported a failure of its endpoint.
	CauseEndpoint
	// CauseDeadline means that the caller's deadline has passed.
	CauseDeadline
	// CauseCallerGone means that the caller has disconnected.
	CauseCallerGone
)

// Binding is the way in which a non-repeatable request is bound to its agent.
type Binding uint8

// The kinds of bindings.
const (
	// BindingNone is for repeatable requests.
	BindingNone Binding = iota
	// BindingEntry is for a non-repeatable request without a key. Only this entry
	// can send it.
	BindingEntry
	// BindingClaim is for a key that is bound by a claim. Other entries can
	// send the request, too.
	BindingClaim
	// BindingTicket is for a key that permanently names its agent.
	BindingTicket
)

// Failure describes a failed attempt. It holds everything that the decision
// depends on.
type Failure struct {
	Step    Step
	Cause   Cause
	Binding Binding
	// Refusal is the refusal of the step, for [CauseRefused].
	Refusal *banyanplank.Refusal
	// Delivered reports whether the caller has received a part of the answer.
	Delivered bool
	// Resumable reports whether another endpoint can continue the answer at an
	// offset.
	Resumable bool
	// PossiblyRun reports whether this or an earlier attempt sent the request to an
	// agent that has not promised since then never to run it.
	PossiblyRun bool
	// KeyUnused reports that no earlier call with the key has run: the key is not
	// bound, or its agent has promised never to start the request.
	KeyUnused bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// TriesLeft is the number of tries left in the retry budget.
	TriesLeft int
}

// Action is the next action of the entry.
type Action uint8

// The actions.
const (
	// ActionRefuse ends the request with the refusal of the decision.
	ActionRefuse Action = iota
	// ActionRetryElsewhere tries another agent, from the caller's offset on.
	ActionRetryElsewhere
	// ActionReconnect reconnects to the same agent for the same attempt.
	ActionReconnect
	// ActionCancel tells the agent to cancel the request and free the endpoint.
	ActionCancel
	// ActionKeepRunning lets the request run on, and the agent keeps its answer.
	ActionKeepRunning
)

// Decision is the result of [Decide].
type Decision struct {
	Action Action
	// Refusal is the error for the caller, for [ActionRefuse].
	Refusal *banyanplank.Refusal
}

// Decide decides how to continue after a failed attempt.
func Decide(f Failure) (decision Decision) {
	switch f.Cause {
	case CauseCallerGone:
		return f.decideCallerGone()
	case CauseDeadline:
		return f.refuse(banyanplank.ReasonDeadline, "The deadline passed before the answer was complete.")
	case CauseRefused:
		return f.decideRefused()
	case CauseDial:
		return f.decideUnreached()
	case CauseConnection:
		return f.decideConnectionLost()
	default:
		return f.decideEndpointFailed()
	}
}

// decideCallerGone decides after the caller has disconnected. A non-repeatable
// request that an agent may have continues to run, so that a retry finds its
// answer.
func (f Failure) decideCallerGone() (decision Decision) {
	if f.Binding != BindingNone && f.Step >= StepSend {
		return Decision{Action: ActionKeepRunning}
	}
	return Decision{Action: ActionCancel}
}

func (f Failure) decideRefused() (decision Decision) {
	if f.Refusal.Outcome != banyanplank.NotRun {
		return Decision{Action: ActionRefuse, Refusal: f.Refusal}
	}
	if f.canMoveAfterRefusal() && f.canRetry() {
		return Decision{Action: ActionRetryElsewhere}
	}
	if f.Delivered || f.PossiblyRun || f.Step == StepPick && f.mayHaveRunBefore() {
		return f.refuse(f.Refusal.Reason, f.Refusal.Detail)
	}
	return Decision{Action: ActionRefuse, Refusal: f.Refusal}
}

// mayHaveRunBefore reports whether an earlier call with the same key may have
// run.
func (f Failure) mayHaveRunBefore() bool {
	return (f.Binding == BindingClaim || f.Binding == BindingTicket) && !f.KeyUnused
}

// canMoveAfterRefusal reports whether another agent may run a request after
// this one refused it. By its refusal an agent promises never to start the
// request.
func (f Failure) canMoveAfterRefusal() bool {
	if f.Step < StepSend || f.Binding == BindingTicket {
		return false
	}
	switch f.Refusal.Reason {
	case banyanplank.ReasonConflict, banyanplank.ReasonInvalid, banyanplank.ReasonForbidden,
		banyanplank.ReasonDeadline, banyanplank.ReasonExpired, banyanplank.ReasonSuspect:
		return false
	default:
		return f.canContinueElsewhere()
	}
}

// decideUnreached decides after a failure to connect to the agent. A request
// that is bound to the agent is tried there again. Any other request moves to
// another agent.
func (f Failure) decideUnreached() (decision Decision) {
	switch {
	case f.canRetry() && f.isUnbound() && f.canContinueElsewhere():
		return Decision{Action: ActionRetryElsewhere}
	case f.canRetry():
		return Decision{Action: ActionReconnect}
	default:
		return f.refuse(banyanplank.ReasonUnreachable, "The agent beside the endpoint could not be reached.")
	}
}

// decideConnectionLost decides after the connection to the agent broke. The
// agent may still run the request, so the entry must reconnect to it before it
// tries another agent.
func (f Failure) decideConnectionLost() (decision Decision) {
	if f.canRetry() {
		return Decision{Action: ActionReconnect}
	}
	return f.refuse(banyanplank.ReasonUnreachable, "The connection to the agent beside the endpoint was lost.")
}

// decideEndpointFailed decides after the agent or its endpoint failed while it
// had the request.
func (f Failure) decideEndpointFailed() (decision Decision) {
	if f.Binding == BindingNone && f.canContinueElsewhere() && f.canRetry() {
		return Decision{Action: ActionRetryElsewhere}
	}
	f.PossiblyRun = true
	return f.refuse(banyanplank.ReasonEndpoint, "The endpoint or its agent failed while it had the request.")
}

// isUnbound reports whether the request may run at another agent: it is
// repeatable, or it has never been sent and no other entry can send it.
func (f Failure) isUnbound() bool {
	return f.Binding == BindingNone || f.Binding == BindingEntry && !f.PossiblyRun
}

// canContinueElsewhere reports whether another endpoint can deliver the rest of
// the answer.
func (f Failure) canContinueElsewhere() bool {
	return !f.Delivered || f.Resumable
}

// canRetry reports whether the deadline and the retry budget allow another try.
func (f Failure) canRetry() bool {
	return f.TimeLeft > 0 && f.TriesLeft > 0
}

// failureRetryAfter is the recommended retry delay after a connection or an
// agent failed.
const failureRetryAfter = time.Second

// refuse ends the request. The outcome is [banyanplank.NotRun] only if no agent
// can have the request: it was never sent, or each agent that received it has
// promised never to run it, and no other entry can have sent it under the same
// key.
func (f Failure) refuse(reason banyanplank.Reason, detail string) (decision Decision) {
	outcome := banyanplank.NotRun
	if f.PossiblyRun || f.Delivered || f.Step >= StepSend && f.Cause != CauseRefused || f.mayHaveRunBefore() {
		outcome = banyanplank.OutcomeUnknown
	}
	return Decision{Action: ActionRefuse, Refusal: &banyanplank.Refusal{
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: failureRetryAfter,
		Detail:     detail,
	}}
}
