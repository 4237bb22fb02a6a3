package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/state/holder"
	"github.com/banyanplank/banyanplank/state/recorder"
	"github.com/banyanplank/banyanplank/transport/invoker"
)

const (
	// reportPollInterval is the interval at which an agent polls its endpoint's
	// report.
	reportPollInterval = 500 * time.Millisecond
	// drainPollInterval is the interval at which a drain checks for running
	// requests.
	drainPollInterval = 50 * time.Millisecond
)

// agent is the role of a daemon that runs requests at the endpoint beside it.
type agent struct {
	daemon      *Daemon
	endpoint    banyanplank.Endpoint
	admitter    banyanplank.Admitter
	heldAnswers *holder.Holder
	records     *recorder.Recorder
	runner      *runner.Runner
	// experts is nil for an endpoint outside any group of ranks.
	experts *expertGroup
	// activeReaders counts the entries that are receiving an answer.
	activeReaders atomic.Int64
	configured    atomic.Bool
}

func newAgent(d *Daemon) (a *agent, err error) {
	guard, endpoint := newGuard(d.settings, d.member, invoker.New(d.settings.Endpoint.Address))
	instrumented := newInstrumentedGuard(guard, d.settings.Name, d.logger)
	a = &agent{daemon: d, endpoint: endpoint, admitter: freshnessGate{Admitter: instrumented, canAdmit: d.canAdmit}}
	a.heldAnswers = newHolder(d)
	a.records = recorder.New(d.member.ID, d.member.Incarnation)
	a.runner = runner.New(a.endpoint, a.admitter, a.records, runner.WithHolder(a.heldAnswers))
	if a.experts, err = newExpertGroup(d, a.endpoint, d.groupLease); err != nil {
		return nil, err
	}
	return a, d.listener.HandleCalls(a)
}

// Run implements [listener.Runner] and counts the entries that are receiving an
// answer.
func (a *agent) Run(ctx context.Context, request *banyanplank.Request, sink runner.Sink) (end banyanplank.End, err error) {
	a.activeReaders.Add(1)
	defer a.activeReaders.Add(-1)
	return a.runner.Run(ctx, request, sink)
}

// Identity implements [listener.Runner].
func (a *agent) Identity() (daemon banyanplank.DaemonID, incarnation banyanplank.Incarnation) {
	return a.runner.Identity()
}

// Load implements [listener.Runner].
func (a *agent) Load() (report banyanplank.LoadReport) { return a.admitter.Load() }

// serve polls the endpoint and runs the agent's part in its group of ranks until
// ctx is canceled.
func (a *agent) serve(ctx context.Context) (err error) {
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	group.Go(a.pollReports)
	if a.experts != nil {
		group.Go(a.experts.serve)
	}
	return group.Wait()
}

// pollReports polls the endpoint's report until ctx is canceled. It also takes over
// the records of earlier runs, retrying at each poll until that succeeds.
func (a *agent) pollReports(ctx context.Context) (err error) {
	ticker := time.NewTicker(reportPollInterval)
	defer ticker.Stop()
	a.pollReport(ctx)
	takeOverErr := a.takeOverRecords(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.pollReport(ctx)
			if takeOverErr != nil {
				takeOverErr = a.takeOverRecords(ctx)
			}
		}
	}
}

// pollReport fetches the endpoint's report and passes it to the admitter.
func (a *agent) pollReport(ctx context.Context) {
	report, err := a.endpoint.Report(ctx)
	if err != nil {
		a.daemon.logger.Warn().Err(err).Msg("report_failed")
		return
	}
	a.admitter.Observe(report)
}

// reconfigure passes the configuration to the admitter, which refuses requests
// while the agent's zone is out of service.
func (a *agent) reconfigure(_ time.Time, _ []banyanplank.Member) {
	view := a.daemon.keeper.View()
	a.admitter.Reconfigure(view.Configuration)
	a.configured.Store(true)
}

// drain waits until no request runs and every entry has received its answer. If
// ctx is canceled first, it cancels the running requests. Then it hands the
// agent's records over to its next run.
func (a *agent) drain(ctx context.Context) {
	a.admitter.Close(banyanplank.ReasonLeaving)
	if !a.daemon.waitIdle(ctx, a.inFlight) {
		a.runner.Stop()
	}
	if err := a.handOverRecords(ctx); err != nil {
		a.daemon.logger.Warn().Err(err).Msg("hand_over_failed")
	}
}

func (a *agent) inFlight() (requests int) {
	return max(a.runner.Running(), int(a.activeReaders.Load()))
}

func (a *agent) isReady() (ready bool) { return a.configured.Load() && a.daemon.canAdmit(time.Now()) }
