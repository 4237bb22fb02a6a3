package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// plainServer is a sound server. It streams below /talk/ and /note/, and sends one body elsewhere.
type plainServer struct {
	h       *harness
	id      string
	address netip.AddrPort
	// events is the number of events of a stream, and gap the time between two of them.
	events int
	gap    time.Duration
	// spoils is the share of the streams into which the server puts wrong bytes.
	spoils float64
	// onRun is called when a request reaches the server, if it is set.
	onRun func()
	mutex sync.Mutex
	// ran holds the attempts that the server began to run, and finished those whose answer
	// it wrote to the end.
	ran      map[string]bool
	finished map[string]bool
}

// startServer starts a server of a service and registers it until ctx ends.
func (h *harness) startServer(ctx context.Context, id, service string, events int, gap time.Duration) (s *plainServer, err error) {
	s = &plainServer{h: h, id: id, events: events, gap: gap, ran: make(map[string]bool), finished: make(map[string]bool)}
	if s.address, err = h.serve(s); err != nil {
		return nil, err
	}
	h.register(ctx, id, map[string]any{"service": service, "address": s.address.String(), "slots": 64})
	return s, nil
}

// hasRun reports whether the server began to run an attempt, and whether it answered it whole.
func (s *plainServer) hasRun(attempt string) (ran, finished bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran[attempt], s.finished[attempt]
}

// ServeHTTP implements [http.Handler].
func (s *plainServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	if request.URL.Path == "/health" {
		return
	}
	attempt := request.Header.Get(wire.Attempt)
	header.Set(wire.Attempt, attempt)
	if request.Header.Get(wire.Instance) != s.id {
		header.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mutex.Lock()
	s.ran[attempt] = true
	s.mutex.Unlock()
	if s.onRun != nil {
		s.onRun()
	}
	s.h.recordf("server %s runs %s for tenant %q", s.id, attempt, request.Header.Get(wire.Tenant))
	header.Set(wire.Seal, s.id)
	header.Set(wire.Load, "1,0,64")
	if !strings.HasPrefix(request.URL.Path, "/talk/") && !strings.HasPrefix(request.URL.Path, "/note/") {
		_ = banyanplank.Sleep(request.Context(), 15*time.Millisecond)
		_, _ = io.WriteString(w, "answer to "+attempt+"\n")
		return
	}
	header.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	end := "\n\n"
	if s.h.float() < s.spoils {
		end = "\n\n\n"
		s.h.recordf("server %s spoils its answer to %s: one newline too many behind each event", s.id, attempt)
	}
	for n := 1; n <= s.events; n++ {
		if banyanplank.Sleep(request.Context(), s.gap) != nil {
			s.h.recordf("server %s: the channel of %s was closed after event %d", s.id, attempt, n-1)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d%s", n, attempt, n, end); err != nil || control.Flush() != nil {
			return
		}
	}
	s.mutex.Lock()
	s.finished[attempt] = true
	s.mutex.Unlock()
}
