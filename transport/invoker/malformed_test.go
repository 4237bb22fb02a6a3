package invoker_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/responder"
	"github.com/banyanplank/banyanplank/transport/invoker"
)

// checkMalformed has an endpoint send text, and checks that it is taken neither for an answer
// nor for a refusal: the request may have run.
func checkMalformed(t *testing.T, text string) {
	t.Helper()
	is := is.New(t)
	r, err := responder.Start(text)
	is.NoErr(err)
	defer r.Close()
	i := invoker.New("http://" + r.Address().String())
	for _, isOnce := range []bool{false, true} {
		_, err := i.Run(t.Context(), &banyanplank.Request{Method: http.MethodPost, Path: "/", Attempt: "c1", AtMostOnce: isOnce})
		is.True(err != nil)
		is.True(!errors.HasType(err, (*banyanplank.Refusal)(nil)))
	}
	is.True(i.Cancel(t.Context(), "c1") != nil)
	is.True(i.Order(t.Context(), banyanplank.Order{}) != nil)
}

// TestResponseWithInvalidStatusIsNoAnswer guards against a response with an invalid status that
// is taken for an answer or a refusal.
func TestResponseWithInvalidStatusIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"000":             "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
		"000, a refusal":  "HTTP/1.1 000 None\r\nX-Outcome: not run\r\nContent-Length: 0\r\n\r\n",
		"000, no length":  "HTTP/1.1 000 None\r\n\r\nok",
		"sign":            "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok",
		"protocol switch": "HTTP/1.1 101 Switching Protocols\r\n\r\nok",
		"999":             "HTTP/1.1 999 Much\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, text) })
	}
}

// TestResponseWithInvalidFieldNameIsNoAnswer guards against a body that is not the endpoint's,
// since the field that tells where it ends is not recognized.
func TestResponseWithInvalidFieldNameIsNoAnswer(t *testing.T) {
	const okLine, chunks = "HTTP/1.1 200 OK\r\n", "2\r\nok\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"space inside":              okLine + "X A: b\r\nContent-Length: 2\r\n\r\nok",
		"leading space":             okLine + "X-A: b\r\n X-B: c\r\nContent-Length: 2\r\n\r\nok",
		"length, space":             okLine + "Content-Length : 2\r\n\r\nok",
		"chunks, space":             okLine + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"chunks, leading space":     okLine + "X-A: b\r\n Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"chunks, control character": okLine + "Transfer-Encoding\x01: chunked\r\n\r\n" + chunks,
		"a refusal, with a space":   "HTTP/1.1 503 No\r\nX-Outcome: not run\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
		"events, chunks of a space": okLine + "Content-Type: text/event-stream\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks,
	} {
		t.Run(name, func(t *testing.T) { checkMalformed(t, text) })
	}
}
