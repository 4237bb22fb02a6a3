package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/router"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/transport/logger"
	"github.com/banyanplank/banyanplank/transport/requester"
	"github.com/banyanplank/banyanplank/transport/server"
)

// testCodec is a header codec with short header names.
type testCodec struct{}

func (testCodec) ReadCall(header http.Header) (call banyanplank.CallInfo) {
	ms, err := strconv.Atoi(header.Get("Patience"))
	if err == nil {
		call.Timeout = time.Duration(ms) * time.Millisecond
	}
	call.Attempt, call.Key, call.LastEventID = header.Get("Id"), header.Get("Key"), header.Get("Seen")
	for _, part := range strings.Fields(header.Get("Parts")) {
		call.SharedParts = append(call.SharedParts, banyanplank.NewPartID(part))
	}
	return call
}

func (testCodec) WriteCall(header http.Header, send banyanplank.SendInfo) {
	header.Del("Key")
	header.Set("Account", string(send.Account))
	header.Set("Seen", send.LastEventID)
	header.Set("Left", strconv.FormatInt(send.Timeout.Milliseconds(), 10))
}

func (testCodec) ReadReply(response *http.Response) (reply banyanplank.ReplyInfo) {
	return banyanplank.ReplyInfo{
		Attempt: response.Header.Get("Id"),
		Sealed:  response.Header.Get("Seal") != "",
		NotRun:  response.Header.Get("Not-Run") != "",

		Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
		Leaving:     response.Header.Get("Leaving") != "",
		Pause:       parsePause(response.Header.Get("Pause")),
	}
}

// parsePause parses a duration, and returns 0 if text is not one.
func parsePause(text string) (d time.Duration) {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

func (testCodec) WriteRetryAfter(header http.Header, after time.Duration) {
	if after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// testGateway is a gateway in front of scripted endpoints.
type testGateway struct {
	gateway  *Gateway
	snapshot atomic.Pointer[surveyor.Snapshot]
	server   *httptest.Server
	logs     *logBuffer
	mutex    sync.Mutex
	// requests lists the requests that reached endpoints, in order of arrival, and
	// bodies their bodies.
	requests []*http.Request
	bodies   []string
}

// logBuffer is a log writer for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (n int, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() (text string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// bodyKey is the context key of the request body in an endpoint's handler.
type bodyKey struct{}

// handler is the behavior of an endpoint.
type handler func(w http.ResponseWriter, r *http.Request)

// newTestGateway returns a gateway with one endpoint for each handler.
func newTestGateway(t testing.TB, route banyanplank.RouteSpec, handlers ...handler) (g *testGateway) {
	t.Helper()
	g = &testGateway{logs: &logBuffer{}}
	route.Host, route.Prefix, route.Splits = "h.example", "/x/", []banyanplank.Split{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 2 * time.Second
	}
	if route.FirstEventTarget == 0 {
		route.FirstEventTarget = 100 * time.Millisecond
	}
	table := &banyanplank.RoutingTable{
		Version:  4,
		Routes:   []banyanplank.RouteSpec{route},
		Pools:    []banyanplank.PoolSpec{{Name: "s"}},
		Accounts: []banyanplank.AccountSpec{{Name: "himal", KeyDigest: "k", Priority: -1}},
		Limits:   banyanplank.CallerLimits{MaxBodyBytes: 1000},
	}
	snapshot := &surveyor.Snapshot{Router: router.New(table), Ready: true, AliveEntries: 1}
	next := atomic.Int32{}
	for i := range handlers {
		endpoint := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			text, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			g.mutex.Lock()
			g.requests, g.bodies = append(g.requests, r), append(g.bodies, string(text))
			g.mutex.Unlock()
			// The handlers are used in the order of arrival, whichever endpoint a
			// request reaches.
			handlers[min(int(next.Add(1)), len(handlers))-1](rw, r.WithContext(context.WithValue(r.Context(), bodyKey{}, string(text))))
		}))
		t.Cleanup(endpoint.Close)
		snapshot.Backends = append(snapshot.Backends, banyanplank.Backend{
			ID: banyanplank.BackendID(fmt.Sprintf("i-%d", i)), Service: "s", Slots: 4, Born: time.UnixMilli(1),
			Address: netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://")),
		})
	}
	g.snapshot.Store(snapshot)
	unanswered := newUnansweredCalls()
	g.gateway = &Gateway{
		snapshot:     &g.snapshot,
		balancer:     balancer.New(),
		requester:    requester.New(testCodec{}),
		crashTracker: suspecter.NewCrashTracker(suspecter.WithSuspectHandler(unanswered.markChanged)),
		unanswered:   unanswered,
		calls:        newCallSet(),
		durations:    newCallDurations(),
		probeQueue:   make(chan *banyanplank.Backend, maxQueuedProbes),
		codec:        testCodec{},
		logger:       logger.New(g.logs),
		counters:     newCounters(),
		buffers:      newBufferBudget(Limits{Memory: 64 << 20}),
		limiter:      server.NewLimiter(),
	}
	g.gateway.admission = newAdmission(g.gateway.balancer)
	g.gateway.balancer.UpdateFleet(time.Now(), balancer.Fleet{Pools: table.Pools, Backends: snapshot.Backends, Entries: 1})
	listener, err := g.gateway.limiter.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.server = &httptest.Server{Listener: listener, Config: g.gateway.limiter.New(g.gateway)}
	g.server.Start()
	t.Cleanup(g.server.Close)
	return g
}

