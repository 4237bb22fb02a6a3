// Package ranks simulates the model engines of a group of ranks that run in
// lock-step on an expert map.
//
// The engines follow the switch protocol that is required of a real engine:
// preparing a map has no effect on execution, and at the barrier before each
// step the ranks compare the maps that they are armed with. They switch in that
// step only if all of them are armed with the same map.
package ranks

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// SwitchMode selects how ranks agree on a switch to another map.
type SwitchMode uint8

const (
	// Collective makes all ranks switch in the first step in which all of them are
	// armed with the same map.
	Collective SwitchMode = iota
	// Independent makes each rank switch at its own step. No real group may do this; it
	// serves to verify that checks detect two maps in one step.
	Independent
)

// ErrOldFence is returned for an order whose fencing number is lower than that of
// an earlier order, if the rank checks fencing numbers.
var ErrOldFence = errors.New("old fencing number")

// Rank is one rank of a [Group].
type Rank struct {
	status      banyanplank.RankStatus
	armedStep   uint64
	up          bool
	stalled     bool
	bootCount   int
	checksFence bool
	maxFence    uint64
}

// StepRecord records the map that one rank used in one step.
type StepRecord struct {
	Step uint64
	Rank int
	Map  banyanplank.MapID
}

// Group is a set of ranks that run in lock-step. It isn't safe for concurrent use.
type Group struct {
	ranks      []Rank
	step       uint64
	switchMode SwitchMode
	recordStep func(StepRecord)
}

// Option configures a [Group].
type Option func(*Group)

// WithSwitchMode sets how ranks agree on a switch to another map. The default is
// [Collective].
func WithSwitchMode(mode SwitchMode) Option {
	return func(g *Group) { g.switchMode = mode }
}

// WithFencing selects the ranks that reject orders with an old fencing number.
// The default is none.
func WithFencing(checks func(rank int) bool) Option {
	return func(g *Group) {
		for i := range g.ranks {
			g.ranks[i].checksFence = checks(i)
		}
	}
}

// WithStepRecorder sets a function that is called for each rank in each step. The
// default does nothing.
func WithStepRecorder(record func(StepRecord)) Option {
	return func(g *Group) { g.recordStep = record }
}

// NewGroup returns a group of running ranks that use the initial map.
func NewGroup(ranks int, initial banyanplank.MapID, options ...Option) *Group {
	g := &Group{ranks: make([]Rank, ranks), recordStep: func(StepRecord) {}}
	for i := range g.ranks {
		g.ranks[i].up = true
		g.ranks[i].status.Map = initial
		g.ranks[i].status.Boot = "0"
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// Status returns the status of a rank, or false if the rank is down.
func (g *Group) Status(rank int) (status banyanplank.RankStatus, ok bool) {
	return g.ranks[rank].status, g.ranks[rank].up
}

// Order applies an order to a rank. It returns an error, and leaves the maps of
// the rank unchanged, if the rank is down, if the map to switch to isn't
// prepared, if the kind of order is unsupported, or, with [ErrOldFence], if the
// rank checks fencing numbers and that of the order is old.
func (g *Group) Order(rank int, order banyanplank.Order) (err error) {
	r := &g.ranks[rank]
	if !r.up {
		return errors.Newf("rank %d is down", rank)
	}
	if r.checksFence && order.Fence < r.maxFence {
		return errors.Wrapf(ErrOldFence, "rank %d has fencing number %d, order has %d", rank, r.maxFence, order.Fence)
	}
	r.maxFence = max(r.maxFence, order.Fence)
	id := banyanplank.MapID(order.Map)
	switch order.Kind {
	case banyanplank.OrderPrepare:
		r.prepare(id)
	case banyanplank.OrderSwitch:
		return r.arm(id, order.Step)
	case banyanplank.OrderAbort:
		r.abort(id)
	default:
		return errors.Newf("rank %d does not support orders of kind %q", rank, order.Kind)
	}
	return nil
}

// prepare loads a map beside the one in use. It replaces another prepared map,
// since there is room for one only.
func (r *Rank) prepare(id banyanplank.MapID) {
	if id == r.status.Map || id == r.status.Prepared {
		return
	}
	r.status.Prepared = id
	r.status.Armed = 0
}

// arm proposes the prepared map at the barriers from the given step on.
func (r *Rank) arm(id banyanplank.MapID, step uint64) (err error) {
	if id == r.status.Map {
		return nil
	}
	if id != r.status.Prepared {
		return errors.Newf("map %d is not prepared; the prepared map is %d", id, r.status.Prepared)
	}
	r.status.Armed = id
	r.armedStep = step
	return nil
}

// abort discards the prepared map if it has the given ID, or whatever map is
// prepared if the ID is zero.
func (r *Rank) abort(id banyanplank.MapID) {
	if id == 0 || id == r.status.Prepared {
		r.status.Prepared = 0
		r.status.Armed = 0
	}
}

// SetStalled sets whether a rank is stalled. A stalled rank doesn't arrive at the
// barrier.
func (g *Group) SetStalled(rank int, stalled bool) { g.ranks[rank].stalled = stalled }

// Stop stops a rank. It loses its maps and its fencing number.
func (g *Group) Stop(rank int) {
	r := &g.ranks[rank]
	r.up = false
	r.stalled = false
	r.maxFence = 0
	r.status = banyanplank.RankStatus{}
}

// Start restarts a stopped rank with the map of the running ranks, or with the
// initial map from its agent if no rank runs.
func (g *Group) Start(rank int, initial banyanplank.MapID) {
	r := &g.ranks[rank]
	if r.up {
		return
	}
	r.up = true
	r.bootCount++
	r.status = banyanplank.RankStatus{Boot: strconv.Itoa(r.bootCount), Map: initial, Step: g.step}
	for i := range g.ranks {
		if i != rank && g.ranks[i].up {
			r.status.Map = g.ranks[i].status.Map
		}
	}
}

// Advance runs one step if all ranks are up and none is stalled. It reports
// whether the step ran.
func (g *Group) Advance() (ok bool) {
	for i := range g.ranks {
		if !g.ranks[i].up || g.ranks[i].stalled {
			return false
		}
	}
	g.step++
	g.switchMaps()
	for i := range g.ranks {
		r := &g.ranks[i]
		r.status.Step = g.step
		g.recordStep(StepRecord{Step: g.step, Rank: i, Map: r.status.Map})
	}
	return true
}

// switchMaps switches the ranks that have reached their armed step to their armed
// maps. In [Collective] mode it does so only if all ranks are ready to switch.
func (g *Group) switchMaps() {
	if g.switchMode == Collective && !g.isUniformlyArmed() {
		return
	}
	for i := range g.ranks {
		if r := &g.ranks[i]; r.status.Armed != 0 && r.armedStep <= g.step {
			r.status.Map = r.status.Armed
			r.status.Armed = 0
			r.status.Prepared = 0
		}
	}
}

// isUniformlyArmed reports whether all ranks are armed with the same map and have
// reached their armed step.
func (g *Group) isUniformlyArmed() bool {
	first := g.ranks[0].status.Armed
	for i := range g.ranks {
		r := &g.ranks[i]
		if first == 0 || r.status.Armed != first || r.armedStep > g.step {
			return false
		}
	}
	return true
}
