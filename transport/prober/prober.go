// Package prober notices connections that have gone silent. Both ends of a
// connection run one; either side's probes are answered by the other process
// itself, never by the endpoint behind it, so a stalled endpoint does not look
// like a dead path.
package prober

import (
	"context"
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
//	err := p.Run(ctx, sendPing) // in a goroutine of its own
//	p.Heard(time.Now())         // for every message that arrives
type Prober struct {
	interval time.Duration
	timeout  time.Duration
	heard    atomic.Int64
	probed   atomic.Int64
	asked    atomic.Int64
}

// Option configures a [Prober].
type Option func(*Prober)

// WithInterval sets the time between two probes. They are sent on a busy
// connection too, since the peer hears of this end by nothing else. Use a
// shorter one where a dead path must be noticed sooner. The default is
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
	p.probed.Store(now.UnixNano())
	p.asked.Store(now.UnixNano())
	return p
}

// Heard tells that a message of any kind arrived.
func (p *Prober) Heard(now time.Time) {
	p.heard.Store(now.UnixNano())
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
	sent := time.Duration(now.UnixNano() - p.probed.Load())
	if sent >= p.interval {
		p.probed.Store(now.UnixNano())
		return Probe, min(p.interval, p.timeout-idle)
	}
	return Wait, min(p.interval-sent, p.timeout-idle)
}

// Run probes with send until ctx ends, the connection is silent or send fails.
// The error is [ErrSilent], the error of send, or nil when ctx ended.
// Send must not block for longer than the timeout: it queues the probe.
func (p *Prober) Run(ctx context.Context, send func(ctx context.Context) error) (err error) {
	defer func() { err = errors.Wrap(err, "probe connection") }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		action, wait := p.Due(time.Now())
		switch action {
		case Fail:
			return ErrSilent
		case Probe:
			if err := send(ctx); err != nil && ctx.Err() == nil {
				return err
			}
		case Wait:
		}
		timer.Reset(wait)
	}
}
