package verifier_test

import (
	"io"
	"net/http"
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

// TestMalformedResponsesAreErrors checks which responses are passed on. Each is sent twice, the
// second time on the same connection if it could be reused.
func TestMalformedResponsesAreErrors(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	tests := map[string]struct {
		text      string
		malformed bool
	}{
		"plain":                   {okHead + rest, false},
		"no reason":               {"HTTP/1.1 200\r\n" + rest, false},
		"chunks":                  {okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"LF":                      {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", false},
		"599":                     {"HTTP/1.1 599 Odd\r\n" + rest, false},
		"behind interim ones":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okHead + rest, false},
		"000":                     {"HTTP/1.1 000 None\r\n" + rest, true},
		"000, no length":          {"HTTP/1.1 000 None\r\n\r\nok", true},
		"negative zero":           {"HTTP/1.1 -00 None\r\n" + rest, true},
		"sign":                    {"HTTP/1.1 +20 OK\r\n" + rest, true},
		"two digits":              {"HTTP/1.1 099 OK\r\n" + rest, true},
		"600":                     {"HTTP/1.1 600 Much\r\n" + rest, true},
		"600, no body":            {"HTTP/1.1 600 Much\r\nContent-Length: 0\r\n\r\n", true},
		"protocol switch":         {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + okHead + rest, true},
		"000 behind interim ones": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n" + rest, true},
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
				if test.malformed {
					is.True(errors.Is(err, verifier.ErrMalformed))
					continue
				}
				is.NoErr(err)
				is.Equal(body, "ok")
			}
		})
	}
}
