// Package prober detects dead connections. Both ends of a connection run a
// prober; probes are answered by the peer process itself, never by the endpoint
// behind it, so that a stalled endpoint doesn't look like a dead connection.
package prober

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSilent means that nothing was received during the whole timeout although
// probes were sent.
var ErrSilent = errors.New("connection silent")

// Defaults of a [Prober].
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultTimeout  = 2 * time.Second
)

// Action is the next step of a [Prober].
type Action uint8

const (
	// Wait means that nothing is due.
	Wait Action = iota
	// Probe means that a probe is due.
	Probe
	// Fail means that nothing was received during the timeout.
	Fail
)

// Prober detects when one connection is dead.
//
//	p := prober.New(time.Now())
//	defer p.Start(sendPing, giveUp)()
//	p.RecordReceived(time.Now()) // for every message that arrives
type Prober struct {
	interval   time.Duration
	timeout    time.Duration
	receivedAt atomic.Int64
	sentAt     atomic.Int64
	probedAt   atomic.Int64
	checkedAt  atomic.Int64
}

// Option configures a [Prober].
type Option func(*Prober)

// WithInterval sets how long a connection may be quiet in either direction
// before it is probed. Use a shorter interval where dead connections must be
// detected sooner. The default is [DefaultInterval].
func WithInterval(interval time.Duration) Option {
	return func(p *Prober) { p.interval = interval }
}

// WithTimeout sets how long nothing may be received before a connection counts
// as dead. Use a longer timeout on paths with long pauses. The default is
// [DefaultTimeout].
func WithTimeout(timeout time.Duration) Option {
	return func(p *Prober) { p.timeout = timeout }
}

// New returns a prober of a connection on which a message was last received at now.
func New(now time.Time, options ...Option) *Prober {
	p := &Prober{interval: DefaultInterval, timeout: DefaultTimeout}
	for _, option := range options {
		option(p)
	}
	p.receivedAt.Store(now.UnixNano())
	p.sentAt.Store(now.UnixNano())
	p.probedAt.Store(now.UnixNano())
	p.checkedAt.Store(now.UnixNano())
	return p
}

// RecordReceived records that a message of any kind was received at now.
func (p *Prober) RecordReceived(now time.Time) {
	p.receivedAt.Store(now.UnixNano())
}

// RecordSent records that a message of any kind was sent at now. It saves a probe, since
// the peer receives the message instead.
func (p *Prober) RecordSent(now time.Time) {
	p.sentAt.Store(now.UnixNano())
}

// Idle returns the time since a message was last received.
func (p *Prober) Idle(now time.Time) (idle time.Duration) {
	return time.Duration(now.UnixNano() - p.receivedAt.Load())
}

// NextAction returns what to do at now and how long to wait until the next call. A
// probe counts as sent when it returns [Probe]. After a pause of its own process
// longer than the timeout, it can't tell a dead connection from unread messages,
// so it probes once more before it fails.
func (p *Prober) NextAction(now time.Time) (action Action, wait time.Duration) {
	checkedAt := p.checkedAt.Swap(now.UnixNano())
	if time.Duration(now.UnixNano()-checkedAt) > p.timeout {
		p.RecordReceived(now.Add(-p.interval))
	}
	idle := p.Idle(now)
	if idle >= p.timeout {
		return Fail, 0
	}
	probed := time.Duration(now.UnixNano() - p.probedAt.Load())
	sent := min(probed, time.Duration(now.UnixNano()-p.sentAt.Load()))
	if sent >= p.interval || idle >= p.interval && probed >= p.interval {
		p.probedAt.Store(now.UnixNano())
		return Probe, min(p.interval, p.timeout-idle)
	}
	return Wait, min(p.interval-sent, p.timeout-idle)
}

// Start sends probes with send until stop is called, the connection is dead or send
// fails. In the latter cases it calls fail once with [ErrSilent] or the error of
// send. It uses a timer instead of a goroutine. Send must not block for longer than
// the timeout.
func (p *Prober) Start(send func() error, fail func(err error)) (stop func()) {
	s := &session{prober: p, send: send, fail: fail}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.timer = time.AfterFunc(p.interval, s.check)
	return s.stop
}

// session is the state of one call to Start.
type session struct {
	prober *Prober
	send   func() error
	fail   func(err error)

	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
}

// check performs the next action and resets the timer.
func (s *session) check() {
	action, wait := s.prober.NextAction(time.Now())
	var err error
	switch action {
	case Fail:
		err = ErrSilent
	case Probe:
		err = s.send()
	case Wait:
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return
	}
	if err != nil {
		s.stopped = true
		s.fail(errors.Wrap(err, "probe connection"))
		return
	}
	s.timer.Reset(wait)
}

// stop ends the session. A check that is still running has no further effect.
func (s *session) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	s.timer.Stop()
}
