package stepper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// The times of a switch.
const (
	// prepareLimit bounds the time in which all ranks load their weights.
	prepareLimit = 4 * time.Second
	// armLead is how far ahead the held pass is. The orders to all ranks take a
	// few round trips.
	armLead = 120 * time.Millisecond
	// armLimit bounds the time for which a round tries to arm all ranks. The next
	// round goes on with it.
	armLimit = 10 * time.Second
	// releaseLimit bounds the time for which a pass that must be released is
	// ordered again.
	releaseLimit = 10 * time.Second
	// retryPause is the time between two orders to a rank that has not done the
	// first.
	retryPause = 100 * time.Millisecond
	// leastAhead is the least number of passes by which the held pass is ahead.
	leastAhead = 2
	// holdTries bounds the holds that get no answer. One that is carried out
	// late finds that its pass has begun.
	holdTries = 4
)

// errMoved means that the group was formed anew, or that its ranks are not those
// that the switch began with.
var errMoved = errors.New("the group has changed")

// group is the ranks of a group, in order, as last reported.
type group struct {
	ranks    banyanplank.Ranks
	backends []*banyanplank.Backend
	reports  []banyanplank.RankReport
	epoch    uint64
	// pass is how long a pass takes.
	pass time.Duration
}

// refresh reads the reports of all ranks. The error is errMoved when they don't
// form one open group of the known epoch.
func (g *group) refresh(ctx context.Context) (err error) {
	reports := make([]banyanplank.RankReport, len(g.backends))
	work := pool.New().WithErrors()
	for i, b := range g.backends {
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
			return errMoved
		}
	}
	return nil
}

// step returns the latest pass that some rank has begun.
func (g *group) step() (step uint64) {
	for _, r := range g.reports {
		step = max(step, r.Step)
	}
	return step
}

// all gives orders to the ranks that pending selects, again and again, until a
// report shows that none is left or limit has passed.
func (g *group) all(ctx context.Context, order banyanplank.RankOrder, limit time.Duration, pending func(r banyanplank.RankReport) bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	left := g.backends
	for {
		left = g.give(ctx, order, left)
		if order.Kind != banyanplank.RankPrepare && len(left) == 0 {
			return nil
		}
		if err := g.refresh(ctx); err != nil && (errors.Is(err, errMoved) || ctx.Err() != nil) {
			return err
		}
		done := true
		left = nil
		for i, r := range g.reports {
			if pending(r) {
				done = false
				left = append(left, g.backends[i])
			}
		}
		if done {
			return nil
		}
		if order.Kind == banyanplank.RankPrepare {
			left = g.unanswered(left)
		}
		if err := wait(ctx, retryPause); err != nil {
			return err
		}
	}
}

// unanswered is for orders that take time: a rank that has accepted one is only
// asked whether it is done.
func (g *group) unanswered(left []*banyanplank.Backend) []*banyanplank.Backend { return left }

// give gives an order to several ranks and returns those that have not accepted it.
func (g *group) give(ctx context.Context, order banyanplank.RankOrder, to []*banyanplank.Backend) (left []*banyanplank.Backend) {
	failed := make([]bool, len(to))
	work := pool.New()
	for i, b := range to {
		work.Go(func() { failed[i] = g.ranks.Order(ctx, b, order) != nil })
	}
	work.Wait()
	for i, b := range to {
		if failed[i] {
			left = append(left, b)
		}
	}
	return left
}

// wait pauses.
func wait(ctx context.Context, pause time.Duration) (err error) {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}

// prepare lets all ranks load a map.
func (g *group) prepare(ctx context.Context, id banyanplank.MapID, p places) (err error) {
	order := banyanplank.RankOrder{Kind: banyanplank.RankPrepare, Epoch: g.epoch, Map: id, Places: p}
	err = g.all(ctx, order, prepareLimit, func(r banyanplank.RankReport) bool { return r.Prepared != id })
	return errors.Wrapf(err, "prepare map %d", id)
}

// adopt brings a map that all ranks have prepared into use.
func (g *group) adopt(ctx context.Context, id banyanplank.MapID) (err error) {
	defer func() { err = errors.Wrapf(err, "switch to map %d", id) }()
	step, err := g.hold(ctx)
	if err != nil {
		// An order may still have been carried out.
		return errors.CombineErrors(err, g.settle(ctx))
	}
	// Some rank may be armed, or may still get an order that was lost on its
	// way. So the pass is released only when all are.
	if err := g.arm(ctx, id, step); err != nil {
		return err
	}
	return g.release(ctx, g.backends[0], step)
}

// hold keeps the group from beginning a pass some way ahead.
func (g *group) hold(ctx context.Context) (step uint64, err error) {
	for range holdTries {
		if err := g.refresh(ctx); err != nil {
			return 0, err
		}
		if g.reports[0].Held > g.step() {
			return g.reports[0].Held, nil
		}
		step = g.step() + max(leastAhead, uint64(armLead/max(time.Millisecond, g.pass))+1)
		err = g.ranks.Order(ctx, g.backends[0], banyanplank.RankOrder{Kind: banyanplank.RankHold, Epoch: g.epoch, Step: step})
		if err == nil {
			return step, nil
		}
	}
	return 0, err
}

// arm arms all ranks for a pass that is held.
func (g *group) arm(ctx context.Context, id banyanplank.MapID, step uint64) (err error) {
	order := banyanplank.RankOrder{Kind: banyanplank.RankArm, Epoch: g.epoch, Map: id, Step: step}
	err = g.all(ctx, order, armLimit, func(r banyanplank.RankReport) bool { return r.Armed != id })
	return errors.Wrap(err, "arm")
}

// release lets the group begin a held pass.
func (g *group) release(ctx context.Context, holder *banyanplank.Backend, step uint64) (err error) {
	defer func() { err = errors.Wrapf(err, "release pass %d", step) }()
	order := banyanplank.RankOrder{Kind: banyanplank.RankRelease, Epoch: g.epoch, Step: step}
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	for {
		if err = g.ranks.Order(ctx, holder, order); err == nil || errors.Is(err, banyanplank.ErrConflict) {
			return nil
		}
		if paused := wait(ctx, retryPause); paused != nil {
			return errors.CombineErrors(err, paused)
		}
	}
}

// settle finishes a switch that was left between its orders. A pass is held only
// after all ranks have prepared the map, and ranks are armed only after that, so
// the switch always can go on.
func (g *group) settle(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "settle") }()
	if err := g.refresh(ctx); err != nil {
		return err
	}
	for i, r := range g.reports {
		if r.Held == 0 {
			continue
		}
		if err := g.finish(ctx, r.Held); err != nil {
			return err
		}
		if err := g.release(ctx, g.backends[i], r.Held); err != nil {
			return err
		}
	}
	return nil
}

// finish arms all ranks for a held pass, if they all have the same map at hand.
// If they don't, none was armed.
func (g *group) finish(ctx context.Context, step uint64) (err error) {
	id := g.reports[0].Prepared
	for _, r := range g.reports {
		if r.Armed != 0 {
			id = r.Armed
		}
	}
	for _, r := range g.reports {
		if id == 0 || (r.Prepared != id && r.Armed != id) {
			return nil
		}
	}
	return g.arm(ctx, id, step)
}
