package verifier_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank/standin/responder"
	"github.com/banyanplank/banyanplank/transport/verifier"
)

const okHead = "HTTP/1.1 200 OK\r\n"

// get sends a request over client to a server that responds with text, and returns the body of
// the response.
func get(t *testing.T, client *http.Client, address string) (body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, http.NoBody)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// newClient returns a client that verifies responses.
func newClient() (client *http.Client) {
	return &http.Client{Transport: verifier.NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
}

// result is what becomes of a response.
type result int

const (
	accepted result = iota
	// malformed responses are those that only the verifier rejects.
	malformed
	// unparsable responses are those that net/http rejects.
	unparsable
)

// TestMalformedResponsesAreErrors checks which responses are passed on. Each is sent twice, the
// second time on the same connection if it could be reused.
func TestMalformedResponsesAreErrors(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	tests := map[string]struct {
		text   string
		result result
	}{
		"plain":                     {okHead + rest, accepted},
		"no reason":                 {"HTTP/1.1 200\r\n" + rest, accepted},
		"chunks":                    {okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", accepted},
		"LF":                        {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", accepted},
		"599":                       {"HTTP/1.1 599 Odd\r\n" + rest, accepted},
		"after interim ones":        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okHead + rest, accepted},
		"000":                       {"HTTP/1.1 000 None\r\n" + rest, malformed},
		"000, no length":            {"HTTP/1.1 000 None\r\n\r\nok", malformed},
		"negative zero":             {"HTTP/1.1 -00 None\r\n" + rest, malformed},
		"sign":                      {"HTTP/1.1 +20 OK\r\n" + rest, malformed},
		"two digits":                {"HTTP/1.1 099 OK\r\n" + rest, malformed},
		"600":                       {"HTTP/1.1 600 Much\r\n" + rest, malformed},
		"600, no body":              {"HTTP/1.1 600 Much\r\nContent-Length: 0\r\n\r\n", malformed},
		"protocol switch":           {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + okHead + rest, malformed},
		"HTTP/1.0":                  {"HTTP/1.0 200 OK\r\n" + rest, accepted},
		"HTTP/1.0, chunks":          {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", malformed},
		"HTTP/1.0, identity":        {"HTTP/1.0 200 OK\r\ntransfer-encoding: identity\r\n" + rest, malformed},
		"HTTP/1.0, like chunks":     {"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\nX-Transfer-Encoding: chunked\r\nX: Transfer-Encoding:\r\n" + rest, accepted},
		"HTTP/2.0":                  {"HTTP/2.0 200 OK\r\n" + rest, malformed},
		"HTTP/0.9":                  {"HTTP/0.9 200 OK\r\n" + rest, malformed},
		"000, long reason":          {"HTTP/1.1 000 " + strings.Repeat("x", 16000) + "\r\n" + rest, malformed},
		"trailers":                  {okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\n\r\n", accepted},
		"lines of a body":           {okHead + "Content-Length: 2\r\n\r\nok", accepted},
		"long field":                {okHead + "X-A: " + strings.Repeat("x y ", 4000) + "\r\n" + rest, accepted},
		"blanks around a value":     {okHead + "X-A: \t b \t\r\n" + rest, accepted},
		"space inside":              {okHead + "X A: b\r\n" + rest, malformed},
		"space before the colon":    {okHead + "X-A : b\r\n" + rest, malformed},
		"leading space":             {okHead + "X-A: b\r\n X-B: c\r\n" + rest, malformed},
		"leading tab":               {okHead + "X-A: b\r\n\tX-B: c\r\n" + rest, malformed},
		"leading space, first line": {okHead + " X-B: c\r\n" + rest, unparsable},
		"leading space, last line":  {okHead + "Content-Length: 2\r\n X-B: c\r\n\r\nok", unparsable},
		"leading space, LF":         {"HTTP/1.1 200 OK\nX-A: b\n X-B: c\nContent-Length: 2\n\nok", malformed},
		"leading space, no body":    {okHead + "X-A: b\r\n X-B: c\r\nContent-Length: 0\r\n\r\n", malformed},
		"line of a space":           {okHead + "X-A: b\r\n \r\n" + rest, malformed},
		"leading space, long":       {okHead + "X-A: " + strings.Repeat("x", 16000) + "\r\n X-B: c\r\n" + rest, malformed},
		"leading space, interim":    {"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n X-B: c\r\n\r\n" + okHead + rest, malformed},
		"space after interim":       {"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + okHead + "X-A: b\r\n X-B: c\r\n" + rest, malformed},
		"control character":         {okHead + "X\x01A: b\r\n" + rest, unparsable},
		"000 after interim ones":    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n" + rest, malformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := responder.Start(test.text)
			is.NoErr(err)
			defer r.Close()
			client := newClient()
			defer client.CloseIdleConnections()
			for range 2 {
				body, err := get(t, client, r.Address().String())
				if test.result == accepted {
					is.NoErr(err)
					is.Equal(body, "ok")
					continue
				}
				is.True(err != nil)
				is.Equal(errors.Is(err, verifier.ErrMalformed), test.result == malformed)
				is.True(test.result == unparsable || len(err.Error()) < 200) // it is logged and told
			}
		})
	}
}
