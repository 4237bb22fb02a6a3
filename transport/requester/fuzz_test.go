package requester

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// FuzzAnswer lets an endpoint respond with arbitrary bytes and close the connection. The
// call must end with its own response or an error marked as sent, and a connection with
// unread bytes must not be reused.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: c0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: c1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nTrailer: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
		"HTTP/1.1 204 No Content\r\nId: c1\r\n\r\njunk",
		"HTTP/1.0 200 OK\r\nId: c1\r\n\r\nuntil the end",
		"\x16\x03\x01\x02", "", "HTTP/1.1 99999999999999999999 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: c1\r\nX A: b\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: c1\r\nX-A: b\r\n Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nId: c1\r\nContent-Length: 2\r\n\r\nok",
	} {
		f.Add([]byte(text))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	texts := make(chan []byte)
	var work conc.WaitGroup
	work.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// Errors show up on the requester's side.
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write(<-texts)
			_ = conn.Close()
		}
	})
	f.Cleanup(func() {
		_ = listener.Close()
		work.Wait()
	})
	backend := &banyanplank.Backend{ID: "x", Address: listener.Addr().(*net.TCPAddr).AddrPort()}
	f.Fuzz(func(t *testing.T, text []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r := New(testCodec{})
		sent := make(chan struct{})
		var feed conc.WaitGroup
		feed.Go(func() {
			select {
			case texts <- text:
			case <-sent:
			}
		})
		exchange, err := r.Send(ctx, backend, &Call{Method: http.MethodPost, Target: "/", Host: "h", Attempt: "c1"})
		close(sent)
		feed.Wait()
		if ctx.Err() != nil {
			t.Fatal("the call did not end")
		}
		if err != nil {
			var failure *Error
			if !errors.As(err, &failure) || !failure.Sent {
				t.Errorf("a call that was answered counts as never sent: %v", err)
			}
			return
		}
		if id := exchange.Reply.Attempt; id != "c1" && (id != "" || !exchange.Reply.NotRun) {
			t.Errorf("answer to %q", id)
		}
		if status := exchange.Response.StatusCode; status < http.StatusOK || status > 599 {
			t.Errorf("answer with status %d", status)
		}
		for name := range exchange.Response.Header {
			if strings.ContainsAny(name, " \t") {
				t.Errorf("answer with the field name %q", name)
			}
		}
		if _, err := io.Copy(io.Discard, exchange.Response.Body); err == nil {
			exchange.MarkComplete()
		}
		left := exchange.conn.reader.Buffered()
		exchange.Close()
		if left > 0 && len(r.idleConns["x"]) > 0 {
			t.Errorf("a connection with %d bytes left is kept", left)
		}
		r.CloseIdle(func(banyanplank.BackendID) bool { return false })
	})
}
