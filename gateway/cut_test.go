package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// sendRaw answers with the given bytes and closes the connection.
func sendRaw(text string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// TestCutHeadIsNoAnswer guards against an answer that looks whole though its endpoint closed
// the connection within the head. Each byte is tried as the last one.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: c1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r\n"
	const body = "id: 1\ndata: whole\n\nid:"
	for _, kind := range []banyanplank.RouteKind{banyanplank.RouteAtMostOnce, banyanplank.RouteRepeatable, banyanplank.RouteStream} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			for cut := range len(head) + len(body) {
				g := newTestGateway(t, banyanplank.RouteSpec{Kind: kind, MaxAttempts: 1}, sendRaw((head + body)[:cut]))
				a := g.send(g.newRequest(t, http.MethodPost, ""))
				is.True(a.status != http.StatusOK || a.err != nil) // cut is the number of bytes sent
			}
		})
	}
}

// TestHalfClosedCallerGetsNoWholeAnswer has a caller close its sending side, which an entry
// can't tell from one that has left. Guards against an empty answer, or the first part of a
// stream, that looks whole.
func TestHalfClosedCallerGetsNoWholeAnswer(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	halt := func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 2, "", false)(w, r)
		<-r.Context().Done()
	}
	tests := map[string]struct {
		kind  banyanplank.RouteKind
		reply handler
		body  string
		want  string // text of the answer before the caller closes its side
	}{
		"once":                    {banyanplank.RouteAtMostOnce, hang, "", ""},
		"repeatable":              {banyanplank.RouteRepeatable, hang, "", ""},
		"stream before the first": {banyanplank.RouteStream, hang, "", ""},
		"stream after two events": {banyanplank.RouteStream, halt, "", "data: 2\n\n"},
		"within its body":         {banyanplank.RouteRepeatable, hang, "Content-Length: 5\r\n\r\nab", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, banyanplank.RouteSpec{Kind: test.kind, Resumable: true, MaxAttempts: 2}, test.reply)
			conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
			if test.body == "" {
				test.body = "Content-Length: 0\r\n\r\n"
			}
			_, err = io.WriteString(conn, "POST /x/a HTTP/1.1\r\nHost: h.example\r\nId: c1\r\nKey: k\r\n"+test.body)
			is.NoErr(err)
			var answer bytes.Buffer
			for test.want != "" && !strings.Contains(answer.String(), test.want) {
				_, err := io.CopyN(&answer, conn, 1)
				is.NoErr(err)
			}
			for test.want == "" && strings.HasSuffix(test.body, "\r\n\r\n") && len(g.receivedRequests()) == 0 {
				is.NoErr(banyanplank.Sleep(t.Context(), time.Millisecond))
			}
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			_, _ = io.Copy(&answer, conn) // the connection may be reset
			text := answer.String()
			is.True(test.want != "" || !strings.Contains(text, " 200 "))
			is.True(!strings.HasSuffix(text, "0\r\n\r\n")) // no end of the stream
		})
	}
}
