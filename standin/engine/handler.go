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

// bytesPerToken approximates the size of a prompt token in JSON text.
const bytesPerToken = 4

// completionRequest holds the supported fields of an OpenAI-style request body.
type completionRequest struct {
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// Handler returns the HTTP API of the engine: completions, its report, orders
// and cancellation of attempts.
func (e *Engine) Handler() (handler http.Handler) {
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.serveCompletion)
	router.POST("/v1/completions", e.serveCompletion)
	router.GET("/admin/report", e.serveReport)
	router.POST("/admin/orders", e.serveOrder)
	router.DELETE("/admin/attempts/:attempt", e.serveCancel)
	return router
}

func (e *Engine) serveCompletion(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var completion completionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := newSequence(request.Header, body, completion)
	e.enqueue(s)
	defer s.cancel()
	if completion.Stream {
		streamTokens(w, request, s)
		return
	}
	writeCompletion(w, request, s)
}

func newSequence(header http.Header, body []byte, completion completionRequest) *sequence {
	text := []byte(completion.Messages)
	if len(text) == 0 {
		text = completion.Prompt
	}
	priority, _ := strconv.Atoi(header.Get("X-Request-Priority"))
	offset, _ := strconv.Atoi(header.Get("X-Resume-Offset"))
	return &sequence{
		attempt:      banyanplank.AttemptID(header.Get("X-Request-Id")),
		priority:     priority,
		promptTokens: len(text)/bytesPerToken + 1,
		maxTokens:    max(1, completion.MaxTokens),
		prefixHashes: hashBlocks(text),
		seed:         xxhash.Sum64(body),
		generated:    offset,
		startIndex:   offset,
		changed:      make(chan struct{}),
	}
}

// hashBlocks returns one cumulative hash per full block of the prompt: each hash
// covers the prompt up to the end of its block.
func hashBlocks(text []byte) (hashes []uint64) {
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
	e.runCounts[s.attempt]++
	e.waiting = append(e.waiting, s)
}

// streamTokens writes one server-sent event per token.
func streamTokens(w http.ResponseWriter, request *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	readTokens(request, s, func(index int) {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", s.token(index))
		_ = control.Flush()
	})
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// writeCompletion writes the complete response as one JSON object.
func writeCompletion(w http.ResponseWriter, request *http.Request, s *sequence) {
	var text strings.Builder
	readTokens(request, s, func(index int) { text.WriteString(s.token(index)) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":%q}}]}", text.String())
}

// readTokens calls handle with the index of every token until the sequence
// finishes or the request is canceled. It aborts the connection if the sequence
// is aborted or canceled.
func readTokens(request *http.Request, s *sequence, handle func(index int)) {
	next := s.startIndex
	for {
		p := s.progress()
		for ; next < p.generated; next++ {
			handle(next)
		}
		if p.finished {
			return
		}
		if p.aborted {
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
	if !e.applyOrder(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder records an order and reports whether it was accepted. An engine
// that checks fencing numbers rejects old ones.
func (e *Engine) applyOrder(order banyanplank.Order) (applied bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checksFence && order.Fence < e.maxFence {
		return false
	}
	e.maxFence = max(e.maxFence, order.Fence)
	e.orders = append(e.orders, order)
	if order.Kind == banyanplank.OrderLoad || order.Kind == banyanplank.OrderRole {
		e.warmAt = time.Now().Add(e.warmup)
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
