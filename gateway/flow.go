package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// The limits on the sends of one call.
const (
	// maxUnreached bounds the endpoints that a call did not reach: no connection,
	// or another endpoint at the address.
	maxUnreached = 4
	// patienceGoals is after how many goals without an answer a repeatable call
	// is tried elsewhere, and leastPatience the least such time.
	patienceGoals = 3
	leastPatience = 300 * time.Millisecond
	// onceFresh is how long a connection may have been unused for a call that
	// must not be repeated: the endpoint may be closing it.
	onceFresh = 500 * time.Millisecond
	// maxAnswer bounds an answer that is held until it is whole, in bytes.
	maxAnswer = 4 << 20
	// writeGrace is how long after its time limit a call may still be written.
	writeGrace = 250 * time.Millisecond
)

// flow is one call on its way.
type flow struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *http.Request
	view     *surveyor.Snapshot
	info     banyanplank.CallInfo
	route    *banyanplank.RouteSpec
	account  banyanplank.AccountID
	service  banyanplank.ServiceName
	priority int
	body     []byte
	// print knows the call again when it returns under another id.
	print    banyanplank.Fingerprint
	arrived  time.Time
	sent     time.Time
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	lease    *balancer.Lease
	// sends counts the endpoints that may have read the call, and tried all
	// that were chosen.
	sends     int
	unreached int
	tried     []banyanplank.BackendID
	// ran tells that an endpoint may have run the call.
	ran bool
	// stream is the state of an answer that is passed on event by event.
	stream stream
	// held is the memory that the call holds for its caller and its endpoint.
	held   share
	result outcome
}

// outcome is what the log says of a call.
type outcome struct {
	status  int
	reason  string
	detail  string
	waited  time.Duration
	first   time.Duration
	backend banyanplank.BackendID
}

// bound sets the time limit: the caller's, and the route's.
func (f *flow) bound() {
	limit := f.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if f.info.Patience > 0 {
		limit = min(limit, f.info.Patience)
	}
	f.deadline = f.arrived.Add(limit)
	f.ctx, f.cancel = context.WithDeadline(f.request.Context(), f.deadline)
	// An error means that the connection is gone, which the next write shows.
	_ = http.NewResponseController(f.writer).SetWriteDeadline(f.deadline.Add(writeGrace))
}

// run sends the call until it has its answer.
func (f *flow) run() {
	for {
		err := f.judge()
		if err == nil {
			err = f.acquire()
		}
		if err != nil {
			f.giveUp(err)
			return
		}
		if done := f.attempt(); done {
			return
		}
	}
}

// acquire takes a place at an endpoint.
func (f *flow) acquire() (err error) {
	began := time.Now()
	f.lease, err = f.gateway.balancer.Acquire(f.ctx, balancer.Query{
		Service:  f.service,
		Prompt:   f.info.Prompt,
		Goal:     f.goal(),
		Priority: f.priority,
		Avoid:    f.tried,
	})
	f.result.waited += time.Since(began)
	if err != nil {
		return err
	}
	// The request may have been convicted while the call waited.
	if err := f.judge(); err != nil {
		f.finish(balancer.Abandoned)
		return err
	}
	f.tried = append(f.tried, f.lease.Backend.ID)
	f.result.backend = f.lease.Backend.ID
	return nil
}

// goal returns the time within which the answer is on time.
func (f *flow) goal() (goal time.Duration) {
	if f.route.Goal > 0 {
		return f.route.Goal
	}
	return f.route.Timeout / 4
}

// attempt sends the call to the endpoint of the lease. It reports true when the
// caller has the answer.
func (f *flow) attempt() (done bool) {
	f.sent = time.Now()
	exchange, err := f.gateway.requester.Send(f.ctx, f.lease.Backend, f.call())
	if err != nil {
		return f.failed(err)
	}
	defer exchange.Close()
	if exchange.Reply.Misdirected && exchange.Reply.Faulty == "" {
		return f.misdirected(exchange)
	}
	f.sends++
	f.hear(&exchange.Reply)
	if exchange.Reply.NotRun {
		return f.declined(exchange)
	}
	if f.route.Kind == banyanplank.RouteStream && exchange.Response.StatusCode == http.StatusOK {
		return f.pump(exchange)
	}
	if f.stream.begun {
		return f.broken(errors.Newf("status %d in place of the rest of a stream", exchange.Response.StatusCode))
	}
	return f.deliver(exchange)
}

