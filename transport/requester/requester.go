// Package requester calls endpoints over HTTP/1.1 on kept connections. It never
// sends a call twice, and tells exactly whether an endpoint may have seen it.
//
//	exchange, err := r.Send(ctx, backend, call)
//	defer exchange.Close()
package requester

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The defaults and bounds of a Requester.
const (
	// DefaultDial bounds the time to connect: an endpoint of another
	// availability zone answers within milliseconds.
	DefaultDial = 300 * time.Millisecond
	// DefaultIdle is how long a connection may be unused and be used again.
	DefaultIdle = 2 * time.Second
	// maxKept bounds the unused connections to one endpoint.
	maxKept = 24
	// maxStray is the number of answers to other calls that are skipped on one
	// connection before it is given up.
	maxStray = 2
	// bufferSize is the size of a connection's read buffer in bytes.
	bufferSize = 4096
	// DefaultHead bounds the bytes until an answer's body begins, interim answers
	// included. The users' endpoints send some hundred.
	DefaultHead = 64 << 10
	// maxStrayBody bounds the body of an answer to another call that is skipped, in
	// bytes.
	maxStrayBody = 1 << 20
)

// Call is what an endpoint is asked.
type Call struct {
	Method string
	// Target is the path and query as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Attempt is the id that the answer must bear.
	Attempt string
	// Fresh is the longest time for which the connection may have been unused.
	// Zero means the default.
	Fresh time.Duration
	// GiveUp is asked after every Patience without an answer whether to stop
	// waiting. Nil waits as long as the context.
	Patience time.Duration
	GiveUp   func() bool
}

