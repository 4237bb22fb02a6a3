package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/collector"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/standin/responder"
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
	tests := map[string]struct {
		route    banyanplank.RouteSpec
		handlers []handler
		status   int
		body     string
		cut      bool
	}{
		"once":                {banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce, MaxAttempts: 2}, []handler{respondRaw(text), respond("ok")}, http.StatusBadGateway, "", false},
		"repeatable":          {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 2}, []handler{respondRaw(text), respond("ok")}, http.StatusOK, "ok", false},
		"repeatable, no more": {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 1}, []handler{respondRaw(text), respond("ok")}, http.StatusBadGateway, "", false},
		"stream":              {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 2, Resumable: true}, []handler{respondRaw(text), streamEvents(1, 2, "", false)}, http.StatusOK, eventText(1, 2), false},
		"stream, not resumed": {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 2}, []handler{respondRaw(text), streamEvents(1, 2, "", false)}, http.StatusBadGateway, "", false},
		"rest of a stream":    {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 3, Resumable: true}, []handler{streamEvents(1, 1, "", true), respondRaw(text), streamEvents(2, 2, "", false)}, http.StatusOK, eventText(1, 2), false},
		"rest, no more":       {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 2, Resumable: true}, []handler{streamEvents(1, 1, "", true), respondRaw(text), streamEvents(2, 2, "", false)}, http.StatusOK, eventText(1, 1), true},
		"with a prompt":       {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, MaxAttempts: 2, Resumable: true}, []handler{respondRaw(text), streamEvents(1, 2, "", false)}, http.StatusOK, eventText(1, 2), false},
		"after other calls":   {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 2}, []handler{respond("warm"), respond("warm"), respondRaw(text), respond("ok")}, http.StatusOK, "ok", false},
		"after an interim":    {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 2}, []handler{respondRaw("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text), respond("ok")}, http.StatusOK, "ok", false},
		"after a stray reply": {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable, MaxAttempts: 2}, []handler{respondRaw("HTTP/1.1 200 OK\r\nId: c0\r\nContent-Length: 2\r\n\r\nno" + text), respond("ok")}, http.StatusOK, "ok", false},
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
			is.True(time.Since(began) < 2*time.Second) // the time limit of the route
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

// TestResponseWithInvalidStatusReachesNoCaller guards against a response with an invalid status
// that a caller gets, or that keeps a caller waiting because it is skipped as an interim one.
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

// TestResponseOfAnotherProtocolReachesNoCaller guards against a response whose version is that
// of a protocol in which messages look different.
func TestResponseOfAnotherProtocolReachesNoCaller(t *testing.T) {
	for name, version := range map[string]string{"HTTP/2": "HTTP/2.0", "HTTP/0.9": "HTTP/0.9", "HTTP/9.1": "HTTP/9.1", "other name": "ICY/1.1", "lower case": "http/1.1", "two digits": "HTTP/1.10"} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, malformedResponse(version+" 200 OK", lengthLine)) })
	}
}

// TestChunksOfHTTP10ReachNoCaller guards against a body with chunk sizes in it: HTTP/1.0 has no
// transfer encodings, so the parser ignores the field that announces them.
func TestChunksOfHTTP10ReachNoCaller(t *testing.T) {
	const head, chunks = "HTTP/1.0 200 OK\r\nId: c1\r\nSeal: s\r\n", "\r\n\r\n13\r\n" + malformedEvents + "\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"chunks":               head + "Transfer-Encoding: chunked" + chunks,
		"lower case":           head + "transfer-encoding:chunked" + chunks,
		"with a length":        head + lengthLine + "\r\nTransfer-Encoding: chunked" + chunks,
		"kept alive":           head + "Connection: keep-alive\r\nTransfer-Encoding: chunked" + chunks,
		"after an interim one": "HTTP/1.1 100 Continue\r\n\r\n" + head + "Transfer-Encoding: chunked" + chunks,
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, text) })
	}
}

