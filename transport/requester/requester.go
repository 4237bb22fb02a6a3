// Package requester calls endpoints over persistent HTTP/1.1 connections. It never
// sends a call twice, and reports whether an endpoint may have received it.
//
//	exchange, err := r.Send(ctx, backend, call)
//	defer exchange.Close()
package requester

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/transport/verifier"
)

// Defaults and limits of a [Requester].
const (
	// DefaultDialTimeout is the timeout to connect: an endpoint of another
	// availability zone responds within milliseconds.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection may be reused.
	DefaultIdleTimeout = 2 * time.Second
	// maxIdleConns is the maximum number of unused connections per endpoint.
	maxIdleConns = 24
	// maxStrayResponses is the number of responses to other calls that are skipped on
	// one connection before it is closed.
	maxStrayResponses = 2
	readBufferBytes   = 4096
	// DefaultMaxHeadBytes is the maximum size of a response head, interim responses
	// included. The endpoints in use send some hundred bytes.
	DefaultMaxHeadBytes = 64 << 10
	// maxStrayBodyBytes is the maximum size of the body of a skipped response.
	maxStrayBodyBytes = 1 << 20
)

// Call is a request to an endpoint.
type Call struct {
	Method string
	// Target is the path and query as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Attempt is the id that the response must carry.
	Attempt string
	// MaxIdle is the maximum time for which a reused connection may have been unused.
	// Zero means [DefaultIdleTimeout].
	MaxIdle time.Duration
	// ShouldGiveUp is called after every CheckInterval without a response and returns whether
	// to stop waiting. If it is nil, only the context bounds the wait.
	CheckInterval time.Duration
	ShouldGiveUp  func() bool
}

// Error is the reason why a call has no response.
type Error struct {
	// Sent reports whether the endpoint may have received the call.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Option configures a [Requester].
type Option func(*Requester)

// WithDialTimeout sets the timeout to connect. The default is [DefaultDialTimeout].
func WithDialTimeout(timeout time.Duration) Option {
	return func(r *Requester) { r.dialer.Timeout = timeout }
}

// WithMaxHeadBytes sets the maximum size of a response head in bytes. The default is
// [DefaultMaxHeadBytes].
func WithMaxHeadBytes(bytes int) Option {
	return func(r *Requester) { r.maxHeadBytes = bytes }
}

// Requester sends calls and pools connections to endpoints. Its methods are safe for
// concurrent use.
type Requester struct {
	codec        banyanplank.HeaderCodec
	dialer       net.Dialer
	maxHeadBytes int
	mutex        sync.Mutex
	idleConns    map[banyanplank.BackendID][]*conn
}

// New returns a requester that reads the header fields of responses with codec.
func New(codec banyanplank.HeaderCodec, options ...Option) *Requester {
	r := &Requester{
		codec:        codec,
		dialer:       net.Dialer{Timeout: DefaultDialTimeout, KeepAlive: -1},
		maxHeadBytes: DefaultMaxHeadBytes,
		idleConns:    make(map[banyanplank.BackendID][]*conn),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

type conn struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
	// keepAlive is how long the endpoint keeps the unused connection open.
	keepAlive time.Duration
	// headBytesLeft is the number of bytes that the current response head may still
	// take, while inHead is set.
	headBytesLeft int
	inHead        bool
	// scanner scans the current response head.
	scanner verifier.Scanner
	// hasAnswered is set once the connection has carried a response.
	hasAnswered bool
}

// ErrHeadTooLong means that an endpoint sent too many bytes before the body of a
// response, or bytes that aren't HTTP.
var ErrHeadTooLong = errors.New("head of the answer is too long")

// Read implements [io.Reader]. It fails if the response head is too long.
func (c *conn) Read(p []byte) (n int, err error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	if c.headBytesLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err = c.Conn.Read(p[:min(len(p), c.headBytesLeft)])
	c.headBytesLeft -= n
	c.scanner.Scan(p[:n])
	return n, err
}

// beginHead prepares to read a response head of up to maxBytes. Its first bytes may be in the
// read buffer already.
func (c *conn) beginHead(maxBytes int) {
	c.headBytesLeft, c.inHead, c.scanner = maxBytes, true, verifier.Scanner{}
	// Peek returns no error, as it reads nothing.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.scanner.Scan(buffered)
}

// interrupt cancels pending reads and writes. If it fails, the connection is closed,
// which cancels them as well.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// Send sends a call and reads the head of the response. Its errors are of type
// [*Error].
func (r *Requester) Send(ctx context.Context, backend *banyanplank.Backend, call *Call) (exchange *Exchange, err error) {
	c, err := r.connect(ctx, backend, call)
	if err != nil {
		return nil, &Error{Err: errors.Wrapf(err, "connect to %s", backend.Address)}
	}
	e := &Exchange{requester: r, backend: backend.ID, conn: c}
	e.stopInterrupt = context.AfterFunc(ctx, c.interrupt)
	if err := e.roundTrip(ctx, call); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// connect returns an idle connection or opens a new one.
func (r *Requester) connect(ctx context.Context, backend *banyanplank.Backend, call *Call) (c *conn, err error) {
	maxIdle := call.MaxIdle
	if maxIdle == 0 {
		maxIdle = DefaultIdleTimeout
	}
	for c = r.takeIdle(backend.ID, maxIdle); c != nil; c = r.takeIdle(backend.ID, maxIdle) {
		if isIdle(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	netConn, err := r.dialer.DialContext(ctx, "tcp", backend.Address.String())
	if err != nil {
		return nil, err
	}
	return newConn(netConn), nil
}

// Probe connects to an endpoint and keeps the connection for the next call. It sends
// nothing; an error means that the endpoint doesn't accept connections.
func (r *Requester) Probe(ctx context.Context, backend *banyanplank.Backend) (err error) {
	defer func() { err = errors.Wrapf(err, "probe %s", backend.Address) }()
	netConn, err := r.dialer.DialContext(ctx, "tcp", backend.Address.String())
	if err != nil {
		return err
	}
	r.putIdle(backend.ID, newConn(netConn))
	return nil
}

// newConn returns a connection that no call has used yet.
func newConn(netConn net.Conn) (c *conn) {
	c = &conn{Conn: netConn, keepAlive: DefaultIdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// takeIdle returns the most recently used connection, or nil if none is recent enough.
// It closes all of them if that one has expired.
func (r *Requester) takeIdle(id banyanplank.BackendID, maxIdle time.Duration) (c *conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	idle := r.idleConns[id]
	if len(idle) == 0 {
		return nil
	}
	c = idle[len(idle)-1]
	if time.Since(c.lastUsed) < min(maxIdle, c.keepAlive) {
		r.idleConns[id] = idle[:len(idle)-1]
		return c
	}
	if time.Since(c.lastUsed) >= min(DefaultIdleTimeout, c.keepAlive) {
		// The others were used even earlier.
		for _, old := range idle {
			old.Close()
		}
		delete(r.idleConns, id)
	}
	return nil
}

// putIdle keeps a connection for the next call, unless there are enough.
func (r *Requester) putIdle(id banyanplank.BackendID, c *conn) {
	c.lastUsed = time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.idleConns[id]) >= maxIdleConns {
		c.Close()
		return
	}
	r.idleConns[id] = append(r.idleConns[id], c)
}

// CloseIdle closes the unused connections to endpoints for which keep returns false.
func (r *Requester) CloseIdle(keep func(id banyanplank.BackendID) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, idle := range r.idleConns {
		if keep(id) {
			continue
		}
		for _, c := range idle {
			c.Close()
		}
		delete(r.idleConns, id)
	}
}
