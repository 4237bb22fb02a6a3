package receiver

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// ended is how one call ended.
type ended struct {
	err     error
	status  int
	waited  time.Duration
	first   time.Duration
	slowest time.Duration
	// left tells that the caller hung up.
	left bool
}

// errCallerLeft marks the error of a write to a caller.
var errCallerLeft = errors.New("the caller does not read the answer")

// hasLeft reports whether the caller of a request is gone.
func hasLeft(incoming *http.Request, err error) bool {
	return incoming.Context().Err() != nil || errors.Is(err, errCallerLeft)
}

// record counts a call for the service-level burn. A call that the caller got
// wrong does not count. A caller that hangs up counts as answered, with its
// wait as the time to the first part if there was none.
func (r *Receiver) record(request *banyanplank.Request, e ended) {
	if isCallersFault(e.err) {
		return
	}
	good := e.err == nil && e.status < http.StatusInternalServerError
	if e.left {
		good = true
	}
	if e.left && e.first == 0 {
		e.first = e.waited
	}
	r.outcomes.Record(request.Service, request.Account, good, e.first, e.slowest)
}

// isCallersFault reports whether a refusal says nothing about the service.
func isCallersFault(err error) bool {
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
