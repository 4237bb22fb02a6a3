package daemon

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/claimer"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/state/holder"
	"github.com/banyanplank/banyanplank/state/recorder"
)

const (
	// accountShare is the part of an agent's budget for held answers that one
	// client account may use.
	accountShare = 4
	// sweepInterval is the time between two shards of claims that an entry
	// looks through for expired ones.
	sweepInterval = time.Minute
	// progressInterval is the time between two log lines of a planned stop.
	progressInterval = time.Second
)

// newForwarder returns what takes an entry's requests to agents.
func newForwarder(d *Daemon, picker banyanplank.Picker, relay *suspecter.Relay) *forwarder.Forwarder {
	return forwarder.New(picker, relaying{Opener: d.dialer, relay: relay},
		forwarder.WithRetrier(newRetrier(d.member)),
		forwarder.WithZone(d.settings.Zone),
		forwarder.WithClaimer(claimer.New(d.store)),
		forwarder.WithLocator(d.locate),
	)
}

// locate finds an agent by its name, leaving ones included.
func (d *Daemon) locate(id banyanplank.DaemonID) (member banyanplank.Member, ok bool) {
	for _, m := range d.members() {
		if m.ID == id && m.State != banyanplank.MemberGone {
			return m, true
		}
	}
	return member, false
}

// newRunner returns what runs an agent's requests.
func newRunner(d *Daemon, endpoint banyanplank.Endpoint, admitter banyanplank.Admitter) *runner.Runner {
	held := newHolder(d)
	records := recorder.New(d.member.ID, d.member.Incarnation)
	return runner.New(endpoint, admitter, records, runner.WithHolder(held))
}

// newHolder returns the budgets for held answers and shows their use.
func newHolder(d *Daemon) (held *holder.Holder) {
	budget := int(d.settings.Limits.Held)
	held = holder.New(holder.WithDaemonBytes(budget), holder.WithAccountBytes(budget/accountShare))
	label := `{daemon="` + string(d.settings.Name) + `"}`
	metrics.GetOrCreateGauge("banyanplank_held_bytes"+label, func() float64 { return float64(held.Usage().Bytes) })
	metrics.GetOrCreateGauge("banyanplank_held_streams"+label, func() float64 { return float64(held.Usage().Streams) })
	metrics.GetOrCreateGauge("banyanplank_held_parked"+label, func() float64 { return float64(held.Usage().Parked) })
	return held
}

// sweep deletes expired claims, one shard at a time, until ctx ends. Entries
// begin at different shards, so that they seldom look at the same one.
func (d *Daemon) sweep(ctx context.Context) (err error) {
	claims := claimer.New(d.store)
	shard := int(uint64(d.member.Incarnation) % claimer.Shards)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			deleted, err := claims.Sweep(ctx, now, shard)
			if err != nil {
				d.logger.Warn().Err(err).Msg("sweep_failed")
			}
			if deleted > 0 {
				d.logger.Info().Int("shard", shard).Int("deleted", deleted).Msg("swept")
			}
			shard = (shard + 1) % claimer.Shards
		}
	}
}

// awaitIdle waits until running is zero or ctx ends, and logs the progress of
// the planned stop.
func (d *Daemon) awaitIdle(ctx context.Context, running func() int) (idle bool) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	logged := time.Now()
	for running() > 0 {
		select {
		case <-ctx.Done():
			d.logger.Warn().Int("running", running()).Msg("drain_limit")
			return false
		case now := <-ticker.C:
			if now.Sub(logged) >= progressInterval {
				logged = now
				d.logger.Info().Int("running", running()).Msg("draining")
			}
		}
	}
	return true
}
