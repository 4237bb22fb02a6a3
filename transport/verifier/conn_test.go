package verifier

import (
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// TestResponseBeforeRequestIsMalformed guards against a late response to an earlier request,
// which has been read when the next one is sent, and is taken for the answer to that one.
func TestResponseBeforeRequestIsMalformed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		before, after string
		isMalformed   bool
	}{
		"after the request":  {"", head, false},
		"before the request": {head, "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer near.Close()
			c := &conn{Conn: near}
			receive := func(text string) {
				if text == "" {
					return
				}
				var work conc.WaitGroup
				work.Go(func() { _, _ = io.WriteString(far, text) })
				_, err := io.ReadFull(c, make([]byte, len(text)))
				is.NoErr(err)
				work.Wait()
			}
			receive(test.before)
			c.expectResponse()
			receive(test.after)
			is.Equal(errors.Is(c.verify(), ErrMalformed), test.isMalformed)
		})
	}
}
