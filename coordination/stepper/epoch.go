package stepper

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// groupKey identifies a group of ranks.
type groupKey struct {
	service banyanplank.ServiceName
	group   banyanplank.GroupName
}

// epochState is the known state of a group in one epoch.
type epochState struct {
	epoch      uint64
	demand     *demand
	placement  placement
	mapID      banyanplank.MapID
	lastStep   uint64
	lastStepAt time.Time
	passTime   time.Duration
	// slowestPass is the slowest recent pass, decayed by age.
	slowestPass time.Duration
	// armTime is how long it took to arm all ranks for the latest map.
	armTime time.Duration
	// leavingSince is when a rank was first known to be leaving, or zero if none is.
	leavingSince time.Time
	// slowEndpoints lists the endpoints that slow down the group.
	slowEndpoints []banyanplank.BackendID
}

// dropRemovedGroups drops the state of groups that are no longer listed, also of those
// whose service is no longer configured.
func (s *Stepper) dropRemovedGroups(listed map[groupKey][]banyanplank.Backend) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.states, func(key groupKey, _ *epochState) (removed bool) { return listed[key] == nil })
	maps.DeleteFunc(s.nextRound, func(key groupKey, _ time.Time) (removed bool) { return listed[key] == nil })
	s.dropFences(listed)
}

// dropAllGroups drops the state of all groups.
func (s *Stepper) dropAllGroups() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.states)
}

// updateState updates the state of a group from its latest reports and returns it. A new
// epoch starts with an empty state but for the demand, which lasts longer than the loss of
// a rank.
func (s *Stepper) updateState(key groupKey, pool *banyanplank.PoolSpec, g *group) (state *epochState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, step := time.Now(), g.latestStep()
	state = s.states[key]
	if state == nil || state.epoch != g.epoch {
		state = newEpochState(g.epoch, pool.Engine, state)
		s.states[key] = state
	} else if step > state.lastStep {
		state.passTime = now.Sub(state.lastStepAt) / time.Duration(step-state.lastStep)
		decayed := float64(state.slowestPass) * math.Exp(-now.Sub(state.lastStepAt).Seconds()/slowestPassDecayTime.Seconds())
		state.slowestPass = max(state.passTime, time.Duration(decayed))
	}
	state.lastStep, state.lastStepAt = step, now
	g.passTime, g.slowestPass, g.armTime = state.passTime, state.slowestPass, state.armTime
	return state
}

// newEpochState returns the state of a group at the begin of an epoch. Previous is that of
// the epoch before, or nil. Callers usually return all at once, so passes are expected to
// become as slow as with all slots in use.
func newEpochState(epoch uint64, engine *banyanplank.EngineSpec, previous *epochState) (state *epochState) {
	state = &epochState{epoch: epoch, slowestPass: max(defaultPassTime, engine.PassTime(float64(engine.Slots)))}
	if previous != nil {
		state.demand = previous.demand
	}
	if state.demand == nil || !state.demand.matches(engine.Layers, engine.Experts) {
		state.demand = newDemand(engine.Layers, engine.Experts)
	}
	// Counts do not continue in the new epoch, and ranks return under other ids.
	clear(state.demand.lastCounts)
	return state
}

// updateLeaving records since when a rank of the group is leaving.
func (s *epochState) updateLeaving(now time.Time, ranks []banyanplank.Backend) {
	switch leaves := slices.ContainsFunc(ranks, func(b banyanplank.Backend) bool { return b.Leaving }); {
	case !leaves:
		s.leavingSince = time.Time{}
	case s.leavingSince.IsZero():
		s.leavingSince = now
	}
}

// mapLifetime returns how long a map planned now is expected to be in use. The group loses
// its map when a leaving rank exits.
func (s *epochState) mapLifetime(now time.Time) (lifetime time.Duration) {
	if s.leavingSince.IsZero() {
		return horizon
	}
	return min(horizon, s.leavingSince.Add(expectedExit-planDelay).Sub(now))
}

// updateDemand reads the counts of sampled ranks, and the map in use if it is not known.
func (s *Stepper) updateDemand(ctx context.Context, state *epochState, g *group) (err error) {
	if state.placement == nil || state.mapID != g.reports[0].Map {
		if err := s.readPlacement(ctx, state, g); err != nil {
			return err
		}
	}
	sampled := s.sampleRanks(state, g)
	counts := make([]banyanplank.RankCounts, len(sampled))
	work := pool.New().WithErrors()
	for i, b := range sampled {
		work.Go(func() (err error) {
			counts[i], err = s.ranks.Counts(ctx, b)
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return err
	}
	for i, c := range counts {
		state.demand.addCounts(sampled[i].ID, c)
	}
	state.demand.update(time.Now())
	return nil
}

// sampleRanks returns the ranks whose counts are read: all of a small group. Calls are
// spread evenly, so a sample of the ranks of a large group represents its demand. Ranks of
// the own zone come first.
func (s *Stepper) sampleRanks(state *epochState, g *group) (sampled []*banyanplank.Backend) {
	sampled = slices.Clone(g.backends)
	slices.SortStableFunc(sampled, func(a, b *banyanplank.Backend) int {
		return s.zoneDistance(a) - s.zoneDistance(b)
	})
	counts := max(1, len(state.demand.weight)*state.demand.experts)
	return sampled[:min(len(sampled), max(minSampledRanks, maxCountsPerInterval/counts))]
}

// zoneDistance returns 0 for an endpoint of the own zone and 1 for others.
func (s *Stepper) zoneDistance(b *banyanplank.Backend) (distance int) {
	if b.Zone == s.zone {
		return 0
	}
	return 1
}

// readPlacement reads the map in use from all ranks into state.
func (s *Stepper) readPlacement(ctx context.Context, state *epochState, g *group) (err error) {
	state.placement, err = g.readPlacement(ctx)
	if err == nil && len(state.placement) != len(state.demand.weight) {
		err = errors.Newf("the map has %d layers, the engine declares %d", len(state.placement), len(state.demand.weight))
	}
	state.mapID = g.reports[0].Map
	return err
}
