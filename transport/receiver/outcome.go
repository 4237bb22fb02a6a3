package receiver

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// callResult is the outcome of one call and its timings.
type callResult struct {
	err         error
	status      int
	elapsed     time.Duration
	timeToFirst time.Duration
	maxGap      time.Duration
	// callerGone is set if the caller closed the connection before the end.
	callerGone bool
}

// errCallerGone marks errors of writing to a caller.
var errCallerGone = errors.New("write to caller")

// isCallerGone reports whether the caller canceled the request or err marks a
// failed write to it.
func isCallerGone(incoming *http.Request, err error) bool {
	return incoming.Context().Err() != nil || errors.Is(err, errCallerGone)
}

// recordOutcome counts a call for the service-level objectives, unless it failed
// by the caller's fault. A call that the caller left counts as good. If it had
// received no part, the time that it waited counts as the time to the first part.
func (r *Receiver) recordOutcome(request *banyanplank.Request, result callResult) {
	if isCallerFault(result.err) {
		return
	}
	good := result.err == nil && result.status < http.StatusInternalServerError
	if result.callerGone {
		good = true
	}
	if result.callerGone && result.timeToFirst == 0 {
		result.timeToFirst = result.elapsed
	}
	r.outcomes.Record(request.Service, request.Account, good, result.timeToFirst, result.maxGap)
}

// isCallerFault reports whether a refusal is caused by the caller and not by the
// service.
func isCallerFault(err error) bool {
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Reason {
	case banyanplank.ReasonInvalid, banyanplank.ReasonForbidden, banyanplank.ReasonLimit,
		banyanplank.ReasonConflict, banyanplank.ReasonInProgress:
		return true
	default:
		return false
	}
}
