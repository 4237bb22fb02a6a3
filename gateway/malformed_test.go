package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// respondRaw returns an endpoint that writes text as it is, and leaves the connection open
// until the entry closes it.
func respondRaw(text string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, text); err == nil {
			_, _ = io.Copy(io.Discard, buffered)
		}
	}
}

// malformedEvents is the body of a malformed response: the whole stream of another call.
const malformedEvents = "id: 1\ndata: stray\n\n"

// malformedResponse returns a response to the call c1 with a status line, and with lines
// instead of the length of its body.
func malformedResponse(statusLine string, lines ...string) (text string) {
	return statusLine + "\r\nId: c1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n" +
		strings.Join(lines, "\r\n") + "\r\n\r\n" + malformedEvents
}

const (
	okLine     = "HTTP/1.1 200 OK"
	lengthLine = "Content-Length: 19"
)

// checkMalformed has an endpoint send text, and checks that no part of it reaches a caller. A
// repeatable call goes to another endpoint, and one that must not be repeated, or has no
// attempt left, ends at once with a status that promises nothing.
func checkMalformed(t *testing.T, text string) {
	t.Helper()
	const first = "id: 1\ndata: 1\n\n"
	resumed := respondRaw(text)
	tests := map[string]struct {
		route    banyanplank.RouteSpec
		handlers []handler
		status   int
		body     string
		cut      bool
	}{
		"once":                 {banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce, MaxAttempts: 2}, []handler{respondRaw(text), respond("ok")}, http.StatusBadGateway, "", false},
		"repeatable":           {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 2}, []handler{respondRaw(text), respond("ok")}, http.StatusOK, "ok", false},
		"repeatable, no more":  {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 1}, []handler{respondRaw(text), respond("ok")}, http.StatusBadGateway, "", false},
		"stream":               {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 2, Resumable: true}, []handler{respondRaw(text), streamEvents(1, 2, "", false)}, http.StatusOK, eventText(1, 2), false},
		"stream, not resumed":  {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 2}, []handler{respondRaw(text), streamEvents(1, 2, "", false)}, http.StatusBadGateway, "", false},
		"rest of a stream":     {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 3, Resumable: true}, []handler{streamEvents(1, 1, "", true), resumed, streamEvents(2, 2, "", false)}, http.StatusOK, eventText(1, 2), false},
		"rest, no more":        {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 2, Resumable: true}, []handler{streamEvents(1, 1, "", true), resumed, streamEvents(2, 2, "", false)}, http.StatusOK, first, true},
		"with a prompt":        {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 2, Resumable: true}, []handler{respondRaw(text), streamEvents(1, 2, "", false)}, http.StatusOK, eventText(1, 2), false},
		"after other calls":    {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 2}, []handler{respond("warm"), respond("warm"), respondRaw(text), respond("ok")}, http.StatusOK, "ok", false},
		"behind an interim":    {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 2}, []handler{respondRaw("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text), respond("ok")}, http.StatusOK, "ok", false},
		"behind a stray reply": {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 2}, []handler{respondRaw("HTTP/1.1 200 OK\r\nId: c0\r\nContent-Length: 2\r\n\r\nno" + text), respond("ok")}, http.StatusOK, "ok", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, test.route, test.handlers...)
			if name == "after other calls" {
				for range 2 {
					is.Equal(g.send(g.newRequest(t, http.MethodPost, "")).body, "warm")
				}
			}
			request := g.newRequest(t, http.MethodPost, "")
			if name == "with a prompt" {
				request.Header.Set("Parts", "a b")
			}
			began := time.Now()
			a := g.send(request)
			is.True(time.Since(began) < time.Second) // half of the time limit
			is.Equal(a.err != nil, test.cut)
			is.Equal(a.status, test.status)
			is.True(!strings.Contains(a.body, "stray"))
			if test.body != "" {
				is.Equal(a.body, test.body)
			}
			if test.status != http.StatusOK {
				is.Equal(a.header.Get("Seal"), "")
			}
			for name, values := range a.header {
				is.True(!strings.Contains(strings.ToLower(name+strings.Join(values, " ")), "spoiled"))
			}
		})
	}
}

// TestResponseWithInvalidStatusReachesNoCaller guards against a response whose status is none
// and that a caller gets, or for which a caller waits, since it is skipped as an interim one.
func TestResponseWithInvalidStatusReachesNoCaller(t *testing.T) {
	behind := "\r\n\r\n" + malformedResponse(okLine, lengthLine)
	for name, text := range map[string]string{
		"000":                     malformedResponse("HTTP/1.1 000 None", lengthLine),
		"000, no reason":          malformedResponse("HTTP/1.1 000", lengthLine),
		"000, no body":            "HTTP/1.1 000 None\r\nId: c1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
		"000, a response as body": "HTTP/1.1 000 None\r\nId: c1\r\nSeal: s\r\nContent-Length: 200" + behind,
		"000, then a response":    "HTTP/1.1 000 None" + behind,
		"negative":                malformedResponse("HTTP/1.1 -00 None", lengthLine),
		"sign":                    "HTTP/1.1 +20 None" + behind,
		"two digits":              "HTTP/1.1 099 None" + behind,
		"protocol switch":         "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade" + behind,
		"600":                     malformedResponse("HTTP/1.1 600 Much", lengthLine),
		"999":                     malformedResponse("HTTP/1.1 999 Much", lengthLine),
		"four digits":             malformedResponse("HTTP/1.1 2000 OK", lengthLine),
		"letters":                 malformedResponse("HTTP/1.1 OKK OK", lengthLine),
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, text) })
	}
}
