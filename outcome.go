package banyanplank

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what is known about the execution of a request that got no
// complete answer.
type Outcome string

// The outcomes.
const (
	// NotRun means that no endpoint has started the request or ever will.
	NotRun Outcome = "not run"
	// OutcomeUnknown means that an endpoint may have run the request.
	OutcomeUnknown Outcome = "outcome unknown"
	// Ran means that an endpoint ran the request to completion.
	Ran Outcome = "ran"
)

// Reason is a fixed identifier of why a request was refused or cut off.
type Reason string

// The reasons.
const (
	ReasonOverload    Reason = "overload"
	ReasonDeadline    Reason = "deadline"
	ReasonZoneOut     Reason = "zone_out"
	ReasonLeaving     Reason = "leaving"
	ReasonLimit       Reason = "limit"
	ReasonNoEndpoint  Reason = "no_endpoint"
	ReasonUnreachable Reason = "unreachable"
	ReasonSuspect     Reason = "suspect"
	ReasonConflict    Reason = "conflict"
	ReasonInProgress  Reason = "in_progress"
	ReasonExpired     Reason = "expired"
	ReasonStale       Reason = "stale"
	ReasonStore       Reason = "store"
	ReasonEndpoint    Reason = "endpoint"
	ReasonInvalid     Reason = "invalid"
	ReasonForbidden   Reason = "forbidden"
	ReasonCanceled    Reason = "canceled"
)

// Refusal is the error of a request that got no complete answer.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the delay after which the caller should retry. Zero means
	// that no delay is recommended.
	RetryAfter time.Duration
	// Detail is a human-readable explanation of one sentence.
	Detail string
}

// Error returns the outcome, reason and detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// AsRefusal returns the refusal in the chain of err. Any other error becomes a
// refusal with [OutcomeUnknown].
func AsRefusal(err error) (refusal *Refusal) {
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Outcome: OutcomeUnknown, Reason: ReasonEndpoint, Detail: err.Error()}
}
