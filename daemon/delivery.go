package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/claimer"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/state/holder"
)

const (
	// accountShare is the part of an agent's budget for held answers that one
	// client account may use.
	accountShare = 4
	// attempts bounds the attempts and connections of one request. It leaves
	// room for several agents of a zone that has just been taken out.
	attempts = 8
	// sweepInterval is the time between two shards of claims that all entries
	// together look through for expired ones, and sweepLimit bounds the claims
	// deleted in one. Both bound the calls to the store.
	sweepInterval = 2 * time.Second
	sweepLimit    = 200
	// progressInterval is the time between two log lines of a planned stop.
	progressInterval = time.Second
)

// newForwarder returns what takes an entry's requests to agents.
func newForwarder(d *Daemon, picker banyanplank.Picker, relay *suspecter.Relay) *forwarder.Forwarder {
	return forwarder.New(picker, relaying{Opener: d.dialer, relay: relay},
		forwarder.WithRetrier(newRetrier(d.member)),
		forwarder.WithAttempts(attempts),
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

// sweep deletes expired claims, one shard at a time, until ctx ends. Each entry
// chooses shards at random, the more seldom the more entries there are.
func (d *Daemon) sweep(ctx context.Context) (err error) {
	claims := claimer.New(d.store)
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-timer.C:
			shard := rand.IntN(claimer.Shards)
			deleted, err := claims.Sweep(ctx, now, shard, sweepLimit)
			if err != nil {
				d.logger.Warn().Err(err).Msg("sweep_failed")
			}
			if deleted > 0 {
				d.logger.Info().Int("shard", shard).Int("deleted", deleted).Msg("swept")
			}
			timer.Reset(sweepInterval * time.Duration(max(1, d.countEntries())))
		}
	}
}

// countEntries counts the entries that this daemon knows.
func (d *Daemon) countEntries() (entries int) {
	for _, m := range d.members() {
		if m.Role == banyanplank.RoleEntry && m.State == banyanplank.MemberLive {
			entries++
		}
	}
	return entries
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
