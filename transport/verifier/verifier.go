// Package verifier rejects responses that package net/http accepts although HTTP/1.1
// doesn't allow them. Their framing can't be trusted: no part of them may be used, and the
// connection must not be reused.
package verifier

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed means that a peer sent something that is not an HTTP response. It may have
// executed the request.
var ErrMalformed = errors.New("malformed response")

// errNameSpace reports a field name that contains whitespace.
var errNameSpace = errors.Wrap(ErrMalformed, "whitespace in a field name")

// errEncoding reports a transfer encoding in a response of HTTP/1.0, which has none.
var errEncoding = errors.Wrap(ErrMalformed, "transfer encoding in HTTP/1.0")

// maxStatus is the upper end of the range of valid status codes.
const maxStatus = 599

// Verify returns [ErrMalformed] if HTTP doesn't allow the head of a response, which may be an
// interim one. What the parser hides is found only by a [Scanner].
func Verify(response *http.Response) (err error) {
	// The parser accepts any three characters that form a non-negative number, such as "000"
	// and "+20". No request asks to switch protocols.
	status := response.StatusCode
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %.3q", response.Status)
	}
	// HTTP/2 is negotiated over TLS only.
	if response.ProtoMajor != 1 && response.TLS == nil {
		return errors.Wrapf(ErrMalformed, "version %q", response.Proto)
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			return errNameSpace
		}
	}
	return nil
}
