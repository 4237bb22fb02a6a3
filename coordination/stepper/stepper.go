package stepper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/banyanplank/banyanplank"
)

// Defaults and limits of a Stepper.
const (
	// DefaultInterval is the time between two rounds.
	DefaultInterval = 200 * time.Millisecond
	// mapIDRandomBits is the width of the random part of a map id. Two entries that lead
	// at the same time must not use one id for two maps.
	mapIDRandomBits = 16
	// maxCountsPerInterval bounds the counts that are read per interval, and
	// minSampledRanks is the minimum number of ranks that are sampled. If these have more
	// counts, rounds are further apart.
	maxCountsPerInterval = 12_000
	minSampledRanks      = 8
	// standbyInterval is the time between two checks of a standby entry. At the check, the
	// streams of a stalled group have made no progress for several passes of 100 ms.
	standbyInterval = 100 * time.Millisecond
)

// Stepper keeps the ranks of groups evenly loaded. Call Run only once.
type Stepper struct {
	ranks     banyanplank.RankClient
	fleet     FleetSource
	interval  time.Duration
	zone      banyanplank.Zone
	onEvent   func(event Event)
	onSlow    func(service banyanplank.ServiceName, endpoints []banyanplank.BackendID)
	isStalled func(service banyanplank.ServiceName) bool
	mutex     sync.Mutex
	states    map[groupKey]*epochState
	fences    map[groupKey]*fence
	// inRound marks the groups whose round is running, and nextRound is the earliest time
	// of the next round of a group.
	inRound   map[groupKey]bool
	nextRound map[groupKey]time.Time
}

// New returns a stepper for the groups of fleet.
func New(ranks banyanplank.RankClient, fleet FleetSource, options ...Option) *Stepper {
	s := &Stepper{
		ranks:     ranks,
		fleet:     fleet,
		interval:  DefaultInterval,
		onEvent:   func(Event) {},
		onSlow:    func(banyanplank.ServiceName, []banyanplank.BackendID) {},
		isStalled: func(banyanplank.ServiceName) bool { return false },
		states:    make(map[groupKey]*epochState),
		fences:    make(map[groupKey]*fence),
		inRound:   make(map[groupKey]bool),
		nextRound: make(map[groupKey]time.Time),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Run starts a round for each group at every interval until ctx ends. On standby it checks
// more often for stalled groups. Groups have separate rounds, so that a long switch of one
// does not delay the others. The error is always nil.
func (s *Stepper) Run(ctx context.Context) (err error) {
	var work conc.WaitGroup
	defer work.Wait()
	pause := s.interval
	for banyanplank.Sleep(ctx, pause) == nil {
		table, backends, role := s.fleet()
		pause = s.interval
		if role != Leader || table == nil {
			s.dropAllGroups()
			pause = min(standbyInterval, s.interval)
		}
		if role == Idle || table == nil {
			continue
		}
		s.beginRounds(ctx, &work, table, backends, role)
	}
	return nil
}

// beginRounds starts the round of each group of ranks whose next round is due.
func (s *Stepper) beginRounds(ctx context.Context, work *conc.WaitGroup, table *banyanplank.RoutingTable, backends []banyanplank.Backend, role Role) {
	groups := make(map[groupKey][]banyanplank.Backend)
	pools := make(map[groupKey]*banyanplank.PoolSpec)
	for i := range table.Pools {
		pool := &table.Pools[i]
		if pool.Engine == nil || pool.Engine.Layers == 0 {
			continue
		}
		for _, ranks := range groupsOf(pool.Name, backends) {
			key := groupKey{pool.Name, ranks[0].Group}
			groups[key], pools[key] = ranks, pool
		}
	}
	s.dropRemovedGroups(groups)
	for key, ranks := range groups {
		if s.beginRound(key) {
			work.Go(func() { s.runRound(ctx, key, role, pools[key], table.MinGap(key.service), ranks) })
		}
	}
}

// beginRound marks a group as being in a round. It reports false if a round is running or
// the next one is not due.
func (s *Stepper) beginRound(key groupKey) (ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.inRound[key] || time.Now().Before(s.nextRound[key]) {
		return false
	}
	s.inRound[key] = true
	return true
}

// endRound marks the round of a group as ended and delays the next one by pause.
func (s *Stepper) endRound(key groupKey, pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.inRound, key)
	s.nextRound[key] = time.Now().Add(pause)
}

// runRound runs a round that beginRound has marked. A panic ends the round, is reported
// as its error, and does not affect later rounds.
func (s *Stepper) runRound(ctx context.Context, key groupKey, role Role, pool *banyanplank.PoolSpec, maxPause time.Duration, ranks []banyanplank.Backend) {
	var caught panics.Catcher
	var err error
	caught.Try(func() { err = s.runRoundForRole(ctx, role, pool, maxPause, ranks) })
	pause := time.Duration(0)
	if role == Leader {
		pause = s.extraPause(pool.Engine)
	}
	s.endRound(key, pause)
	err = errors.CombineErrors(err, caught.Recovered().AsError())
	if err != nil && ctx.Err() == nil {
		s.onEvent(Event{Name: "round failed", Service: pool.Name, Err: err})
	}
}

// extraPause returns the time added between rounds so that at most maxCountsPerInterval
// counts are read per interval.
func (s *Stepper) extraPause(engine *banyanplank.EngineSpec) (pause time.Duration) {
	counts := float64(minSampledRanks * engine.Layers * engine.Experts)
	return max(0, time.Duration((counts/maxCountsPerInterval-1)*float64(s.interval)))
}

// runRoundForRole runs the part of a round that the role requires.
func (s *Stepper) runRoundForRole(ctx context.Context, role Role, pool *banyanplank.PoolSpec, maxPause time.Duration, ranks []banyanplank.Backend) (err error) {
	if role == Standby {
		return s.completeStalledSwitch(ctx, pool.Name, ranks)
	}
	return s.rebalance(ctx, pool, maxPause, ranks)
}

// groupsOf returns the endpoints of a service by group, sorted by group name. No group is
// empty.
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

// completeStalledSwitch completes the switch of the leader if the group is stalled before
// a pass that the leader holds. Two entries may do so at the same time.
func (s *Stepper) completeStalledSwitch(ctx context.Context, service banyanplank.ServiceName, ranks []banyanplank.Backend) (err error) {
	if !s.isStalled(service) {
		return nil
	}
	g, err := s.readGroup(ctx, ranks)
	if err != nil || !g.isNextPassHeld() {
		return err
	}
	_ = s.completeHeldPasses(ctx, service, g) // the event has the error
	return nil
}
