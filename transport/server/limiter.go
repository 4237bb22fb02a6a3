package server

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

// Costs in bytes that count against the limits.
const (
	// connectionBytes is the memory of an instance for each connection that it may
	// have: the buffers of an idle connection take up to 24 KiB, and all connections
	// together may take about a fifth of the memory.
	connectionBytes = 128 << 10
	// receiveMemoryShare is the fraction of the memory that requests may take until
	// they are answered.
	receiveMemoryShare = 0.125
	// fieldBytes is the memory of a header field in addition to twice its text: its
	// name, its list of values and its place in the map of fields.
	fieldBytes = 512
	// headerSlackBytes is added to the limit on a header. The reader of a connection
	// takes up to 4 KiB at a time, so the first bytes of a body may count as header.
	headerSlackBytes = 8 << 10
	// reservedDescriptors are left for files, and for connections of the process itself.
	reservedDescriptors = 200
)

// Times of a sweep.
const (
	// sweepInterval is the time between two searches for connections that have taken too
	// long.
	sweepInterval = time.Second
	// headerTimeSlack is added to the time for a header, as a link may delay a part of it.
	headerTimeSlack = time.Second
)

// Defaults of [ClientLimits]. They are larger than what clients send.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 30 * time.Second
	defaultBodyTimeout    = time.Minute
	defaultIdleTimeout    = 2 * time.Minute
)

// ClientLimits bound what a client may send and how long it may take. Zero means the
// default.
type ClientLimits struct {
	// MaxHeaderBytes bounds the request line and the header fields. The default is
	// 64 KiB.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to send them. The default is 30 s.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to send a body. The default is 1 min.
	BodyTimeout time.Duration
	// IdleTimeout bounds the time until the first byte of a request. The default is 2 min.
	IdleTimeout time.Duration
}

// withDefaults returns the limits with defaults for those that are zero.
func (l ClientLimits) withDefaults() (filled ClientLimits) {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	for _, d := range []struct {
		value    *time.Duration
		standard time.Duration
	}{
		{&l.HeaderTimeout, defaultHeaderTimeout},
		{&l.BodyTimeout, defaultBodyTimeout},
		{&l.IdleTimeout, defaultIdleTimeout},
	} {
		if *d.value <= 0 {
			*d.value = d.standard
		}
	}
	return l
}

// Reason is why a connection was closed, as a metric label.
type Reason string

// The reasons for closing a connection.
const (
	ReasonHeaderSize  Reason = "header too large"
	ReasonHeaderTime  Reason = "header too slow"
	ReasonBodyTime    Reason = "body too slow"
	ReasonIdle        Reason = "idle"
	ReasonConnections Reason = "too many connections"
	ReasonMemory      Reason = "too much memory"
)

// Option configures a [Limiter].
type Option func(*Limiter)

// WithMemory derives the limits on connections and on the memory of requests from the
// memory of the instance in bytes. The default is 256 MiB.
func WithMemory(bytes int64) Option {
	return func(l *Limiter) {
		l.maxConnections = int(max(1, bytes/connectionBytes))
		l.maxBytes = int64(receiveMemoryShare * float64(bytes))
	}
}

// WithDescriptors lowers the limit on connections to half of the descriptors that the
// process may open, less those reserved for files. Zero means no limit.
func WithDescriptors(descriptors int) Option {
	return func(l *Limiter) {
		if descriptors > 0 {
			l.maxConnections = min(l.maxConnections, max(1, (descriptors-reservedDescriptors)/2))
		}
	}
}

// WithMaxConnections replaces the limit on connections. Zero keeps it.
func WithMaxConnections(connections int) Option {
	return func(l *Limiter) {
		if connections > 0 {
			l.maxConnections = connections
		}
	}
}

// WithClientLimits reads the present limits on one client from limits.
func WithClientLimits(limits func() ClientLimits) Option {
	return func(l *Limiter) { l.clientLimits = limits }
}

// WithBodies counts bodies against the memory of requests. Without it, handlers bound what
// they read of bodies.
func WithBodies() Option {
	return func(l *Limiter) { l.countsBodies = true }
}

// WithCloseHandler calls handle for each connection that the limiter closes. It must not
// block.
func WithCloseHandler(handle func(reason Reason)) Option {
	return func(l *Limiter) { l.onClose = handle }
}

