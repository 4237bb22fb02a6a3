package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
)

// TestPlain has calls end as the kind of their route and what the endpoints do
// allow. A call that may have run is never refused as if it had not.
func TestPlain(t *testing.T) {
	const once, repeatable = banyanplank.RouteOnce, banyanplank.RouteRepeatable
	tests := map[string]struct {
		kind     banyanplank.RouteKind
		attempts int
		handlers []handler
		status   int
		sends    int
		retry    bool // the refusal says when to return
	}{
		"once, served":                      {once, 1, []handler{sealed("ok")}, 200, 1, false},
		"once, broken is not repeated":      {once, 2, []handler{broken, sealed("ok")}, 502, 1, false},
		"once, cut is not repeated":         {once, 2, []handler{cut, sealed("ok")}, 502, 1, false},
		"once, unsealed is not repeated":    {once, 2, []handler{unsealed, sealed("ok")}, 502, 1, false},
		"once, failed is passed on":         {once, 2, []handler{failing(500), sealed("ok")}, 500, 1, false},
		"once, declined is a true refusal":  {once, 1, []handler{declined}, 503, 1, true},
		"once, declined goes elsewhere":     {once, 2, []handler{declined, sealed("ok")}, 200, 2, false},
		"once, declined and then broken":    {once, 2, []handler{declined, broken}, 502, 2, false},
		"once, at another's address":        {once, 1, []handler{misdirected, misdirected, sealed("ok")}, 200, 3, false},
		"repeatable, at another's address":  {repeatable, 1, []handler{misdirected, sealed("ok")}, 200, 2, false},
		"at others' addresses only":         {once, 1, []handler{misdirected, misdirected}, 503, 2, true},
		"repeatable, served":                {repeatable, 2, []handler{sealed("ok")}, 200, 1, false},
		"repeatable, broken goes elsewhere": {repeatable, 2, []handler{broken, sealed("ok")}, 200, 2, false},
		"repeatable, cut goes elsewhere":    {repeatable, 2, []handler{cut, sealed("ok")}, 200, 2, false},
		"repeatable, failed goes elsewhere": {repeatable, 2, []handler{failing(500), sealed("ok")}, 200, 2, false},
		"repeatable, failed twice":          {repeatable, 2, []handler{failing(500), failing(503)}, 503, 2, false},
		"repeatable, broken twice":          {repeatable, 2, []handler{broken, broken, sealed("ok")}, 502, 2, false},
		"repeatable, one attempt":           {repeatable, 1, []handler{broken, sealed("ok")}, 502, 1, false},
		"repeatable, broken then declined":  {repeatable, 2, []handler{broken, declined}, 502, 2, false},
		"repeatable, a failure of the call": {repeatable, 2, []handler{failing(422), sealed("ok")}, 422, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, banyanplank.RouteSpec{Kind: test.kind, Attempts: test.attempts}, test.handlers...)
			a := w.do(w.request(t, http.MethodPost, "body"))
			is.NoErr(a.err)
			is.Equal(a.status, test.status)
			is.Equal(len(w.reached()), test.sends)
			is.Equal(a.header.Get("Retry-After") != "", test.retry)
			is.Equal(a.header.Get("Seal") != "", a.status == 200 || a.status == 500 || a.status == 422 || name == "repeatable, failed twice")
		})
	}
}

// TestMisdirectedCallsKeepTheBudget is the pattern after a loss of power: most addresses
// have new endpoints. Calls that these turn away arrived there, so sending them elsewhere
// counts as a repeat.
func TestMisdirectedCallsKeepTheBudget(t *testing.T) {
	is := is.New(t)
	const calls, share, slack = 40, 0.2, 5
	var handlers []handler
	for range 30 {
		handlers = append(handlers, misdirected)
	}
	w := newWorld(t, banyanplank.RouteSpec{Kind: banyanplank.RouteOnce, Attempts: 1}, append(handlers, sealed("ok"))...)
	b := balancer.New(balancer.WithRepeats(share, slack, time.Minute))
	b.Renew(time.Now(), balancer.Fleet{Pools: w.view.Load().Router.Table().Pools, Backends: w.view.Load().Backends, Entries: 1})
	w.gateway.balancer = b
	for range calls {
		a := w.do(w.request(t, http.MethodPost, ""))
		is.NoErr(a.err)
		is.True(a.status == http.StatusOK || a.status == http.StatusServiceUnavailable)
	}
	is.True(len(w.reached())-calls <= share*calls+slack)
}

