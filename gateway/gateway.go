package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/transport/requester"
	"github.com/banyanplank/banyanplank/transport/server"
)

// Defaults and retry advice for calls.
const (
	// defaultTimeout applies if neither the caller nor the route sets a time limit.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes applies if the routing table sets no limit on request
	// bodies.
	defaultMaxBodyBytes = 8 << 20
	// retryAfterNotReady is the retry advice until the routing table is loaded, which
	// takes a few round trips to the platform's store.
	retryAfterNotReady = 300 * time.Millisecond
	// retryAfterBufferLimit is the retry advice when all buffer memory is reserved.
	// Calls that hold it end within seconds.
	retryAfterBufferLimit = time.Second
)

// Gateway is the HTTP handler for callers.
type Gateway struct {
	snapshot     *atomic.Pointer[surveyor.Snapshot]
	balancer     *balancer.Balancer
	requester    *requester.Requester
	crashTracker *suspecter.CrashTracker
	unanswered   *unansweredCalls
	// probeQueue holds the endpoints to probe.
	probeQueue chan *banyanplank.Backend
	codec      banyanplank.HeaderCodec
	logger     *log.Logger
	counters   *counters
	buffers    *bufferBudget
	limiter    *server.Limiter
	admission  *admission
	// usage is nil unless requests are counted.
	usage     *usage
	calls     *callSet
	durations *callDurations
	draining  atomic.Bool
	// stop is set once the entry stops.
	stop        atomic.Pointer[stopTimes]
	activeCalls atomic.Int64
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeCalls.Add(1)
	defer g.activeCalls.Add(-1)
	f := &forwarder{gateway: g, writer: w, request: r, arrivedAt: time.Now(), info: g.codec.ReadCall(r.Header), buffered: bufferShare{budget: g.buffers}}
	defer f.buffered.release()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer f.recordCall()
	defer f.handlePanic()
	if err := f.prepare(); err != nil {
		f.writeError(err)
		return
	}
	defer f.cancel()
	g.calls.add(f)
	defer g.calls.remove(f)
	f.run()
	if f.outcome() == "served" {
		g.durations.record(f.route.Name, time.Since(f.arrivedAt))
		if f.route.Kind == banyanplank.RouteStream {
			g.admission.recordSlotTime(f, time.Since(f.sentAt))
		}
	}
}

// httpError is an error response of the entry itself. Its status means that the call
// has not run.
type httpError struct {
	status     int
	detail     string
	retryAfter time.Duration
}

// Error implements error.
func (e *httpError) Error() string { return e.detail }

// prepare finds the route and the account, reads the body, selects the service and
// sets the deadline.
func (f *forwarder) prepare() (err error) {
	f.snapshot = f.gateway.snapshot.Load()
	if f.snapshot.Router == nil {
		return &httpError{status: http.StatusServiceUnavailable, detail: "no routes known yet", retryAfter: retryAfterNotReady}
	}
	if f.route = f.snapshot.Router.Route(f.request.Host, f.request.URL.EscapedPath()); f.route == nil || len(f.route.Splits) == 0 {
		return &httpError{status: http.StatusNotFound, detail: "no route"}
	}
	if err := f.authenticate(); err != nil {
		return err
	}
	if f.body, err = f.readBody(); err != nil {
		return err
	}
	f.fingerprint = banyanplank.NewFingerprint(f.account, f.request.Host, f.request.RequestURI, f.body)
	f.service = pickService(f.route.Splits)
	f.setDeadline()
	return nil
}

// authenticate finds the client account by its key and sets the priority of the call.
func (f *forwarder) authenticate() (err error) {
	f.priority = f.route.Priority
	if f.route.Anonymous || !f.snapshot.Router.RequiresKey() {
		return nil
	}
	account := f.snapshot.Router.Account(f.info.Key)
	if account == nil {
		return &httpError{status: http.StatusUnauthorized, detail: "unknown key"}
	}
	f.account = account.Name
	if account.Priority >= 0 {
		f.priority = account.Priority
	}
	return nil
}

// readBody reads the whole request body, which is forwarded unchanged.
func (f *forwarder) readBody() (body []byte, err error) {
	limit := f.snapshot.Router.Table().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if f.request.ContentLength > limit {
		return nil, &httpError{status: http.StatusRequestEntityTooLarge, detail: "body too large"}
	}
	if f.request.ContentLength == 0 {
		return nil, nil
	}
	if f.gateway.buffers.isScarce() {
		f.gateway.limiter.CloseSlowestBody(f.request.Context())
	}
	body, err = f.buffered.readAll(io.LimitReader(f.request.Body, limit+1), limit+1)
	switch {
	case errors.Is(err, errBufferLimit):
		return nil, &httpError{status: http.StatusServiceUnavailable, detail: err.Error(), retryAfter: retryAfterBufferLimit}
	case err != nil && f.request.Context().Err() != nil: // the caller left
		return nil, errors.Wrap(err, "read body")
	case err != nil:
		return nil, &httpError{status: http.StatusBadRequest, detail: "read body: " + err.Error()}
	case int64(len(body)) > limit:
		return nil, &httpError{status: http.StatusRequestEntityTooLarge, detail: "body too large"}
	}
	return body, nil
}

// pickService draws a service at random by the weights of the splits.
func pickService(splits []banyanplank.Split) (service banyanplank.ServiceName) {
	total := 0
	for _, s := range splits {
		total += s.Weight
	}
	if total <= 0 {
		return splits[0].Service
	}
	n := rand.IntN(total)
	for _, s := range splits {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return splits[len(splits)-1].Service
}
