package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// The body that ends each endpoint which runs it, and the ends after which the users
// allow so many sends more.
const (
	crashing    = "crash"
	crashesKnow = 3
	sendsMore   = 3
)

// mortal is an endpoint that ends for good when it reads the crashing body.
func mortal(ended *atomic.Int32) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		if text := r.Context().Value(bodyKey{}); text != crashing {
			events(1, 2, "", false)(w, r)
			return
		}
		ended.Add(1)
		_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
		panic(http.ErrAbortHandler)
	}
}

// TestCrashingRequestIsNotSentOn guards against incident 24: a request that ends every
// endpoint that runs it came again under new ids, and was sent to all of them.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	tests := map[string]banyanplank.RouteSpec{
		"once":       {Kind: banyanplank.RouteOnce, Attempts: 1},
		"repeatable": {Kind: banyanplank.RouteRepeatable, Attempts: 3},
		"stream":     {Kind: banyanplank.RouteStream, Attempts: 2, Resumable: true},
	}
	for name, route := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ended atomic.Int32
			var handlers []handler
			for range 12 {
				handlers = append(handlers, mortal(&ended))
			}
			w := newWorld(t, route, handlers...)
			for i := range 20 {
				request := w.request(t, http.MethodPost, crashing)
				request.Header.Set("Id", fmt.Sprintf("crash-%d", i))
				is.True(w.do(request).status != http.StatusOK)
				w.settle(t.Context())
				sound := w.request(t, http.MethodPost, "sound")
				sound.Header.Set("Id", fmt.Sprintf("sound-%d", i))
				w.do(sound)
			}
			t.Logf("%d of %d endpoints ended", ended.Load(), len(handlers))
			is.True(int(ended.Load()) <= crashesKnow+sendsMore)
		})
	}
}