// receivedRequests returns the requests that reached endpoints.
func (g *testGateway) receivedRequests() (requests []*http.Request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.requests)
}

// receivedBody returns the body of the i-th request that reached an endpoint.
func (g *testGateway) receivedBody(i int) (text string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.bodies[i]
}

// newRequest returns a request to the route with a valid key.
func (g *testGateway) newRequest(t testing.TB, method, body string) (request *http.Request) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, g.server.URL+"/x/a%2Fb?q=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Id", "c1")
	request.Header.Set("Key", "k")
	return request
}

// callerResponse is the response that a caller reads.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// trailer has the fields behind the body.
	trailer http.Header
	err     error
}

// send sends a request and reads the response.
func (g *testGateway) send(request *http.Request) (a callerResponse) {
	response, err := g.server.Client().Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(text), trailer: response.Trailer, err: err}
}

// runPendingProbes probes all queued endpoints.
func (g *testGateway) runPendingProbes(ctx context.Context) {
	for len(g.gateway.probeQueue) > 0 {
		_ = g.gateway.probeEndpoint(ctx, <-g.gateway.probeQueue)
	}
}

// respond returns an endpoint that sends body with a seal.
func respond(body string) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		_, _ = io.WriteString(w, body)
	}
}

// setSeal sets the header fields that identify the call and the endpoint.
func setSeal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "by "+r.Host)
}

// withHeader returns an endpoint that sets a header field and then runs next.
func withHeader(name, value string, next handler) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		next(w, r)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// respondMisdirected rejects a call that is meant for another endpoint.
func respondMisdirected(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// respondDeclined declines the call without running it.
func respondDeclined(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respondStatus returns an endpoint that responds with a status and no body.
func respondStatus(status int) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		w.WriteHeader(status)
	}
}

// closeMidBody closes the connection after part of the body.
func closeMidBody(w http.ResponseWriter, r *http.Request) {
	setSeal(w, r)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// respondUnsealed responds without a seal.
func respondUnsealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "without seal")
}

// streamEvents returns an endpoint that streams the events from one id to another and
// then trailer, and closes the connection there if closes is set.
func streamEvents(from, to int, trailer string, closes bool) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for id := from; id <= to; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, trailer)
		if closes {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// eventText returns the text of the events from one id to another.
func eventText(from, to int) (all string) {
	for id := from; id <= to; id++ {
		all += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	return all
}

// unframed returns an endpoint that sends the response of next without a length or chunks
// and ends it by closing the connection.
func unframed(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		next(recorder, r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		_ = recorder.Header().Write(conn)
		_, _ = io.WriteString(conn, "\r\n"+recorder.Body.String())
	}
}

// withCRLF returns a text with lines that end with CRLF.
func withCRLF(text string) (converted string) { return strings.ReplaceAll(text, "\n", "\r\n") }

// lineEndWriter is a response writer that converts the ends of lines.
type lineEndWriter struct {
	http.ResponseWriter
	lineEnd string
}

// Write implements io.Writer.
func (w lineEndWriter) Write(data []byte) (n int, err error) {
	_, err = io.WriteString(w.ResponseWriter, strings.ReplaceAll(string(data), "\n", w.lineEnd))
	return len(data), err
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w lineEndWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// withLineEnds returns an endpoint whose lines end with lineEnd.
func withLineEnds(lineEnd string, next handler) handler {
	return func(w http.ResponseWriter, r *http.Request) { next(lineEndWriter{w, lineEnd}, r) }
}
