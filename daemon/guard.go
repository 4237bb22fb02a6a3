package daemon

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
)

// instrumentedGuard is an agent's admitter that exports metrics and logs cold
// starts of the endpoint.
type instrumentedGuard struct {
	*suspecter.Guard
	daemon  banyanplank.DaemonID
	logger  *log.Logger
	wasCold atomic.Bool
}

func newInstrumentedGuard(guard *suspecter.Guard, daemon banyanplank.DaemonID, logger *log.Logger) (g *instrumentedGuard) {
	g = &instrumentedGuard{Guard: guard, daemon: daemon, logger: logger}
	g.registerGauge("limit", func(report banyanplank.LoadReport) float64 { return float64(report.Limit) })
	g.registerGauge("held", func(report banyanplank.LoadReport) float64 { return float64(report.Held) })
	g.registerGauge("waiting", func(report banyanplank.LoadReport) float64 { return float64(report.Waiting) })
	g.registerGauge("step", func(report banyanplank.LoadReport) float64 { return report.StepTime.Seconds() })
	g.registerGauge("cold", func(report banyanplank.LoadReport) float64 {
		if report.Cold {
			return 1
		}
		return 0
	})
	return g
}

// registerGauge registers a metric for one value of the load report.
func (g *instrumentedGuard) registerGauge(name string, value func(banyanplank.LoadReport) float64) {
	metrics.GetOrCreateGauge(fmt.Sprintf("banyanplank_admission_%s{daemon=%q}", name, g.daemon), func() float64 {
		return value(g.Load())
	})
}

// Admit implements [banyanplank.Admitter] and counts refusals by reason.
func (g *instrumentedGuard) Admit(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error) {
	grant, err = g.Guard.Admit(ctx, request)
	var refusal *banyanplank.Refusal
	if errors.As(err, &refusal) {
		countRefusal("admission", g.daemon, refusal.Reason)
	}
	return grant, err
}

// Observe implements [banyanplank.Admitter] and logs when a cold start of the
// endpoint begins or ends.
func (g *instrumentedGuard) Observe(report banyanplank.EndpointReport) {
	g.Guard.Observe(report)
	load := g.Load()
	if g.wasCold.Swap(load.Cold) == load.Cold {
		return
	}
	event := "endpoint_warming"
	if load.Cold {
		event = "endpoint_cold"
	}
	g.logger.Info().Str("boot", report.Boot).Int("limit", load.Limit).Int("held", load.Held).
		Int("capacity", report.Capacity).Msg(event)
}

// countRefusal counts a refusal by the named part of a daemon.
func countRefusal(part string, daemon banyanplank.DaemonID, reason banyanplank.Reason) {
	name := fmt.Sprintf("banyanplank_%s_refused_total{daemon=%q,reason=%q}", part, daemon, reason)
	metrics.GetOrCreateCounter(name).Inc()
}
