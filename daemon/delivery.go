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
	// accountBudgetDivisor divides the budget for held answers: one client account may
	// use a quarter of it.
	accountBudgetDivisor = 4
	// maxAttempts bounds the attempts and connections of one request. It leaves
	// room for failures at several agents of a zone that has just been taken out of
	// service.
	maxAttempts = 8
	// sweepInterval is the interval at which all entries together sweep one shard
	// for expired claims, and maxSweptClaims bounds the claims deleted per sweep.
	// Both bound the store calls.
	sweepInterval  = 2 * time.Second
	maxSweptClaims = 200
	// drainLogInterval is the interval between progress log lines of a drain.
	drainLogInterval = time.Second
)

// newForwarder returns the forwarder of an entry.
func newForwarder(d *Daemon, picker banyanplank.Picker, relay *suspecter.Relay) *forwarder.Forwarder {
	return forwarder.New(picker, findingsOpener{Opener: d.dialer, relay: relay},
		forwarder.WithRetrier(newRetrier(d.member)),
		forwarder.WithMaxAttempts(maxAttempts),
		forwarder.WithZone(d.settings.Zone),
		forwarder.WithClaimer(claimer.New(d.store)),
		forwarder.WithLocator(d.findMember),
	)
}

// findMember returns the daemon with the given id, including one that is leaving.
func (d *Daemon) findMember(id banyanplank.DaemonID) (member banyanplank.Member, ok bool) {
	for _, m := range d.members() {
		if m.ID == id && m.State != banyanplank.MemberGone {
			return m, true
		}
	}
	return member, false
}

// newHolder returns the holder of a daemon's answers, which enforces the budgets
// for held bytes, and registers metrics of its usage.
func newHolder(d *Daemon) (h *holder.Holder) {
	budget := int(d.settings.Limits.Held)
	h = holder.New(holder.WithDaemonBytes(budget), holder.WithAccountBytes(budget/accountBudgetDivisor))
	label := `{daemon="` + string(d.settings.Name) + `"}`
	metrics.GetOrCreateGauge("banyanplank_held_bytes"+label, func() float64 { return float64(h.Usage().Bytes) })
	metrics.GetOrCreateGauge("banyanplank_held_streams"+label, func() float64 { return float64(h.Usage().Streams) })
	metrics.GetOrCreateGauge("banyanplank_held_parked"+label, func() float64 { return float64(h.Usage().WaitingProducers) })
	return h
}

// sweepClaims deletes expired claims until ctx is canceled. Each sweep covers one
// random shard, and the interval grows with the number of live entries, so that
// the total rate of store calls stays constant.
func (d *Daemon) sweepClaims(ctx context.Context) (err error) {
	claims := claimer.New(d.store)
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-timer.C:
			shard := rand.IntN(claimer.Shards)
			deleted, err := claims.Sweep(ctx, now, shard, maxSweptClaims)
			if err != nil {
				d.logger.Warn().Err(err).Msg("sweep_failed")
			}
			if deleted > 0 {
				d.logger.Info().Int("shard", shard).Int("deleted", deleted).Msg("swept")
			}
			timer.Reset(sweepInterval * time.Duration(max(1, d.countLiveEntries())))
		}
	}
}

// countLiveEntries returns the number of known live entries.
func (d *Daemon) countLiveEntries() (entries int) {
	for _, m := range d.members() {
		if m.Role == banyanplank.RoleEntry && m.State == banyanplank.MemberLive {
			entries++
		}
	}
	return entries
}

// waitIdle waits until running returns zero or ctx is canceled, and logs the
// progress of the drain. It reports whether running returned zero.
func (d *Daemon) waitIdle(ctx context.Context, running func() int) (idle bool) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	lastLog := time.Now()
	for running() > 0 {
		select {
		case <-ctx.Done():
			d.logger.Warn().Int("running", running()).Msg("drain_limit")
			return false
		case now := <-ticker.C:
			if now.Sub(lastLog) >= drainLogInterval {
				lastLog = now
				d.logger.Info().Int("running", running()).Msg("draining")
			}
		}
	}
	return true
}
