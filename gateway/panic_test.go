package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// panicking is a dialect that fails unexpectedly on some answers.
type panicking struct{ dialect }

func (p panicking) Address(header http.Header, send banyanplank.SendInfo) {
	if header.Get("Panic") != "" {
		panic("no such field")
	}
	p.dialect.Address(header, send)
}

// TestPanic has the handling of one call fail unexpectedly. That call ends, is logged
// with its id and counted, and its place is free again; others go on.
func TestPanic(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, banyanplank.RouteSpec{Kind: banyanplank.RouteOnce, Attempts: 1}, sealed("ok"))
	w.gateway.dialect = panicking{}
	for range 20 { // more than the endpoint has places
		request := w.request(t, http.MethodPost, "")
		request.Header.Set("Panic", "1")
		is.True(w.do(request).err != nil)
	}
	a := w.do(w.request(t, http.MethodPost, ""))
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	w.server.Close()
	is.True(strings.Contains(w.log.String(), `reason=panic detail="no such field`))
	is.Equal(int(w.gateway.counters.set.GetOrCreateCounter("banyanplank_panics_total").Get()), 20)
}
