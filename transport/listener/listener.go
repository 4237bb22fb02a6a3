// Package listener serves the protocol between daemons.
package listener

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/banyanplank/banyanplank/protocol/carrier"
	"github.com/banyanplank/banyanplank/transport/dialer"
)

// Listener serves calls from peers.
type Listener struct {
	mux     *drpcmux.Mux
	config  *tls.Config
	onError func(error)
}

// Option configures a [Listener].
type Option func(*Listener)

// WithTLS secures all connections with config. Without it, connections are
// not encrypted; use that in tests only.
func WithTLS(config *tls.Config) Option {
	return func(l *Listener) { l.config = config }
}

// WithOnError calls onError with the errors of individual connections. By default
// they are dropped.
func WithOnError(onError func(error)) Option {
	return func(l *Listener) { l.onError = onError }
}

// New returns a listener without services.
func New(options ...Option) *Listener {
	l := &Listener{mux: drpcmux.New(), onError: func(error) {}}
	for _, option := range options {
		option(l)
	}
	return l
}

// Mux returns the multiplexer for services. Register them before
// [Listener.Serve].
func (l *Listener) Mux() (mux *drpcmux.Mux) { return l.mux }

// HandleCalls registers the service that runs the calls of entries with runner.
// Call it before [Listener.Serve].
func (l *Listener) HandleCalls(runner Runner) (err error) {
	return carrier.DRPCRegisterCarrier(l.mux, &callServer{runner: runner})
}

// Serve accepts connections from netListener until ctx ends, then closes them
// all.
func (l *Listener) Serve(ctx context.Context, netListener net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve peers") }()
	if l.config != nil {
		netListener = tls.NewListener(netListener, l.config)
	}
	server := drpcserver.NewWithOptions(l.mux, drpcserver.Options{
		Manager: dialer.ManagerOptions(),
		Log:     l.onError,
	})
	return server.Serve(ctx, netListener)
}
