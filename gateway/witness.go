package gateway

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// The looks whether endpoints at which calls broke still live.
const (
	// probers is how many are made at a time. One takes a round trip, or the time to
	// connect when nothing answers at all.
	probers = 4
	// maxProbes bounds those that wait. A lost rank breaks the calls at all others.
	maxProbes = 64
)

// judge refuses a request that is found to crash endpoints.
func (f *flow) judge() (err error) {
	guilty, left := f.gateway.witness.Judge(time.Now(), f.print)
	if !guilty {
		return nil
	}
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonSuspect,
		RetryAfter: left,
		Detail:     "endpoints ended while they ran this request",
	}
}

// lastRun describes the latest send of the call.
func (f *flow) lastRun() (r suspecter.Run) {
	b := f.lease.Backend
	return suspecter.Run{Request: f.print, Endpoint: b.ID, Address: b.Address, Born: b.Born, Began: f.sent}
}

// noteBroken has the witness know of a send whose answer broke off, and has it found out
// whether the endpoint still lives.
func (f *flow) noteBroken(err error) {
	switch {
	case errors.Is(err, errCaller), errors.Is(err, errHeld), errors.Is(err, errSlow):
		return
	case errors.Is(err, requester.ErrSilent), errors.Is(err, os.ErrDeadlineExceeded):
		f.gateway.witness.Stalled(time.Now(), f.lastRun())
		return
	case !f.gateway.witness.Broke(time.Now(), f.lastRun()):
		return
	}
	select {
	case f.gateway.probes <- f.lease.Backend:
	default:
		f.gateway.witness.Probed(f.lease.Backend.ID, f.lease.Backend.Born)
		f.gateway.counters.set.GetOrCreateCounter("banyanplank_probes_dropped_total").Inc()
	}
}

// noteUnreached has the witness know of an endpoint at whose address nothing listens.
func (f *flow) noteUnreached(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.gateway.witness.Died(time.Now(), f.lease.Backend.ID, f.lease.Backend.Born)
	}
}

// probe finds out whether endpoints live until ctx ends.
func (g *Gateway) probe(ctx context.Context) (err error) {
	work := pool.New()
	for range probers {
		work.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case backend := <-g.probes:
					g.look(ctx, backend)
				}
			}
		})
	}
	work.Wait()
	return nil
}

// look finds out whether an endpoint lives.
func (g *Gateway) look(ctx context.Context, backend *banyanplank.Backend) {
	err := g.requester.Probe(ctx, backend)
	g.counters.set.GetOrCreateCounter("banyanplank_probes_total").Inc()
	switch {
	case err == nil:
		g.witness.Probed(backend.ID, backend.Born)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.witness.Died(time.Now(), backend.ID, backend.Born)
	default:
		g.witness.Probed(backend.ID, backend.Born)
		g.logger.Warn().Err(err).Str("endpoint", string(backend.ID)).Msg("probe failed")
	}
}

// noteWitness logs a change of what the witness believes.
func noteWitness(logger *log.Logger, c *counters) func(n suspecter.Note) {
	return func(n suspecter.Note) {
		requests := make([]string, len(n.Requests))
		for i, r := range n.Requests {
			requests[i] = r.String()
		}
		switch n.Event {
		case suspecter.EventDied:
			c.set.GetOrCreateCounter("banyanplank_endpoint_deaths_total").Inc()
		case suspecter.EventConvicted:
			c.set.GetOrCreateCounter("banyanplank_convictions_total").Add(len(requests))
		}
		logger.Warn().Str("endpoint", string(n.Endpoint)).Strs("requests", requests).Str("how", n.How).Dur("age", n.Age).Msg(n.Event)
	}
}
