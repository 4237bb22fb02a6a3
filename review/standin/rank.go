package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// ServeHTTP implements [http.Handler] for one rank.
func (r *rank) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch path := request.URL.Path; {
	case path == "/report":
		writeJSON(w, http.StatusOK, r.report())
	case path == wire.Picked:
		writeJSON(w, http.StatusOK, r.picked(request.URL.Query().Has("lists")))
	case path == wire.Order && request.Method == http.MethodPost:
		r.serveOrder(w, request)
	default:
		r.serveStream(w, request)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// report returns the state of the rank.
func (r *rank) report() (fields map[string]any) {
	g := r.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	fields = map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1}}, "busy": false, "sequence": 1, "queued": 0, "running": len(r.streams),
		"group": map[string]any{"name": g.name, "epoch": 1, "rank": r.index, "state": "open"}, "size": rankCount,
		"step": g.step, "map": r.mapVersion, "pace": 1.0,
	}
	if r.prepared != 0 && time.Now().After(r.loadedAt) {
		fields["prepared"] = r.prepared
	}
	if r.armed != 0 {
		fields["armed"] = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	if r.held != 0 {
		fields["held"] = r.held
	}
	return fields
}

// picked returns the counts of the rank, or its map.
func (r *rank) picked(lists bool) (fields map[string]any) {
	g := r.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !lists {
		return map[string]any{"step": g.step, "epoch": 1, "counts": slices.Clone(r.counts)}
	}
	fields = map[string]any{"map": map[string]any{"version": r.mapVersion, "experts": r.experts}}
	if r.prepared != 0 {
		fields["prepared"] = map[string]any{"version": r.prepared, "experts": r.preparedExperts}
	}
	return fields
}

// orderWire is the body of an order.
type orderWire struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   *uint64   `json:"epoch"`
	Map     [][][]int `json:"map"`
}

// serveOrder carries out an order at once, or leaves it unanswered and carries it out late.
func (r *rank) serveOrder(w http.ResponseWriter, request *http.Request) {
	var order orderWire
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	g := r.group
	isLate := g.isLate()
	g.mutex.Lock()
	g.orders++
	if isLate {
		g.unanswered++
	}
	g.mutex.Unlock()
	if !isLate {
		status := r.execute(order)
		g.h.recordf("order to %s: %s version %d step %d: %d", r.id, order.Op, order.Version, order.Step, status)
		writeJSON(w, status, map[string]any{})
		return
	}
	delay := minLate + time.Duration(g.h.float()*float64(lateRange))
	g.h.recordf("order to %s: %s version %d step %d: no answer, late by %s", r.id, order.Op, order.Version, order.Step, delay.Round(time.Millisecond))
	time.AfterFunc(delay, func() {
		g.h.recordf("late order to %s: %s version %d step %d: %d", r.id, order.Op, order.Version, order.Step, r.execute(order))
	})
	_ = banyanplank.Sleep(request.Context(), time.Minute)
	panic(http.ErrAbortHandler)
}

// execute carries out an order by the rules of the users' pages and returns the status.
func (r *rank) execute(order orderWire) (status int) {
	g := r.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if order.Epoch != nil && *order.Epoch != 1 {
		return http.StatusConflict
	}
	switch order.Op {
	case "prepare":
		return r.prepare(order)
	case "arm":
		if order.Version != r.prepared || time.Now().Before(r.loadedAt) || order.Step <= g.step {
			return http.StatusConflict
		}
		r.armed, r.armedStep = order.Version, order.Step
		return http.StatusOK
	case "disarm":
		if order.Version == r.mapVersion {
			return http.StatusConflict
		}
		if order.Version == r.armed {
			r.armed = 0
		}
		return http.StatusOK
	case "hold":
		if order.Step <= g.step || (r.held != 0 && r.held != order.Step) {
			return http.StatusConflict
		}
		r.held = order.Step
		return http.StatusOK
	case "go":
		if r.held != order.Step {
			return http.StatusConflict
		}
		r.held = 0
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// prepare begins to copy the experts of a map that are new to the rank.
func (r *rank) prepare(order orderWire) (status int) {
	if order.Version <= r.highest || r.armed != 0 || len(order.Map) != setCount {
		return http.StatusConflict
	}
	copies := 0
	var lists [][]int
	for set, byRank := range order.Map {
		if len(byRank) != rankCount || len(byRank[r.index]) > placeCount {
			return http.StatusConflict
		}
		fresh := 0
		for _, e := range byRank[r.index] {
			if !slices.Contains(r.experts[set], e) {
				fresh++
			}
		}
		if fresh > spareCount {
			return http.StatusConflict
		}
		copies += fresh
		lists = append(lists, byRank[r.index])
	}
	r.highest, r.prepared, r.preparedExperts = order.Version, order.Version, lists
	r.loadedAt = time.Now().Add(time.Duration(copies) * copyTime)
	return http.StatusAccepted
}

// serveStream answers a request with a stream of events.
func (r *rank) serveStream(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	header := w.Header()
	attempt := request.Header.Get(wire.Attempt)
	header.Set(wire.Attempt, attempt)
	if request.Header.Get(wire.Instance) != r.id {
		header.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g := r.group
	a := &answer{events: make(chan int, eventsPerAnswer)}
	g.mutex.Lock()
	r.streams = append(r.streams, a)
	header.Set(wire.Load, fmt.Sprintf("%d,0,12", len(r.streams)))
	g.mutex.Unlock()
	header.Set(wire.Seal, r.id)
	header.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range a.events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, attempt, n); err != nil || control.Flush() != nil {
			break
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r.streams = slices.DeleteFunc(r.streams, func(other *answer) bool { return other == a })
}
