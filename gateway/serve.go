package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
)

// The use of memory and connections.
const (
	// heapShare is the part of the instance's memory that the heap may take
	// before the collector works harder. The rest is for buffers of the system.
	heapShare = 0.6
	// heapGrowth is how far the heap grows between two collections, in percent.
	// Memory is cheap here and processor time is not.
	heapGrowth = 400
	// headerTimeout bounds the time to read a header.
	headerTimeout = 30 * time.Second
	// idleTimeout is longer than operators let callers keep an unused
	// connection, so that an entry never closes one that is about to be used.
	idleTimeout = 2 * time.Minute
)

// memberPoll is the time between two looks at the platform's list of entries. An
// entry that starts reads the list and sends heartbeats to all, so the list only
// has to be tidied.
const memberPoll = 20 * time.Second

// The stop of an entry.
const (
	// drainShare is the part of the grace during which a stopping entry takes
	// new calls, because callers still hold the directory's last answer.
	drainShare = 0.5
	// lastShare is the part of the grace by which all calls must be done.
	lastShare = 0.95
)

// Run serves until ctx ends, then stops as planned.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run entry") }()
	debug.SetMemoryLimit(int64(heapShare * float64(d.settings.Limits.Memory)))
	debug.SetGCPercent(heapGrowth)
	d.logger.Info().Str("name", string(d.member.ID)).Str("zone", string(d.member.Zone)).
		Stringer("caller", d.settings.Listen.Caller).Uint64("incarnation", uint64(d.member.Incarnation)).Msg("start")
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	work := pool.New().WithErrors().WithContext(inner).WithCancelOnError()
	servers, err := d.listen(work)
	if err != nil {
		return err
	}
	d.start(work)
	work.Go(func(inner context.Context) error {
		select {
		case <-inner.Done():
			return nil
		case <-ctx.Done():
		}
		d.drain(inner, servers)
		cancel()
		return nil
	})
	err = work.Wait()
	d.logger.Info().Err(err).Msg("stop")
	return err
}

// start begins the control loop, the heartbeats and the following of topics.
func (d *Daemon) start(work *pool.ContextPool) {
	work.Go(d.loop.Run)
	work.Go(d.stepper.Run)
	work.Go(d.gateway.probe)
	b := beater.New(d.settings.Listen.Peer, d.compose, d.hear, d.failBeat)
	work.Go(b.Run)
	work.Go(func(ctx context.Context) error {
		d.follower.Poll(ctx, banyanplank.TopicMembers, memberPoll)
		return nil
	})
	for _, topic := range []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicBackends, banyanplank.TopicZonesOut} {
		work.Go(func(ctx context.Context) error {
			d.follower.Follow(ctx, topic)
			return nil
		})
	}
}

// listen opens the addresses and serves them.
func (d *Daemon) listen(work *pool.ContextPool) (servers []*http.Server, err error) {
	listening := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{d.settings.Listen.Caller, d.gateway},
		{d.settings.Listen.Directory, d.directory},
		{d.settings.Listen.Ready, d.ready},
		{d.settings.Listen.Peer, d.relay.handler()},
		{d.settings.Listen.Metrics, http.HandlerFunc(d.writeMetrics)},
	}
	for _, l := range listening {
		if !l.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		servers = append(servers, server)
		work.Go(func(context.Context) error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return servers, nil
}

// drain stops as planned: it takes itself out of the directory, serves on while
// callers still come, and lets what runs end.
func (d *Daemon) drain(ctx context.Context, servers []*http.Server) {
	began := time.Now()
	grace := time.Duration(d.settings.Limits.Grace)
	d.logger.Info().Int64("running", d.gateway.running.Load()).Dur("grace", grace).Msg("drain")
	d.gateway.draining.Store(true)
	d.loop.Send(ctx, surveyor.DrainMsg{})
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(drainShare * float64(grace))):
	}
	last, cancel := context.WithDeadline(ctx, began.Add(time.Duration(lastShare*float64(grace))))
	defer cancel()
	if err := servers[0].Shutdown(last); err != nil {
		d.logger.Warn().Err(err).Int64("running", d.gateway.running.Load()).Msg("calls cut by stop")
	}
	for _, s := range servers {
		if err := s.Close(); err != nil {
			d.logger.Warn().Err(err).Msg("close server")
		}
	}
}
