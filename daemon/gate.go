package daemon

import (
	"context"
	"time"

	"github.com/banyanplank/banyanplank"
)

// staleRetryAfter is the Retry-After of a refusal because of a stale
// configuration.
const staleRetryAfter = time.Second

// freshnessGate refuses new requests at an agent whose configuration may be stale.
// Running requests continue. It checks the clock for each request, so that an
// agent whose process was paused refuses before it admits anything.
type freshnessGate struct {
	banyanplank.Admitter
	canAdmit func(now time.Time) bool
}

// Admit implements [banyanplank.Admitter].
func (g freshnessGate) Admit(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error) {
	if !g.canAdmit(time.Now()) {
		return nil, &banyanplank.Refusal{
			Outcome:    banyanplank.NotRun,
			Reason:     banyanplank.ReasonStale,
			RetryAfter: staleRetryAfter,
			Detail:     "the agent cannot confirm that its configuration is current",
		}
	}
	return g.Admitter.Admit(ctx, request)
}

// Load implements [banyanplank.Admitter].
func (g freshnessGate) Load() (report banyanplank.LoadReport) {
	report = g.Admitter.Load()
	report.Closed = report.Closed || !g.canAdmit(time.Now())
	return report
}
