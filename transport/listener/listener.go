// Package listener serves the daemons' own protocol to their peers.
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
	mux    *drpcmux.Mux
	config *tls.Config
	failed func(error)
}

// Option configures a [Listener].
type Option func(*Listener)

// WithTLS secures all connections with config. Use it everywhere but in tests.
// The default accepts connections in the clear.
func WithTLS(config *tls.Config) Option {
	return func(l *Listener) { l.config = config }
}

// WithFailed calls failed with errors of single connections, for the log. The
// default drops them.
func WithFailed(failed func(error)) Option {
	return func(l *Listener) { l.failed = failed }
}

// New returns a listener that serves nothing yet.
func New(options ...Option) *Listener {
	l := &Listener{mux: drpcmux.New(), failed: func(error) {}}
	for _, option := range options {
		option(l)
	}
	return l
}

// Mux returns where services register before [Listener.Serve].
func (l *Listener) Mux() (mux *drpcmux.Mux) { return l.mux }

// HandleCalls serves the calls of entries with runner. Call it before
// [Listener.Serve].
func (l *Listener) HandleCalls(runner Runner) (err error) {
	return carrier.DRPCRegisterCarrier(l.mux, &calls{runner: runner})
}

// Serve accepts connections from open until ctx ends, then closes all of them.
func (l *Listener) Serve(ctx context.Context, open net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve peers") }()
	if l.config != nil {
		open = tls.NewListener(open, l.config)
	}
	server := drpcserver.NewWithOptions(l.mux, drpcserver.Options{
		Manager: dialer.ManagerOptions(),
		Log:     l.failed,
	})
	return server.Serve(ctx, open)
}
