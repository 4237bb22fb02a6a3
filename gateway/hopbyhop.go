package gateway

import (
	"net/http"
	"strings"
)

// hopByHopFields are the header fields that apply to a single connection.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// removeHopByHopFields removes the fields that apply to a single connection,
// including those that the Connection field names.
func removeHopByHopFields(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(header, name)
	}
}
