package server

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errHeaderSize means that a header is over the limit.
var errHeaderSize = errors.New("header too large")

const (
	// headerSizeResponse is the response to a header over the limit.
	headerSizeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// refuseTimeout is how long a refused client may go on sending. A connection that is
	// closed with unread bytes is reset, and the client may miss the response.
	refuseTimeout = 500 * time.Millisecond
	// maxRefusedBytes bounds what is read of it.
	maxRefusedBytes = 256 << 10
)

// conn is a connection that counts what the client sends.
type conn struct {
	net.Conn
	limiter *Limiter
	// inHeader is set while bytes that are read belong to a header.
	inHeader atomic.Bool

	// The rest is guarded by the limiter's mutex.

	isOpen bool
	// headerBytes is the size of the header that is being read, and bytes the memory that
	// the request takes.
	headerBytes int
	bytes       int64
	// list holds the connection since a time, between previous and next.
	list           *connList
	previous, next *conn
	since          time.Time
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	if n == 0 || !c.inHeader.Load() {
		return n, err
	}
	if err := c.limiter.countHeader(c, data[:n]); err != nil {
		if errors.Is(err, errHeaderSize) {
			c.refuse(data)
		}
		// The server closes the connection without another response.
		return 0, io.EOF
	}
	return n, err
}

// refuse responds to a header over the limit, and reads on for a while with the given
// buffer.
func (c *conn) refuse(buffer []byte) {
	_ = c.SetDeadline(time.Now().Add(refuseTimeout))
	if _, err := io.WriteString(c.Conn, headerSizeResponse); err != nil {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	for read := 0; read < maxRefusedBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() (err error) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() (err error) {
	c.limiter.mutex.Lock()
	c.limiter.forget(c)
	c.limiter.mutex.Unlock()
	return c.Conn.Close()
}

// leaveList removes the connection from its list.
func (c *conn) leaveList() {
	if c.list != nil {
		c.list.remove(c)
	}
}

// body is the body of a request of a connection.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(data)
	b.conn.limiter.countBody(b.conn, n, errors.Is(err, io.EOF))
	return n, err
}

// CountReads returns a reader that counts what a handler reads from another one as memory of the
// request with ctx, as [CountMemory] does. The handler may keep it in a buffer that grows by
// doubling.
func CountReads(ctx context.Context, reader io.Reader) io.Reader { return countingReader{reader, ctx} }

type countingReader struct {
	io.Reader
	ctx context.Context
}

// Read implements io.Reader.
func (r countingReader) Read(data []byte) (n int, err error) {
	n, err = r.Reader.Read(data)
	if counted := CountMemory(r.ctx, int64(2*n)); counted != nil {
		return 0, counted
	}
	return n, err
}

// connList is a list of connections in the order in which they were added.
type connList struct {
	first, last *conn
	length      int
}

func (l *connList) push(c *conn, now time.Time) {
	c.list, c.since, c.previous, c.next = l, now, l.last, nil
	l.length++
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
}

func (l *connList) remove(c *conn) {
	if c.previous == nil {
		l.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		l.last = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.list, c.previous, c.next = nil, nil, nil
	l.length--
}

// largest returns the connection with the most bytes among the first maxCompared and other,
// which may be nil.
func (l *connList) largest(other *conn) (largest *conn) {
	largest = other
	for c, n := l.first, 0; c != nil && n < maxCompared; c, n = c.next, n+1 {
		if largest == nil || c.bytes > largest.bytes {
			largest = c
		}
	}
	return largest
}
