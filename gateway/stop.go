package gateway

import (
	"context"
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
	if stop == nil || !f.deadline.After(stop.answerBy) {
		return nil
	}
	if f.route.IsRepeatable() && (f.sends > 0 || f.usuallyEndsBefore(stop)) {
		return nil
	}
	return &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonLeaving, RetryAfter: retryAfterStopping, Detail: errStopping.Error()}
}

// usuallyEndsBefore reports whether the call is early enough to be accepted, and recent calls
// of its route took no longer than is left.
func (f *forwarder) usuallyEndsBefore(stop *stopTimes) bool {
	now := time.Now()
	usualEnd := now.Add(f.gateway.durations.longest(f.route.Name))
	return now.Before(stop.acceptUntil) && usualEnd.Before(stop.answerBy)
}

// timeLeft returns the time until the call must have ended.
func (f *forwarder) timeLeft() (left time.Duration) {
	left = time.Until(f.deadline)
	if stop := f.gateway.stop.Load(); stop != nil {
		left = min(left, time.Until(stop.answerBy))
	}
	return left
}

// waitUntil waits until t, or until ctx ends.
func waitUntil(ctx context.Context, t time.Time) { _ = banyanplank.Sleep(ctx, time.Until(t)) }
