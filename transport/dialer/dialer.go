// Package dialer opens calls from an entry to agents.
package dialer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/carrier"
)

// MessageLimit bounds one message between two daemons, in bytes.
const MessageLimit = 16 << 20

const (
	// connectTimeout bounds a connection attempt, TLS included.
	connectTimeout = 2 * time.Second
	// idleTimeout closes a connection that no call has used.
	idleTimeout = 30 * time.Second
	// cancelGrace lets a send in progress finish before a canceled call
	// closes its connection.
	cancelGrace = 20 * time.Millisecond
)

// Dialer opens connections to peers and keeps idle ones. One connection
// carries one call at a time.
type Dialer struct {
	config *tls.Config
	pool   *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	report func(banyanplank.LoadReport)
}

// Option configures a [Dialer].
type Option func(*Dialer)

// WithTLS secures all connections with config. Use it everywhere but in tests.
// The default sends in the clear.
func WithTLS(config *tls.Config) Option {
	return func(d *Dialer) { d.config = config }
}

// WithReport calls report with each load report that comes with an answer.
// Use it to feed a picker. The default drops them.
func WithReport(report func(banyanplank.LoadReport)) Option {
	return func(d *Dialer) { d.report = report }
}

// New returns a dialer without connections.
func New(options ...Option) *Dialer {
	d := &Dialer{
		pool:   drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout}),
		report: func(banyanplank.LoadReport) {},
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Close closes the idle connections.
func (d *Dialer) Close() (err error) {
	return d.pool.Close()
}

// Conn returns a connection to the peer at address. It is dialed on first use
// and goes back to the pool after each call.
func (d *Dialer) Conn(ctx context.Context, address netip.AddrPort) (conn drpc.Conn) {
	return d.pool.Get(ctx, address, d.dial)
}

// dialError marks errors before which nothing was sent to the peer.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

func (d *Dialer) dial(ctx context.Context, address netip.AddrPort) (conn *drpcconn.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := d.connect(ctx, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: ManagerOptions()}), nil
}

func (d *Dialer) connect(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	var plain net.Dialer
	if d.config == nil {
		return plain.DialContext(ctx, "tcp", address.String())
	}
	secure := tls.Dialer{NetDialer: &plain, Config: d.config}
	return secure.DialContext(ctx, "tcp", address.String())
}

// ManagerOptions returns the limits that both ends of a connection use.
func ManagerOptions() (options drpcmanager.Options) {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MessageLimit},
		SoftCancel:      true,
		SoftCancelGrace: cancelGrace,
	}
}

// Open starts request at the agent member and waits until the agent accepts
// it. The error is a [*banyanplank.Refusal].
func (d *Dialer) Open(ctx context.Context, member banyanplank.Member, request *banyanplank.Request) (answer banyanplank.Answer, err error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := carrier.NewDRPCCarrierClient(d.Conn(ctx, member.Peer)).Call(ctx)
	if err != nil {
		cancel()
		return nil, refuse(err)
	}
	call := &call{stream: stream, cancel: cancel, report: d.report}
	defer func() {
		if err != nil {
			_ = call.Close()
		}
	}()
	open := carrier.NewOpen(time.Now(), request, member.Incarnation)
	if err := stream.Send(&carrier.Up{Body: &carrier.Up_Open{Open: open}}); err != nil {
		return nil, refuse(err)
	}
	if err := call.accept(); err != nil {
		return nil, refuse(err)
	}
	return call, nil
}

// refuse turns any error of a call into a refusal. Only a failed dial proves
// that the agent got nothing.
func refuse(err error) (refusal *banyanplank.Refusal) {
	if errors.As(err, &refusal) {
		return refusal
	}
	outcome := banyanplank.OutcomeUnknown
	var dial *dialError
	if errors.As(err, &dial) {
		outcome = banyanplank.NotRun
	}
	return &banyanplank.Refusal{
		Outcome: outcome,
		Reason:  banyanplank.ReasonUnreachable,
		Detail:  err.Error(),
	}
}
