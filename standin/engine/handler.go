package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
)

// bytesPerToken estimates the length of a prompt from its JSON text.
const bytesPerToken = 4

// call is what the engine reads of an OpenAI-style body.
type call struct {
	Stream   bool            `json:"stream"`
	Max      int             `json:"max_tokens"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// Handler serves the engine over HTTP.
func (e *Engine) Handler() (handler http.Handler) {
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.serveCall)
	router.POST("/v1/completions", e.serveCall)
	router.GET("/admin/report", e.serveReport)
	router.POST("/admin/orders", e.serveOrder)
	router.DELETE("/admin/attempts/:attempt", e.serveCancel)
	return router
}

func (e *Engine) serveCall(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var parsed call
	if err := json.Unmarshal(body, &parsed); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := newSequence(request.Header, body, parsed)
	e.enqueue(s)
	defer s.cancel()
	if parsed.Stream {
		streamWords(w, request, s)
		return
	}
	writeWhole(w, request, s)
}

func newSequence(header http.Header, body []byte, parsed call) *sequence {
	text := []byte(parsed.Messages)
	if len(text) == 0 {
		text = parsed.Prompt
	}
	priority, _ := strconv.Atoi(header.Get("X-Request-Priority"))
	offset, _ := strconv.Atoi(header.Get("X-Resume-Offset"))
	return &sequence{
		attempt:  banyanplank.AttemptID(header.Get("X-Request-Id")),
		priority: priority,
		prompt:   len(text)/bytesPerToken + 1,
		longest:  max(1, parsed.Max),
		prefix:   blocksOf(text),
		seed:     xxhash.Sum64(body),
		made:     offset,
		first:    offset,
		changed:  make(chan struct{}),
	}
}

// blocksOf returns one rolling hash per whole block of the prompt.
func blocksOf(text []byte) (hashes []uint64) {
	const block = banyanplank.PrefixBlock * bytesPerToken
	digest := xxhash.New()
	for len(text) >= block {
		_, _ = digest.Write(text[:block])
		hashes = append(hashes, digest.Sum64())
		text = text[block:]
	}
	return hashes
}

func (e *Engine) enqueue(s *sequence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.runs[s.attempt]++
	e.waiting = append(e.waiting, s)
}

// streamWords writes one event per token.
func streamWords(w http.ResponseWriter, request *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	read(request, s, func(index int) {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", s.word(index))
		_ = control.Flush()
	})
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// writeWhole writes the answer as one JSON value when it is whole.
func writeWhole(w http.ResponseWriter, request *http.Request, s *sequence) {
	var text strings.Builder
	read(request, s, func(index int) { text.WriteString(s.word(index)) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":%q}}]}", text.String())
}

// read calls each with the index of every token until the answer is whole. A
// sequence that was cut ends the connection without a clean end.
func read(request *http.Request, s *sequence, each func(index int)) {
	next := s.first
	for {
		p := s.progress()
		for ; next < p.made; next++ {
			each(next)
		}
		if p.finished {
			return
		}
		if p.broken {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-p.changed:
		case <-request.Context().Done():
			return
		}
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mutex.Lock()
	report := e.report
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) serveOrder(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var order banyanplank.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.apply(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply takes in an order unless its fencing number is old and checked.
func (e *Engine) apply(order banyanplank.Order) (applied bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.fencing && order.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	if order.Kind == banyanplank.OrderLoad || order.Kind == banyanplank.OrderRole {
		e.warm = time.Now().Add(e.warmup)
	}
	return true
}

func (e *Engine) serveCancel(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	attempt := banyanplank.AttemptID(params.ByName("attempt"))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, s := range append(append([]*sequence{}, e.running...), e.waiting...) {
		if s.attempt == attempt {
			s.cancel()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
