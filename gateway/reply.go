package gateway

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// observeReply applies the state that the endpoint of the lease reports with its
// response, such as a planned exit or a pause.
func (f *forwarder) observeReply(reply *banyanplank.ReplyInfo) {
	g, b := f.gateway, f.lease.Backend
	if reply.InvalidPause != "" {
		g.logger.Warn().Str("endpoint", string(b.ID)).Str("id", f.info.Attempt).Str("pause", reply.InvalidPause).Dur("taken", reply.Pause).Msg("odd pause")
	}
	f.observeLimit(reply)
	if !f.lease.RecordReply(reply) {
		return
	}
	if reply.Leaving {
		g.recordLeaving(banyanplank.LeavingBackend{ID: b.ID, Born: b.Born}, "endpoint")
	}
	if reply.Pause > 0 {
		g.counters.set.GetOrCreateCounter("banyanplank_endpoint_pauses_total").Inc()
		g.logger.Warn().Str("endpoint", string(b.ID)).Str("id", f.info.Attempt).Dur("pause", reply.Pause).Msg("endpoint pauses")
	}
}

// observeLimit applies the rate limit that the endpoint of the lease names with its response.
func (f *forwarder) observeLimit(reply *banyanplank.ReplyInfo) {
	g, endpoint := f.gateway, string(f.lease.Backend.ID)
	if reply.InvalidRateLimit != "" {
		g.logger.Warn().Str("endpoint", endpoint).Str("id", f.info.Attempt).Str("limit", reply.InvalidRateLimit).Msg("odd limit")
	}
	if !f.lease.RecordLimit(reply) {
		return
	}
	event := "endpoint limit ended"
	if reply.IsRateLimited {
		event = "endpoint limits"
		g.counters.set.GetOrCreateCounter("banyanplank_endpoint_limits_total").Inc()
	}
	g.logger.Info().Str("endpoint", endpoint).Str("id", f.info.Attempt).Float64("limit", reply.RateLimit).Msg(event)
}

// recordLeaving records and logs that an endpoint announced its exit, so that the
// exit does not count as a crash. Source names who reported it.
func (g *Gateway) recordLeaving(l banyanplank.LeavingBackend, source string) {
	g.crashTracker.RecordLeaving(time.Now(), l.ID, l.Born)
	g.counters.set.GetOrCreateCounter("banyanplank_endpoint_leavers_total").Inc()
	g.logger.Info().Str("endpoint", string(l.ID)).Time("born", l.Born).Str("source", source).Msg("endpoint leaves")
}
