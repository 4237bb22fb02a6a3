package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/router"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
)

// TestRetriesFollowRouteKind guards against retries that the kind of the route does
// not allow, and against a 503 with retry advice for a call that may have run.
func TestRetriesFollowRouteKind(t *testing.T) {
	const once, repeatable = banyanplank.RouteAtMostOnce, banyanplank.RouteRepeatable
	tests := map[string]struct {
		kind     banyanplank.RouteKind
		attempts int
		handlers []handler
		status   int
		sends    int
		retry    bool // the refusal carries a Retry-After
	}{
		"once, served":                           {once, 1, []handler{respond("ok")}, 200, 1, false},
		"once, broken is not repeated":           {once, 2, []handler{closeConnection, respond("ok")}, 502, 1, false},
		"once, cut is not repeated":              {once, 2, []handler{closeMidBody, respond("ok")}, 502, 1, false},
		"once, unsealed is not repeated":         {once, 2, []handler{respondUnsealed, respond("ok")}, 502, 1, false},
		"once, failed is forwarded":              {once, 2, []handler{respondStatus(500), respond("ok")}, 500, 1, false},
		"once, declined is refused":              {once, 1, []handler{respondDeclined}, 503, 1, true},
		"once, declined goes elsewhere":          {once, 2, []handler{respondDeclined, respond("ok")}, 200, 2, false},
		"once, declined and then broken":         {once, 2, []handler{respondDeclined, closeConnection}, 502, 2, false},
		"once, misdirected goes elsewhere":       {once, 1, []handler{respondMisdirected, respondMisdirected, respond("ok")}, 200, 3, false},
		"repeatable, misdirected goes elsewhere": {repeatable, 1, []handler{respondMisdirected, respond("ok")}, 200, 2, false},
		"once, misdirected everywhere":           {once, 1, []handler{respondMisdirected, respondMisdirected}, 503, 2, true},
		"repeatable, served":                     {repeatable, 2, []handler{respond("ok")}, 200, 1, false},
		"repeatable, broken goes elsewhere":      {repeatable, 2, []handler{closeConnection, respond("ok")}, 200, 2, false},
		"repeatable, cut goes elsewhere":         {repeatable, 2, []handler{closeMidBody, respond("ok")}, 200, 2, false},
		"repeatable, failed goes elsewhere":      {repeatable, 2, []handler{respondStatus(500), respond("ok")}, 200, 2, false},
		"repeatable, failed twice":               {repeatable, 2, []handler{respondStatus(500), respondStatus(503)}, 503, 2, false},
		"repeatable, broken twice":               {repeatable, 2, []handler{closeConnection, closeConnection, respond("ok")}, 502, 2, false},
		"repeatable, one attempt":                {repeatable, 1, []handler{closeConnection, respond("ok")}, 502, 1, false},
		"repeatable, broken then declined":       {repeatable, 2, []handler{closeConnection, respondDeclined}, 502, 2, false},
		"repeatable, invalid call":               {repeatable, 2, []handler{respondStatus(422), respond("ok")}, 422, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, banyanplank.RouteSpec{Kind: test.kind, MaxAttempts: test.attempts}, test.handlers...)
			a := g.send(g.newRequest(t, http.MethodPost, "body"))
			is.NoErr(a.err)
			is.Equal(a.status, test.status)
			is.Equal(len(g.receivedRequests()), test.sends)
			is.Equal(a.header.Get("Retry-After") != "", test.retry)
			is.Equal(a.header.Get("Seal") != "", a.status == 200 || a.status == 500 || a.status == 422 || name == "repeatable, failed twice")
		})
	}
}

// TestMisdirectedCallsStayWithinRetryBudget guards against a retry storm after a
// power loss, when most addresses belong to new endpoints. These reject the calls
// that arrive, so resending counts against the retry budget.
func TestMisdirectedCallsStayWithinRetryBudget(t *testing.T) {
	is := is.New(t)
	const calls, share, slack = 40, 0.2, 5
	var handlers []handler
	for range 30 {
		handlers = append(handlers, respondMisdirected)
	}
	g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce, MaxAttempts: 1}, append(handlers, respond("ok"))...)
	b := balancer.New(balancer.WithRetryBudget(share, slack, time.Minute))
	b.UpdateFleet(time.Now(), balancer.Fleet{Pools: g.snapshot.Load().Router.Table().Pools, Backends: g.snapshot.Load().Backends, Entries: 1})
	g.gateway.balancer = b
	for range calls {
		a := g.send(g.newRequest(t, http.MethodPost, ""))
		is.NoErr(a.err)
		is.True(a.status == http.StatusOK || a.status == http.StatusServiceUnavailable)
	}
	is.True(len(g.receivedRequests())-calls <= share*calls+slack)
}