// TestResponseWithInvalidFieldNameReachesNoCaller guards against a response with a field name
// that holds whitespace or a control character. A field that is not recognized may be the one that
// tells where the body ends, and a line that begins with whitespace is joined to the one before.
func TestResponseWithInvalidFieldNameReachesNoCaller(t *testing.T) {
	const chunked = "\r\n\r\n13\r\n" + malformedEvents + "\r\n0\r\n\r\n"
	const head = okLine + "\r\nId: c1\r\nSeal: s\r\n"
	for name, text := range map[string]string{
		"space inside":                       malformedResponse(okLine, "X Spoiled: v", lengthLine),
		"space before the colon":             malformedResponse(okLine, "X-Spoiled : v", lengthLine),
		"leading space":                      malformedResponse(okLine, " X-Spoiled: v", lengthLine),
		"leading space, last line":           malformedResponse(okLine, lengthLine, "X-A: b", " X-Spoiled: v"),
		"leading space, first line":          okLine + "\r\n Id: c1\r\nSeal: s\r\n" + lengthLine + "\r\n\r\n" + malformedEvents,
		"tab inside":                         malformedResponse(okLine, "X-Spo\tiled: v", lengthLine),
		"tab before the colon":               malformedResponse(okLine, "X-Spoiled\t: v", lengthLine),
		"leading tab":                        malformedResponse(okLine, "\tX-Spoiled: v", lengthLine),
		"line of a space":                    malformedResponse(okLine, " ", lengthLine),
		"control character first":            malformedResponse(okLine, "\x01X-Spoiled: v", lengthLine),
		"control character inside":           malformedResponse(okLine, "X-Spo\x01iled: v", lengthLine),
		"control character before the colon": malformedResponse(okLine, "X-Spoiled\x1f: v", lengthLine),
		"NUL":                                malformedResponse(okLine, "X-Spo\x00iled: v", lengthLine),
		"DEL":                                malformedResponse(okLine, "X-Spo\x7filed: v", lengthLine),
		"CR":                                 malformedResponse(okLine, "X-Spo\riled: v", lengthLine),
		"empty":                              malformedResponse(okLine, ": spoiled", lengthLine),
		"length, space before the colon":     malformedResponse(okLine, "Content-Length : 19"),
		"length, space inside":               malformedResponse(okLine, "Content -Length: 19"),
		"length, leading space":              malformedResponse(okLine, " Content-Length: 19"),
		"length, control character":          malformedResponse(okLine, "Content-Length\x02: 19"),
		"length, closed":                     malformedResponse(okLine, "Connection: close", "Content-Length : 19"),
		"chunks, space before the colon":     head + "Transfer-Encoding : chunked" + chunked,
		"chunks, leading space":              head + "X-A: b\r\n Transfer-Encoding: chunked" + chunked,
		"chunks, leading tab":                head + "X-A: b\r\n\tTransfer-Encoding: chunked" + chunked,
		"chunks, length of less":             head + lengthLine + "\r\nTransfer-Encoding : chunked" + chunked,
		"chunks, control character":          head + "Transfer-Encoding\x0b: chunked" + chunked,
		"lines end with LF":                  strings.ReplaceAll(malformedResponse(okLine, "X-A: b", " X-Spoiled: v", lengthLine), "\r\n", "\n"),
		"of an interim response":             "HTTP/1.1 103 Early Hints\r\nX Spoiled: v\r\n\r\n" + malformedResponse(okLine, lengthLine),
		"of an interim one, leading space":   "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n X-Spoiled: v\r\n\r\n" + malformedResponse(okLine, lengthLine),
		"declined, space before the colon":   "HTTP/1.1 503 No\r\nId: c1\r\nNot-Run: 1\r\nX-Spoiled : v\r\nContent-Length: 0\r\n\r\n",
		"failure, space before the colon":    malformedResponse("HTTP/1.1 404 No", "X-Spoiled : v", lengthLine),
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, text) })
	}
}

// TestTrailersReachNoCaller checks that no field after the body of a response is passed on, as
// nobody has verified its name.
func TestTrailersReachNoCaller(t *testing.T) {
	for name, line := range map[string]string{"valid": "X-Spoiled: v", "space": "X Spoiled: v", "folded": "X-A: b\r\n X-Spoiled: v"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := okLine + "\r\nId: c1\r\nSeal: s\r\nTrailer: X-Spoiled\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n"
			g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce, MaxAttempts: 1}, respondRaw(text))
			a := g.send(g.newRequest(t, http.MethodPost, ""))
			is.NoErr(a.err)
			is.Equal(a.body, "ok")
			is.Equal(len(a.trailer), 0)
			is.True(!strings.Contains(strings.ToLower(fmt.Sprint(a.header)), "spoiled"))
		})
	}
}

// TestMalformedResponseOfPeerIsAnError guards against counts and topics that are read from a
// response that HTTP doesn't allow. The address of a peer may belong to another process by now.
func TestMalformedResponseOfPeerIsAnError(t *testing.T) {
	const body = "{}"
	for name, head := range map[string]string{
		"status":            "HTTP/1.1 000 None\r\n",
		"space":             okLine + "\r\nX A: b\r\n",
		"leading space":     okLine + "\r\nX-A: b\r\n X-B: c\r\n",
		"control character": okLine + "\r\nX\x01A: b\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := responder.Start(head + "Content-Length: 2\r\n\r\n" + body)
			is.NoErr(err)
			defer r.Close()
			d := newTestFleet(map[banyanplank.Zone]int{"a": 1}).daemons[0]
			d.enableUsage(usageWindow)
			d.snapshot.Store(&surveyor.Snapshot{Peers: []banyanplank.Member{{ID: "b", PeerAddress: r.Address()}}})
			_, err = d.usage.Fetch(t.Context(), "b")
			is.True(err != nil)
			_, err = d.usage.Send(t.Context(), "b", &collector.Message{})
			is.True(err != nil)
			d.relay.recordPositions(r.Address(), map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Revision: 3}})
			_, _, err = d.relay.FetchTopic(t.Context(), banyanplank.TopicRouting)
			is.True(err != nil)
		})
	}
}