// Error tells why a call has no answer.
type Error struct {
	// Sent tells that the endpoint may have read the call.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Option configures a [Requester].
type Option func(*Requester)

// WithDial sets the time to connect. The default is [DefaultDial].
func WithDial(timeout time.Duration) Option {
	return func(r *Requester) { r.dial.Timeout = timeout }
}

// WithHead bounds the bytes of an answer's head. The default is [DefaultHead].
func WithHead(bytes int) Option {
	return func(r *Requester) { r.head = bytes }
}

// Requester keeps connections to endpoints. Its methods may be called from many
// goroutines.
type Requester struct {
	dialect banyanplank.Dialect
	dial    net.Dialer
	head    int
	mutex   sync.Mutex
	kept    map[banyanplank.BackendID][]*conn
}

// New returns a requester that reads answers by dialect.
func New(dialect banyanplank.Dialect, options ...Option) *Requester {
	r := &Requester{
		dialect: dialect,
		dial:    net.Dialer{Timeout: DefaultDial, KeepAlive: -1},
		head:    DefaultHead,
		kept:    make(map[banyanplank.BackendID][]*conn),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	used   time.Time
	// keep is how long the endpoint keeps the connection without use.
	keep time.Duration
	// head is how many bytes may still come before the head of an answer ends,
	// while inHead is set.
	head   int
	inHead bool
}

// ErrHead means that an endpoint sends bytes that are no answer, or a head without end.
var ErrHead = errors.New("head of the answer is too long")

// Read implements io.Reader. It ends a head that is too long.
func (c *conn) Read(p []byte) (n int, err error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	if c.head <= 0 {
		return 0, ErrHead
	}
	n, err = c.Conn.Read(p[:min(len(p), c.head)])
	c.head -= n
	return n, err
}

// interrupt ends reads and writes. One that fails finds the connection closed,
// which ends them as well.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// Exchange is a call and the answer to it. Close it exactly once.
type Exchange struct {
	Response *http.Response
	Reply    banyanplank.ReplyInfo
	owner    *Requester
	backend  banyanplank.BackendID
	conn     *conn
	stop     func() bool
	whole    bool
}

// Send sends a call and reads the head of the answer. Its errors are of type
// [*Error].
func (r *Requester) Send(ctx context.Context, backend *banyanplank.Backend, call *Call) (exchange *Exchange, err error) {
	c, err := r.connect(ctx, backend, call)
	if err != nil {
		return nil, &Error{Err: errors.Wrapf(err, "connect to %s", backend.Address)}
	}
	e := &Exchange{owner: r, backend: backend.ID, conn: c}
	e.stop = context.AfterFunc(ctx, c.interrupt)
	if err := e.exchange(ctx, call); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// connect returns a kept or new connection.
func (r *Requester) connect(ctx context.Context, backend *banyanplank.Backend, call *Call) (c *conn, err error) {
	fresh := call.Fresh
	if fresh == 0 {
		fresh = DefaultIdle
	}
	for c = r.take(backend.ID, fresh); c != nil; c = r.take(backend.ID, fresh) {
		if isQuiet(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	plain, err := r.dial.DialContext(ctx, "tcp", backend.Address.String())
	if err != nil {
		return nil, err
	}
	c = &conn{Conn: plain, keep: DefaultIdle}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	return c, nil
}

// take returns the connection that was used last, or nil when it is too old.
func (r *Requester) take(id banyanplank.BackendID, fresh time.Duration) (c *conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := r.kept[id]
	if len(kept) == 0 {
		return nil
	}
	c = kept[len(kept)-1]
	if time.Since(c.used) < min(fresh, c.keep) {
		r.kept[id] = kept[:len(kept)-1]
		return c
	}
	if time.Since(c.used) >= min(DefaultIdle, c.keep) {
		// The others were used even earlier.
		for _, old := range kept {
			old.Close()
		}
		delete(r.kept, id)
	}
	return nil
}

// put keeps a connection for the next call.
func (r *Requester) put(id banyanplank.BackendID, c *conn) {
	c.used = time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.kept[id]) >= maxKept {
		c.Close()
		return
	}
	r.kept[id] = append(r.kept[id], c)
}

// Forget closes the unused connections to endpoints that keep rejects.
func (r *Requester) Forget(keep func(id banyanplank.BackendID) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, kept := range r.kept {
		if keep(id) {
			continue
		}
		for _, c := range kept {
			c.Close()
		}
		delete(r.kept, id)
	}
}

// exchange writes the call and reads the head of its answer.
func (e *Exchange) exchange(ctx context.Context, call *Call) (err error) {
	if n, err := e.conn.Write(encode(call)); err != nil {
		return &Error{Sent: n > 0, Err: errors.Wrap(err, "send")}
	}
	if call.GiveUp != nil {
		if err := e.Await(ctx, call.Patience, call.GiveUp); err != nil {
			return &Error{Sent: true, Err: err}
		}
	}
	for range maxStray + 1 {
		response, err := e.read(call.Method) //nolint:bodyclose // Close closes the connection.
		if err != nil {
			return &Error{Sent: true, Err: errors.Wrap(err, "read answer")}
		}
		reply := e.owner.dialect.Reply(response)
		if reply.Attempt == call.Attempt || (reply.Attempt == "" && reply.NotRun) {
			e.Response, e.Reply = response, reply
			return nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody)); err != nil || n == maxStrayBody || response.Close {
			return &Error{Sent: true, Err: errors.Newf("answer to call %q instead of %q", reply.Attempt, call.Attempt)}
		}
	}
	return &Error{Sent: true, Err: errors.New("only answers to other calls")}
}

// read reads the head of the next final answer.
func (e *Exchange) read(method string) (response *http.Response, err error) {
	e.conn.head, e.conn.inHead = e.owner.head, true
	defer func() { e.conn.inHead = false }()
	for {
		response, err = http.ReadResponse(e.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// encode writes a call as it goes over the wire.
func encode(call *Call) (text []byte) {
	var b bytes.Buffer
	b.Grow(512 + len(call.Body))
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	for name, values := range call.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// ErrSilent means that the endpoint sent nothing for too long.
var ErrSilent = errors.New("endpoint is silent")

// Await waits for the next bytes of the answer. After every patience without
// any it asks giveUp, and returns ErrSilent when that says so.
func (e *Exchange) Await(ctx context.Context, patience time.Duration, giveUp func() bool) (err error) {
	if e.conn.reader.Buffered() > 0 {
		return nil
	}
	defer func() { err = errors.Wrap(err, "await answer") }()
	for {
		if err := e.bound(ctx, time.Now().Add(patience)); err != nil {
			return err
		}
		_, err := e.conn.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			if giveUp() {
				return ErrSilent
			}
			continue
		}
		if bound := e.bound(ctx, time.Time{}); bound != nil {
			return bound
		}
		// What ends the answer is found by reading on.
		if err == io.EOF {
			return nil
		}
		return err
	}
}

// bound sets the time until which to read, unless ctx has ended.
func (e *Exchange) bound(ctx context.Context, until time.Time) (err error) {
	if err := e.conn.SetReadDeadline(until); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return nil
}

// The bounds on the rest of an answer that nobody wants. To read more costs more than a
// new connection.
const (
	drainBytes = 16 << 10
	drainTime  = 50 * time.Millisecond
)

// Drain reads the rest of an answer that is not passed on, so that the connection can be
// used again, unless it is long or slow.
func (e *Exchange) Drain() {
	if e.conn.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		return
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(e.Response.Body, drainBytes)); err == nil && n < drainBytes {
		e.Whole()
	}
}

// Whole tells that the answer was read to its end, so that the connection can
// serve another call.
func (e *Exchange) Whole() { e.whole = true }

// Close ends the exchange. Unless the answer was read whole, it closes the
// connection, at which the endpoint drops the call.
func (e *Exchange) Close() {
	idle := e.stop()
	reusable := e.whole && idle && !e.Response.Close && e.conn.reader.Buffered() == 0 && isFramed(e.Response)
	if reusable && e.conn.SetDeadline(time.Time{}) == nil {
		e.conn.keep = keepAlive(e.Response.Header)
		e.owner.put(e.backend, e.conn)
		return
	}
	e.conn.Close()
}

// isFramed reports whether the answer ends before its connection does.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// keepAlive returns how long the endpoint keeps an unused connection.
func keepAlive(header http.Header) (keep time.Duration) {
	const name = "timeout="
	value := header.Get("Keep-Alive")
	if len(value) <= len(name) || value[:len(name)] != name {
		return DefaultIdle
	}
	seconds, err := strconv.Atoi(value[len(name):])
	if err != nil || seconds <= 0 {
		return DefaultIdle
	}
	// The last quarter is left out: the endpoint may close while a call is on
	// its way.
	return time.Duration(seconds) * time.Second * 3 / 4
}
