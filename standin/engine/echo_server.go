package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/banyanplank/banyanplank"
)

// EchoServer simulates an application server. It echoes each request and counts the
// runs per idempotency key.
type EchoServer struct {
	mutex     sync.Mutex
	runCounts map[string]int
	total     int
}

// NewEchoServer returns an application server without recorded runs.
func NewEchoServer() *EchoServer {
	return &EchoServer{runCounts: make(map[string]int)}
}

// EchoResponse is the response body of an [EchoServer].
type EchoResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Run is the sequence number of the request at this server, from 1 on.
	Run int `json:"run"`
}

// RunCount returns the number of requests with the idempotency key.
func (s *EchoServer) RunCount(key string) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runCounts[key]
}

// ServeHTTP implements [http.Handler].
func (s *EchoServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
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
	run := s.recordRun(request.Header.Get("Idempotency-Key"))
	_ = json.NewEncoder(w).Encode(EchoResponse{Method: request.Method, Path: request.URL.RequestURI(), Body: string(body), Run: run})
}

func (s *EchoServer) recordRun(key string) (run int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.total++
	s.runCounts[key]++
	return s.total
}
