package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// TestSaid has endpoints say that they leave, or want no calls, with answers of all kinds.
// From then on they get none from this entry, though the platform lists them as ready.
func TestSaid(t *testing.T) {
	const once, repeatable, stream = banyanplank.RouteOnce, banyanplank.RouteRepeatable, banyanplank.RouteStream
	tests := map[string]struct {
		kind  banyanplank.RouteKind
		first handler
		event string
	}{
		"leaves, served":                {once, saying("Leaving", "1", sealed("ok")), "endpoint leaves"},
		"leaves, failed":                {once, saying("Leaving", "1", failing(500)), "endpoint leaves"},
		"leaves, declined":              {once, saying("Leaving", "1", declined), "endpoint leaves"},
		"leaves, cut":                   {once, saying("Leaving", "1", cut), "endpoint leaves"},
		"leaves, stream":                {stream, saying("Leaving", "1", events(1, 3, "", false)), "endpoint leaves"},
		"leaves, stream that is cut":    {stream, saying("Leaving", "1", events(1, 3, "", true)), "endpoint leaves"},
		"pauses, declined":              {once, saying("Pause", "1h", declined), "endpoint pauses"},
		"pauses, declined a repeatable": {repeatable, saying("Pause", "1h", declined), "endpoint pauses"},
		"pauses, with a 503 of its own": {once, saying("Pause", "1h", failing(503)), "endpoint pauses"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := banyanplank.RouteSpec{Kind: test.kind, Attempts: 2, Resumable: true}
			w := newWorld(t, route, test.first, saying("Leaving", "1", sealed("ok")))
			// The second endpoint says that it leaves with its first answer, so each gets
			// one call at most.
			for i := range 6 {
				request := w.request(t, http.MethodPost, "")
				request.Header.Set("Id", strconv.Itoa(i))
				w.do(request)
			}
			is.Equal(len(w.reached()), 2)
			a := w.do(w.request(t, http.MethodPost, ""))
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.True(a.header.Get("Retry-After") != "")
			w.server.Close()
			is.True(strings.Contains(w.log.String(), test.event))
			is.True(strings.Contains(w.log.String(), "leaving="))
		})
	}
}
