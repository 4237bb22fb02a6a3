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
)

// dialect reads and writes short header fields.
type dialect struct{}

func (dialect) Call(header http.Header) (call banyanplank.CallInfo) {
	ms, err := strconv.Atoi(header.Get("Patience"))
	if err == nil {
		call.Patience = time.Duration(ms) * time.Millisecond
	}
	call.Attempt, call.Key, call.Seen = header.Get("Id"), header.Get("Key"), header.Get("Seen")
	return call
}

func (dialect) Address(header http.Header, send banyanplank.SendInfo) {
	header.Del("Key")
	header.Set("Account", string(send.Account))
	header.Set("Seen", send.Seen)
	header.Set("Left", strconv.FormatInt(send.Left.Milliseconds(), 10))
}

func (dialect) Reply(response *http.Response) (reply banyanplank.ReplyInfo) {
	return banyanplank.ReplyInfo{
		Attempt: response.Header.Get("Id"),
		Sealed:  response.Header.Get("Seal") != "",
		NotRun:  response.Header.Get("Not-Run") != "",

		Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
		Leaving:     response.Header.Get("Leaving") != "",
		Pause:       pauseOf(response.Header.Get("Pause")),
	}
}

// pauseOf reads a time, or none.
func pauseOf(text string) (d time.Duration) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

func (dialect) Refuse(header http.Header, after time.Duration) {
	if after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// world is a gateway before endpoints that do as they are told.
type world struct {
	gateway *Gateway
	view    atomic.Pointer[surveyor.Snapshot]
	server  *httptest.Server
	log     *lines
	mutex   sync.Mutex
	// arrived lists the endpoints that calls reached, with what they were sent.
	arrived []*http.Request
	bodies  []string
}

// lines is a log that may be written from many goroutines.
type lines struct {
	mutex sync.Mutex
	text  strings.Builder
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (n int, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(p)
}

// String returns what was written.
func (l *lines) String() (text string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// bodyKey is the key of a call's body in the context of an endpoint's handler.
type bodyKey struct{}

// handler is what an endpoint does.
type handler func(w http.ResponseWriter, r *http.Request)

// newWorld returns a gateway with one endpoint for each handler.
func newWorld(t *testing.T, route banyanplank.RouteSpec, handlers ...handler) (w *world) {
	t.Helper()
	w = &world{log: &lines{}}
	route.Host, route.Prefix, route.Splits = "h.example", "/x/", []banyanplank.Split{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 2 * time.Second
	}
	if route.Goal == 0 {
		route.Goal = 100 * time.Millisecond
	}
	table := &banyanplank.RoutingTable{
		Version:  4,
		Routes:   []banyanplank.RouteSpec{route},
		Pools:    []banyanplank.PoolSpec{{Name: "s"}},
		Accounts: []banyanplank.AccountSpec{{Name: "himal", Key: "k", Priority: -1}},
		Limits:   banyanplank.CallerLimits{Body: 1000},
	}
	snapshot := &surveyor.Snapshot{Router: router.New(table), Ready: true, Alive: 1}
	next := atomic.Int32{}
	for i := range handlers {
		endpoint := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			text, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			w.mutex.Lock()
			w.arrived, w.bodies = append(w.arrived, r), append(w.bodies, string(text))
			w.mutex.Unlock()
			// The endpoints do as the handlers say in the order of arrival.
			handlers[min(int(next.Add(1)), len(handlers))-1](rw, r.WithContext(context.WithValue(r.Context(), bodyKey{}, string(text))))
		}))
		t.Cleanup(endpoint.Close)
		snapshot.Backends = append(snapshot.Backends, banyanplank.Backend{
			ID: banyanplank.BackendID(fmt.Sprintf("i-%d", i)), Service: "s", Slots: 4, Born: time.UnixMilli(1),
			Address: netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://")),
		})
	}
	w.view.Store(snapshot)
	w.gateway = &Gateway{
		view:      &w.view,
		balancer:  balancer.New(),
		requester: requester.New(dialect{}),
		witness:   suspecter.NewWitness(),
		probes:    make(chan *banyanplank.Backend, maxProbes),
		dialect:   dialect{},
		logger:    logger.New(w.log),
		counters:  newCounters(),
		holder:    newHolder(Limits{Memory: 64 << 20}),
	}
	w.gateway.balancer.Renew(time.Now(), balancer.Fleet{Pools: table.Pools, Backends: snapshot.Backends, Entries: 1})
	w.server = httptest.NewServer(w.gateway)
	t.Cleanup(w.server.Close)
	return w
}

// reached returns the calls that arrived at endpoints.
func (w *world) reached() (calls []*http.Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.arrived)
}

// body returns the body of a call that arrived.
func (w *world) body(i int) (text string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.bodies[i]
}

// request returns a call to the route.
func (w *world) request(t *testing.T, method, body string) (request *http.Request) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, w.server.URL+"/x/a%2Fb?q=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Id", "c1")
	request.Header.Set("Key", "k")
	return request
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a call and reads the answer.
func (w *world) do(request *http.Request) (a answer) {
	response, err := w.server.Client().Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// settle makes the looks at endpoints that are due.
func (w *world) settle(ctx context.Context) {
	for len(w.gateway.probes) > 0 {
		w.gateway.look(ctx, <-w.gateway.probes)
	}
}

// sealed answers a call with text.
func sealed(text string) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		_, _ = io.WriteString(w, text)
	}
}

// seal writes the fields of an answer.
func seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "by "+r.Host)
}

// saying has an endpoint say something of itself with what it does.
func saying(name, value string, then handler) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		then(w, r)
	}
}

// broken closes the connection without an answer.
func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// misdirected answers for another endpoint than the one that is called.
func misdirected(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// declined has not run the call.
func declined(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// failing answers with a status.
func failing(status int) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		w.WriteHeader(status)
	}
}

// cut breaks off after part of a body.
func cut(w http.ResponseWriter, r *http.Request) {
	seal(w, r)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// unsealed answers without a seal.
func unsealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "of nobody")
}

// events streams events from one id to another and then ends with tail. A cut
// stream breaks off there.
func events(from, to int, tail string, breaks bool) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for id := from; id <= to; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, tail)
		if breaks {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// text is the events from one id to another.
func text(from, to int) (all string) {
	for id := from; id <= to; id++ {
		all += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	return all
}
