package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// handleSendError handles a call that got no response. It returns true when the call
// has ended.
func (f *forwarder) handleSendError(err error) (done bool) {
	var sendErr *requester.Error
	sent := !errors.As(err, &sendErr) || sendErr.Sent
	f.result.detail = err.Error()
	if !sent {
		if !f.isStopped.Load() {
			f.reportUnreached(err)
		}
		return f.handleUndelivered(balancer.NotSent)
	}
	f.sends++
	return f.handleBroken(err)
}

// handleMisdirected handles a call that reached another endpoint at the address. It
// returns true when the call has ended.
func (f *forwarder) handleMisdirected(exchange *requester.Exchange) (done bool) {
	exchange.Drain()
	f.result.detail = "misdirected: " + string(f.lease.Backend.ID) + " is gone"
	return f.handleUndelivered(balancer.Misdirected)
}

// handleUndelivered handles a call that did not reach its endpoint. It returns true
// when the call has ended.
func (f *forwarder) handleUndelivered(kind balancer.ResultKind) (done bool) {
	f.unreachedSends++
	f.finishLease(kind)
	if f.ctx.Err() == nil && f.unreachedSends < maxUnreachedSends && f.hasTimeForAttempt() && f.mayResend(kind) {
		return false
	}
	f.endWithError(&banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonUnreachable, RetryAfter: f.gateway.balancer.RetryAfter(f.service), Detail: f.result.detail})
	return true
}

// mayResend reports whether an undelivered call may be sent to another endpoint. A
// misdirected call was received by an endpoint, so resending it counts against the
// retry budget; a call that no endpoint received does not.
func (f *forwarder) mayResend(kind balancer.ResultKind) bool {
	return kind != balancer.Misdirected || f.gateway.balancer.TakeRetry(f.service)
}

// handleBroken handles a call that an endpoint may have run and whose response broke
// off. It returns true when the call has ended.
func (f *forwarder) handleBroken(err error) (done bool) {
	f.mayHaveRun = true
	f.result.detail = err.Error()
	if f.request.Context().Err() != nil {
		f.finishLease(balancer.Abandoned)
		f.abandon()
	}
	if f.isStopped.Load() {
		f.finishLease(balancer.Abandoned)
		f.endWithError(&banyanplank.Refusal{Outcome: banyanplank.OutcomeUnknown, Reason: banyanplank.ReasonLeaving, Detail: errStopping.Error()})
		return true
	}
	if cause := context.Cause(f.ctx); errors.Is(cause, errSuspect) {
		f.finishLease(balancer.Abandoned)
		f.endWithError(&banyanplank.Refusal{Outcome: banyanplank.OutcomeUnknown, Reason: banyanplank.ReasonSuspect, Detail: cause.Error()})
		return true
	}
	f.reportBroken(err)
	backend := f.lease.Backend
	f.finishLease(balancer.Failed)
	// A prompt that may have crashed the endpoint goes to another one only if this one lives.
	if f.mayCrashEndpoints() && f.gateway.probeEndpoint(f.ctx, backend) != nil {
		f.endWithError(&banyanplank.Refusal{Outcome: banyanplank.OutcomeUnknown, Reason: banyanplank.ReasonSuspect, Detail: err.Error()})
		return true
	}
	if f.mayRetry() {
		return false
	}
	f.endWithError(&banyanplank.Refusal{Outcome: banyanplank.OutcomeUnknown, Reason: banyanplank.ReasonEndpoint, Detail: err.Error()})
	return true
}

// mayRetry reports whether a call that may have run can be sent to another endpoint.
func (f *forwarder) mayRetry() bool {
	return f.ctx.Err() == nil && f.route.IsRepeatable() && f.sends < f.route.MaxAttempts && f.hasTimeForAttempt() &&
		f.gateway.balancer.TakeRetry(f.service)
}

// handleDeclined handles a call that the endpoint declined without running it. It
// returns true when the call has ended.
func (f *forwarder) handleDeclined(exchange *requester.Exchange) (done bool) {
	exchange.Drain()
	faulty := exchange.Reply.FaultyEndpoint
	f.lease.Finish(balancer.Result{
		Kind:         balancer.Declined,
		OtherAtFault: faulty != "" && faulty != string(f.lease.Backend.ID),
	})
	f.result.detail = "declined with status " + strconv.Itoa(exchange.Response.StatusCode) + ", at fault: " + faulty
	if f.ctx.Err() == nil && f.sends < f.route.MaxAttempts && f.hasTimeForAttempt() && f.gateway.balancer.TakeRetry(f.service) {
		return false
	}
	f.endWithError(&banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonOverload, RetryAfter: f.gateway.balancer.RetryAfter(f.service), Detail: f.result.detail})
	return true
}

// endWithError ends the call with an error. A stream that has begun is aborted,
// because its status has been sent.
func (f *forwarder) endWithError(err error) {
	if f.stream.headerSent {
		f.result.reason = "cut"
		f.result.detail = err.Error()
		panic(http.ErrAbortHandler)
	}
	f.writeError(err)
}

// abandon ends a call whose caller has left. It closes the connection: a caller that has
// closed only its sending side reads on, and the HTTP server would complete the response.
func (f *forwarder) abandon() {
	f.result.reason = "caller left"
	panic(http.ErrAbortHandler)
}

// retryAfter returns the retry advice for a refused call. An overloaded service has a time for
// the return of each call.
func (f *forwarder) retryAfter(refusal *banyanplank.Refusal) (after time.Duration) {
	if refusal.Reason != banyanplank.ReasonOverload || !f.gateway.balancer.IsUnderLoad(f.service) {
		return refusal.RetryAfter
	}
	return f.promiseReturn()
}

// writeError writes the error response of a call that no endpoint answered. Only 4xx
// and 503 mean that the call has not run.
func (f *forwarder) writeError(err error) {
	var entryError *httpError
	var refusal *banyanplank.Refusal
	status, retryAfter := http.StatusBadGateway, time.Duration(0)
	switch {
	case errors.As(err, &entryError):
		status, retryAfter = entryError.status, entryError.retryAfter
	case f.request.Context().Err() != nil:
		f.abandon()
	case errors.As(err, &refusal):
		f.result.reason = string(refusal.Reason)
		if refusal.Outcome == banyanplank.NotRun && !f.mayHaveRun {
			status, retryAfter = http.StatusServiceUnavailable, f.retryAfter(refusal)
		} else if f.ctx != nil && errors.Is(f.ctx.Err(), context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
	}
	f.result.status = status
	f.result.detail += " / " + err.Error()
	f.gateway.codec.WriteRetryAfter(f.writer.Header(), retryAfter)
	f.gateway.limiter.AllowClose(f.request.Context())
	f.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	http.Error(f.writer, err.Error(), status)
}
