package daemon

import (
	"context"
	"time"

	"github.com/banyanplank/banyanplank"
)

// gateRetry is when a caller may try a daemon again that has no news.
const gateRetry = time.Second

// gate refuses new work at an agent that may have missed a change of the
// configuration. What runs goes on. It looks at the clock for each request, so
// that an agent that was paused finds out before it admits.
type gate struct {
	banyanplank.Admitter
	serves func(now time.Time) bool
}

// Admit implements [banyanplank.Admitter].
func (g gate) Admit(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error) {
	if !g.serves(time.Now()) {
		return nil, &banyanplank.Refusal{
			Outcome:    banyanplank.NotRun,
			Reason:     banyanplank.ReasonStale,
			RetryAfter: gateRetry,
			Detail:     "the agent has had no news of the configuration",
		}
	}
	return g.Admitter.Admit(ctx, request)
}

// Load implements [banyanplank.Admitter].
func (g gate) Load() (report banyanplank.LoadReport) {
	report = g.Admitter.Load()
	report.Closed = report.Closed || !g.serves(time.Now())
	return report
}
