package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Phases of a planned stop, as fractions of the grace period.
const (
	// acceptShare is the fraction during which a stopping entry accepts calls that may last
	// longer than it runs, if they usually don't.
	acceptShare = 0.34
	// listenShare is the fraction during which it accepts connections, because callers
	// still have its address.
	listenShare = 0.5
	// answerShare is the fraction after which calls that still run are answered as failed.
	answerShare = 0.92
	// finishShare is the fraction by which all connections are closed.
	finishShare = 0.95
)

const (
	// maxAcceptTime bounds the time for acceptShare. The operators count a call as lost
	// that is sent later than 3 s after the signal to stop and cut off.
	maxAcceptTime = 2750 * time.Millisecond
	// retryAfterStopping is the retry advice of a stopping entry. Other entries serve.
	retryAfterStopping = 20 * time.Millisecond
	// durationPeriod is the time after which the durations of calls start to be forgotten.
	durationPeriod = 30 * time.Second
)

// errStopping means that a call could not end before the entry stops.
var errStopping = errors.New("entry is stopping")

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// acceptUntil is when the entry ceases to accept calls that may last beyond answerBy.
	acceptUntil time.Time
	// closeAt is when it closes its address and idle connections.
	closeAt time.Time
	// answerBy is when calls that still run are answered as failed.
	answerBy time.Time
	// finishBy is when all connections are closed.
	finishBy time.Time
}

// newStopTimes returns the times of a stop that begins now.
func newStopTimes(now time.Time, grace time.Duration) (s *stopTimes) {
	after := func(share float64) time.Time { return now.Add(time.Duration(share * float64(grace))) }
	s = &stopTimes{acceptUntil: after(acceptShare), closeAt: after(listenShare), answerBy: after(answerShare), finishBy: after(finishShare)}
	if latest := now.Add(maxAcceptTime); s.acceptUntil.After(latest) {
		s.acceptUntil = latest
	}
	return s
}

// beginStop has the gateway refuse calls that it could not end in time.
func (g *Gateway) beginStop(times *stopTimes) {
	g.stop.Store(times)
	g.draining.Store(true)
}

// refuseWhileStopping returns a refusal if the entry stops before the call is sure to have
// ended. A call that may be repeated is also accepted if such calls usually end in time.
func (f *forwarder) refuseWhileStopping() (err error) {
	stop := f.gateway.stop.Load()
	if stop == nil || f.sends > 0 || !f.deadline.After(stop.answerBy) {
		return nil
	}
	now := time.Now()
	usualEnd := now.Add(f.gateway.durations.longest(f.route.Name))
	if f.route.IsRepeatable() && now.Before(stop.acceptUntil) && usualEnd.Before(stop.answerBy) {
		return nil
	}
	return &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonLeaving, RetryAfter: retryAfterStopping, Detail: errStopping.Error()}
}

// timeLeft returns the time until the call must have ended.
func (f *forwarder) timeLeft() (left time.Duration) {
	left = time.Until(f.deadline)
	if stop := f.gateway.stop.Load(); stop != nil {
		left = min(left, time.Until(stop.answerBy))
	}
	return left
}

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

// waitUntil waits until t, or until ctx ends.
func waitUntil(ctx context.Context, t time.Time) { _ = banyanplank.Sleep(ctx, time.Until(t)) }
