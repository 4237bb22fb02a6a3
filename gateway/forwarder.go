package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// Limits on the attempts of one call.
const (
	// maxUnreachedSends bounds the endpoints that a call failed to reach: no
	// connection, or another endpoint at the address.
	maxUnreachedSends = 4
	// silenceTimeoutGoals is the number of latency goals without a response after
	// which a repeatable call is retried elsewhere, and minSilenceTimeout the lower
	// bound of that time.
	silenceTimeoutGoals = 3
	minSilenceTimeout   = 300 * time.Millisecond
	// onceMaxIdle is the longest idle time of a connection that is used for a call
	// that must not be repeated: the endpoint may be closing an older one.
	onceMaxIdle = 500 * time.Millisecond
	// maxResponseBytes bounds a response that is buffered until it is complete.
	maxResponseBytes = 4 << 20
	// writeGrace is how long after the deadline of the call the entry may still write
	// the response.
	writeGrace = 250 * time.Millisecond
)

// forwarder forwards one call to endpoints until the caller has a response.
type forwarder struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *http.Request
	snapshot *surveyor.Snapshot
	info     banyanplank.CallInfo
	route    *banyanplank.RouteSpec
	account  banyanplank.AccountID
	service  banyanplank.ServiceName
	priority int
	body     []byte
	// fingerprint identifies the request when it is repeated
	// under another id.
	fingerprint banyanplank.Fingerprint
	arrivedAt   time.Time
	sentAt      time.Time
	deadline    time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	// cancelCause cancels ctx with a cause.
	cancelCause context.CancelCauseFunc
	lease       *balancer.Lease
	// isStopped is set when the call is canceled because the entry stops.
	isStopped atomic.Bool
	// sends counts the endpoints that may have read the call, and tried lists all
	// endpoints that were chosen.
	sends          int
	unreachedSends int
	tried          []banyanplank.BackendID
	// mayHaveRun reports whether an endpoint may have run the call.
	mayHaveRun bool
	// isCounted is set once the request has been passed to the usage counts.
	isCounted bool
	// needsTrial is set while a part of the prompt is suspect, and trial identifies the
	// trial of the current attempt, or is zero.
	needsTrial bool
	// admissionDone is set once admission has decided on the call, and isReturning if the
	// call came back with a promise.
	admissionDone, isReturning bool
	trial                      suspecter.TrialID
	// stream is the state of a response that is forwarded event by event.
	stream stream
	// buffered counts the memory of the bodies and events that the call buffers.
	buffered bufferShare
	result   callResult
}

// callResult is what the log line of a call contains about its end.
type callResult struct {
	status      int
	reason      string
	detail      string
	waitTime    time.Duration
	timeToFirst time.Duration
	backend     banyanplank.BackendID
	// pressure is the demand for the service as a fraction of its capacity, and share the
	// fraction of calls like this one that is admitted. promised is set if room is kept for
	// the return of the call.
	pressure, share float64
	promised        bool
}

// setDeadline sets the deadline of the call from the caller's time limit and that of
// the route.
func (f *forwarder) setDeadline() {
	limit := f.routeTimeout()
	if f.info.Timeout > 0 {
		limit = min(limit, f.info.Timeout)
	}
	f.deadline = f.arrivedAt.Add(limit)
	ctx := f.request.Context()
	if len(f.info.SharedParts) > 0 {
		ctx, f.cancelCause = context.WithCancelCause(ctx)
	}
	f.ctx, f.cancel = context.WithDeadline(ctx, f.deadline)
	// An error means that the connection is closed, which the next write reports.
	_ = http.NewResponseController(f.writer).SetWriteDeadline(f.deadline.Add(writeGrace))
}

// routeTimeout returns the time limit of the route.
func (f *forwarder) routeTimeout() (timeout time.Duration) {
	if f.route.Timeout <= 0 {
		return defaultTimeout
	}
	return f.route.Timeout
}

// run sends the call to endpoints until it has a response or may not be retried.
func (f *forwarder) run() {
	for {
		err := f.refuseAttempt()
		if err == nil {
			err = f.admit()
		}
		if err == nil {
			err = f.acquireLease()
		}
		if err != nil {
			f.endWithError(err)
			return
		}
		if done := f.attempt(); done {
			return
		}
	}
}

// refuseAttempt returns a refusal if the call must not be sent to an endpoint.
func (f *forwarder) refuseAttempt() (err error) {
	if err := f.refuseCrashing(); err != nil {
		return err
	}
	return f.refuseWhileStopping()
}

// acquireLease waits for a slot at an endpoint.
func (f *forwarder) acquireLease() (err error) {
	began := time.Now()
	f.lease, err = f.gateway.balancer.Acquire(f.ctx, balancer.Query{
		Service:      f.service,
		PromptTokens: f.info.PromptTokens,
		LatencyGoal:  f.latencyGoal(),
		Priority:     f.priority,
		Resumed:      f.stream.headerSent,
		Returning:    f.isReturning,
		Avoid:        f.tried,
	})
	f.result.waitTime += time.Since(began)
	if err != nil {
		return err
	}
	// Another endpoint may have crashed on the request, or the entry may have begun to
	// stop, while the call waited.
	if err = f.refuseAttempt(); err == nil && f.needsTrial {
		err = f.claimTrial()
	}
	if err != nil {
		f.finishLease(balancer.Abandoned)
		return err
	}
	f.tried = append(f.tried, f.lease.Backend.ID)
	f.result.backend = f.lease.Backend.ID
	return nil
}

// latencyGoal returns the time within which the response, or the first event of a
// stream, is on time.
func (f *forwarder) latencyGoal() (goal time.Duration) {
	if f.route.FirstEventTarget > 0 {
		return f.route.FirstEventTarget
	}
	return f.routeTimeout() / 4
}

