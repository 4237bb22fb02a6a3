// Package receiver is the HTTP API of an entry for callers.
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

// Forwarder runs requests at endpoints. Its errors and those of the answer are
// [*banyanplank.Refusal] values.
type Forwarder interface {
	// Forward runs the request, or resumes the answer at location if that is
	// not nil.
	Forward(ctx context.Context, request *banyanplank.Request, location *forwarder.Location) (delivery forwarder.Delivery, err error)
	// Ticket issues a key for one non-repeatable call.
	Ticket(now time.Time, account banyanplank.AccountID, service banyanplank.ServiceName, nonce string) (ticket claimer.Ticket, err error)
}

// Advertiser selects the entries that a caller should use.
type Advertiser interface {
	// Advertise returns the entries for the named caller, best first, and how
	// long the caller may use them.
	Advertise(name string) (entries []banyanplank.Member, ttl time.Duration)
}

// OutcomeRecorder counts the outcomes of calls, from which the burn rates of the
// service-level objectives are computed.
type OutcomeRecorder interface {
	// Record counts one call. TimeToFirst is the time to its first part, maxGap
	// the longest time between two parts.
	Record(service banyanplank.ServiceName, account banyanplank.AccountID, good bool, timeToFirst, maxGap time.Duration)
}

// Limits and defaults of a call.
const (
	// DefaultMaxBodyBytes bounds a request body.
	DefaultMaxBodyBytes = 8 << 20
	// DefaultTimeout limits a call without [HeaderTimeoutMillis].
	DefaultTimeout = 2 * time.Minute
	// MaxHeaderBytes bounds the request header.
	MaxHeaderBytes = 16 << 10
	// HeaderTimeout limits the time to read the request header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout limits the time to read the request body.
	BodyTimeout = 30 * time.Second
	// WriteBufferBytes is the socket write buffer of one connection.
	WriteBufferBytes = 16 << 10
	// DefaultMaxTokens limits the answer to a model call that sets no limit.
	DefaultMaxTokens = 1024
)

// Receiver is the HTTP handler for callers.
type Receiver struct {
	keeper       *keeper.Keeper
	forwarder    Forwarder
	advertiser   Advertiser
	outcomes     OutcomeRecorder
	newRequestID func() banyanplank.RequestID
	ready        func() bool
	maxBodyBytes int64
	timeout      time.Duration
	bodyHolder   *holder.Holder
	router       *httprouter.Router
}

// Option configures a [Receiver].
type Option func(*Receiver)

// WithMaxBodyBytes sets the limit of a request body in bytes. The default is
// [DefaultMaxBodyBytes].
func WithMaxBodyBytes(limit int64) Option {
	return func(r *Receiver) { r.maxBodyBytes = limit }
}

// WithBodyHolder limits the memory of all request bodies together by the budgets of
// bodies. Use it in every entry. By default only the size of each body is
// limited.
func WithBodyHolder(bodies *holder.Holder) Option {
	return func(r *Receiver) { r.bodyHolder = bodies }
}

// WithTimeout sets the time limit of calls, which callers can shorten by
// [HeaderTimeoutMillis]. The default is [DefaultTimeout].
func WithTimeout(timeout time.Duration) Option {
	return func(r *Receiver) { r.timeout = timeout }
}

// WithOutcomeRecorder sets the recorder of call outcomes. By default none are recorded.
func WithOutcomeRecorder(outcomes OutcomeRecorder) Option {
	return func(r *Receiver) { r.outcomes = outcomes }
}

// WithReady refuses calls while ready returns false. Use it to admit no calls
// before the configuration is loaded. By default all calls are admitted.
func WithReady(ready func() bool) Option {
	return func(r *Receiver) { r.ready = ready }
}

type discardOutcomes struct{}

func (discardOutcomes) Record(banyanplank.ServiceName, banyanplank.AccountID, bool, time.Duration, time.Duration) {
}

// New returns a handler that uses the configuration in configurations. Each call
// of newRequestID returns an id that is unique among all entries.
func New(configurations *keeper.Keeper, forwarder Forwarder, advertiser Advertiser, newRequestID func() banyanplank.RequestID, options ...Option) *Receiver {
	r := &Receiver{
		keeper:       configurations,
		forwarder:    forwarder,
		advertiser:   advertiser,
		outcomes:     discardOutcomes{},
		newRequestID: newRequestID,
		ready:        func() bool { return true },
		maxBodyBytes: DefaultMaxBodyBytes,
		timeout:      DefaultTimeout,
		bodyHolder:   holder.New(holder.WithDaemonBytes(math.MaxInt), holder.WithAccountBytes(math.MaxInt)),
	}
	for _, option := range options {
		option(r)
	}
	r.router = r.newRouter()
	return r
}

// newRouter returns the router of the paths for callers.
func (r *Receiver) newRouter() (router *httprouter.Router) {
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
		writeRefusal(w, newInvalid("no such path"))
	})
	return router
}

// ServeHTTP implements [http.Handler].
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.router.ServeHTTP(w, request)
}

// NewServer returns an HTTP server for handler with limits that protect it from
// slow callers and large headers.
func NewServer(handler http.Handler) (server *http.Server) {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeaderTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		IdleTimeout:       time.Minute,
		ConnContext:       limitWriteBuffer,
	}
}

// limitWriteBuffer limits the data that the kernel buffers for a caller that reads
// slowly. The rest of the answer stays at the agent, which stores it compactly.
func limitWriteBuffer(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(WriteBufferBytes)
	}
	return ctx
}
