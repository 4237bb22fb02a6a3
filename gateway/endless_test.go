package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// forever answers a call with begin and then more, each pause, until the caller closes.
func forever(status int, header map[string]string, begin, more string, pause time.Duration) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, err := fmt.Fprint(w, begin)
		for err == nil && banyanplank.Pause(r.Context(), pause) == nil {
			_, err = fmt.Fprint(w, more)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// TestEndlessAnswer has an endpoint send bytes without end. The endpoint is left, the
// caller gets a true answer soon, and the entry holds little meanwhile.
func TestEndlessAnswer(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 1<<12)
	notRun := map[string]string{"Not-Run": "1"}
	tests := map[string]struct {
		kind     banyanplank.RouteKind
		attempts int
		first    handler
		status   int
		cut      bool
		soon     time.Duration
	}{
		"event":             {banyanplank.RouteStream, 1, forever(200, nil, text(1, 2), long, 0), 200, true, time.Second},
		"event, before any": {banyanplank.RouteStream, 1, forever(200, nil, "id: ", long, 0), http.StatusBadGateway, false, time.Second},
		"body":              {banyanplank.RouteOnce, 1, forever(200, nil, "", long, 0), http.StatusBadGateway, false, time.Second},
		"body, another try": {banyanplank.RouteRepeatable, 2, forever(200, nil, "", long, 0), 200, false, time.Second},
		"refusal":           {banyanplank.RouteOnce, 2, forever(503, notRun, "", long, 0), 200, false, time.Second},
		"refusal, slow":     {banyanplank.RouteOnce, 2, forever(503, notRun, "", "x", 10*time.Millisecond), 200, false, time.Second},
		"body, slow":        {banyanplank.RouteOnce, 1, forever(200, nil, "", "x", 10*time.Millisecond), http.StatusGatewayTimeout, false, 2600 * time.Millisecond},
		"misdirected, slow": {banyanplank.RouteOnce, 1, forever(421, notRun, "", "x", 10*time.Millisecond), 200, false, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, banyanplank.RouteSpec{Kind: test.kind, Resumable: true, Attempts: test.attempts}, test.first, sealed("ok"))
			began := time.Now()
			a := w.do(w.request(t, http.MethodPost, ""))
			is.True(time.Since(began) < test.soon)
			is.Equal(a.err != nil, test.cut)
			is.Equal(a.status, test.status)
			w.server.Close()                                 // once all calls have ended
			is.Equal(w.gateway.holder.used.Load(), int64(0)) // all is given back
		})
	}
}

// TestHeldTogether has many endpoints send long answers at once. What all calls hold
// together stays within the bound, and calls that find no memory get a true answer.
func TestHeldTogether(t *testing.T) {
	is := is.New(t)
	const bound = 1 << 20
	w := newWorld(t, banyanplank.RouteSpec{Kind: banyanplank.RouteOnce, Attempts: 1}, sealed(strings.Repeat("x", 400<<10)))
	w.gateway.holder.most = bound
	var work conc.WaitGroup
	answers := make(chan answer, 16)
	for range cap(answers) {
		work.Go(func() { answers <- w.do(w.request(t, http.MethodPost, "")) })
	}
	work.Wait()
	close(answers)
	for a := range answers {
		is.NoErr(a.err)
		if a.status == http.StatusOK {
			is.Equal(len(a.body), 400<<10)
		} else if a.status != http.StatusBadGateway && a.status != http.StatusServiceUnavailable {
			t.Errorf("status %d", a.status)
		}
	}
	w.server.Close() // once all calls have ended
	is.Equal(w.gateway.holder.used.Load(), int64(0))
}

// TestHalfEvents has an endpoint send half an event now and then, while other streams
// go on. The stream goes on at another endpoint.
func TestHalfEvents(t *testing.T) {
	is := is.New(t)
	dribble := forever(200, nil, text(1, 2)+"id: 3\ndata: ", "x", 100*time.Millisecond)
	steady := func(rw http.ResponseWriter, r *http.Request) {
		seal(rw, r)
		for id := 1; id < 40; id++ {
			_, _ = fmt.Fprint(rw, text(id, id))
			_ = http.NewResponseController(rw).Flush()
			if banyanplank.Pause(r.Context(), 50*time.Millisecond) != nil {
				return
			}
		}
	}
	w := newWorld(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, Attempts: 2, Timeout: 8 * time.Second},
		steady, dribble, events(3, 5, "", false))
	var work conc.WaitGroup
	work.Go(func() { w.do(w.request(t, http.MethodPost, "")) })
	defer work.Wait()
	for len(w.reached()) == 0 {
		is.NoErr(banyanplank.Pause(t.Context(), 10*time.Millisecond))
	}
	began := time.Now()
	a := w.do(w.request(t, http.MethodPost, ""))
	is.NoErr(a.err)
	is.Equal(a.body, text(1, 5))
	is.True(time.Since(began) < 1500*time.Millisecond)
}