// TestUnchanged has an endpoint get the call as it was, but for the key.
func TestUnchanged(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, banyanplank.RouteSpec{Kind: banyanplank.RouteOnce, Attempts: 1}, sealed("ok"))
	request := w.request(t, http.MethodPut, "the body")
	request.Header.Set("X-Other", "kept")
	request.Header.Set("Connection", "X-Hop")
	request.Header.Set("X-Hop", "dropped")
	request.Header.Set("Patience", "1500")
	a := w.do(request)
	is.NoErr(a.err)
	is.Equal(a.body, "ok")
	got := w.reached()[0]
	is.Equal(got.Method, http.MethodPut)
	is.Equal(got.RequestURI, "/x/a%2Fb?q=1")
	is.Equal(got.Host, "h.example")
	is.Equal(w.body(0), "the body")
	is.Equal(got.Header.Get("X-Other"), "kept")
	is.Equal(got.Header.Get("X-Hop"), "")
	is.Equal(got.Header.Get("Key"), "")
	is.Equal(got.Header.Get("Account"), "himal")
	is.True(strings.HasPrefix(got.Header.Get("Left"), "14") || got.Header.Get("Left") == "1500")
}

func TestRejected(t *testing.T) {
	tests := map[string]struct {
		change func(w *world, r *http.Request)
		status int
	}{
		"no routes yet": {func(w *world, _ *http.Request) { w.view.Store(&surveyor.Snapshot{}) }, 503},
		"no route":      {func(_ *world, r *http.Request) { r.URL.Path = "/y/" }, 404},
		"other host":    {func(_ *world, r *http.Request) { r.Host = "other.example" }, 404},
		"no key":        {func(_ *world, r *http.Request) { r.Header.Del("Key") }, 401},
		"unknown key":   {func(_ *world, r *http.Request) { r.Header.Set("Key", "revoked") }, 401},
		"long body":     {func(_ *world, r *http.Request) { r.ContentLength = 2000 }, 413},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, banyanplank.RouteSpec{Attempts: 1}, sealed("ok"))
			request := w.request(t, http.MethodPost, strings.Repeat("x", 2000))
			if name != "long body" {
				request = w.request(t, http.MethodPost, "")
			}
			test.change(w, request)
			a := w.do(request)
			if a.err == nil { // the entry may close before a long body is sent
				is.Equal(a.status, test.status)
			}
			is.Equal(len(w.reached()), 0)
		})
	}
}

// TestStream has a caller get each event once and in order, or a stream that is
// visibly cut.
func TestStream(t *testing.T) {
	tests := map[string]struct {
		resumable bool
		handlers  []handler
		body      string
		cut       bool
		status    int
		seen      []string // what the endpoints were told that the caller has
	}{
		"whole":                    {true, []handler{events(1, 5, "", false)}, text(1, 5), false, 200, []string{""}},
		"cut between events":       {true, []handler{events(1, 3, "", true), events(4, 6, "", false)}, text(1, 6), false, 200, []string{"", "3"}},
		"cut within an event":      {true, []handler{events(1, 3, "id: 4\nda", true), events(4, 6, "", false)}, text(1, 6), false, 200, []string{"", "3"}},
		"ends within an event":     {true, []handler{events(1, 3, "id: 4\nda", false), events(4, 6, "", false)}, text(1, 6), false, 200, []string{"", "3"}},
		"the next one overlaps":    {true, []handler{events(1, 3, "", true), events(2, 6, "", false)}, text(1, 6), false, 200, []string{"", "3"}},
		"broken before the first":  {true, []handler{broken, events(1, 3, "", false)}, text(1, 3), false, 200, []string{"", ""}},
		"declined":                 {true, []handler{declined, events(1, 3, "", false)}, text(1, 3), false, 200, []string{"", ""}},
		"cut twice":                {true, []handler{events(1, 2, "", true), events(3, 4, "", true), events(5, 6, "", false)}, text(1, 4), true, 200, []string{"", "2"}},
		"cut, not resumable":       {false, []handler{events(1, 3, "", true), events(4, 6, "", false)}, text(1, 3), true, 200, []string{""}},
		"cut, then declined":       {true, []handler{events(1, 3, "", true), declined}, text(1, 3), true, 200, []string{"", "3"}},
		"cut, then a failure":      {true, []handler{events(1, 3, "", true), failing(500)}, text(1, 3), true, 200, []string{"", "3"}},
		"a failure":                {true, []handler{failing(500)}, "", false, 500, []string{""}},
		"unsealed, goes elsewhere": {true, []handler{unsealed, events(1, 3, "", false)}, text(1, 3), false, 200, []string{"", ""}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: test.resumable, Attempts: 2}, test.handlers...)
			a := w.do(w.request(t, http.MethodPost, "prompt"))
			is.Equal(a.err != nil, test.cut)
			is.Equal(a.status, test.status)
			is.Equal(a.body, test.body)
			var seen []string
			for _, r := range w.reached() {
				seen = append(seen, r.Header.Get("Seen"))
			}
			is.Equal(seen, test.seen)
		})
	}
}

