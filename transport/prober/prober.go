// Package prober notices connections that have gone silent. Both ends of a
// connection run one; either side's probes are answered by the other process
// itself, never by the endpoint behind it, so a stalled endpoint does not look
// like a dead path.
package prober

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSilent means that nothing came over the connection for the whole timeout
// although probes were sent.
var ErrSilent = errors.New("connection silent")

// The defaults of a [Prober].
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultTimeout  = 2 * time.Second
)

// Action is what a [Prober] has to do next.
type Action uint8

// The actions.
const (
	// Wait means that nothing is due.
	Wait Action = iota
	// Probe means that a probe is due.
	Probe
	// Fail means that the connection has been silent for the timeout.
	Fail
)

// Prober watches one connection.
//
//	p := prober.New(time.Now())
//	defer p.Start(sendPing, giveUp)()
//	p.Heard(time.Now()) // for every message that arrives
type Prober struct {
	interval time.Duration
	timeout  time.Duration
	heard    atomic.Int64
	sent     atomic.Int64
	probed   atomic.Int64
	asked    atomic.Int64
}

// Option configures a [Prober].
type Option func(*Prober)

// WithInterval sets how long a connection may be quiet in either direction
// before it is probed. Use a shorter one where a dead path must be noticed
// sooner. The default is
// [DefaultInterval].
func WithInterval(interval time.Duration) Option {
	return func(p *Prober) { p.interval = interval }
}

// WithTimeout sets how long a connection may be silent before it counts as
// dead. Use a longer one on paths with long pauses. The default is
// [DefaultTimeout].
func WithTimeout(timeout time.Duration) Option {
	return func(p *Prober) { p.timeout = timeout }
}

// New returns a prober for a connection that was last heard at now.
func New(now time.Time, options ...Option) *Prober {
	p := &Prober{interval: DefaultInterval, timeout: DefaultTimeout}
	for _, option := range options {
		option(p)
	}
	p.heard.Store(now.UnixNano())
	p.sent.Store(now.UnixNano())
	p.probed.Store(now.UnixNano())
	p.asked.Store(now.UnixNano())
	return p
}

// Heard tells that a message of any kind arrived.
func (p *Prober) Heard(now time.Time) {
	p.heard.Store(now.UnixNano())
}

// Sent tells that a message of any kind was sent. The peer needs no probe to
// hear of this end then.
func (p *Prober) Sent(now time.Time) {
	p.sent.Store(now.UnixNano())
}

// Idle returns how long nothing has arrived.
func (p *Prober) Idle(now time.Time) (idle time.Duration) {
	return time.Duration(now.UnixNano() - p.heard.Load())
}

// Due decides what to do at now, and when to ask again. A probe counts as
// sent once Due has asked for it. A process that was itself paused for the
// timeout cannot tell a silent connection from messages that it has not read
// yet, so it probes once more first.
func (p *Prober) Due(now time.Time) (action Action, wait time.Duration) {
	asked := p.asked.Swap(now.UnixNano())
	if time.Duration(now.UnixNano()-asked) > p.timeout {
		p.Heard(now.Add(-p.interval))
	}
	idle := p.Idle(now)
	if idle >= p.timeout {
		return Fail, 0
	}
	probed := time.Duration(now.UnixNano() - p.probed.Load())
	sent := min(probed, time.Duration(now.UnixNano()-p.sent.Load()))
	if sent >= p.interval || idle >= p.interval && probed >= p.interval {
		p.probed.Store(now.UnixNano())
		return Probe, min(p.interval, p.timeout-idle)
	}
	return Wait, min(p.interval-sent, p.timeout-idle)
}

// Start probes with send until stop is called, the connection is silent or
// send fails. Then it calls fail once with [ErrSilent] or the error of send.
// It takes a timer and no goroutine. Send must not block for longer than the
// timeout.
func (p *Prober) Start(send func() error, fail func(err error)) (stop func()) {
	w := &watch{prober: p, send: send, fail: fail}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(p.interval, w.check)
	return w.stop
}

// watch is one run of a prober.
type watch struct {
	prober *Prober
	send   func() error
	fail   func(err error)

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// check does what is due and sets the timer for the next time.
func (w *watch) check() {
	action, wait := w.prober.Due(time.Now())
	var err error
	switch action {
	case Fail:
		err = ErrSilent
	case Probe:
		err = w.send()
	case Wait:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if err != nil {
		w.stopped = true
		w.fail(errors.Wrap(err, "probe connection"))
		return
	}
	w.timer.Reset(wait)
}

// stop ends the run. A check that is going on has no more effect.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
