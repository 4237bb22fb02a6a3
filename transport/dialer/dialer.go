// Package dialer opens calls from an entry to agents over pooled connections.
package dialer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
	"github.com/banyanplank/banyanplank/protocol/carrier"
)

// MaxMessageBytes is the largest message between two daemons, in bytes.
const MaxMessageBytes = 16 << 20

const (
	// connectTimeout limits a connection attempt, including the TLS handshake.
	connectTimeout = 2 * time.Second
	// identifyTimeout limits one attempt to query an agent's incarnation.
	identifyTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection stays in the pool.
	idleTimeout = 30 * time.Second
	// cancelGrace is how long a send in progress may take to finish before a
	// canceled call closes its connection.
	cancelGrace = 20 * time.Millisecond
)

// Dialer opens connections to peers and pools idle ones. A connection carries
// one call at a time.
type Dialer struct {
	config       *tls.Config
	openConn     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	pool         *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	onLoadReport func(banyanplank.LoadReport)
	// detached is set once calls that end no longer cancel their requests.
	detached atomic.Bool
}

// Option configures a [Dialer].
type Option func(*Dialer)

// WithTLS secures all connections with config. Without it, connections are
// not encrypted; use that in tests only.
func WithTLS(config *tls.Config) Option {
	return func(d *Dialer) { d.config = config }
}

// WithConnect opens connections with open instead of dialing TCP. Use it in
// tests.
func WithConnect(open func(ctx context.Context, address netip.AddrPort) (net.Conn, error)) Option {
	return func(d *Dialer) { d.openConn = open }
}

// WithOnLoadReport calls onLoadReport with each load report that arrives with an
// answer, for example to update a picker. By default they are dropped.
func WithOnLoadReport(onLoadReport func(banyanplank.LoadReport)) Option {
	return func(d *Dialer) { d.onLoadReport = onLoadReport }
}

// New returns a dialer that has no connections yet.
func New(options ...Option) *Dialer {
	d := &Dialer{
		pool:         drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout}),
		onLoadReport: func(banyanplank.LoadReport) {},
		openConn:     dialTCP,
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

// Conn returns a connection to the peer at address. The connection is dialed
// on first use and returned to the pool after each call.
func (d *Dialer) Conn(ctx context.Context, address netip.AddrPort) (conn drpc.Conn) {
	return d.pool.Get(ctx, address, d.dial)
}

// dialError wraps an error that occurred before the request was sent.
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

// connect opens a connection and performs the TLS handshake if TLS is
// configured.
func (d *Dialer) connect(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	plain, err := d.openConn(ctx, address)
	if err != nil || d.config == nil {
		return plain, err
	}
	config := d.config.Clone()
	if config.ServerName == "" {
		config.ServerName = address.Addr().String()
	}
	secure := tls.Client(plain, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, err
	}
	return secure, nil
}

func dialTCP(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address.String())
}

// ManagerOptions returns the DRPC settings that both ends of a connection use.
func ManagerOptions() (options drpcmanager.Options) {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: cancelGrace,
	}
}

// Open sends request to the agent member and waits until the agent accepts it.
// If fresh is true, it dials a new connection, since the pooled ones may be
// dead as well. The error is a [*banyanplank.Refusal].
func (d *Dialer) Open(ctx context.Context, member banyanplank.Member, request *banyanplank.Request, fresh bool) (answer forwarder.Answer, err error) {
	defer func() { err = toRefusal(err) }()
	// The stream outlives ctx, so that a cancellation can still be sent to the
	// agent.
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	conn, stream, err := d.openStream(ctx, streamCtx, member.PeerAddress, fresh)
	if err != nil {
		cancel(err)
		return nil, err
	}
	c := newCall(streamCtx, cancel, d, stream)
	c.release = func(reusable bool) { d.putConn(member.PeerAddress, conn, reusable) }
	c.stopContextWatch = context.AfterFunc(ctx, c.abort)
	if err := ctx.Err(); err != nil {
		c.Detach()
		return nil, &dialError{cause: err}
	}
	if err := c.sendRequest(carrier.NewOpen(time.Now(), request, member.Incarnation)); err != nil {
		c.Detach()
		return nil, err
	}
	if err := c.awaitAcceptance(); err != nil {
		c.Detach()
		return nil, err
	}
	return c, nil
}

