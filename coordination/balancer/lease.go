package balancer

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// misdirectedEjection is for how long an endpoint gets no calls once another endpoint
// has answered at its address. The platform delists an endpoint after three missed
// heartbeats, sent every second.
const misdirectedEjection = 3 * time.Second

// ResultKind is the way in which a call ended at its endpoint.
type ResultKind uint8

// The kinds of results.
const (
	// Served calls were answered completely.
	Served ResultKind = iota
	// NotSent calls were never sent.
	NotSent
	// Declined calls were not run, as the endpoint reported.
	Declined
	// Failed calls were sent but not answered completely.
	Failed
	// Abandoned calls were canceled by their caller.
	Abandoned
	// Misdirected calls reached another endpoint at the address, as it reported.
	Misdirected
)

// Result is how a call ended at its endpoint.
type Result struct {
	Kind ResultKind
	// OtherAtFault is set if another endpoint was at fault.
	OtherAtFault bool
}

// Lease is the right to send one call to an endpoint. It holds capacity of the
// endpoint until Finish is called.
type Lease struct {
	Backend *banyanplank.Backend
	// OwnCalls and PeerCalls are the calls in flight of this entry and of its peers at
	// the endpoint when it was chosen, without this one. Limit is the limit on both.
	OwnCalls     int
	PeerCalls    int
	Limit        float64
	pool         *pool
	state        *endpointState
	promptTokens int
	streaming    bool
	finished     bool
	startedAt    time.Time
}

// RecordFirstEvent records the first event of the call's answer. Call it once per lease.
func (l *Lease) RecordFirstEvent() {
	b := l.pool.owner
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l.releasePrompt()
	l.streaming = true
	l.state.streams++
	g := l.state.group
	g.streams++
	g.rankLost, g.lastEvent = false, time.Now()
}

// RecordEvent records a further event of the call's stream, gap after the one before.
func (l *Lease) RecordEvent(gap time.Duration) {
	b := l.pool.owner
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	l.state.group.lastEvent = now
	l.state.group.concurrency.observe(now, gap, l.pool.countMeanCalls(now, l.state.group))
}

// TimeSinceGroupEvent returns the time since the last event of any stream of the
// endpoint's group. It distinguishes a silent endpoint from a group that is down as a
// whole.
func (l *Lease) TimeSinceGroupEvent() (quiet time.Duration) {
	b := l.pool.owner
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Since(l.state.group.lastEvent)
}

// releasePrompt subtracts the prompt from the tokens that the endpoint has yet to read.
func (l *Lease) releasePrompt() {
	l.state.pendingPromptTokens -= l.promptTokens
	l.promptTokens = 0
}

// Finish releases the lease and records how the call ended. Only the first call of
// Finish has an effect.
func (l *Lease) Finish(result Result) {
	now := time.Now()
	b := l.pool.owner
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l.finished {
		return
	}
	l.finished = true
	s := l.state
	l.releasePrompt()
	s.ownCalls--
	if l.streaming {
		s.streams--
		s.group.streams--
	}
	s.probing = false
	l.pool.countFinished(now)
	if result.Kind == Declined && result.OtherAtFault && l.pool.spec.Engine != nil {
		s.group.rankLost, s.group.probedAt = true, now
	}
	// All streams of a group of ranks are cut when it loses one, so a failure
	// does not show which endpoint is at fault.
	if l.pool.spec.Engine != nil && s.group.isSilent(now) {
		result.OtherAtFault = true
	}
	switch {
	case result.Kind == Served:
		s.recordSuccess(now, now.Sub(l.startedAt))
	case result.Kind == Misdirected:
		s.ejectedUntil = now.Add(misdirectedEjection)
	case result.Kind == Abandoned || result.OtherAtFault:
	default:
		s.recordFailure(now)
	}
	l.pool.dispatch(now)
}
