package gateway

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// hear takes in what the endpoint of the lease says with its answer.
func (f *flow) hear(reply *banyanplank.ReplyInfo) {
	g, b := f.gateway, f.lease.Backend
	if reply.Odd != "" {
		g.logger.Warn().Str("endpoint", string(b.ID)).Str("id", f.info.Attempt).Str("pause", reply.Odd).Dur("taken", reply.Pause).Msg("odd pause")
	}
	if !f.lease.Heard(reply) {
		return
	}
	if reply.Leaving {
		g.noteLeaver(banyanplank.Leaver{ID: b.ID, Born: b.Born}, "endpoint")
	}
	if reply.Pause > 0 {
		g.counters.set.GetOrCreateCounter("banyanplank_endpoint_pauses_total").Inc()
		g.logger.Warn().Str("endpoint", string(b.ID)).Str("id", f.info.Attempt).Dur("pause", reply.Pause).Msg("endpoint pauses")
	}
}

// noteLeaver logs that an endpoint said that it leaves, so that its end is no crash.
func (g *Gateway) noteLeaver(l banyanplank.Leaver, source string) {
	g.witness.Leaves(time.Now(), l.ID, l.Born)
	g.counters.set.GetOrCreateCounter("banyanplank_endpoint_leavers_total").Inc()
	g.logger.Info().Str("endpoint", string(l.ID)).Time("born", l.Born).Str("source", source).Msg("endpoint leaves")
}