// TestRequestIsForwardedUnchanged guards against changes to the request other than
// removed hop-by-hop fields and the account in place of the key.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce, MaxAttempts: 1}, respond("ok"))
	request := g.newRequest(t, http.MethodPut, "the body")
	request.Header.Set("X-Other", "kept")
	request.Header.Set("Connection", "X-Hop")
	request.Header.Set("X-Hop", "dropped")
	request.Header.Set("Patience", "1500")
	a := g.send(request)
	is.NoErr(a.err)
	is.Equal(a.body, "ok")
	got := g.receivedRequests()[0]
	is.Equal(got.Method, http.MethodPut)
	is.Equal(got.RequestURI, "/x/a%2Fb?q=1")
	is.Equal(got.Host, "h.example")
	is.Equal(g.receivedBody(0), "the body")
	is.Equal(got.Header.Get("X-Other"), "kept")
	is.Equal(got.Header.Get("X-Hop"), "")
	is.Equal(got.Header.Get("Key"), "")
	is.Equal(got.Header.Get("Account"), "himal")
	is.True(strings.HasPrefix(got.Header.Get("Left"), "14") || got.Header.Get("Left") == "1500")
}

func TestInvalidRequestsReachNoEndpoint(t *testing.T) {
	tests := map[string]struct {
		change func(g *testGateway, r *http.Request)
		status int
	}{
		"no routes yet": {func(g *testGateway, _ *http.Request) { g.snapshot.Store(&surveyor.Snapshot{}) }, 503},
		"no route":      {func(_ *testGateway, r *http.Request) { r.URL.Path = "/y/" }, 404},
		"other host":    {func(_ *testGateway, r *http.Request) { r.Host = "other.example" }, 404},
		"no key":        {func(_ *testGateway, r *http.Request) { r.Header.Del("Key") }, 401},
		"unknown key":   {func(_ *testGateway, r *http.Request) { r.Header.Set("Key", "revoked") }, 401},
		"long body":     {func(_ *testGateway, r *http.Request) { r.ContentLength = 2000 }, 413},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, banyanplank.RouteSpec{MaxAttempts: 1}, respond("ok"))
			request := g.newRequest(t, http.MethodPost, strings.Repeat("x", 2000))
			if name != "long body" {
				request = g.newRequest(t, http.MethodPost, "")
			}
			test.change(g, request)
			a := g.send(request)
			if a.err == nil { // the entry may close the connection before a long body is sent
				is.Equal(a.status, test.status)
			}
			is.Equal(len(g.receivedRequests()), 0)
		})
	}
}

// TestUnreadableBodyIsRefusedAsNotRun guards against 502, which leaves open whether a request
// ran, for one whose body the entry could not read and that was sent nowhere.
func TestUnreadableBodyIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, banyanplank.RouteSpec{MaxAttempts: 1}, respond("ok"))
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /x/a HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.Equal(len(g.receivedRequests()), 0)
}

// TestLatencyGoalWithoutTimeout guards against calls that never wait for a busy endpoint,
// because a route without a time limit gave them a latency goal of zero.
func TestLatencyGoalWithoutTimeout(t *testing.T) {
	is := is.New(t)
	for name, test := range map[string]struct {
		route banyanplank.RouteSpec
		want  time.Duration
	}{
		"first event": {banyanplank.RouteSpec{FirstEventTarget: time.Second, Timeout: 20 * time.Second}, time.Second},
		"time limit":  {banyanplank.RouteSpec{Timeout: 20 * time.Second}, 5 * time.Second},
		"neither":     {banyanplank.RouteSpec{}, defaultTimeout / 4},
	} {
		t.Run(name, func(*testing.T) {
			f := &forwarder{route: &test.route}
			is.Equal(f.latencyGoal(), test.want)
		})
	}
}