// WithSweepHandler calls handle after each search for connections that have taken too long,
// about once per second.
func WithSweepHandler(handle func()) Option {
	return func(l *Limiter) { l.onSweep = handle }
}

// Limiter bounds the connections of all servers of a process. It is safe for concurrent
// use.
type Limiter struct {
	maxConnections int
	maxBytes       int64
	clientLimits   func() ClientLimits
	countsBodies   bool
	onClose        func(reason Reason)
	onSweep        func()

	mutex       sync.Mutex
	connections int
	usedBytes   int64
	// unused holds the connections without any bytes, headers those with a header that is
	// not complete, bodies those with a body that is not complete, writing those with a
	// response that may be cut off, and idle those that wait for the next request, each
	// ordered by the time since which they do.
	unused, headers, bodies, writing, idle connList
}

// NewLimiter returns a limiter without connections.
func NewLimiter(options ...Option) *Limiter {
	l := &Limiter{clientLimits: func() ClientLimits { return ClientLimits{} }, onClose: func(Reason) {}, onSweep: func() {}}
	WithMemory(256 << 20)(l)
	for _, option := range options {
		option(l)
	}
	return l
}

// Status is the state of a limiter for metrics.
type Status struct {
	Connections, MaxConnections int
	// Bytes is the memory of requests that are not answered.
	Bytes, MaxBytes int64
}

// Status returns the present state.
func (l *Limiter) Status() (status Status) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Status{Connections: l.connections, MaxConnections: l.maxConnections, Bytes: l.usedBytes, MaxBytes: l.maxBytes}
}

// Run closes connections that have taken too long, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.sweep(now)
			l.onSweep()
		}
	}
}

// sweep closes the connections that have taken too long.
func (l *Limiter) sweep(now time.Time) {
	limits := l.clientLimits().withDefaults()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closeOlder(&l.unused, now.Add(-limits.IdleTimeout), ReasonIdle)
	l.closeOlder(&l.headers, now.Add(-limits.HeaderTimeout-headerTimeSlack), ReasonHeaderTime)
	l.closeOlder(&l.bodies, now.Add(-limits.BodyTimeout), ReasonBodyTime)
	l.closeOlder(&l.idle, now.Add(-limits.IdleTimeout), ReasonIdle)
}

func (l *Limiter) closeOlder(list *connList, before time.Time, reason Reason) {
	for c := list.first; c != nil && c.since.Before(before); c = list.first {
		l.closeConn(c, reason)
	}
}

// add counts a new connection, and closes another one if there are too many. It returns
// false if none can be closed, as all wait for their answer.
func (l *Limiter) add(rwc net.Conn) (c *conn, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connections >= l.maxConnections && !l.makeRoom(ReasonConnections) {
		l.onClose(ReasonConnections)
		return nil, false
	}
	l.connections++
	c = &conn{Conn: rwc, limiter: l, isOpen: true}
	c.inHeader.Store(true)
	l.unused.push(c, time.Now())
	return c, true
}

// incompleteShare is the fraction of the connections that may wait for a complete request,
// or for a client to read, before they make room for others. Below it, idle connections do, so that a new one is not
// closed while its first bytes are on their way.
const incompleteShare = 0.25

// makeRoom closes the connection that has waited longest for its client, or the one that has
// been idle longest. It returns false if all wait for their answer.
func (l *Limiter) makeRoom(reason Reason) (ok bool) {
	var oldest *conn
	incomplete := 0
	for _, list := range []*connList{&l.unused, &l.headers, &l.bodies, &l.writing} {
		incomplete += list.length
		if first := list.first; first != nil && (oldest == nil || first.since.Before(oldest.since)) {
			oldest = first
		}
	}
	if longest := l.idle.first; longest != nil && float64(incomplete) < incompleteShare*float64(l.maxConnections) {
		oldest = longest
	}
	if oldest == nil {
		return false
	}
	l.closeConn(oldest, reason)
	return true
}

// maxCompared is the number of connections among which the one with the largest request is
// closed.
const maxCompared = 64

