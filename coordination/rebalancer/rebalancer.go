// Package rebalancer balances the expert load of a group of ranks: it estimates
// the demand for each expert from load reports, requests a plan at every
// interval, and passes plans that move experts to the group's coordinator.
//
// A [Rebalancer] is a pure model that wraps the coordinator of package switcher
// and forwards its messages and commands.
package rebalancer

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/aggregator"
	"github.com/banyanplank/banyanplank/coordination/planner"
	"github.com/banyanplank/banyanplank/coordination/switcher"
)

const (
	// defaultInterval is the time between two plans.
	defaultInterval = time.Minute
	// skewHistorySize is the number of plans whose skew is kept.
	skewHistorySize = 60
	// loadInterference is the fraction of the step time lost while weights are
	// loading.
	loadInterference = 0.05
	// switchCost is the step time lost in one switch of the map.
	switchCost = 3 * time.Millisecond
	// demandHorizon is how long the demand is expected to stay the same.
	demandHorizon = 10 * time.Minute
	// defaultStepsPerSecond is the default of [WithStepsPerSecond].
	defaultStepsPerSecond = 20
	// A plan may fill 1/stagingDivisor of the slots of a rank, but at least
	// minStagingSlots.
	stagingDivisor  = 16
	minStagingSlots = 4
)

// GroupMsg sets the declared specification of the group.
type GroupMsg struct{ Spec banyanplank.GroupSpec }

// RanksMsg sets the instances and zones of the ranks. It is ignored if their
// number is not that of the group.
type RanksMsg struct{ Ranks []planner.Rank }

// LoadMsg is a load report of a rank.
type LoadMsg struct{ Load banyanplank.RankLoad }

// RebalanceMsg requests a plan now, even while rebalancing is paused or in quiet
// hours.
type RebalanceMsg struct{}

// PlanResultMsg is the result of a [PlanCmd].
type PlanResultMsg struct {
	Fence uint64
	Base  banyanplank.MapID
	Plan  planner.Plan
	Err   error
}

// PlanCmd requests a plan. Planning takes too long to run within an update of
// the model. The result is a [PlanResultMsg].
type PlanCmd struct {
	Fence uint64
	Input planner.Input
}

// MakePlan computes the plan.
func (p PlanCmd) MakePlan() (msg PlanResultMsg) {
	plan, err := planner.Make(p.Input)
	return PlanResultMsg{Fence: p.Fence, Base: p.Input.Map.ID, Plan: plan, Err: err}
}

// LogStallCmd logs the start of a stall, or its end if Ended is set.
type LogStallCmd struct {
	Stall aggregator.Stall
	Ended bool
}

// LogPlanCmd logs a plan, or the error of planning or of a rejected load report.
type LogPlanCmd struct {
	Plan planner.Plan
	Err  error
}

// Rebalancer is the model of a group's load balance. It is not safe for
// concurrent use.
type Rebalancer struct {
	coordinator    *switcher.Coordinator
	aggregator     *aggregator.Aggregator
	interval       time.Duration
	stepsPerSecond float64

	spec            banyanplank.GroupSpec
	ranks           []planner.Rank
	stalls          []aggregator.Stall
	popularity      banyanplank.Popularity
	demandErr       error
	demandUpdatedAt time.Time
	planning        bool
	planRequested   bool
	planSequence    uint32
	latestPlan      planner.Plan
	planErr         error
	skewHistory     []float64
	// loads holds the loads of the ranks under the map loadsMapID, relative to
	// their mean.
	loads      []float64
	loadsMapID banyanplank.MapID
	// loadsBefore and loadsAfter are the loads of the ranks before and after the
	// latest plan that moved experts.
	loadsBefore []float64
	loadsAfter  []float64
}

// Option configures a [Rebalancer].
type Option func(*Rebalancer)

// WithInterval sets the time between two plans. It should be the interval of the
// load reports. The default is one minute.
func WithInterval(interval time.Duration) Option {
	return func(r *Rebalancer) { r.interval = interval }
}

// WithStepsPerSecond sets the step rate of the group, which converts demand to
// the load of one step. The default is 20.
func WithStepsPerSecond(stepsPerSecond float64) Option {
	return func(r *Rebalancer) { r.stepsPerSecond = stepsPerSecond }
}

