package requester

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// testCodec is a header codec that reads the fields Id and Not-Run.
type testCodec struct{}

func (testCodec) ReadCall(http.Header) (call banyanplank.CallInfo) { return call }
func (testCodec) WriteCall(http.Header, banyanplank.SendInfo)      {}
func (testCodec) WriteRetryAfter(http.Header, time.Duration)       {}
func (testCodec) ReadReply(response *http.Response) (reply banyanplank.ReplyInfo) {
	return banyanplank.ReplyInfo{Attempt: response.Header.Get("Id"), NotRun: response.Header.Get("Not-Run") != ""}
}

// endpoint starts a server that handles each connection with the next of the scripts.
func endpoint(t *testing.T, scripts ...func(conn net.Conn, reader *bufio.Reader)) (backend *banyanplank.Backend) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var work conc.WaitGroup
	work.Go(func() {
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		work.Wait()
	})
	return &banyanplank.Backend{ID: "x", Address: listener.Addr().(*net.TCPAddr).AddrPort()}
}

// respondWith reads a request and writes text.
func respondWith(text string) func(conn net.Conn, reader *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
	}
}

// response returns a complete response to the call id.
func response(id string) (text string) {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

// newCall returns a call with the attempt id.
func newCall(id string) *Call {
	return &Call{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Attempt: id}
}

// get sends a call and reads the response body.
func get(ctx context.Context, r *Requester, backend *banyanplank.Backend, c *Call) (body string, err error) {
	exchange, err := r.Send(ctx, backend, c)
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	text, err := io.ReadAll(exchange.Response.Body)
	if err == nil {
		exchange.MarkComplete()
	}
	return string(text), err
}

func TestSendReturnsMatchingResponse(t *testing.T) {
	tests := map[string]struct {
		script func(conn net.Conn, reader *bufio.Reader)
		body   string
		sent   bool // the error reports that the endpoint may have received the call
		cut    bool // the body is truncated
	}{
		"whole":                     {script: respondWith(response("c1")), body: "ok"},
		"after an interim response": {script: respondWith("HTTP/1.1 100 Continue\r\n\r\n" + response("c1")), body: "ok"},
		"after a stray response":    {script: respondWith(response("c0") + response("c1")), body: "ok"},
		"only stray responses":      {script: respondWith(response("a") + response("b") + response("c")), sent: true},
		"closed without a response": {script: respondWith(""), sent: true},
		"status 000":                {script: respondWith("HTTP/1.1 000 None\r\n\r\n" + response("c1")), sent: true},
		"protocol switch":           {script: respondWith("HTTP/1.1 101 Switching Protocols\r\n\r\n" + response("c1")), sent: true},
		"status 600":                {script: respondWith("HTTP/1.1 600 Much\r\nId: c1\r\nContent-Length: 0\r\n\r\n"), sent: true},
		"space in a name":           {script: respondWith("HTTP/1.1 200 OK\r\nId: c1\r\nX A: b\r\nContent-Length: 2\r\n\r\nok"), sent: true},
		"leading space":             {script: respondWith("HTTP/1.1 200 OK\r\nId: c1\r\n X-A: b\r\nContent-Length: 2\r\n\r\nok"), sent: true},
		"control character in name": {script: respondWith("HTTP/1.1 200 OK\r\nId: c1\r\nX\x01A: b\r\nContent-Length: 2\r\n\r\nok"), sent: true},
		"space in interim name":     {script: respondWith("HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + response("c1")), sent: true},
		"not HTTP":                  {script: respondWith("garbage\r\n\r\n"), sent: true},
		"truncated body":            {script: respondWith("HTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 9\r\n\r\nok"), cut: true},
		"truncated chunk":           {script: respondWith("HTTP/1.1 200 OK\r\nId: c1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"), cut: true},
		"no length":                 {script: respondWith("HTTP/1.1 200 OK\r\nId: c1\r\n\r\nok"), body: "ok"},
		"declined without an id":    {script: respondWith("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), body: ""},
		"response without an id":    {script: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), sent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := get(t.Context(), New(testCodec{}), endpoint(t, test.script), newCall("c1"))
			var failure *Error
			switch {
			case test.sent:
				is.True(errors.As(err, &failure))
				is.True(failure.Sent)
			case test.cut:
				is.True(errors.Is(err, io.ErrUnexpectedEOF))
			default:
				is.NoErr(err)
				is.Equal(body, test.body)
			}
		})
	}
}

// TestRepeatedRefusalIsNotTakenForAnAnswer guards against an endpoint that writes an earlier
// refusal once more on a kept connection: the next call, which may be running, must not count
// as not run.
func TestRepeatedRefusalIsNotTakenForAnAnswer(t *testing.T) {
	const anonymous = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const named = "HTTP/1.1 503 No\r\nId: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		refusal string
		answer  string
		body    string
		failed  bool
	}{
		"without an id":                  {refusal: anonymous, answer: anonymous, failed: true},
		"without an id, then the answer": {refusal: anonymous, answer: anonymous + response("c2"), failed: true},
		"with its id":                    {refusal: named, answer: named, failed: true},
		"with its id, then the answer":   {refusal: named, answer: named + response("c2"), body: "ok"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, backend := New(testCodec{}), endpoint(t, func(conn net.Conn, reader *bufio.Reader) {
				for _, text := range []string{test.refusal, test.answer} {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, text)
				}
			})
			exchange, err := r.Send(t.Context(), backend, newCall("c1"))
			is.NoErr(err)
			is.True(exchange.Reply.NotRun)
			exchange.Drain()
			exchange.Close()
			body, err := get(t.Context(), r, backend, newCall("c2"))
			var failure *Error
			is.Equal(errors.As(err, &failure) && failure.Sent, test.failed)
			is.Equal(body, test.body)
		})
	}
}