// reserve counts bytes of a request, and closes the connections with the largest requests that
// wait for their clients while there are too many. It returns false if the connection itself
// had to be closed.
func (l *Limiter) reserve(c *conn, bytes int64) (ok bool) {
	if !c.isOpen { // closed while its client's bytes were on their way
		return false
	}
	c.bytes += bytes
	l.usedBytes += bytes
	for l.usedBytes > l.maxBytes && c.isOpen {
		largest := l.headers.largest(l.bodies.largest(l.writing.largest(nil)))
		if largest == nil || largest.bytes == 0 {
			largest = c
		}
		l.closeConn(largest, ReasonMemory)
	}
	return c.isOpen
}

// closeConn closes a connection and gives back what it counted.
func (l *Limiter) closeConn(c *conn, reason Reason) {
	l.forget(c)
	l.onClose(reason)
	// An error means that the connection is closed already.
	_ = c.Conn.Close()
}

// forget gives back what a connection counted.
func (l *Limiter) forget(c *conn) {
	if !c.isOpen {
		return
	}
	c.isOpen = false
	l.connections--
	l.usedBytes -= c.bytes
	c.bytes = 0
	c.leaveList()
}

// countHeader counts bytes of a header that have been read. It returns an error if the
// header is too large, or if the connection was closed.
func (l *Limiter) countHeader(c *conn, data []byte) (err error) {
	limits := l.clientLimits().withDefaults()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.list == &l.idle || c.list == &l.unused {
		c.leaveList()
		l.headers.push(c, time.Now())
	}
	c.headerBytes += len(data)
	if c.headerBytes > limits.MaxHeaderBytes+headerSlackBytes {
		l.onClose(ReasonHeaderSize)
		return errHeaderSize
	}
	if !l.reserve(c, int64(2*len(data)+fieldBytes*bytes.Count(data, newline))) {
		return net.ErrClosed
	}
	return nil
}

var newline = []byte("\n")

// beginRequest records that the header of a request is complete. It counts fields that
// were read together with an earlier request. It returns false if the connection was closed.
func (l *Limiter) beginRequest(c *conn, fields int, hasBody bool) (ok bool) {
	c.inHeader.Store(false)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.leaveList()
	if !c.isOpen {
		return false
	}
	if hasBody {
		l.bodies.push(c, time.Now())
	}
	if missing := int64(fields)*fieldBytes - c.bytes; missing > 0 {
		return l.reserve(c, missing)
	}
	return true
}

// countBody counts bytes of a body that have been read, or records that it is complete.
func (l *Limiter) countBody(c *conn, n int, isComplete bool) {
	if !isComplete && !l.countsBodies {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if isComplete {
		c.leaveList()
	}
	if l.countsBodies {
		l.reserve(c, int64(2*n)) // buffers of readers grow by doubling
	}
}

// endRequest records that a connection waits for the next request.
func (l *Limiter) endRequest(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.leaveList()
	if !c.isOpen {
		return
	}
	l.usedBytes -= c.bytes
	c.bytes, c.headerBytes = 0, 0
	l.idle.push(c, time.Now())
	c.inHeader.Store(true)
}

// AllowClose allows to close the connection of the request with ctx for room, although its
// response is not written.
func (l *Limiter) AllowClose(ctx context.Context) {
	c := connOf(ctx)
	if c == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.isOpen && c.list == nil {
		l.writing.push(c, time.Now())
	}
}

// slowBodyAge is the time from which on a body is slow. A caller that was refused for lack of
// memory returns after a second, and slow bodies have made room by then.
const slowBodyAge = 500 * time.Millisecond

// CloseSlowestBody closes the connection that has taken longest to send its body, other
// than that of the request with ctx, if it has taken 500 ms. Handlers call it when they have no
// memory left for bodies.
func (l *Limiter) CloseSlowestBody(ctx context.Context) {
	own := connOf(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	slowest := l.bodies.first
	if slowest == own && slowest != nil {
		slowest = slowest.next
	}
	if slowest != nil && time.Since(slowest.since) >= slowBodyAge {
		l.closeConn(slowest, ReasonMemory)
	}
}

// CountMemory counts memory that a handler takes for the request with ctx until it is answered,
// beside its header and body. It returns [net.ErrClosed] if the connection was closed for lack of
// memory. It does nothing if no limiter counts the request.
func CountMemory(ctx context.Context, bytes int64) (err error) {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	if !c.limiter.reserve(c, bytes) {
		return net.ErrClosed
	}
	return nil
}
