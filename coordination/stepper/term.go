package stepper

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// ensemble names a group of ranks.
type ensemble struct {
	service banyanplank.ServiceName
	group   banyanplank.GroupName
}

// term is what is known of a group in one epoch.
type term struct {
	epoch  uint64
	demand *demand
	places places
	id     banyanplank.MapID
	last   banyanplank.MapID
	step   uint64
	at     time.Time
	pass   time.Duration
	// slowest is the slowest pass of late.
	slowest time.Duration
	// adopted is how long all ranks took to be armed for the latest map.
	adopted time.Duration
	// slow lists the endpoints that hold up the group.
	slow []banyanplank.BackendID
}

// forget drops what is known of groups of a service that are no longer listed.
func (s *Stepper) forget(service banyanplank.ServiceName, groups [][]banyanplank.Backend) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isGone := func(name ensemble) bool {
		isIt := func(ranks []banyanplank.Backend) bool { return ranks[0].Group == name.group }
		return name.service == service && !slices.ContainsFunc(groups, isIt)
	}
	maps.DeleteFunc(s.terms, func(name ensemble, _ *term) (gone bool) { return isGone(name) })
	maps.DeleteFunc(s.due, func(name ensemble, _ time.Time) (gone bool) { return isGone(name) })
}

// forgetAll drops what is known of all groups.
func (s *Stepper) forgetAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.terms)
}

// term returns what is known of the group, which is nothing in a new epoch.
func (s *Stepper) term(name ensemble, pool *banyanplank.PoolSpec, g *group) (t *term) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, step := time.Now(), g.step()
	t = s.terms[name]
	if t == nil || t.epoch != g.epoch {
		last := banyanplank.MapID(0)
		if t != nil {
			last = t.last
		}
		t = &term{epoch: g.epoch, last: last, demand: newDemand(pool.Engine.Layers, pool.Engine.Experts)}
		s.terms[name] = t
	} else if step > t.step {
		t.pass = now.Sub(t.at) / time.Duration(step-t.step)
		faded := float64(t.slowest) * math.Exp(-now.Sub(t.at).Seconds()/slowMemory.Seconds())
		t.slowest = max(t.pass, time.Duration(faded))
	}
	t.step, t.at = step, now
	g.pass, g.slowest, g.adopted = t.pass, t.slowest, t.adopted
	for _, r := range g.reports {
		t.last = max(t.last, r.Map, r.Prepared, r.Armed)
	}
	return t
}

// learn reads the demand, and the map in use if it isn't known.
func (s *Stepper) learn(ctx context.Context, t *term, g *group) (err error) {
	if t.places == nil || t.id != g.reports[0].Map {
		if err := s.learnPlaces(ctx, t, g); err != nil {
			return err
		}
	}
	asked := s.sample(t, g)
	counts := make([]banyanplank.RankCounts, len(asked))
	work := pool.New().WithErrors()
	for i, b := range asked {
		work.Go(func() (err error) {
			counts[i], err = s.ranks.Counts(ctx, b)
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return err
	}
	for i, c := range counts {
		t.demand.add(asked[i].ID, c)
	}
	t.demand.turn(time.Now())
	return nil
}

// sample returns the ranks whose counts are read: all of a small group. Calls are
// spread evenly, so that some ranks of a large one tell the demand of all, those
// of the own zone first.
func (s *Stepper) sample(t *term, g *group) (asked []*banyanplank.Backend) {
	asked = slices.Clone(g.backends)
	slices.SortStableFunc(asked, func(a, b *banyanplank.Backend) int {
		return s.distance(a) - s.distance(b)
	})
	numbers := max(1, len(t.demand.weight)*t.demand.experts)
	return asked[:min(len(asked), max(leastSample, mostNumbers/numbers))]
}

// distance returns 0 for an endpoint of the own zone and 1 for others.
func (s *Stepper) distance(b *banyanplank.Backend) (far int) {
	if b.Zone == s.zone {
		return 0
	}
	return 1
}

// learnPlaces reads the map in use from all ranks.
func (s *Stepper) learnPlaces(ctx context.Context, t *term, g *group) (err error) {
	t.places, err = g.places(ctx)
	if err == nil && len(t.places) != len(t.demand.weight) {
		err = errors.Newf("the map has %d layers, declared are %d", len(t.places), len(t.demand.weight))
	}
	t.id = g.reports[0].Map
	return err
}

// next returns the id of the next map.
func (t *term) next() (id banyanplank.MapID) {
	t.last = nextID(t.last)
	return t.last
}

// nextID returns an id above last that no other entry draws.
func nextID(last banyanplank.MapID) (id banyanplank.MapID) {
	return (last>>leadBits+1)<<leadBits | banyanplank.MapID(rand.N(1<<leadBits))
}