// TestStreamEventsArriveOnceInOrder guards against lost, repeated or reordered events
// when a stream resumes at another endpoint, and against a cut stream that looks
// complete.
func TestStreamEventsArriveOnceInOrder(t *testing.T) {
	tests := map[string]struct {
		resumable bool
		handlers  []handler
		body      string
		cut       bool
		status    int
		seen      []string // the last event ids sent to the endpoints
	}{
		"whole":                    {true, []handler{streamEvents(1, 5, "", false)}, eventText(1, 5), false, 200, []string{""}},
		"cut between events":       {true, []handler{streamEvents(1, 3, "", true), streamEvents(4, 6, "", false)}, eventText(1, 6), false, 200, []string{"", "3"}},
		"cut within an event":      {true, []handler{streamEvents(1, 3, "id: 4\nda", true), streamEvents(4, 6, "", false)}, eventText(1, 6), false, 200, []string{"", "3"}},
		"ends within an event":     {true, []handler{streamEvents(1, 3, "id: 4\nda", false), streamEvents(4, 6, "", false)}, eventText(1, 6), false, 200, []string{"", "3"}},
		"the next one overlaps":    {true, []handler{streamEvents(1, 3, "", true), streamEvents(2, 6, "", false)}, eventText(1, 6), false, 200, []string{"", "3"}},
		"broken before the first":  {true, []handler{closeConnection, streamEvents(1, 3, "", false)}, eventText(1, 3), false, 200, []string{"", ""}},
		"declined":                 {true, []handler{respondDeclined, streamEvents(1, 3, "", false)}, eventText(1, 3), false, 200, []string{"", ""}},
		"cut twice":                {true, []handler{streamEvents(1, 2, "", true), streamEvents(3, 4, "", true), streamEvents(5, 6, "", false)}, eventText(1, 4), true, 200, []string{"", "2"}},
		"cut, not resumable":       {false, []handler{streamEvents(1, 3, "", true), streamEvents(4, 6, "", false)}, eventText(1, 3), true, 200, []string{""}},
		"cut, then declined":       {true, []handler{streamEvents(1, 3, "", true), respondDeclined}, eventText(1, 3), true, 200, []string{"", "3"}},
		"cut, then a failure":      {true, []handler{streamEvents(1, 3, "", true), respondStatus(500)}, eventText(1, 3), true, 200, []string{"", "3"}},
		"a failure":                {true, []handler{respondStatus(500)}, "", false, 500, []string{""}},
		"CRLF":                     {true, []handler{withLineEnds("\r\n", streamEvents(1, 5, "", false))}, withCRLF(eventText(1, 5)), false, 200, []string{""}},
		"CRLF, cut in an event":    {true, []handler{withLineEnds("\r\n", streamEvents(1, 3, "id: 4\nda", false)), streamEvents(4, 6, "", false)}, withCRLF(eventText(1, 3)) + eventText(4, 6), false, 200, []string{"", "3"}},
		"CRLF, the next overlaps":  {true, []handler{withLineEnds("\r\n", streamEvents(1, 3, "", true)), withLineEnds("\r\n", streamEvents(2, 6, "", false))}, withCRLF(eventText(1, 6)), false, 200, []string{"", "3"}},
		"unframed":                 {true, []handler{unframed(streamEvents(1, 3, "", false))}, eventText(1, 3), false, 200, []string{""}},
		"unframed, cut in event":   {true, []handler{unframed(streamEvents(1, 3, "id: 4\nda", false)), streamEvents(4, 6, "", false)}, eventText(1, 6), false, 200, []string{"", "3"}},
		"unframed, no event":       {true, []handler{unframed(streamEvents(1, 0, "", false)), streamEvents(1, 3, "", false)}, eventText(1, 3), false, 200, []string{"", ""}},
		"unframed, nothing left":   {true, []handler{streamEvents(1, 3, "", true), unframed(streamEvents(4, 3, "", false))}, eventText(1, 3), true, 200, []string{"", "3"}},
		"nothing left":             {true, []handler{streamEvents(1, 3, "", true), streamEvents(4, 3, "", false)}, eventText(1, 3), false, 200, []string{"", "3"}},
		"unsealed, goes elsewhere": {true, []handler{respondUnsealed, streamEvents(1, 3, "", false)}, eventText(1, 3), false, 200, []string{"", ""}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: test.resumable, MaxAttempts: 2}, test.handlers...)
			a := g.send(g.newRequest(t, http.MethodPost, "prompt"))
			is.Equal(a.err != nil, test.cut)
			is.Equal(a.status, test.status)
			is.Equal(a.body, test.body)
			var seen []string
			for _, r := range g.receivedRequests() {
				seen = append(seen, r.Header.Get("Seen"))
			}
			is.Equal(seen, test.seen)
		})
	}
}

