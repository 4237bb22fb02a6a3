package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
)

// Limits on memory and connections.
const (
	// heapShare is the fraction of the instance's memory that the heap may take
	// before the garbage collector runs more often. The rest is for buffers of the
	// kernel.
	heapShare = 0.6
	// heapGrowthPercent is how far the heap grows between two garbage collections. It
	// trades memory for processor time, which is scarcer here.
	heapGrowthPercent = 400
)

// memberPollInterval is the time between two reads of the platform's list of entries.
// An entry reads the list at its start and sends heartbeats to all, so later reads
// only remove stale entries.
const memberPollInterval = 20 * time.Second

// Run serves until ctx ends, then drains and stops. It returns the error of a
// listener that failed, or of another part of the daemon.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run entry") }()
	debug.SetMemoryLimit(int64(heapShare * float64(d.settings.Limits.Memory)))
	debug.SetGCPercent(heapGrowthPercent)
	d.logger.Info().Str("name", string(d.self.ID)).Str("zone", string(d.self.Zone)).
		Stringer("caller", d.settings.Listen.Caller).Uint64("incarnation", uint64(d.self.Incarnation)).Msg("start")
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

// start starts the control loop, the stepper, the probes, the heartbeats and the
// watches of topics.
func (d *Daemon) start(work *pool.ContextPool) {
	work.Go(d.loop.Run)
	work.Go(d.stepper.Run)
	work.Go(d.gateway.runProbes)
	work.Go(d.gateway.cancelSuspects)
	work.Go(d.beater.Run)
	work.Go(d.keepFindings)
	d.duties.start(work)
	if d.usage != nil {
		work.Go(d.runUsage)
	}
	work.Go(func(ctx context.Context) error {
		d.limiter.Run(ctx)
		return nil
	})
	work.Go(func(ctx context.Context) error {
		d.follower.Poll(ctx, banyanplank.TopicMembers, memberPollInterval)
		return nil
	})
	for _, topic := range []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicBackends, banyanplank.TopicZonesOut} {
		work.Go(func(ctx context.Context) error {
			d.follower.Follow(ctx, topic)
			return nil
		})
	}
}

// listen opens and serves the configured addresses. The first server is the one for
// callers.
func (d *Daemon) listen(work *pool.ContextPool) (servers []*http.Server, err error) {
	bindings := []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{d.settings.Listen.Caller, d.limiter.New(d.gateway)},
		{d.settings.Listen.Directory, d.limiter.NewShort(d.directory)},
		{d.settings.Listen.Ready, d.limiter.NewShort(d.ready)},
		{d.settings.Listen.Peer, d.limiter.NewShort(d.relay.handler())},
		{d.settings.Listen.Metrics, d.limiter.NewShort(http.HandlerFunc(d.writeMetrics))},
	}
	for _, b := range bindings {
		if !b.address.IsValid() {
			continue
		}
		listener, err := d.limiter.Listen(b.address.String())
		if err != nil {
			return nil, err
		}
		servers = append(servers, b.server)
		work.Go(func(context.Context) error {
			if err := b.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return servers, nil
}

// drain stops gracefully: it removes the entry from the directory, serves callers that still
// have its address, and waits for running calls to end.
func (d *Daemon) drain(ctx context.Context, servers []*http.Server) {
	grace := time.Duration(d.settings.Limits.Grace)
	times := newStopTimes(time.Now(), grace)
	d.logger.Info().Int64("running", d.gateway.activeCalls.Load()).Dur("grace", grace).Msg("drain")
	d.gateway.beginStop(times)
	d.loop.Send(ctx, surveyor.DrainMsg{})
	d.duties.release(ctx)
	waitUntil(ctx, times.closeAt)
	d.shutdown(ctx, servers[0], times)
	for _, s := range servers {
		if err := s.Close(); err != nil {
			d.logger.Warn().Err(err).Msg("close server")
		}
	}
}

// shutdown closes the address for callers and waits for running calls. Those that don't end
// in time are answered as failed.
func (d *Daemon) shutdown(ctx context.Context, server *http.Server, times *stopTimes) {
	answerCtx, cancel := context.WithDeadline(ctx, times.answerBy)
	defer cancel()
	if server.Shutdown(answerCtx) == nil {
		return
	}
	d.logger.Warn().Int("running", d.gateway.calls.stopAll()).Msg("calls ended by stop")
	finishCtx, cancel := context.WithDeadline(ctx, times.finishBy)
	defer cancel()
	if err := server.Shutdown(finishCtx); err != nil {
		d.logger.Warn().Err(err).Int64("running", d.gateway.activeCalls.Load()).Msg("calls cut by stop")
	}
}