// TestTimeout has a call get its final answer at the time limit of its route or
// its caller, and not before an endpoint had its time.
func TestTimeout(t *testing.T) {
	slow := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, patience := range map[string]string{"the route's": "9000", "the caller's": "300"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, banyanplank.RouteSpec{Kind: banyanplank.RouteOnce, Attempts: 1, Timeout: 400 * time.Millisecond}, slow)
			request := w.request(t, http.MethodPost, "")
			request.Header.Set("Patience", patience)
			began := time.Now()
			a := w.do(request)
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusGatewayTimeout)
			is.True(time.Since(began) >= 290*time.Millisecond)
			is.True(time.Since(began) < 900*time.Millisecond) // half a second after the limit at the latest
		})
	}
}

// TestLeavingCaller has an endpoint be told when its caller has left.
func TestLeavingCaller(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	w := newWorld(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, Attempts: 2}, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer leave()
	a := w.do(w.request(t, http.MethodPost, "").WithContext(ctx))
	is.True(a.err != nil)
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Error("the endpoint still works half a second after its caller has left")
	}
	is.Equal(len(w.reached()), 1)
}

// TestDraining has a stopping entry serve on and ask callers to go elsewhere.
func TestDraining(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, banyanplank.RouteSpec{Attempts: 1}, sealed("ok"))
	w.gateway.draining.Store(true)
	response, err := w.server.Client().Do(w.request(t, http.MethodPost, ""))
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, 200)
	is.True(response.Close)
}

// TestLine has the log tell a call's id, what decided it and how it ended.
func TestLine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, banyanplank.RouteSpec{Name: "r1", Kind: banyanplank.RouteOnce, Attempts: 1}, broken)
	w.do(w.request(t, http.MethodPost, ""))
	w.server.Close()
	line := w.log.String()
	for _, want := range []string{"event=call", "id=c1", "outcome=failed", "status=502", "route=r1", "kind=once", "account=himal", "routing=4", "sends=1", "reason=endpoint"} {
		if !strings.Contains(line, want) {
			t.Errorf("no %q in %s", want, line)
		}
	}
	is.True(!strings.Contains(line, "Key"))
}

func TestSettings(t *testing.T) {
	const good = `
name = "e1"
zone = "a"
region = "r"
platform = "10.0.0.9:1"
[listen]
caller = "10.0.0.1:1"
directory = "10.0.0.1:2"
ready = "10.0.0.1:3"
peer = "10.0.0.1:4"
agent = 5
metrics = "10.0.0.1:6"
[limits]
memory = 284000000
share = 0.2
slack = 90
span = "10s"
grace = "8s"
keep = "5s"
`
	tests := map[string]struct {
		old, new string
		want     string // in the error, or none
	}{
		"good":            {"", "", ""},
		"no name":         {`"e1"`, `""`, "name: is empty"},
		"unknown setting": {"share", "sahre", "sahre: no such setting"},
		"no address":      {`"10.0.0.1:1"`, `"here"`, "file:"},
		"little memory":   {"284000000", "1", "limits.memory: want at least"},
		"no grace":        {`grace = "8s"`, "", "limits.grace: want a time"},
		"a bad time":      {`"10s"`, `"ten"`, "file:"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings, err := Parse("entry.toml", []byte(strings.Replace(good, test.old, test.new, 1)))
			if test.want == "" {
				is.NoErr(err)
				is.Equal(settings.Limits.Slack, 90)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}
