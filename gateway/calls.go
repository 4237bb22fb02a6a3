package gateway

import (
	"sync"
	"time"
)

// durationPeriod is the time after which the durations of calls start to be forgotten.
const durationPeriod = 30 * time.Second

// callSet holds the running calls.
type callSet struct {
	mutex sync.Mutex
	calls map[*forwarder]struct{}
}

func newCallSet() *callSet { return &callSet{calls: make(map[*forwarder]struct{})} }

func (s *callSet) add(f *forwarder) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[f] = struct{}{}
}

func (s *callSet) remove(f *forwarder) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.calls, f)
}

// stopAll cancels all calls, which are then answered as failed, and returns their number.
func (s *callSet) stopAll() (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for f := range s.calls {
		f.isStopped.Store(true)
		f.cancel()
	}
	return len(s.calls)
}

// callDurations holds how long calls of each route took of late.
type callDurations struct {
	mutex sync.Mutex
	// recent and earlier hold the longest duration by route, in this period and the one
	// before.
	recent, earlier map[string]time.Duration
	since           time.Time
}

func newCallDurations() *callDurations {
	return &callDurations{recent: make(map[string]time.Duration), since: time.Now()}
}

// record adds the duration of a call that was served.
func (d *callDurations) record(route string, duration time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if time.Since(d.since) > durationPeriod {
		d.recent, d.earlier, d.since = make(map[string]time.Duration), d.recent, time.Now()
	}
	d.recent[route] = max(d.recent[route], duration)
}

// longest returns the longest duration of recent calls of a route, or zero if there are none.
func (d *callDurations) longest(route string) (duration time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return max(d.recent[route], d.earlier[route])
}
