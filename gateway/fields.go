package gateway

import (
	"net/http"
	"strings"
)

// hopFields concern one connection only.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// dropHopFields removes the fields that concern one connection only.
func dropHopFields(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopFields {
		delete(header, name)
	}
}