// attempt sends the call to the endpoint of the lease. It returns true when the call
// has ended.
func (f *forwarder) attempt() (done bool) {
	defer f.endTrial()
	f.gateway.unanswered.add(f)
	defer f.gateway.unanswered.remove(f)
	f.sentAt = time.Now()
	exchange, err := f.gateway.requester.Send(f.ctx, f.lease.Backend, f.newCall())
	if err != nil {
		return f.handleSendError(err)
	}
	defer exchange.Close()
	if exchange.Reply.Misdirected && exchange.Reply.FaultyEndpoint == "" {
		return f.handleMisdirected(exchange)
	}
	f.sends++
	f.observeReply(&exchange.Reply)
	if exchange.Reply.NotRun {
		return f.handleDeclined(exchange)
	}
	if f.route.Kind == banyanplank.RouteStream && exchange.Response.StatusCode == http.StatusOK {
		return f.forwardStream(exchange)
	}
	if f.stream.headerSent {
		return f.handleBroken(errors.Newf("status %d instead of the rest of the stream", exchange.Response.StatusCode))
	}
	return f.deliverResponse(exchange)
}

// newCall returns the call for the endpoint of the lease.
func (f *forwarder) newCall() (call *requester.Call) {
	header := f.request.Header.Clone()
	removeHopByHopFields(header)
	seen := f.info.LastEventID
	if f.stream.lastID != "" {
		seen = f.stream.lastID
	}
	f.gateway.codec.WriteCall(header, banyanplank.SendInfo{
		Account:     f.account,
		Backend:     f.lease.Backend.ID,
		Timeout:     time.Until(f.deadline),
		LastEventID: seen,
		Priority:    -1,
	})
	call = &requester.Call{
		Method:  f.request.Method,
		Target:  f.request.RequestURI,
		Host:    f.request.Host,
		Header:  header,
		Body:    f.body,
		Attempt: f.info.Attempt,
	}
	if f.route.Kind == banyanplank.RouteAtMostOnce {
		call.MaxIdle = onceMaxIdle
	}
	if f.route.IsRepeatable() {
		call.CheckInterval, call.ShouldGiveUp = f.silenceTimeout(), f.mayGiveUpResponse
	}
	return call
}

// silenceTimeout returns the time without a response after which another endpoint may
// be tried.
func (f *forwarder) silenceTimeout() (timeout time.Duration) {
	if f.route.Kind == banyanplank.RouteStream {
		return streamSilenceTimeout
	}
	return max(minSilenceTimeout, silenceTimeoutGoals*f.latencyGoal())
}

// mayGiveUpResponse reports whether an endpoint that has not responded yet may be
// given up for another one.
func (f *forwarder) mayGiveUpResponse() bool {
	if f.sends+1 >= f.route.MaxAttempts || !f.hasTimeForAttempt() {
		return false
	}
	if f.route.Kind == banyanplank.RouteStream {
		return f.lease.TimeSinceGroupEvent() < maxProgressAge
	}
	return true
}

// mayGiveUpStream reports whether an endpoint whose stream has stopped, and which is
// counted in sends, may be given up for another one.
func (f *forwarder) mayGiveUpStream() bool {
	return f.route.Resumable && f.sends < f.route.MaxAttempts && f.hasTimeForAttempt() && f.lease.TimeSinceGroupEvent() < maxProgressAge
}

// hasTimeForAttempt reports whether another attempt could still succeed before the
// deadline, or before the entry stops.
func (f *forwarder) hasTimeForAttempt() bool { return f.timeLeft() > f.latencyGoal()/4 }

// deliverResponse buffers a response and forwards it once it is complete. It returns
// true when the call has ended.
func (f *forwarder) deliverResponse(exchange *requester.Exchange) (done bool) {
	response := exchange.Response
	if hasRun(exchange) {
		f.countRun(exchange)
	}
	body, err := f.buffered.readAll(response.Body, maxResponseBytes)
	switch {
	case err != nil:
		return f.handleBroken(errors.Wrap(err, "read response"))
	case response.StatusCode < http.StatusMultipleChoices && !exchange.Reply.Sealed:
		return f.handleBroken(errors.New("response has no server seal"))
	}
	exchange.MarkComplete()
	if response.StatusCode < http.StatusMultipleChoices {
		f.recordAnswered()
	}
	f.gateway.crashTracker.RecordCompleted(time.Now(), f.lastRun())
	if response.StatusCode >= http.StatusInternalServerError && f.route.Kind == banyanplank.RouteRepeatable {
		f.mayHaveRun = true
		if f.mayRetry() {
			f.finishLease(balancer.Failed)
			return false
		}
	}
	kind := balancer.Served
	if response.StatusCode >= http.StatusInternalServerError {
		kind = balancer.Failed
	}
	f.lease.Finish(balancer.Result{Kind: kind})
	f.result.timeToFirst = time.Since(f.arrivedAt)
	f.writeHeader(response, len(body))
	if _, err := f.writer.Write(body); err != nil {
		f.result.detail = err.Error()
	}
	return true
}

// finishLease returns the slot to the balancer.
func (f *forwarder) finishLease(kind balancer.ResultKind) {
	f.lease.Finish(balancer.Result{Kind: kind})
}

// writeHeader forwards the status and header of an endpoint. A negative length means
// that it is unknown.
func (f *forwarder) writeHeader(response *http.Response, length int) {
	header := f.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	removeHopByHopFields(header)
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil
	}
	if f.gateway.draining.Load() {
		header.Set("Connection", "close")
	}
	f.result.status = response.StatusCode
	f.writer.WriteHeader(response.StatusCode)
}
