package stepper

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// round looks at one group, and brings a better map into use if there is one.
func (s *Stepper) round(ctx context.Context, pool *banyanplank.PoolSpec, gap time.Duration, ranks []banyanplank.Backend) (err error) {
	g, err := s.gather(ctx, ranks)
	if err != nil {
		return err
	}
	name := ensemble{pool.Name, ranks[0].Group}
	t := s.term(name, pool, g)
	s.noteSlow(name, t, g.slow())
	if err := g.releaseHeld(ctx); err != nil {
		return err
	}
	if g.isArmed() {
		return nil
	}
	if err := s.learn(ctx, t, g); err != nil {
		return err
	}
	p, err := makePlan(pool.Engine, t.places, t.demand.weight, paces(g.reports))
	if err != nil || !p.moved || (!p.forced && p.gain < worthwhile(t.pass, gap)) {
		return err
	}
	return s.change(ctx, pool.Name, t, g, p)
}

// gather finds the ranks of the group in their order.
func (s *Stepper) gather(ctx context.Context, ranks []banyanplank.Backend) (g *group, err error) {
	g = &group{ranks: s.ranks}
	type seen struct {
		backend *banyanplank.Backend
		report  banyanplank.RankReport
	}
	work := pool.NewWithResults[seen]().WithErrors()
	for i := range ranks {
		work.Go(func() (found seen, err error) {
			found.backend = &ranks[i]
			found.report, err = s.ranks.Report(ctx, &ranks[i])
			return found, err
		})
	}
	found, err := work.Wait()
	if len(found) == 0 {
		return nil, errors.CombineErrors(errors.New("no rank answers"), err)
	}
	slices.SortFunc(found, func(a, b seen) int { return a.report.Rank - b.report.Rank })
	for i, f := range found {
		if f.report.Rank != i || f.report.Epoch != found[0].report.Epoch || !f.report.Open {
			return nil, errMoved
		}
		g.backends = append(g.backends, f.backend)
		g.reports = append(g.reports, f.report)
	}
	if len(found) != found[0].report.Size {
		return nil, errors.Wrapf(errMoved, "%d of %d ranks answer", len(found), found[0].report.Size)
	}
	g.epoch = found[0].report.Epoch
	return g, nil
}

// change brings a planned map into use.
func (s *Stepper) change(ctx context.Context, service banyanplank.ServiceName, t *term, g *group, p plan) (err error) {
	began := time.Now()
	id := t.next()
	err = g.prepare(ctx, id, p.places, 0)
	for range prepareTries {
		if !errors.Is(err, errLate) {
			break
		}
		id = t.next()
		err = g.prepare(ctx, id, p.places, 0)
	}
	if err == nil {
		err = g.adopt(ctx, id)
	}
	t.adopted = g.adopted
	if err == nil {
		t.places, t.id = p.places, id
	} else {
		t.places = nil
	}
	s.note(Note{Event: "map switch", Service: service, Epoch: g.epoch, Map: id, Step: g.step(), Before: p.before, After: p.after, Took: time.Since(began), Err: err})
	return nil
}
