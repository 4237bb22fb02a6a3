package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/banyanplank/banyanplank"
)

// Plain is a stand-in for an application server. It counts how often it ran
// each key and answers with what it was asked.
type Plain struct {
	mutex sync.Mutex
	runs  map[string]int
	total int
}

// NewPlain returns an application server that has run nothing.
func NewPlain() *Plain {
	return &Plain{runs: make(map[string]int)}
}

// Echo is the answer of a [Plain] server.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Run numbers the calls of this server.
	Run int `json:"run"`
}

// Runs counts the calls with the idempotency key.
func (p *Plain) Runs(key string) (runs int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.runs[key]
}

// ServeHTTP implements [http.Handler].
func (p *Plain) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if request.URL.Path == "/admin/report" {
		_ = json.NewEncoder(w).Encode(banyanplank.EndpointReport{Boot: "1"})
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := p.count(request.Header.Get("Idempotency-Key"))
	_ = json.NewEncoder(w).Encode(Echo{Method: request.Method, Path: request.URL.RequestURI(), Body: string(body), Run: run})
}

func (p *Plain) count(key string) (run int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.total++
	p.runs[key]++
	return p.total
}
