package suspecter

import (
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Relay passes findings on at an entry: it learns them from the load reports
// of agents and hands an agent those that name the request it gets. Its methods
// may be called from many goroutines.
type Relay struct {
	mu       sync.Mutex
	suspects *Suspects
}

// NewRelay returns a relay that knows nothing.
func NewRelay() *Relay {
	return &Relay{suspects: NewSuspects()}
}

// Learn takes in findings and returns those that were news.
func (r *Relay) Learn(now time.Time, findings []banyanplank.Finding) (news []banyanplank.Finding) {
	if len(findings) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, finding := range findings {
		if r.suspects.Observe(now, finding) {
			news = append(news, finding)
		}
	}
	return news
}

// About returns the findings that name a request.
func (r *Relay) About(now time.Time, request banyanplank.Fingerprint) (findings []banyanplank.Finding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects.About(now, request)
}
