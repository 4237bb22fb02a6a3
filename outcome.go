package banyanplank

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome tells a caller what is known of a request that got no whole answer.
type Outcome string

// The outcomes.
const (
	// NotRun means that no endpoint started the request, nor ever will.
	NotRun Outcome = "not run"
	// OutcomeUnknown means that an endpoint may have run the request.
	OutcomeUnknown Outcome = "outcome unknown"
	// Ran means that an endpoint ran the request to its end.
	Ran Outcome = "ran"
)

// Reason is a short fixed word for why a request was refused or cut.
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

// Refusal is the error of a request that got no whole answer.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter tells the caller when to come back. Zero gives no advice.
	RetryAfter time.Duration
	// Detail is one sentence for people.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// AsRefusal returns the refusal in err. Any other error leaves the outcome unknown.
func AsRefusal(err error) (refusal *Refusal) {
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Outcome: OutcomeUnknown, Reason: ReasonEndpoint, Detail: err.Error()}
}
