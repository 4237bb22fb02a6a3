package balancer

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// replacedPause is for how long an endpoint gets no calls whose address another one
// has. The platform takes entries out after three heartbeats of a second.
const replacedPause = 3 * time.Second

// Kind tells how a call ended at its endpoint.
type Kind uint8

// The kinds of results.
const (
	// Served calls were answered whole.
	Served Kind = iota
	// Unreached calls were never sent.
	Unreached
	// Declined calls were not run by the endpoint, which said so.
	Declined
	// Failed calls were sent and have no whole answer.
	Failed
	// Abandoned calls were given up by their caller.
	Abandoned
	// Misdirected calls reached another endpoint at the address, which said so.
	Misdirected
)

// Result is how a call ended at its endpoint.
type Result struct {
	Kind Kind
	// Blameless tells that another endpoint was at fault.
	Blameless bool
}

// Lease is the right to send one call to an endpoint. Finish it; only the first time
// counts.
type Lease struct {
	Backend *banyanplank.Backend
	// Own and Others are the calls of this entry and of its peers that the
	// endpoint had when it was chosen, and Limit how many it may have.
	Own    int
	Others int
	Limit  float64
	pool   *pool
	seat   *seat
	prompt int
	begun  bool
	done   bool
	began  time.Time
}

// Begun tells that the first event has come.
func (l *Lease) Begun() {
	b := l.pool.owner
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l.read()
	l.begun = true
	l.seat.begun++
	g := l.seat.group
	g.begun++
	g.broken, g.last = false, time.Now()
}

// Event tells the time between two events of the call's stream.
func (l *Lease) Event(gap time.Duration) {
	b := l.pool.owner
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	l.seat.group.last = now
	l.seat.group.pace.observe(now, gap, l.pool.count(now, l.seat.group))
}

// Quiet returns how long no stream of the endpoint's group has gone on, so that a
// silent endpoint can be told from a group that stands still.
func (l *Lease) Quiet() (quiet time.Duration) {
	b := l.pool.owner
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Since(l.seat.group.last)
}

// read takes the prompt out of those that the endpoint has to read.
func (l *Lease) read() {
	l.seat.unread -= l.prompt
	l.prompt = 0
}

// Finish gives the place back.
func (l *Lease) Finish(result Result) {
	now := time.Now()
	b := l.pool.owner
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l.done {
		return
	}
	l.done = true
	s := l.seat
	l.read()
	s.own--
	if l.begun {
		s.begun--
		s.group.begun--
	}
	s.trying = false
	l.pool.left(now)
	if result.Kind == Declined && result.Blameless && l.pool.spec.Engine != nil {
		s.group.broken, s.group.probed = true, now
	}
	// When a group of ranks stands still, all its streams are cut, whichever
	// rank was lost.
	if l.pool.spec.Engine != nil && s.group.isSilent(now) {
		result.Blameless = true
	}
	switch {
	case result.Kind == Served:
		s.serve(now, now.Sub(l.began))
	case result.Kind == Misdirected:
		s.ejectedUntil = now.Add(replacedPause)
	case result.Kind == Abandoned || result.Blameless:
	default:
		s.fail(now)
	}
	l.pool.dispatch(now)
}