// call returns what the endpoint is asked.
func (f *flow) call() (call *requester.Call) {
	header := f.request.Header.Clone()
	dropHopFields(header)
	seen := f.info.Seen
	if f.stream.last != "" {
		seen = f.stream.last
	}
	f.gateway.dialect.Address(header, banyanplank.SendInfo{
		Account: f.account,
		Backend: f.lease.Backend.ID,
		Left:    time.Until(f.deadline),
		Seen:    seen,
		Urgency: -1,
	})
	call = &requester.Call{
		Method:  f.request.Method,
		Target:  f.request.RequestURI,
		Host:    f.request.Host,
		Header:  header,
		Body:    f.body,
		Attempt: f.info.Attempt,
	}
	if f.route.Kind == banyanplank.RouteOnce {
		call.Fresh = onceFresh
	}
	if f.route.Repeatable() {
		call.Patience, call.GiveUp = f.patience(), f.isStuck
	}
	return call
}

// patience returns after how long without an answer to look elsewhere.
func (f *flow) patience() (wait time.Duration) {
	if f.route.Kind == banyanplank.RouteStream {
		return streamPatience
	}
	return max(leastPatience, patienceGoals*f.goal())
}

// isStuck reports whether an endpoint that has not answered should be left for another
// one.
func (f *flow) isStuck() bool {
	if f.sends+1 >= f.route.Attempts || !f.hasTime() {
		return false
	}
	if f.route.Kind == banyanplank.RouteStream {
		return f.lease.Quiet() < aliveAge
	}
	return true
}

// isStalled reports whether an endpoint whose stream has stopped, and which is counted
// among the sends, should be left for another one.
func (f *flow) isStalled() bool {
	return f.route.Resumable && f.sends < f.route.Attempts && f.hasTime() && f.lease.Quiet() < aliveAge
}

// hasTime reports whether another attempt could still succeed.
func (f *flow) hasTime() bool { return time.Until(f.deadline) > f.goal()/4 }

// failed decides on a call that has no answer.
func (f *flow) failed(err error) (done bool) {
	var failure *requester.Error
	sent := !errors.As(err, &failure) || failure.Sent
	f.result.detail = err.Error()
	if !sent {
		f.noteUnreached(err)
		return f.missed(balancer.Unreached)
	}
	f.sends++
	return f.broken(err)
}

// misdirected decides on a call that reached another endpoint at the address.
func (f *flow) misdirected(exchange *requester.Exchange) (done bool) {
	exchange.Drain()
	f.result.detail = "misdirected: " + string(f.lease.Backend.ID) + " is gone"
	return f.missed(balancer.Misdirected)
}

// missed decides on a call that its endpoint never got.
func (f *flow) missed(kind balancer.Kind) (done bool) {
	f.unreached++
	f.finish(kind)
	if f.ctx.Err() == nil && f.unreached < maxUnreached && f.hasTime() && f.mayGoOn(kind) {
		return false
	}
	f.giveUp(&banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonUnreachable, RetryAfter: f.gateway.balancer.RetryAfter(f.service), Detail: f.result.detail})
	return true
}

// mayGoOn reports whether a call that was missed may be sent elsewhere. One that another
// endpoint has got and turned away counts against the budget of repeats, and one that none
// got does not.
func (f *flow) mayGoOn(kind balancer.Kind) bool {
	return kind != balancer.Misdirected || f.gateway.balancer.Repeat(f.service)
}

// broken decides on a call that an endpoint may have run, and whose answer broke.
func (f *flow) broken(err error) (done bool) {
	f.ran = true
	f.result.detail = err.Error()
	if f.request.Context().Err() != nil {
		f.finish(balancer.Abandoned)
		f.result.reason = "caller left"
		return true
	}
	f.noteBroken(err)
	f.finish(balancer.Failed)
	if f.mayRepeat() {
		return false
	}
	f.giveUp(&banyanplank.Refusal{Outcome: banyanplank.OutcomeUnknown, Reason: banyanplank.ReasonEndpoint, Detail: err.Error()})
	return true
}

