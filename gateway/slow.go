package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// slowNews is how long this entry repeats which endpoints are slow. It is shorter
// than the time between the rounds that find it out when these can't be made.
const slowNews = 1500 * time.Millisecond

// slowWords is which endpoints hold up their group of ranks, by service.
type slowWords struct {
	mutex sync.Mutex
	words map[banyanplank.ServiceName]slowWord
}

// slowWord is what is known of one service, and since when.
type slowWord struct {
	at        time.Time
	endpoints []banyanplank.BackendID
}

// swap notes what is now known of a service and returns what was.
func (s *slowWords) swap(service banyanplank.ServiceName, word slowWord) (old slowWord, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.words == nil {
		s.words = make(map[banyanplank.ServiceName]slowWord)
	}
	old, known = s.words[service]
	s.words[service] = word
	return old, known
}

// noteSlow takes in which endpoints of a service hold up their group of ranks.
func (d *Daemon) noteSlow(service banyanplank.ServiceName, endpoints []banyanplank.BackendID) {
	now := time.Now()
	old, known := d.slow.swap(service, slowWord{at: now, endpoints: endpoints})
	d.balancer.Slow(now, endpoints)
	if !known || !slices.Equal(old.endpoints, endpoints) {
		d.logger.Info().Str("service", string(service)).Strs("endpoints", names(endpoints)).Msg("slow ranks")
	}
}

// slowNow returns the endpoints that hold up their groups, while that is news.
func (d *Daemon) slowNow() (endpoints []banyanplank.BackendID) {
	d.slow.mutex.Lock()
	defer d.slow.mutex.Unlock()
	for _, word := range d.slow.words {
		if time.Since(word.at) < slowNews {
			endpoints = append(endpoints, word.endpoints...)
		}
	}
	slices.Sort(endpoints)
	return endpoints
}