// New returns a rebalancer that wraps the coordinator of the group. No plan is
// requested while the token time or the expert size in spec is zero.
func New(spec banyanplank.GroupSpec, initial banyanplank.ExpertMap, coordinator *switcher.Coordinator, options ...Option) *Rebalancer {
	r := &Rebalancer{coordinator: coordinator, interval: defaultInterval, spec: spec, stepsPerSecond: defaultStepsPerSecond}
	for _, option := range options {
		option(r)
	}
	cost := aggregator.StepCost{Fixed: time.Duration(spec.BaseStepTime), Token: time.Duration(spec.TokenTime), Steps: r.stepsPerSecond}
	r.aggregator = aggregator.New(initial, aggregator.WithMaxReportAge(3*r.interval), aggregator.WithStepCost(cost))
	r.ranks = make([]planner.Rank, initial.Shape.Ranks)
	return r
}

// Update processes a message and returns the resulting commands.
func (r *Rebalancer) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	switch msg := msg.(type) {
	case GroupMsg:
		r.spec = msg.Spec
	case RanksMsg:
		if len(msg.Ranks) == len(r.ranks) {
			r.ranks = slices.Clone(msg.Ranks)
		}
	case LoadMsg:
		if err := r.aggregator.Observe(now, msg.Load); err != nil && !errors.Is(err, aggregator.ErrStale) {
			commands = append(commands, LogPlanCmd{Err: err})
		}
	case RebalanceMsg:
		r.planRequested = true
	case PlanResultMsg:
		commands = append(commands, r.handlePlan(now, msg)...)
	case banyanplank.PanicMsg:
		commands = append(commands, r.handlePanic(now, msg)...)
	default:
		_, commands = r.coordinator.Update(now, msg)
	}
	return r, append(commands, r.updatePlan(now)...)
}

// updatePlan updates the demand once per interval and requests a plan if one is
// due or was requested.
func (r *Rebalancer) updatePlan(now time.Time) (commands []banyanplank.Command) {
	current, ok := r.coordinator.Current()
	if !ok {
		return nil
	}
	r.aggregator.SetCurrentMap(current)
	commands = r.updateStalls(now)
	due := now.Sub(r.demandUpdatedAt) >= r.interval
	if due {
		r.demandUpdatedAt = now
		r.popularity, r.demandErr = r.aggregator.UpdateDemand(now)
	}
	if due || r.loadsMapID != current.ID {
		r.loads, r.loadsMapID = rankLoads(current, r.popularity), current.ID
	}
	if due {
		commands = append(commands, r.requestPlan(now, current, r.planRequested || !r.isHeld(now))...)
	} else if r.planRequested {
		commands = append(commands, r.requestPlan(now, current, true)...)
	}
	return commands
}

// isHeld reports whether rebalancing is paused or in quiet hours (UTC).
func (r *Rebalancer) isHeld(now time.Time) bool {
	if r.spec.Paused {
		return true
	}
	midnight := now.UTC().Truncate(24 * time.Hour)
	timeOfDay := banyanplank.Duration(now.Sub(midnight))
	for _, q := range r.spec.QuietSpans {
		if q.From <= q.Until && timeOfDay >= q.From && timeOfDay < q.Until {
			return true
		}
		if q.From > q.Until && (timeOfDay >= q.From || timeOfDay < q.Until) {
			return true
		}
	}
	return false
}

// requestPlan requests a plan if it is wanted and possible now.
func (r *Rebalancer) requestPlan(now time.Time, current banyanplank.ExpertMap, wanted bool) (commands []banyanplank.Command) {
	if !wanted || r.planning || r.demandErr != nil || len(r.popularity.Tokens) == 0 {
		return nil
	}
	if r.coordinator.Phase() != switcher.Idle || r.spec.TokenTime <= 0 || r.spec.ExpertBytes <= 0 {
		return nil
	}
	r.planRequested = false
	r.planning = true
	r.planSequence++
	return []banyanplank.Command{PlanCmd{Fence: r.coordinator.Fence(), Input: r.planInput(now, current)}}
}

