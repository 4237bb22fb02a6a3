package suspecter

import (
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Relay stores findings at an entry: it receives them from the load reports of
// agents and returns those about a request, which are sent along with it to the
// agent. Relay is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	suspects *Suspects
}

// NewRelay returns a relay without findings.
func NewRelay() *Relay {
	return &Relay{suspects: NewSuspects()}
}

// AddFindings adds findings and returns those that were new.
func (r *Relay) AddFindings(now time.Time, findings []banyanplank.Finding) (added []banyanplank.Finding) {
	if len(findings) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, finding := range findings {
		if r.suspects.Add(now, finding) {
			added = append(added, finding)
		}
	}
	return added
}

// FindingsFor returns the findings about a request.
func (r *Relay) FindingsFor(now time.Time, request banyanplank.Fingerprint) (findings []banyanplank.Finding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects.FindingsFor(now, request)
}
