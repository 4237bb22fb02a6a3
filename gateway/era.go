package gateway

import (
	"sync/atomic"
	"time"

	"github.com/banyanplank/banyanplank"
)

// eraState holds the era of the store, and when it changed.
type eraState struct {
	latest atomic.Uint64
	// changedAt is when the era last changed, in nanoseconds of the Unix time, or zero.
	changedAt atomic.Int64
	invalid   errorLog
}

// registerEraMetrics registers the metrics of the store's era.
func (d *Daemon) registerEraMetrics() {
	set := d.gateway.counters.set
	set.GetOrCreateCounter("banyanplank_store_returns_total")
	set.GetOrCreateCounter("banyanplank_store_era_invalid_total")
	set.NewGauge("banyanplank_store_era", func() float64 { return float64(d.era.latest.Load()) })
	set.NewGauge("banyanplank_store_era_age_seconds", func() float64 {
		changedAt := d.era.changedAt.Load()
		if changedAt == 0 {
			return 0
		}
		return time.Since(time.Unix(0, changedAt)).Seconds()
	})
}

// RecordEra records that a response shows a later era of the store. The first one is no return
// from an older copy.
func (d *Daemon) RecordEra(previous, era banyanplank.Era) {
	// Responses that arrive together may report their eras in any order.
	for latest := d.era.latest.Load(); uint64(era) > latest && !d.era.latest.CompareAndSwap(latest, uint64(era)); latest = d.era.latest.Load() {
	}
	d.era.changedAt.Store(time.Now().UnixNano())
	d.duties.setEra(era)
	if previous > 0 {
		d.gateway.counters.set.GetOrCreateCounter("banyanplank_store_returns_total").Inc()
		d.forgetSavedFindings()
		// The copy may lack this entry.
		d.follower.RecordHint(banyanplank.TopicMembers, banyanplank.Position{Era: era})
	}
	d.logger.Info().Uint64("previous", uint64(previous)).Uint64("era", uint64(era)).Msg("store era")
}

// RecordInvalidEra logs and counts that the era of a response is missing or malformed.
func (d *Daemon) RecordInvalidEra(err error) {
	d.gateway.counters.set.GetOrCreateCounter("banyanplank_store_era_invalid_total").Inc()
	d.logError(&d.era.invalid, "store era ignored", err)
}
