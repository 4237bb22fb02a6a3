// Package receiver serves callers over HTTP at an entry.
package receiver

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/claimer"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
	"github.com/banyanplank/banyanplank/state/holder"
	"github.com/banyanplank/banyanplank/state/keeper"
)

// Forwarder takes a request to an endpoint. Its errors and those of the answer
// are [*banyanplank.Refusal] values.
type Forwarder interface {
	// Forward runs the request, or goes on with the answer at place if that is
	// not nil.
	Forward(ctx context.Context, request *banyanplank.Request, place *forwarder.Place) (delivery forwarder.Delivery, err error)
	// Ticket returns a key for one non-repeatable call.
	Ticket(now time.Time, account banyanplank.AccountID, service banyanplank.ServiceName, nonce string) (ticket claimer.Ticket, err error)
}

// Advertiser chooses the entries that a caller should use.
type Advertiser interface {
	// Advertise returns the entries for the caller called name, best first,
	// and how long to keep them.
	Advertise(name string) (entries []banyanplank.Member, keep time.Duration)
}

// Outcomes takes in how each call went, for the service-level burn.
type Outcomes interface {
	// Record counts one call. First is the time to its first part; slowest is
	// the longest time from one part to the next.
	Record(service banyanplank.ServiceName, account banyanplank.AccountID, good bool, first, slowest time.Duration)
}

// The limits on a call.
const (
	// DefaultBody bounds a request body, in bytes.
	DefaultBody = 8 << 20
	// DefaultTimeout is a caller's patience when it states none.
	DefaultTimeout = 2 * time.Minute
	// HeaderLimit bounds the request header, in bytes.
	HeaderLimit = 16 << 10
	// HeaderTimeout bounds the time to read the request header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout bounds the time to read the request body.
	BodyTimeout = 30 * time.Second
	// CallerBuffer bounds what the kernel holds for one caller, in bytes.
	CallerBuffer = 16 << 10
	// DefaultLongest is the longest answer, in tokens, when the caller states
	// no limit.
	DefaultLongest = 1024
)

// Receiver is the HTTP handler for callers.
type Receiver struct {
	keeper     *keeper.Keeper
	forwarder  Forwarder
	advertiser Advertiser
	outcomes   Outcomes
	identify   func() banyanplank.RequestID
	ready      func() bool
	body       int64
	timeout    time.Duration
	bodies     *holder.Holder
	router     *httprouter.Router
}

// Option configures a [Receiver].
type Option func(*Receiver)

// WithBody bounds a request body to limit bytes. The default is 8 MiB.
func WithBody(limit int64) Option {
	return func(r *Receiver) { r.body = limit }
}

// WithBodies bounds the request bodies that are held at a time by the budgets
// of bodies. Use it in every entry. The default bounds each body alone.
func WithBodies(bodies *holder.Holder) Option {
	return func(r *Receiver) { r.bodies = bodies }
}

// WithTimeout sets the patience of callers that state none. The default is two
// minutes.
func WithTimeout(timeout time.Duration) Option {
	return func(r *Receiver) { r.timeout = timeout }
}

// WithOutcomes records how calls go. The default records nothing.
func WithOutcomes(outcomes Outcomes) Option {
	return func(r *Receiver) { r.outcomes = outcomes }
}

// WithReady refuses calls while ready returns false. Use it so that an entry
// admits nothing before it knows the configuration. The default is always
// ready.
func WithReady(ready func() bool) Option {
	return func(r *Receiver) { r.ready = ready }
}

type noOutcomes struct{}

func (noOutcomes) Record(banyanplank.ServiceName, banyanplank.AccountID, bool, time.Duration, time.Duration) {
}

// New returns a handler that works from the configuration in keeper. Identify
// makes request ids that are unique in the fleet.
func New(held *keeper.Keeper, forwarder Forwarder, advertiser Advertiser, identify func() banyanplank.RequestID, options ...Option) *Receiver {
	r := &Receiver{
		keeper:     held,
		forwarder:  forwarder,
		advertiser: advertiser,
		outcomes:   noOutcomes{},
		identify:   identify,
		ready:      func() bool { return true },
		body:       DefaultBody,
		timeout:    DefaultTimeout,
		bodies:     holder.New(holder.WithDaemonBytes(math.MaxInt), holder.WithAccountBytes(math.MaxInt)),
	}
	for _, option := range options {
		option(r)
	}
	r.router = r.routes()
	return r
}

// routes lists the paths that callers may use.
func (r *Receiver) routes() (router *httprouter.Router) {
	router = httprouter.New()
	router.GET("/v1/entries", r.serveEntries)
	router.POST("/v1/chat/completions", r.serveModel)
	router.POST("/v1/completions", r.serveModel)
	router.POST("/v1/tickets/:service", r.serveTicket)
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		router.Handle(method, "/v1/services/:service/*path", r.servePlain)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, invalid("there is no such path"))
	})
	return router
}

// ServeHTTP implements [http.Handler].
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.router.ServeHTTP(w, request)
}

// NewServer returns an HTTP server for handler with the limits that keep slow
// and oversized callers in bounds.
func NewServer(handler http.Handler) (server *http.Server) {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeaderTimeout,
		MaxHeaderBytes:    HeaderLimit,
		IdleTimeout:       time.Minute,
		ConnContext:       boundBuffer,
	}
}

// boundBuffer bounds what the kernel holds for a caller who reads slowly, so
// that the rest of the answer stays with the agent, which holds it compactly.
func boundBuffer(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(CallerBuffer)
	}
	return ctx
}
