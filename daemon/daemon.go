// Package daemon builds a daemon from its settings, in the role of an entry or
// an agent, and runs it until its context is canceled.
package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/spreader"
	"github.com/banyanplank/banyanplank/state/keeper"
	"github.com/banyanplank/banyanplank/state/loader"
	"github.com/banyanplank/banyanplank/state/tallier"
	"github.com/banyanplank/banyanplank/transport/dialer"
	"github.com/banyanplank/banyanplank/transport/listener"
	"github.com/banyanplank/banyanplank/transport/logger"
)

// Daemon is one load balancer process: an entry, which receives calls, or an
// agent, which runs requests at the endpoint beside it.
type Daemon struct {
	settings     loader.Settings
	store        banyanplank.ObjectStore
	instances    banyanplank.InstanceList
	logger       *log.Logger
	keeper       *keeper.Keeper
	member       banyanplank.Member
	dialer       *dialer.Dialer
	listener     *listener.Listener
	tallier      *tallier.Tallier
	role         role
	groupLease   GroupLease
	planInterval time.Duration
	spreader     *spreader.Spreader
	background   conc.WaitGroup
}

// role is the part of a daemon that differs between an entry and an agent.
type role interface {
	// serve handles traffic until ctx is canceled.
	serve(ctx context.Context) (err error)
	// reconfigure applies the members and the keeper's current configuration.
	reconfigure(now time.Time, members []banyanplank.Member)
	// drain refuses new requests and waits until none is in flight or ctx is
	// canceled.
	drain(ctx context.Context)
	// inFlight returns the number of running requests.
	inFlight() (requests int)
	// isReady reports whether the daemon may admit requests.
	isReady() (ready bool)
}

// Option configures a [Daemon].
type Option func(*Daemon)

// WithStore sets the client of the platform's object API, for tests. The
// default is an HTTP client for the address in the settings.
func WithStore(store banyanplank.ObjectStore) Option {
	return func(d *Daemon) { d.store = store }
}

// WithInstances sets the source of the platform's list of instances, for
// tests. The default is an HTTP client for the address in the settings.
func WithInstances(list banyanplank.InstanceList) Option {
	return func(d *Daemon) { d.instances = list }
}

// WithGroupLease sets the lease of the agent's group of ranks, for tests. The
// default is a lease in the object API.
func WithGroupLease(lease GroupLease) Option {
	return func(d *Daemon) { d.groupLease = lease }
}

// WithPlanInterval sets the interval between two plans of a group's expert
// placement and between two full load reports, for tests. The default is one
// minute.
func WithPlanInterval(interval time.Duration) Option {
	return func(d *Daemon) { d.planInterval = interval }
}

// WithLog sets the writer of the log. The default discards the log.
func WithLog(out io.Writer) Option {
	return func(d *Daemon) { d.logger = logger.New(out) }
}

// New returns a daemon that is not yet running. It fails if the TLS keys or the
// platform's bearer key that the settings name cannot be loaded.
func New(settings loader.Settings, options ...Option) (daemon *Daemon, err error) {
	defer func() { err = errors.Wrap(err, "build daemon") }()
	d := &Daemon{
		settings:     settings,
		logger:       logger.New(io.Discard),
		keeper:       &keeper.Keeper{},
		planInterval: defaultPlanInterval,
		member:       newMember(settings, time.Now()),
	}
	d.tallier = tallier.New(d.member)
	for _, option := range options {
		option(d)
	}
	if err := d.connectPlatform(); err != nil {
		return nil, err
	}
	config, err := settings.Keys.TLS()
	if err != nil {
		return nil, err
	}
	if err := d.assemble(config); err != nil {
		return nil, err
	}
	return d, nil
}

// newMember returns the member record that peers receive of the daemon. Its
// incarnation derives from startTime.
func newMember(settings loader.Settings, startTime time.Time) (member banyanplank.Member) {
	return banyanplank.Member{
		ID:            settings.Name,
		Incarnation:   banyanplank.NewIncarnation(startTime),
		Role:          settings.Role,
		Instance:      settings.Instance,
		Zone:          settings.Zone,
		PeerAddress:   settings.Listen.Peer,
		CallerAddress: settings.Listen.Caller,
		Service:       settings.Endpoint.Service,
		Group:         settings.Endpoint.Group,
		Rank:          settings.Endpoint.Rank,
	}
}

// assemble builds the listener, the role and the spreader.
func (d *Daemon) assemble(config *tls.Config) (err error) {
	d.listener = listener.New(listener.WithTLS(config), listener.WithOnError(d.logPeerError))
	if d.settings.Role == banyanplank.RoleEntry {
		if d.role, err = newEntry(d, config); err != nil {
			return err
		}
		return d.assembleSpreader()
	}
	d.dialer = dialer.New(dialer.WithTLS(config))
	if d.groupLease == nil && d.member.Group != "" {
		d.groupLease = newGroupLease(d.store, d.member)
	}
	if d.role, err = newAgent(d); err != nil {
		return err
	}
	return d.assembleSpreader()
}

func (d *Daemon) logPeerError(err error) {
	d.logger.Warn().Err(err).Msg("peer_failed")
}

// Run serves until ctx is canceled, then shuts down gracefully: it refuses new
// requests and waits for running ones, up to the drain limit in the settings. It
// returns the first error of any of the daemon's servers and loops.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run daemon") }()
	d.logger.Info().Str("role", string(d.settings.Role)).Str("name", string(d.settings.Name)).
		Str("zone", string(d.settings.Zone)).Msg("started")
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := pool.New().WithContext(serving).WithCancelOnError().WithFirstError()
	group.Go(d.servePeers)
	group.Go(d.serveAdmin)
	group.Go(d.role.serve)
	group.Go(d.runSpreader)
	group.Go(d.storeTallies)
	group.Go(func(inner context.Context) (err error) {
		defer stop()
		select {
		case <-inner.Done():
		case <-ctx.Done():
			d.drain(inner)
		}
		return nil
	})
	err = group.Wait()
	_ = d.dialer.Close()
	d.logger.Info().Msg("stopped")
	return err
}

// drain leaves the membership and drains the role within the drain limit.
func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Limits.Drain))
	defer cancel()
	d.logger.Info().Int("running", d.role.inFlight()).Msg("draining")
	d.leaveMembership(ctx)
	d.role.drain(ctx)
	d.logger.Info().Int("running", d.role.inFlight()).Msg("drained")
}

func (d *Daemon) servePeers(ctx context.Context) (err error) {
	l, err := listen(ctx, d.settings.Listen.Peer)
	if err != nil {
		return err
	}
	return d.listener.Serve(ctx, l)
}

// listen opens a TCP listener at address.
func listen(ctx context.Context, address netip.AddrPort) (l net.Listener, err error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address.String())
}

// serveHTTP serves until ctx is canceled, then closes the remaining connections.
func serveHTTP(ctx context.Context, server *http.Server, address netip.AddrPort) (err error) {
	l, err := listen(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
