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
)

// The limits on a call where operators set none.
const (
	// defaultTimeout bounds a call whose caller and route state no time.
	defaultTimeout = 30 * time.Second
	// defaultBody bounds a body in bytes.
	defaultBody = 8 << 20
	// retryUnready is when callers may find that the entry has its routes: it
	// reads them from the platform's store within some round trips.
	retryUnready = 300 * time.Millisecond
	// retryHeld is when callers may find that the entry has memory for their call
	// again: those that hold it end within seconds.
	retryHeld = time.Second
)

// Gateway is the HTTP handler for callers.
type Gateway struct {
	view      *atomic.Pointer[surveyor.Snapshot]
	balancer  *balancer.Balancer
	requester *requester.Requester
	witness   *suspecter.Witness
	// probes are endpoints of which to find out whether they live.
	probes   chan *banyanplank.Backend
	dialect  banyanplank.Dialect
	logger   *log.Logger
	counters *counters
	holder   *holder
	draining atomic.Bool
	running  atomic.Int64
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	f := &flow{gateway: g, writer: w, request: r, arrived: time.Now(), info: g.dialect.Call(r.Header), held: share{holder: g.holder}}
	defer f.held.release()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer f.record()
	defer f.recover()
	if err := f.open(); err != nil {
		f.refuse(err)
		return
	}
	defer f.cancel()
	f.run()
}

// httpError is an answer of the entry's own with a status that says that the
// call has not run.
type httpError struct {
	status int
	detail string
	after  time.Duration
}

// Error implements error.
func (e *httpError) Error() string { return e.detail }

// open finds the route and the account, and reads the body.
func (f *flow) open() (err error) {
	f.view = f.gateway.view.Load()
	if f.view.Router == nil {
		return &httpError{status: http.StatusServiceUnavailable, detail: "no routes known yet", after: retryUnready}
	}
	if f.route = f.view.Router.Route(f.request.Host, f.request.URL.EscapedPath()); f.route == nil || len(f.route.Splits) == 0 {
		return &httpError{status: http.StatusNotFound, detail: "no route"}
	}
	if err := f.authenticate(); err != nil {
		return err
	}
	if f.body, err = f.readBody(); err != nil {
		return err
	}
	f.print = banyanplank.NewFingerprint(f.account, f.request.Host, f.request.RequestURI, f.body)
	f.service = pickSplit(f.route.Splits)
	f.bound()
	return nil
}

// authenticate finds the client account.
func (f *flow) authenticate() (err error) {
	f.priority = f.route.Priority
	if f.route.Anonymous || !f.view.Router.Keyed() {
		return nil
	}
	account := f.view.Router.Account(f.info.Key)
	if account == nil {
		return &httpError{status: http.StatusUnauthorized, detail: "unknown key"}
	}
	f.account = account.Name
	if account.Priority >= 0 {
		f.priority = account.Priority
	}
	return nil
}

// readBody reads the whole body, which the endpoint gets unchanged.
func (f *flow) readBody() (body []byte, err error) {
	limit := f.view.Router.Table().Limits.Body
	if limit <= 0 {
		limit = defaultBody
	}
	if f.request.ContentLength > limit {
		return nil, &httpError{status: http.StatusRequestEntityTooLarge, detail: "body too large"}
	}
	if f.request.ContentLength == 0 {
		return nil, nil
	}
	body, err = f.held.read(io.LimitReader(f.request.Body, limit+1), limit+1)
	switch {
	case errors.Is(err, errHeld):
		return nil, &httpError{status: http.StatusServiceUnavailable, detail: err.Error(), after: retryHeld}
	case err != nil:
		return nil, errors.Wrap(err, "read body")
	case int64(len(body)) > limit:
		return nil, &httpError{status: http.StatusRequestEntityTooLarge, detail: "body too large"}
	}
	return body, nil
}

// pickSplit draws the service of a route by its weights.
func pickSplit(splits []banyanplank.Split) (service banyanplank.ServiceName) {
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