func TestSendReportsUnsentWhenConnectFails(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(listener.Close())
	_, err = New(testCodec{}).Send(t.Context(), &banyanplank.Backend{ID: "x", Address: address}, newCall("c1"))
	var failure *Error
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent) // nothing was sent, so the call may be retried elsewhere
}

// awaitPendingInput waits until each unused connection has unread bytes or EOF pending,
// without consuming them.
func awaitPendingInput(t *testing.T, r *Requester) {
	t.Helper()
	for _, idle := range r.idleConns {
		for _, c := range idle {
			raw, err := c.Conn.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			err = raw.Read(func(fd uintptr) (done bool) {
				_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				return !errors.Is(err, syscall.EAGAIN)
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestConnectionIsReusedOnlyWhenClean guards against reusing a connection that has received
// bytes after the response, was closed by the endpoint or has been unused for too long.
func TestConnectionIsReusedOnlyWhenClean(t *testing.T) {
	two := func(conn net.Conn, reader *bufio.Reader) {
		respondWith(response("c1"))(conn, reader)
		respondWith(response("c2"))(conn, reader)
	}
	extra := func(conn net.Conn, reader *bufio.Reader) {
		respondWith(response("c1")+response("c1"))(conn, reader)
		_, _ = reader.ReadByte()
	}
	gotFirst := make(chan struct{})
	later := func(conn net.Conn, reader *bufio.Reader) {
		respondWith(response("c1"))(conn, reader)
		<-gotFirst
		_, _ = io.WriteString(conn, response("c1"))
		_, _ = reader.ReadByte()
	}
	tests := map[string]struct {
		scripts         []func(conn net.Conn, reader *bufio.Reader)
		maxIdle         time.Duration
		hasPendingInput bool // bytes or EOF follow the first response
	}{
		"connection reused":      {scripts: []func(net.Conn, *bufio.Reader){two}},
		"a second response":      {scripts: []func(net.Conn, *bufio.Reader){extra, respondWith(response("c2"))}, hasPendingInput: true},
		"a later response":       {scripts: []func(net.Conn, *bufio.Reader){later, respondWith(response("c2"))}, hasPendingInput: true},
		"closed by the endpoint": {scripts: []func(net.Conn, *bufio.Reader){respondWith(response("c1")), respondWith(response("c2"))}, hasPendingInput: true},
		"unused for too long":    {scripts: []func(net.Conn, *bufio.Reader){two, respondWith(response("c2"))}, maxIdle: time.Nanosecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, backend := New(testCodec{}), endpoint(t, test.scripts...)
			_, err := get(t.Context(), r, backend, newCall("c1"))
			is.NoErr(err)
			if name == "a later response" {
				close(gotFirst)
			}
			if test.hasPendingInput {
				awaitPendingInput(t, r)
			}
			second := newCall("c2")
			second.MaxIdle = test.maxIdle
			body, err := get(t.Context(), r, backend, second)
			is.NoErr(err)
			is.Equal(body, "ok")
			r.CloseIdle(func(banyanplank.BackendID) bool { return false })
		})
	}
}

// TestCanceledCallClosesConnection guards against a canceled call that leaves its connection
// open, so that the endpoint goes on with it.
func TestCanceledCallClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	backend := endpoint(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := New(testCodec{}).Send(ctx, backend, newCall("c1"))
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}

// TestSilentEndpointIsAbandonedOnRequest checks that a silent endpoint is abandoned only if
// ShouldGiveUp returns true. The endpoint responds once it was called.
func TestSilentEndpointIsAbandonedOnRequest(t *testing.T) {
	for name, abandoned := range map[string]bool{"left": true, "waited for": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gaveUpAsked := make(chan struct{})
			slow := func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				<-gaveUpAsked
				_, _ = io.WriteString(conn, response("c1"))
			}
			c := newCall("c1")
			c.CheckInterval = 40 * time.Millisecond
			c.ShouldGiveUp = sync.OnceValue(func() bool {
				close(gaveUpAsked)
				return abandoned
			})
			_, err := get(t.Context(), New(testCodec{}), endpoint(t, slow), c)
			is.Equal(errors.Is(err, ErrSilent), abandoned)
			is.Equal(err != nil, abandoned)
		})
	}
}

func TestEncodeCallWritesHeadAndBody(t *testing.T) {
	is := is.New(t)
	c := &Call{Method: "POST", Target: "/a/b?x=%2F", Host: "h.example", Header: http.Header{"X": {"1", "2"}}, Body: []byte("body")}
	is.Equal(string(encodeCall(c)), "POST /a/b?x=%2F HTTP/1.1\r\nHost: h.example\r\nX: 1\r\nX: 2\r\nContent-Length: 4\r\n\r\nbody")
}
