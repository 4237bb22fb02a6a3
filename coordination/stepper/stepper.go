package stepper

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// The defaults of a Stepper.
const (
	// DefaultInterval is the time between two looks at the demand.
	DefaultInterval = 400 * time.Millisecond
	// leadBits is the width of the random part of a map id. Two entries that
	// both believe to be the one that plans must not give one id to two maps.
	leadBits = 16
	// mostNumbers bounds the counts that are read in a round, and leastSample is
	// the least number of ranks that are asked.
	mostNumbers = 24_000
	leastSample = 8
	// lookInterval is the time between two looks of an entry on standby. The
	// streams of a group have then stood still for some passes of 0.1 s.
	lookInterval = 100 * time.Millisecond
)

// Duty is what an entry does for the groups of ranks.
type Duty uint8

// The duties.
const (
	// Idle entries do nothing.
	Idle Duty = iota
	// Standby is the duty of the entry that leads next: it releases a pass that the
	// one that leads has left held.
	Standby
	// Lead is the duty of the one entry that plans.
	Lead
)

// Fleet returns the routes and endpoints as now known, and the duty of this entry.
// The table is nil when none is known.
type Fleet func() (table *banyanplank.RoutingTable, backends []banyanplank.Backend, duty Duty)

// Note is a decision of a stepper, for the log.
type Note struct {
	Event   string
	Service banyanplank.ServiceName
	Epoch   uint64
	Map     banyanplank.MapID
	Step    uint64
	// Before and After are the skew of the map in use and of the planned one.
	Before float64
	After  float64
	Took   time.Duration
	Err    error
}

// Option configures a [Stepper].
type Option func(*Stepper)

// WithInterval sets the time between two looks at the demand. The default is
// [DefaultInterval].
func WithInterval(interval time.Duration) Option {
	return func(s *Stepper) { s.interval = interval }
}

// WithNotes calls note for each decision. The default drops them.
func WithNotes(note func(n Note)) Option {
	return func(s *Stepper) { s.note = note }
}

// WithZone reads counts from the ranks of zone first. The default is none.
func WithZone(zone banyanplank.Zone) Option {
	return func(s *Stepper) { s.zone = zone }
}

// WithSlow calls slow in each round with the endpoints that hold up their group.
// The default does nothing.
func WithSlow(slow func(service banyanplank.ServiceName, endpoints []banyanplank.BackendID)) Option {
	return func(s *Stepper) { s.slow = slow }
}

// WithStanding asks standing whether the streams of a service have stood still for
// some passes. Use it where others may lead too. The default is that they never do.
func WithStanding(standing func(service banyanplank.ServiceName) bool) Option {
	return func(s *Stepper) { s.standing = standing }
}

// Stepper keeps groups of ranks even. Run it once.
type Stepper struct {
	ranks    banyanplank.Ranks
	fleet    Fleet
	interval time.Duration
	zone     banyanplank.Zone
	note     func(n Note)
	slow     func(service banyanplank.ServiceName, endpoints []banyanplank.BackendID)
	standing func(service banyanplank.ServiceName) bool
	terms    map[ensemble]*term
}

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
	// slow lists the endpoints that hold up the group.
	slow []banyanplank.BackendID
}