// planInput returns the input of the next plan.
func (r *Rebalancer) planInput(now time.Time, current banyanplank.ExpertMap) (input planner.Input) {
	ranks := slices.Clone(r.ranks)
	stalls := r.aggregator.Stalls(now)
	for i := range ranks {
		speed, excluded := aggregator.RankSpeed(i, stalls)
		ranks[i].Speed = speed
		ranks[i].Excluded = ranks[i].Excluded || excluded
	}
	return planner.Input{
		Map:        current,
		Popularity: r.popularity,
		Ranks:      ranks,
		Limits:     r.planLimits(current.Shape),
		Prices:     r.planPrices(),
		NextID:     banyanplank.NewMapID(r.coordinator.Fence(), r.planSequence),
	}
}

// planLimits returns the limits of a plan according to the specification. If
// MaxBytesPerMinute is zero, nothing is moved.
func (r *Rebalancer) planLimits(shape banyanplank.MapShape) (limits planner.Limits) {
	return planner.Limits{
		Loads:   int(float64(r.spec.MaxBytesPerMinute) * r.interval.Minutes() / float64(r.spec.ExpertBytes)),
		Staging: max(minStagingSlots, shape.Layers*shape.Slots/stagingDivisor),
		Gain:    r.spec.MinGain,
	}
}

// planPrices returns the prices of a plan according to the specification.
func (r *Rebalancer) planPrices() (prices planner.Prices) {
	prices = planner.Prices{
		Fixed:   time.Duration(r.spec.BaseStepTime),
		Token:   time.Duration(r.spec.TokenTime),
		Steps:   r.stepsPerSecond,
		Switch:  switchCost,
		Horizon: demandHorizon,
	}
	if r.spec.MaxBytesPerMinute > 0 {
		perLoad := float64(r.spec.ExpertBytes) / float64(r.spec.MaxBytesPerMinute)
		prices.Load = time.Duration(loadInterference * perLoad * float64(time.Minute))
	}
	return prices
}

// handlePlan records the result of planning and passes a plan that moves experts
// to the coordinator.
func (r *Rebalancer) handlePlan(now time.Time, msg PlanResultMsg) (commands []banyanplank.Command) {
	r.planning = false
	r.planErr = msg.Err
	commands = []banyanplank.Command{LogPlanCmd{Plan: msg.Plan, Err: msg.Err}}
	if msg.Err != nil {
		return commands
	}
	r.latestPlan = msg.Plan
	r.skewHistory = append(r.skewHistory, msg.Plan.SkewBefore)
	r.skewHistory = r.skewHistory[max(0, len(r.skewHistory)-skewHistorySize):]
	if !msg.Plan.HasMoves() {
		return commands
	}
	if current, ok := r.coordinator.Current(); ok {
		r.loadsBefore = rankLoads(current, r.popularity)
		r.loadsAfter = rankLoads(msg.Plan.Map, r.popularity)
	}
	_, more := r.coordinator.Update(now, switcher.PlanMsg{Fence: msg.Fence, Base: msg.Base, Map: msg.Plan.Map})
	return append(commands, more...)
}

// handlePanic records that planning panicked. Panics of other commands are for the
// coordinator.
func (r *Rebalancer) handlePanic(now time.Time, msg banyanplank.PanicMsg) (commands []banyanplank.Command) {
	if command, ok := msg.Command.(PlanCmd); ok {
		return r.handlePlan(now, PlanResultMsg{Fence: command.Fence, Base: command.Input.Map.ID, Err: msg.Err})
	}
	_, commands = r.coordinator.Update(now, msg)
	return commands
}

// updateStalls updates the stalls and returns commands that log the started and
// ended ones.
func (r *Rebalancer) updateStalls(now time.Time) (commands []banyanplank.Command) {
	before := r.stalls
	r.stalls = r.aggregator.Stalls(now)
	for _, s := range r.stalls {
		if !slices.ContainsFunc(before, s.IsSameStall) {
			commands = append(commands, LogStallCmd{Stall: s})
		}
	}
	for _, s := range before {
		if !slices.ContainsFunc(r.stalls, s.IsSameStall) {
			commands = append(commands, LogStallCmd{Stall: s, Ended: true})
		}
	}
	return commands
}
