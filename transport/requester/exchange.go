package requester

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/transport/verifier"
)

// Exchange is a call and its response. Close it exactly once.
type Exchange struct {
	Response      *http.Response
	Reply         banyanplank.ReplyInfo
	requester     *Requester
	backend       banyanplank.BackendID
	conn          *conn
	stopInterrupt func() bool
	isComplete    bool
}

// roundTrip writes the call and reads the head of its response.
func (e *Exchange) roundTrip(ctx context.Context, call *Call) (err error) {
	if n, err := e.conn.Write(encodeCall(call)); err != nil {
		return &Error{Sent: n > 0, Err: errors.Wrap(err, "send")}
	}
	if call.ShouldGiveUp != nil {
		if err := e.Await(ctx, call.CheckInterval, call.ShouldGiveUp); err != nil {
			return &Error{Sent: true, Err: err}
		}
	}
	// On a connection that has carried a response, a refusal without an ID may be that
	// response once more.
	acceptsAnonymous := !e.conn.hasAnswered
	for range maxStrayResponses + 1 {
		response, err := e.readHead(call.Method) //nolint:bodyclose // Close closes the connection.
		if err != nil {
			return &Error{Sent: true, Err: errors.Wrap(err, "read answer")}
		}
		e.conn.hasAnswered = true
		reply := e.requester.codec.ReadReply(response)
		switch {
		case reply.Attempt == call.Attempt || reply.Attempt == "" && reply.NotRun && acceptsAnonymous:
			e.Response, e.Reply = response, reply
			return nil
		case reply.Attempt == "" && reply.NotRun:
			return &Error{Sent: true, Err: errors.New("refusal without an id on a kept connection")}
		}
		acceptsAnonymous = false
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBodyBytes)); err != nil || n == maxStrayBodyBytes || response.Close {
			return &Error{Sent: true, Err: errors.Newf("answer to call %q instead of %q", reply.Attempt, call.Attempt)}
		}
	}
	return &Error{Sent: true, Err: errors.New("all answers are for other calls")}
}

// readHead reads the head of the next final response and skips interim ones.
func (e *Exchange) readHead(method string) (response *http.Response, err error) {
	e.conn.beginHead(e.requester.maxHeadBytes)
	defer func() { e.conn.inHead = false }()
	for {
		response, err = http.ReadResponse(e.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := verifier.Verify(response); err != nil {
			return nil, err
		}
		if err := e.conn.scanner.Err(); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// encodeCall returns the call in HTTP/1.1 wire format.
func encodeCall(call *Call) (encoded []byte) {
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

// ErrSilent means that the endpoint sent no data and the caller gave up waiting.
var ErrSilent = errors.New("endpoint is silent")

// Await waits for the next bytes of the response. After every interval without data it
// calls giveUp, and returns [ErrSilent] if that returns true. Other errors are those of
// the connection or of ctx.
func (e *Exchange) Await(ctx context.Context, interval time.Duration, giveUp func() bool) (err error) {
	if e.conn.reader.Buffered() > 0 {
		return nil
	}
	defer func() { err = errors.Wrap(err, "await answer") }()
	for {
		if err := e.setReadDeadline(ctx, time.Now().Add(interval)); err != nil {
			return err
		}
		_, err := e.conn.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			if giveUp() {
				return ErrSilent
			}
			continue
		}
		if deadlineErr := e.setReadDeadline(ctx, time.Time{}); deadlineErr != nil {
			return deadlineErr
		}
		// The next read of the body reports the EOF.
		if err == io.EOF {
			return nil
		}
		return err
	}
}

// setReadDeadline sets the deadline of reads, and returns an error if ctx has ended.
func (e *Exchange) setReadDeadline(ctx context.Context, deadline time.Time) (err error) {
	if err := e.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return nil
}

// Limits on draining a response that is not used. Reading more costs more than a new
// connection.
const (
	maxDrainBytes = 16 << 10
	maxDrainTime  = 50 * time.Millisecond
)

// Drain discards the rest of an unused response so that the connection can be reused,
// unless the rest is long or slow.
func (e *Exchange) Drain() {
	if e.conn.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
		return
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(e.Response.Body, maxDrainBytes)); err == nil && n < maxDrainBytes {
		e.MarkComplete()
	}
}

// MarkComplete marks the response as read to its end, which allows the connection to be
// reused.
func (e *Exchange) MarkComplete() { e.isComplete = true }

// Close ends the exchange. Unless the response was read completely, it closes the
// connection, on which the endpoint cancels the call.
func (e *Exchange) Close() {
	uninterrupted := e.stopInterrupt()
	reusable := e.isComplete && uninterrupted && !e.Response.Close && e.conn.reader.Buffered() == 0 && e.IsFramed()
	if reusable && e.conn.SetDeadline(time.Time{}) == nil {
		e.conn.keepAlive = keepAliveTimeout(e.Response.Header)
		e.requester.putIdle(e.backend, e.conn)
		return
	}
	e.conn.Close()
}

// IsFramed reports whether the response has a length or chunks. Otherwise it ends with the
// connection.
func (e *Exchange) IsFramed() bool {
	return e.Response.ContentLength >= 0 || len(e.Response.TransferEncoding) > 0
}

// keepAliveTimeout returns how long the endpoint keeps an unused connection open.
func keepAliveTimeout(header http.Header) (timeout time.Duration) {
	const name = "timeout="
	value := header.Get("Keep-Alive")
	if len(value) <= len(name) || value[:len(name)] != name {
		return DefaultIdleTimeout
	}
	seconds, err := strconv.Atoi(value[len(name):])
	if err != nil || seconds <= 0 {
		return DefaultIdleTimeout
	}
	// A margin of one quarter, since the endpoint may close the connection while a call
	// is in transit.
	return time.Duration(seconds) * time.Second * 3 / 4
}