// TestErrorDoesNotContinueStream guards against the text of an error in the middle of a stream,
// and against a stream that ends as if it were complete: the first endpoint broke off, and the
// next one doesn't answer with the rest.
func TestErrorDoesNotContinueStream(t *testing.T) {
	page := func(status int, contentType, body string) handler {
		return func(w http.ResponseWriter, r *http.Request) {
			setSeal(w, r)
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	tests := map[string]handler{
		"failure with a text":            page(500, "text/plain", "overloaded\n\n"),
		"failure that looks like events": page(500, "text/event-stream", "id: 4\ndata: x\n\n"),
		"not found":                      page(404, "text/plain", "no\n\n"),
		"error page with status 200":     page(200, "text/html", "<h1>overloaded</h1>\n\n"),
		"JSON with status 200":           unframed(page(200, "application/json", "{\"error\":\"overloaded\"}\n\n")),
		"empty page with status 200":     page(200, "text/html", ""),
		"redirect":                       page(302, "text/plain", "elsewhere\n\n"),
		"no content":                     page(204, "text/event-stream", ""),
		"declined":                       respondDeclined,
		"connection closed":              closeConnection,
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, MaxAttempts: 2}, streamEvents(1, 3, "", true), next)
			a := g.send(g.newRequest(t, http.MethodPost, "prompt"))
			is.True(a.err != nil)
			is.Equal(a.status, 200)
			is.Equal(a.body, eventText(1, 3))
		})
	}
}

// TestCallEndsAtTimeLimit guards against calls that end before the time limit of
// their route or caller, or long after it.
func TestCallEndsAtTimeLimit(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, timeout := range map[string]string{"the route's": "9000", "the caller's": "300"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteAtMostOnce, MaxAttempts: 1, Timeout: 400 * time.Millisecond}, hang)
			request := g.newRequest(t, http.MethodPost, "")
			request.Header.Set("Patience", timeout)
			began := time.Now()
			a := g.send(request)
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusGatewayTimeout)
			is.True(time.Since(began) >= 290*time.Millisecond)
			is.True(time.Since(began) < 900*time.Millisecond) // at most half a second after the limit
		})
	}
}

// TestEndpointIsCanceledWhenCallerLeaves guards against endpoints that keep working
// on a call, and retries of it, after its caller has left.
func TestEndpointIsCanceledWhenCallerLeaves(t *testing.T) {
	is := is.New(t)
	canceled := make(chan struct{})
	g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, MaxAttempts: 2}, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	a := g.send(g.newRequest(t, http.MethodPost, "").WithContext(ctx))
	is.True(a.err != nil)
	select {
	case <-canceled:
	case <-time.After(500 * time.Millisecond):
		t.Error("request at the endpoint is not canceled within half a second after its caller left")
	}
	is.Equal(len(g.receivedRequests()), 1)
}

// TestDrainingEntryServesAndClosesConnections guards against a draining entry that
// rejects calls or keeps its callers' connections.
func TestDrainingEntryServesAndClosesConnections(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, banyanplank.RouteSpec{MaxAttempts: 1}, respond("ok"))
	g.gateway.draining.Store(true)
	response, err := g.server.Client().Do(g.newRequest(t, http.MethodPost, ""))
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, 200)
	is.True(response.Close)
}

// TestLogLineExplainsFailedCall guards against a log line that lacks the id of a
// call, what decided it or how it ended, or that contains the key.
func TestLogLineExplainsFailedCall(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, banyanplank.RouteSpec{Name: "r1", Kind: banyanplank.RouteAtMostOnce, MaxAttempts: 1}, closeConnection)
	g.send(g.newRequest(t, http.MethodPost, ""))
	g.server.Close()
	line := g.logs.String()
	for _, want := range []string{"event=call", "id=c1", "outcome=failed", "status=502", "route=r1", "kind=once", "account=himal", "routing=4", "sends=1", "reason=endpoint"} {
		if !strings.Contains(line, want) {
			t.Errorf("no %q in %s", want, line)
		}
	}
	is.True(!strings.Contains(line, "Key"))
}

func TestParseReportsMistakes(t *testing.T) {
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
		want     string // substring of the error, or empty
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

// TestAccountPriorityReplacesThatOfRoute checks which priority a call is queued with: 0 goes
// first for accounts and routes alike.
func TestAccountPriorityReplacesThatOfRoute(t *testing.T) {
	for name, test := range map[string]struct {
		account   int
		anonymous bool
		priority  int
	}{
		"account has none":  {-1, false, 5},
		"account is first":  {0, false, 0},
		"account is last":   {9, false, 9},
		"route without key": {0, true, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &banyanplank.RoutingTable{Accounts: []banyanplank.AccountSpec{{Name: "himal", KeyDigest: "k", Priority: test.account}}}
			f := &forwarder{
				snapshot: &surveyor.Snapshot{Router: router.New(table)},
				route:    &banyanplank.RouteSpec{Priority: 5, Anonymous: test.anonymous},
				info:     banyanplank.CallInfo{Key: "k"},
			}
			is.NoErr(f.authenticate())
			is.Equal(f.priority, test.priority)
		})
	}
}
