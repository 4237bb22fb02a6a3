package gateway

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// TestStoppingEntryRefusesLateCalls guards against calls that an entry begins although it may
// have to cut them off. It refuses them at once, as not run.
func TestStoppingEntryRefusesLateCalls(t *testing.T) {
	const grace, routeTimeout = 8 * time.Second, 2 * time.Second
	tests := map[string]struct {
		route   banyanplank.RouteSpec
		elapsed time.Duration // since the stop began
		usual   time.Duration // the duration of such calls
		status  int
	}{
		"once, early":                     {banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce}, 0, 0, 200},
		"once, ends in time":              {banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce}, 5 * time.Second, 0, 200},
		"once, may not end":               {banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce}, 5500 * time.Millisecond, 0, 503},
		"once, long limit":                {banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce, Timeout: 8 * time.Second}, time.Second, 0, 503},
		"stream not resumable":            {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Timeout: 8 * time.Second}, time.Second, 0, 503},
		"stream, usually short":           {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, Timeout: 8 * time.Second}, 2 * time.Second, 3 * time.Second, 200},
		"stream, usually long":            {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, Timeout: 8 * time.Second}, 2 * time.Second, 6 * time.Second, 503},
		"stream, short but too late":      {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, Timeout: 8 * time.Second}, 3 * time.Second, time.Second, 503},
		"stream, too late but sure":       {banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true}, 5 * time.Second, time.Second, 200},
		"repeatable, short, but too late": {banyanplank.RouteSpec{Kind: banyanplank.RouteRepeatable}, 6 * time.Second, 0, 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test.route.Name, test.route.MaxAttempts = "r", 2
			if test.route.Timeout == 0 {
				test.route.Timeout = routeTimeout
			}
			answer := respond("ok")
			if test.route.Kind == banyanplank.RouteStream {
				answer = streamEvents(1, 3, "", false)
			}
			g := newTestGateway(t, test.route, answer)
			g.gateway.durations.record("r", test.usual)
			g.gateway.beginStop(newStopTimes(time.Now().Add(-test.elapsed), grace))
			response, err := g.server.Client().Do(g.newRequest(t, http.MethodPost, ""))
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, test.status)
			is.True(response.Close)
			is.Equal(len(g.receivedRequests()) == 0, test.status == 503)
			is.Equal(response.Header.Get("Retry-After") != "", test.status == 503)
		})
	}
}

// TestDeclinedCallIsNotSentAgainLate has the entry begin to stop while an endpoint declines a call.
// Guards against a call that must not be repeated and begins elsewhere too late.
func TestDeclinedCallIsNotSentAgainLate(t *testing.T) {
	tests := map[string]struct {
		kind   banyanplank.RouteKind
		status int
	}{
		"once":       {banyanplank.RouteAtMostOnce, 503},
		"repeatable": {banyanplank.RouteRepeatable, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g *testGateway
			decline := func(w http.ResponseWriter, r *http.Request) {
				g.gateway.beginStop(newStopTimes(time.Now(), 8*time.Second))
				respondDeclined(w, r)
			}
			g = newTestGateway(t, banyanplank.RouteSpec{Kind: test.kind, MaxAttempts: 2, Timeout: 20 * time.Second}, decline, respond("ok"))
			a := g.send(g.newRequest(t, http.MethodPost, ""))
			is.NoErr(a.err)
			is.Equal(a.status, test.status)
		})
	}
}

// TestCallsAreAnsweredWhenEntryStops guards against calls that end without an answer at the end
// of the grace period. They are answered as failed, and canceled at their endpoints.
func TestCallsAreAnsweredWhenEntryStops(t *testing.T) {
	is := is.New(t)
	canceled := make(chan struct{}, 4)
	hang := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled <- struct{}{}
	}
	g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce, MaxAttempts: 1, Timeout: 20 * time.Second, FirstEventTarget: 10 * time.Second}, hang)
	answers := pool.NewWithResults[callerResponse]()
	for range 4 {
		answers.Go(func() callerResponse { return g.send(g.newRequest(t, http.MethodPost, "")) })
	}
	for len(g.receivedRequests()) < 4 {
		is.NoErr(banyanplank.Sleep(t.Context(), time.Millisecond))
	}
	is.Equal(g.gateway.calls.stopAll(), 4)
	for _, a := range answers.Wait() {
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusBadGateway)
		<-canceled
	}
}

// TestStoppedStreamIsCut guards against a stream that looks complete because its entry stops.
func TestStoppedStreamIsCut(t *testing.T) {
	is := is.New(t)
	halt := func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 2, "", false)(w, r)
		<-r.Context().Done()
	}
	g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second}, halt)
	response, err := g.server.Client().Do(g.newRequest(t, http.MethodPost, ""))
	is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len(eventText(1, 2))))
	is.NoErr(err)
	is.Equal(g.gateway.calls.stopAll(), 1)
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	is.Equal(len(g.receivedRequests()), 1)
}

// TestCallDurationsForgetOldCalls guards against an entry that refuses calls at its stop
// because one took long hours ago.
func TestCallDurationsForgetOldCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCallDurations()
		d.record("r", 7*time.Second)
		d.record("r", time.Second)
		is.Equal(d.longest("r"), 7*time.Second)
		is.Equal(d.longest("other"), time.Duration(0))
		for range 3 {
			time.Sleep(durationPeriod + time.Second)
			d.record("r", 2*time.Second)
		}
		is.Equal(d.longest("r"), 2*time.Second)
	})
}
