package main

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank/standin/responder"
)

// TestMalformedReplyIsAnError guards against a result that is read from a reply that HTTP
// doesn't allow, as its end is unknown.
func TestMalformedReplyIsAnError(t *testing.T) {
	for name, lines := range map[string]string{"space": "X A: b", "leading space": "X-A: b\r\n X-B: c", "control character": "X\x01A: b"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			daemon := func(statusLine string) (address netip.AddrPort) {
				r, err := responder.Start(statusLine + "\r\n" + lines + "\r\nContent-Length: 2\r\n\r\n{}")
				is.NoErr(err)
				t.Cleanup(r.Close)
				return r.Address()
			}
			_, err := requestRebalance(t.Context(), daemon("HTTP/1.1 202 Accepted"))
			is.True(err != nil)
			replies := fetchAll[struct{}](t.Context(), []netip.AddrPort{daemon("HTTP/1.1 200 OK")}, "/", "")
			is.True(replies[0].err != nil)
		})
	}
}
