package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// The sizes and times of the case of watches that are cut off.
const (
	cutClients = 20
	cutLeaves  = 10
	// drainTime is drain_ms of the users' sheets.
	drainTime = 2 * time.Second
	// leaveTime is how long a server that has left goes on serving: drain_ms and a little
	// longer.
	leaveTime = 5 * time.Second
	// cutLead is how long before the removal of an entry the watches are cut off.
	cutLead = 300 * time.Millisecond
)

// cutter is the store. It can cut off the watches that wait.
type cutter struct {
	h       *harness
	next    http.Handler
	mutex   sync.Mutex
	waiting map[*http.Request]context.CancelFunc
}

// ServeHTTP implements [http.Handler].
func (c *cutter) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms")); wait == 0 {
		c.next.ServeHTTP(w, request)
		return
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	c.setWaiting(request, cancel)
	reply := httptest.NewRecorder()
	c.next.ServeHTTP(reply, request.WithContext(ctx))
	c.setWaiting(request, nil)
	if ctx.Err() != nil {
		c.h.recordf("a watch of %s is cut off", request.URL.Path)
		// The head of the answer is sent, and no more.
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.Code)
	_, _ = w.Write(reply.Body.Bytes())
}

// setWaiting adds a watch to those that wait, or removes it.
func (c *cutter) setWaiting(request *http.Request, cancel context.CancelFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, request)
	if cancel != nil {
		c.waiting[request] = cancel
	}
}

// cutAll cuts off all watches that wait.
func (c *cutter) cutAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, cancel := range c.waiting {
		cancel()
	}
}

func init() { cases["cut"] = playCut }

// playCut has servers leave whose entries are removed from the store, just after the store
// has cut off the watches that wait. The rule DRAIN is broken by each request that reaches such a server later than
// drainTime after that.
func playCut(ctx context.Context, h *harness, calm bool) (broken int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := &cutter{h: h, next: h.store, waiting: make(map[*http.Request]context.CancelFunc)}
	if h.storeAt, err = h.serve(store); err != nil {
		return 0, err
	}
	h.putConfig(1, false, keptKey)
	var servers []*leaver
	for range 3 {
		s, err := h.startLeaver(ctx, len(servers))
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	var entries []*process
	for _, name := range []string{"entry-1", "entry-2"} {
		entry, err := h.startEntry(name, 0)
		if err != nil {
			return 0, err
		}
		entries = append(entries, entry)
	}
	for _, entry := range entries {
		if err := h.awaitReady(ctx, entry); err != nil {
			return 0, err
		}
	}
	if err := banyanplank.Sleep(ctx, 4*time.Second); err != nil {
		return 0, err
	}
	askCtx, stopAsking := context.WithCancel(ctx)
	defer stopAsking()
	var clients conc.WaitGroup
	for i := range cutClients {
		clients.Go(func() {
			for askCtx.Err() == nil {
				_, _, _ = h.ask(ctx, entries[i%len(entries)], "/look/x", keptKey, 3*time.Second)
				_ = banyanplank.Sleep(askCtx, 60*time.Millisecond)
			}
		})
	}
	defer clients.Wait()
	defer stopAsking()
	for i := range cutLeaves {
		s, err := h.startLeaver(ctx, len(servers))
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
		if err := banyanplank.Sleep(ctx, 3*time.Second); err != nil {
			return 0, err
		}
		leaving := servers[i]
		if leaving.countSince(time.Now().Add(-time.Second)) == 0 {
			return 0, errors.Newf("server %s gets no requests", leaving.id)
		}
		leaving.stop()
		if !calm {
			store.cutAll()
		}
		if err := banyanplank.Sleep(ctx, cutLead); err != nil {
			return 0, err
		}
		leftAt := time.Now()
		h.store.Delete("servers", leaving.id)
		h.recordf("the entry of server %s is removed", leaving.id)
		if err := banyanplank.Sleep(ctx, leaveTime); err != nil {
			return 0, err
		}
		late := leaving.countSince(leftAt.Add(drainTime))
		broken += late
		h.recordf("DRAIN: server %s got its last request %.3f s after its entry was removed, %d later than %s", leaving.id, leaving.lastArrival().Sub(leftAt).Seconds(), late, drainTime)
	}
	return broken, nil
}

// leaver is a server that can leave.
type leaver struct {
	*plainServer
	stop     context.CancelFunc
	arrivals []time.Time
}

// startLeaver starts a server of the service desk.
func (h *harness) startLeaver(ctx context.Context, number int) (s *leaver, err error) {
	ctx, stop := context.WithCancel(ctx)
	s = &leaver{stop: stop}
	s.plainServer, err = h.startServer(ctx, fmt.Sprintf("i-desk-%02d", number), "desk", 0, 0)
	if err != nil {
		stop()
		return nil, err
	}
	s.onRun = func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.arrivals = append(s.arrivals, time.Now())
	}
	return s, nil
}

// countSince returns the number of requests that reached the server after a time.
func (s *leaver) countSince(at time.Time) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, arrival := range s.arrivals {
		if arrival.After(at) {
			count++
		}
	}
	return count
}

// lastArrival returns when the last request reached the server.
func (s *leaver) lastArrival() (at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.arrivals) == 0 {
		return at
	}
	return s.arrivals[len(s.arrivals)-1]
}
