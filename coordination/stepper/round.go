package stepper

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// rebalance runs one round for a group and switches to a better map if there is one.
func (s *Stepper) rebalance(ctx context.Context, pool *banyanplank.PoolSpec, maxPause time.Duration, ranks []banyanplank.Backend) (err error) {
	g, err := s.readGroup(ctx, ranks)
	if err != nil {
		return err
	}
	key := groupKey{pool.Name, ranks[0].Group}
	state := s.updateState(key, pool, g)
	s.reportSlow(key, state, g.slowEndpoints())
	if err := s.completeHeldPasses(ctx, pool.Name, g); err != nil {
		return err
	}
	state.updateLeaving(time.Now(), ranks)
	lifetime := state.mapLifetime(time.Now())
	if g.hasArmedRank() || lifetime <= 0 {
		return nil
	}
	if err := s.updateDemand(ctx, state, g); err != nil {
		return err
	}
	p, err := makePlan(pool.Engine, state.placement, state.demand.weight, slowdowns(g.reports), lifetime)
	if err != nil || !p.movesExperts || (!p.forced && p.gain < minGain(state.passTime, maxPause)) {
		return err
	}
	return s.switchMap(ctx, pool.Name, state, g, p)
}

// completeHeldPasses releases the passes that are held, and reports it. A hold order that
// got no answer may hold a pass seconds later.
func (s *Stepper) completeHeldPasses(ctx context.Context, service banyanplank.ServiceName, g *group) (err error) {
	held := slices.ContainsFunc(g.reports, func(r banyanplank.RankReport) bool { return r.HeldPass != 0 })
	if !held {
		return nil
	}
	began := time.Now()
	err = g.completeHeldPasses(ctx)
	s.onEvent(Event{Name: "held pass", Service: service, Epoch: g.epoch, Step: g.latestStep(), Duration: time.Since(began), Err: err})
	return err
}

// readGroup reads the reports of the ranks and returns the group ordered by rank. The
// error is errGroupChanged when they do not form one complete open group.
func (s *Stepper) readGroup(ctx context.Context, ranks []banyanplank.Backend) (g *group, err error) {
	g = &group{ranks: s.ranks}
	type member struct {
		backend *banyanplank.Backend
		report  banyanplank.RankReport
	}
	work := pool.NewWithResults[member]().WithErrors()
	for i := range ranks {
		work.Go(func() (m member, err error) {
			m.backend = &ranks[i]
			m.report, err = s.ranks.Report(ctx, &ranks[i])
			return m, err
		})
	}
	members, err := work.Wait()
	if len(members) == 0 {
		return nil, errors.CombineErrors(errors.New("no rank answered"), err)
	}
	slices.SortFunc(members, func(a, b member) int { return a.report.Rank - b.report.Rank })
	for i, m := range members {
		if m.report.Rank != i || m.report.Epoch != members[0].report.Epoch || !m.report.Open {
			return nil, errGroupChanged
		}
		g.backends = append(g.backends, m.backend)
		g.reports = append(g.reports, m.report)
	}
	if len(members) != members[0].report.Size {
		return nil, errors.Wrapf(errGroupChanged, "%d of %d ranks answered", len(members), members[0].report.Size)
	}
	g.epoch = members[0].report.Epoch
	g.fence = s.fenceOf(groupKey{ranks[0].Service, ranks[0].Group}, g.epoch)
	return g, nil
}

// switchMap prepares a planned map at all ranks and switches to it.
func (s *Stepper) switchMap(ctx context.Context, service banyanplank.ServiceName, state *epochState, g *group, p plan) (err error) {
	began := time.Now()
	id, err := g.prepareNew(ctx, p.placement, 0)
	if err == nil {
		err = g.activate(ctx, id)
	}
	state.armTime = g.armTime
	if err == nil {
		state.placement, state.mapID = p.placement, id
	} else {
		state.placement = nil
	}
	s.onEvent(Event{Name: "map switch", Service: service, Epoch: g.epoch, Map: id, Step: g.latestStep(), SkewBefore: p.skewBefore, SkewAfter: p.skewAfter, Duration: time.Since(began), Err: err})
	return nil
}
