package gateway

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// slowNews is how long this entry repeats which endpoints are slow. It is shorter
// than the time between the rounds that find it out when these can't be made.
const slowNews = 1500 * time.Millisecond

// slowWord is which endpoints hold up their group of ranks, and since when that
// is known.
type slowWord struct {
	at        time.Time
	endpoints []banyanplank.BackendID
}

// noteSlow takes in which endpoints hold up their group of ranks.
func (d *Daemon) noteSlow(service banyanplank.ServiceName, endpoints []banyanplank.BackendID) {
	old := d.slow.Swap(&slowWord{at: time.Now(), endpoints: endpoints})
	d.balancer.Slow(time.Now(), endpoints)
	if old == nil || !slices.Equal(old.endpoints, endpoints) {
		d.logger.Info().Str("service", string(service)).Strs("endpoints", names(endpoints)).Msg("slow ranks")
	}
}

// slowNow returns the endpoints that hold up their group, while that is news.
func (d *Daemon) slowNow() (endpoints []banyanplank.BackendID) {
	if word := d.slow.Load(); word != nil && time.Since(word.at) < slowNews {
		return word.endpoints
	}
	return nil
}