// openStream opens a stream with streamCtx on a connection to the peer. If a
// pooled connection turns out to be closed, it dials a new one. The request is
// not sent yet, so every error is a [*dialError].
func (d *Dialer) openStream(ctx, streamCtx context.Context, address netip.AddrPort, fresh bool) (conn *drpcconn.Conn, stream carrier.DRPCCarrier_CallClient, err error) {
	conn, err = d.getConn(ctx, address, fresh)
	if err != nil {
		return nil, nil, err
	}
	stream, err = carrier.NewDRPCCarrierClient(conn).Call(streamCtx)
	if err == nil {
		return conn, stream, nil
	}
	_ = conn.Close()
	if !fresh {
		return d.openStream(ctx, streamCtx, address, true)
	}
	return nil, nil, &dialError{cause: err}
}

// Identify returns the incarnation of the agent at the member's address. If the
// first attempt fails, it tries once more on a new connection. The error is a
// [*banyanplank.Refusal] with [banyanplank.NotRun].
func (d *Dialer) Identify(ctx context.Context, member banyanplank.Member) (incarnation banyanplank.Incarnation, err error) {
	incarnation, err = d.identify(ctx, member, false)
	if err != nil && ctx.Err() == nil {
		incarnation, err = d.identify(ctx, member, true)
	}
	if err != nil {
		return 0, toRefusal(&dialError{cause: err})
	}
	return incarnation, nil
}

func (d *Dialer) identify(ctx context.Context, member banyanplank.Member, fresh bool) (incarnation banyanplank.Incarnation, err error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	conn, err := d.getConn(ctx, member.PeerAddress, fresh)
	if err != nil {
		return 0, err
	}
	reply, err := carrier.NewDRPCCarrierClient(conn).Identify(ctx, &carrier.IdentifyRequest{})
	d.putConn(member.PeerAddress, conn, err == nil)
	if err != nil {
		return 0, err
	}
	if reply.GetDaemon() != string(member.ID) {
		return 0, errors.Newf("daemon %s replied instead of %s", reply.GetDaemon(), member.ID)
	}
	return banyanplank.Incarnation(reply.GetIncarnation()), nil
}

// getConn returns a connection to the peer from the pool, or dials one if the
// pool has none or fresh is true.
func (d *Dialer) getConn(ctx context.Context, address netip.AddrPort, fresh bool) (conn *drpcconn.Conn, err error) {
	if !fresh {
		if conn, ok := d.pool.Take(address); ok {
			return conn, nil
		}
	}
	return d.dial(ctx, address)
}

// putConn returns a reusable connection to the pool. Otherwise it closes the
// connection and all pooled ones to the same peer: the fault that broke one may
// have broken them all, and dialing costs less than checking each.
func (d *Dialer) putConn(address netip.AddrPort, conn *drpcconn.Conn, reusable bool) {
	if reusable {
		d.pool.Put(address, conn)
		return
	}
	_ = conn.Close()
	for {
		idle, ok := d.pool.Take(address)
		if !ok {
			return
		}
		_ = idle.Close()
	}
}

// Detach makes calls that end from now on leave their requests running, so
// that callers can resume them at another entry. Use it when a planned shutdown
// has reached its time limit.
func (d *Dialer) Detach() {
	d.detached.Store(true)
}

// toRefusal converts any error of a call into a refusal. Only a failed dial
// proves that the agent did not receive the request.
func toRefusal(err error) error {
	if err == nil {
		return nil
	}
	var refusal *banyanplank.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	outcome := banyanplank.OutcomeUnknown
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		outcome = banyanplank.NotRun
	}
	return &banyanplank.Refusal{
		Outcome: outcome,
		Reason:  banyanplank.ReasonUnreachable,
		Detail:  err.Error(),
	}
}
