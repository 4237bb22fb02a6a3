// Package verifier rejects responses that package net/http accepts, although HTTP/1.1
// doesn't allow them. Their framing can't be trusted, so nothing of them may be used and
// their connection may not be reused.
package verifier

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed means that the bytes sent as a response are none. The peer may have acted on
// the request.
var ErrMalformed = errors.New("malformed response")

// errBlankName is the [ErrMalformed] of a field name that contains a blank.
var errBlankName = errors.Wrap(ErrMalformed, "field name with a blank")

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// Verify returns [ErrMalformed] if HTTP doesn't allow the head of a response. An interim
// response is valid. A name that begins with a blank is found only by a [Scanner].
func Verify(response *http.Response) (err error) {
	// The parser takes any three characters for a status that are a number of zero or more,
	// such as "000" and "+20". Nobody asks for another protocol.
	status := response.StatusCode
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %.3q", response.Status)
	}
	// HTTP/2 is agreed on with TLS.
	if response.ProtoMajor != 1 && response.TLS == nil {
		return errors.Wrapf(ErrMalformed, "version %q", response.Proto)
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			return errBlankName
		}
	}
	return nil
}
