package stepper

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// group is the ranks of one group, ordered by rank, with their latest reports.
type group struct {
	ranks    banyanplank.RankClient
	backends []*banyanplank.Backend
	reports  []banyanplank.RankReport
	epoch    uint64
	fence    *fence
	// passTime is the duration of the latest pass, and slowestPass that of the slowest
	// recent one.
	passTime    time.Duration
	slowestPass time.Duration
	// armTime is how long it took to arm all ranks for the latest map, or zero if unknown.
	armTime time.Duration
	// unansweredShare is the share of the latest orders that got no answer. ordersSent
	// counts the orders of this round, and ordersUnanswered those of them without an
	// answer.
	unansweredShare  float64
	ordersSent       int
	ordersUnanswered int
	// inFlight tracks orders whose answers are no longer awaited.
	inFlight conc.WaitGroup
}

// refresh reads the reports of all ranks. The error is errGroupChanged when they do not
// form one open group of the known epoch.
func (g *group) refresh(ctx context.Context) (err error) {
	return g.refreshWhere(ctx, func(banyanplank.RankReport) bool { return true })
}

// refreshWhere reads the reports of the ranks whose latest report selects accepts.
func (g *group) refreshWhere(ctx context.Context, selects func(r banyanplank.RankReport) bool) (err error) {
	reports := make([]banyanplank.RankReport, len(g.backends))
	copy(reports, g.reports)
	work := pool.New().WithErrors()
	for i, b := range g.backends {
		if !selects(reports[i]) {
			continue
		}
		work.Go(func() (err error) {
			reports[i], err = g.ranks.Report(ctx, b)
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return err
	}
	g.reports = reports
	for i, r := range reports {
		if !r.Open || r.Epoch != g.epoch || r.Rank != i {
			return errGroupChanged
		}
	}
	return nil
}

// latestStep returns the latest pass that any rank has begun.
func (g *group) latestStep() (step uint64) {
	for _, r := range g.reports {
		step = max(step, r.Pass)
	}
	return step
}

// orderUntilDone repeats an order to the ranks that pending selects until a report shows
// that none is left or timeout has passed.
func (g *group) orderUntilDone(ctx context.Context, order banyanplank.RankOrder, timeout time.Duration, pending func(r banyanplank.RankReport) bool) (err error) {
	return g.orderRanksUntilDone(ctx, order, g.backends, timeout, pending)
}

// orderRanksUntilDone is like orderUntilDone but sends the first orders only to the ranks
// in remaining.
func (g *group) orderRanksUntilDone(ctx context.Context, order banyanplank.RankOrder, remaining []*banyanplank.Backend, timeout time.Duration, pending func(r banyanplank.RankReport) bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer g.inFlight.Wait()
	defer cancel()
	for {
		remaining = g.sendOrder(ctx, order, remaining)
		switch {
		case order.Kind != banyanplank.RankPrepare && len(remaining) == 0:
			return nil
		case order.Kind == banyanplank.RankPrepare && g.unansweredShare > 0 && g.isRetryFaster():
			return errUnanswered
		}
		if err := g.refreshWhere(ctx, pending); err != nil && (errors.Is(err, errGroupChanged) || ctx.Err() != nil) {
			return err
		}
		remaining = nil
		for i, r := range g.reports {
			if pending(r) {
				remaining = append(remaining, g.backends[i])
			}
			if isSuperseded(order, r, pending(r)) {
				return errSuperseded
			}
		}
		if len(remaining) == 0 {
			return nil
		}
		if err := banyanplank.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// isSuperseded reports whether a rank shows that another entry is switching maps too. The
// round then ends, and the next one completes the pending switch. While maps are voided for
// a held pass, other held passes do not count: they are released in turn.
func isSuperseded(order banyanplank.RankOrder, r banyanplank.RankReport, pending bool) bool {
	switch order.Kind {
	case banyanplank.RankPrepare:
		return r.Armed != 0 || (r.HeldPass != 0 && order.Pass == 0)
	case banyanplank.RankArm:
		return pending && r.Prepared != order.Map
	default:
		return false
	}
}

// hasArmedRank reports whether some rank is armed to switch maps at a later pass.
func (g *group) hasArmedRank() bool {
	for _, r := range g.reports {
		if r.Armed != 0 {
			return true
		}
	}
	return false
}

func (g *group) isNextPassHeld() bool {
	for _, r := range g.reports {
		if r.HeldPass == g.latestStep()+1 {
			return true
		}
	}
	return false
}

// orderResult is the outcome of one of several orders sent in parallel.
type orderResult struct {
	rank int
	err  error
}

// sendOrder sends an order to several ranks in parallel and returns those that have not
// accepted it. It limits the wait for the answers to an arm order. The order itself
// continues: a slow instance answers later, and its next report shows the result.
func (g *group) sendOrder(ctx context.Context, order banyanplank.RankOrder, backends []*banyanplank.Backend) (remaining []*banyanplank.Backend) {
	results := make(chan orderResult, len(backends))
	for i, b := range backends {
		g.inFlight.Go(func() { results <- orderResult{i, g.ranks.Order(ctx, b, order)} })
	}
	errs := make([]error, len(backends))
	for i := range errs {
		errs[i] = banyanplank.ErrUncertain
	}
	var expired <-chan time.Time
	if order.Kind == banyanplank.RankArm {
		timer := time.NewTimer(g.answerTimeout())
		defer timer.Stop()
		expired = timer.C
	}
	collectResults(results, errs, expired)
	unanswered := 0
	for i, b := range backends {
		if errs[i] != nil {
			remaining = append(remaining, b)
		}
		if errors.Is(errs[i], banyanplank.ErrUncertain) {
			unanswered++
		}
	}
	if len(backends) > 0 {
		g.unansweredShare = float64(unanswered) / float64(len(backends))
	}
	g.ordersSent, g.ordersUnanswered = g.ordersSent+len(backends), g.ordersUnanswered+unanswered
	return remaining
}

// collectResults stores the results of orders in errs until all have arrived or expired
// fires.
func collectResults(results <-chan orderResult, errs []error, expired <-chan time.Time) {
	for range errs {
		select {
		case a := <-results:
			errs[a.rank] = a.err
		case <-expired:
			return
		}
	}
}

// answerTimeout returns how long an order waits for its answer. An order that is executed
// late gets no answer, so waiting longer gains nothing.
func (g *group) answerTimeout() (timeout time.Duration) {
	return orderAnswerTimeout + time.Duration(len(g.backends))*answerTimeoutPerRank
}

// isRetryFaster reports whether preparing another map at all ranks is expected to finish
// before the late orders for this one are executed.
func (g *group) isRetryFaster() bool {
	return g.unansweredShare <= maxUnansweredShare && math.Pow(1-g.unansweredShare, float64(len(g.backends))) > 1.0/maxPrepareRetries
}
