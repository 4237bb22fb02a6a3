package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/transport/invoker"
)

// The times at which an agent acts on its endpoint.
const (
	// reportInterval is the time between two reports of the endpoint.
	reportInterval = 500 * time.Millisecond
	// drainInterval is the time between two looks at what still runs.
	drainInterval = 50 * time.Millisecond
)

// agent is the role beside an endpoint.
type agent struct {
	daemon   *Daemon
	endpoint banyanplank.Endpoint
	admitter banyanplank.Admitter
	running  atomic.Int64
	known    atomic.Bool
}

func newAgent(d *Daemon) (a *agent, err error) {
	a = &agent{
		daemon:   d,
		endpoint: invoker.New(d.settings.Endpoint.Address),
		admitter: newAdmitter(d.settings, d.member),
	}
	return a, d.listener.HandleCalls(a)
}

// Run implements [listener.Runner] and counts the requests that run.
func (a *agent) Run(ctx context.Context, request *banyanplank.Request, sink runner.Sink) (end banyanplank.End, err error) {
	a.running.Add(1)
	defer a.running.Add(-1)
	return runner.New(a.endpoint, a.admitter).Run(ctx, request, sink)
}

// Load implements [listener.Runner].
func (a *agent) Load() (report banyanplank.LoadReport) { return a.admitter.Load() }

// serve observes the endpoint until ctx ends.
func (a *agent) serve(ctx context.Context) (err error) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.observe(ctx)
		}
	}
}

// observe hands the endpoint's report to the admitter.
func (a *agent) observe(ctx context.Context) {
	report, err := a.endpoint.Report(ctx)
	if err != nil {
		a.daemon.logger.Warn().Err(err).Msg("report_failed")
		return
	}
	a.admitter.Observe(report)
}

// renew closes the agent while its zone is out.
func (a *agent) renew(_ time.Time, _ []banyanplank.Member) {
	view := a.daemon.keeper.View()
	a.admitter.Renew(view.Configuration)
	a.known.Store(true)
}

// drain waits until nothing runs.
func (a *agent) drain(ctx context.Context) {
	a.admitter.Close(banyanplank.ReasonLeaving)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for a.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *agent) inFlight() (requests int) { return int(a.running.Load()) }

func (a *agent) ready() (ready bool) { return a.known.Load() }