// New returns a stepper for the groups of fleet.
func New(ranks banyanplank.Ranks, fleet Fleet, options ...Option) *Stepper {
	s := &Stepper{
		ranks:    ranks,
		fleet:    fleet,
		interval: DefaultInterval,
		note:     func(Note) {},
		slow:     func(banyanplank.ServiceName, []banyanplank.BackendID) {},
		standing: func(banyanplank.ServiceName) bool { return false },
		terms:    make(map[ensemble]*term),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Run looks at the demand at every interval until ctx ends. On standby it looks more
// often whether a group stands still.
func (s *Stepper) Run(ctx context.Context) (err error) {
	pause := s.interval
	for wait(ctx, pause) == nil {
		table, backends, duty := s.fleet()
		pause = s.interval
		if duty != Lead || table == nil {
			clear(s.terms)
			pause = min(lookInterval, s.interval)
		}
		if duty == Idle || table == nil {
			continue
		}
		for i := range table.Pools {
			pool := &table.Pools[i]
			if pool.Engine == nil || pool.Engine.Layers == 0 {
				continue
			}
			for _, ranks := range groupsOf(pool.Name, backends) {
				err := s.tend(ctx, duty, pool, table.GapOf(pool.Name), ranks)
				if err != nil && ctx.Err() == nil {
					s.note(Note{Event: "round failed", Service: pool.Name, Err: err})
				}
			}
		}
	}
	return nil
}

// tend does the duty of this entry for one group.
func (s *Stepper) tend(ctx context.Context, duty Duty, pool *banyanplank.PoolSpec, gap time.Duration, ranks []banyanplank.Backend) (err error) {
	if duty == Standby {
		return s.relieve(ctx, pool.Name, ranks)
	}
	return s.round(ctx, pool, gap, ranks)
}

// groupsOf returns the endpoints of a service by their groups, which are not empty.
func groupsOf(service banyanplank.ServiceName, all []banyanplank.Backend) (groups [][]banyanplank.Backend) {
	byName := make(map[banyanplank.GroupName][]banyanplank.Backend)
	for _, b := range all {
		if b.Service == service {
			byName[b.Group] = append(byName[b.Group], b)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		groups = append(groups, byName[name])
	}
	return groups
}

// relieve finishes the switch of the entry that leads, if the group stands still
// before a pass that it has held. Two entries may do so at once.
func (s *Stepper) relieve(ctx context.Context, service banyanplank.ServiceName, ranks []banyanplank.Backend) (err error) {
	if !s.standing(service) {
		return nil
	}
	g, err := s.gather(ctx, ranks)
	if err != nil || !g.isOverdue() {
		return err
	}
	began := time.Now()
	err = g.settle(ctx)
	s.note(Note{Event: "held pass", Service: service, Epoch: g.epoch, Step: g.step(), Took: time.Since(began), Err: err})
	return nil
}

// round looks at one group, and brings a better map into use if there is one.
func (s *Stepper) round(ctx context.Context, pool *banyanplank.PoolSpec, gap time.Duration, ranks []banyanplank.Backend) (err error) {
	g, err := s.gather(ctx, ranks)
	if err != nil {
		return err
	}
	name := ensemble{pool.Name, ranks[0].Group}
	t := s.term(name, pool, g)
	s.noteSlow(name, g.slow())
	if err := g.settle(ctx); err != nil {
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

// term returns what is known of the group, which is nothing in a new epoch.
func (s *Stepper) term(name ensemble, pool *banyanplank.PoolSpec, g *group) (t *term) {
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
	}
	t.step, t.at = step, now
	g.pass = t.pass
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

// noteSlow tells which endpoints of a service hold up their groups, of which one was
// looked at.
func (s *Stepper) noteSlow(name ensemble, endpoints []banyanplank.BackendID) {
	s.terms[name].slow = endpoints
	var all []banyanplank.BackendID
	for other, t := range s.terms {
		if other.service == name.service {
			all = append(all, t.slow...)
		}
	}
	slices.Sort(all)
	s.slow(name.service, all)
}

// slow returns the endpoints that hold up the group.
func (g *group) slow() (endpoints []banyanplank.BackendID) {
	for i, out := range slowRanks(paces(g.reports)) {
		if out {
			endpoints = append(endpoints, g.backends[i].ID)
		}
	}
	return endpoints
}

// paces returns how much slower than usual each rank is.
func paces(reports []banyanplank.RankReport) (all []float64) {
	for _, r := range reports {
		all = append(all, r.Pace)
	}
	return all
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
	if err == nil {
		t.places, t.id = p.places, id
	} else {
		t.places = nil
	}
	s.note(Note{Event: "map switch", Service: service, Epoch: g.epoch, Map: id, Step: g.step(), Before: p.before, After: p.after, Took: time.Since(began), Err: err})
	return nil
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