// mayRepeat reports whether the call may go to another endpoint.
func (f *flow) mayRepeat() bool {
	return f.ctx.Err() == nil && f.route.Repeatable() && f.sends < f.route.Attempts && f.hasTime() &&
		f.gateway.balancer.Repeat(f.service)
}

// declined decides on a call that the endpoint has not run.
func (f *flow) declined(exchange *requester.Exchange) (done bool) {
	exchange.Drain()
	faulty := exchange.Reply.Faulty
	f.lease.Finish(balancer.Result{
		Kind:      balancer.Declined,
		Blameless: faulty != "" && faulty != string(f.lease.Backend.ID),
	})
	f.result.detail = "declined with status " + strconv.Itoa(exchange.Response.StatusCode) + ", at fault: " + faulty
	if f.ctx.Err() == nil && f.sends < f.route.Attempts && f.hasTime() && f.gateway.balancer.Repeat(f.service) {
		return false
	}
	f.giveUp(&banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonOverload, RetryAfter: f.gateway.balancer.RetryAfter(f.service), Detail: f.result.detail})
	return true
}

// deliver passes on an answer once it is whole.
func (f *flow) deliver(exchange *requester.Exchange) (done bool) {
	response := exchange.Response
	body, err := f.held.read(response.Body, maxAnswer)
	switch {
	case err != nil:
		return f.broken(errors.Wrap(err, "read answer"))
	case response.StatusCode < http.StatusMultipleChoices && !exchange.Reply.Sealed:
		return f.broken(errors.New("answer without seal"))
	}
	exchange.Whole()
	f.gateway.witness.Completed(time.Now(), f.lastRun())
	if response.StatusCode >= http.StatusInternalServerError && f.route.Kind == banyanplank.RouteRepeatable {
		f.ran = true
		if f.mayRepeat() {
			f.finish(balancer.Failed)
			return false
		}
	}
	kind := balancer.Served
	if response.StatusCode >= http.StatusInternalServerError {
		kind = balancer.Failed
	}
	f.lease.Finish(balancer.Result{Kind: kind})
	f.result.first = time.Since(f.arrived)
	f.writeHead(response, len(body))
	if _, err := f.writer.Write(body); err != nil {
		f.result.detail = err.Error()
	}
	return true
}

// finish gives the place back.
func (f *flow) finish(kind balancer.Kind) { f.lease.Finish(balancer.Result{Kind: kind}) }

// writeHead passes on the status and the header of an endpoint. A length below
// zero means that it isn't known.
func (f *flow) writeHead(response *http.Response, length int) {
	header := f.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	dropHopFields(header)
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

// giveUp gives the final answer of the entry's own.
func (f *flow) giveUp(err error) {
	if f.stream.begun {
		f.result.reason = "cut"
		f.result.detail = err.Error()
		panic(http.ErrAbortHandler)
	}
	f.refuse(err)
}

// refuse answers a call that has no answer from an endpoint. Only a status of
// 4xx or 503 says that the call has not run.
func (f *flow) refuse(err error) {
	var own *httpError
	var refusal *banyanplank.Refusal
	status, after := http.StatusBadGateway, time.Duration(0)
	switch {
	case errors.As(err, &own):
		status, after = own.status, own.after
	case f.request.Context().Err() != nil:
		f.result.reason = "caller left"
		return
	case errors.As(err, &refusal):
		f.result.reason = string(refusal.Reason)
		if refusal.Outcome == banyanplank.NotRun && !f.ran {
			status, after = http.StatusServiceUnavailable, refusal.RetryAfter
		} else if f.ctx != nil && f.ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
	}
	f.result.status = status
	f.result.detail += " / " + err.Error()
	f.gateway.dialect.Refuse(f.writer.Header(), after)
	f.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	http.Error(f.writer, err.Error(), status)
}
