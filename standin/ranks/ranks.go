// Package ranks is a stand-in for the model engines of a group of ranks that
// run in lock-step on an expert map.
//
// It does what the design note asks of an engine: preparing a map is inert,
// and at the barrier before each step the ranks compare the maps that they
// are armed with. Only if all are armed with the same one do they switch, all
// in that step.
package ranks

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Agreement tells how ranks change their map.
type Agreement uint8

const (
	// Collective ranks switch in the step in which all are armed alike.
	Collective Agreement = iota
	// Alone each rank switches when its own step comes. No real group may work
	// like this; it shows that the checks notice two maps in one step.
	Alone
)

// ErrOldFence is the refusal of an engine that checks fencing numbers.
var ErrOldFence = errors.New("old fencing number")

// Rank is one rank of a [Group].
type Rank struct {
	status  banyanplank.RankStatus
	from    uint64
	up      bool
	stalled bool
	boots   int
	fencing bool
	fence   uint64
}

// Use is the record of one rank in one step.
type Use struct {
	Step uint64
	Rank int
	Map  banyanplank.MapID
}

// Group is a set of ranks in lock-step. It isn't safe for concurrent use.
type Group struct {
	ranks     []Rank
	step      uint64
	agreement Agreement
	record    func(Use)
}

// Option configures a [Group].
type Option func(*Group)

// WithAgreement sets how ranks change their map. The default is [Collective].
func WithAgreement(agreement Agreement) Option {
	return func(g *Group) { g.agreement = agreement }
}

// WithFencing tells which ranks refuse orders with an old fencing number. The
// default is none.
func WithFencing(fencing func(rank int) bool) Option {
	return func(g *Group) {
		for i := range g.ranks {
			g.ranks[i].fencing = fencing(i)
		}
	}
}

// WithRecord calls record for each rank in each step. The default does nothing.
func WithRecord(record func(Use)) Option {
	return func(g *Group) { g.record = record }
}

// NewGroup returns a group of running ranks that use the map.
func NewGroup(ranks int, initial banyanplank.MapID, options ...Option) *Group {
	g := &Group{ranks: make([]Rank, ranks), record: func(Use) {}}
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

// Status returns what a rank says of itself, or false while it is down.
func (g *Group) Status(rank int) (status banyanplank.RankStatus, ok bool) {
	return g.ranks[rank].status, g.ranks[rank].up
}

// Order gives a rank an order. Orders for maps that are not prepared, and old
// ones at a rank that checks fencing numbers, are refused and change nothing.
func (g *Group) Order(rank int, order banyanplank.Order) (err error) {
	r := &g.ranks[rank]
	if !r.up {
		return errors.Newf("rank %d is down", rank)
	}
	if r.fencing && order.Fence < r.fence {
		return errors.Wrapf(ErrOldFence, "rank %d has seen %d, order has %d", rank, r.fence, order.Fence)
	}
	r.fence = max(r.fence, order.Fence)
	id := banyanplank.MapID(order.Map)
	switch order.Kind {
	case banyanplank.OrderPrepare:
		r.prepare(id)
	case banyanplank.OrderSwitch:
		return r.arm(id, order.Step)
	case banyanplank.OrderAbort:
		r.abort(id)
	default:
		return errors.Newf("rank %d does not know order %q", rank, order.Kind)
	}
	return nil
}

// prepare loads a map beside the one in use. There is room for one.
func (r *Rank) prepare(id banyanplank.MapID) {
	if id == r.status.Map || id == r.status.Prepared {
		return
	}
	r.status.Prepared = id
	r.status.Armed = 0
}

// arm offers the prepared map at the barriers from step on.
func (r *Rank) arm(id banyanplank.MapID, step uint64) (err error) {
	if id == r.status.Map {
		return nil
	}
	if id != r.status.Prepared {
		return errors.Newf("map %d is not prepared, %d is", id, r.status.Prepared)
	}
	r.status.Armed = id
	r.from = step
	return nil
}

// abort forgets the prepared map. Zero stands for whatever is prepared.
func (r *Rank) abort(id banyanplank.MapID) {
	if id == 0 || id == r.status.Prepared {
		r.status.Prepared = 0
		r.status.Armed = 0
	}
}

// Stall keeps a rank from arriving at the barrier, or lets it go on.
func (g *Group) Stall(rank int, stalled bool) { g.ranks[rank].stalled = stalled }

// Stop ends a rank, which forgets all that it has loaded.
func (g *Group) Stop(rank int) {
	r := &g.ranks[rank]
	r.up = false
	r.stalled = false
	r.fence = 0
	r.status = banyanplank.RankStatus{}
}

// Start brings a rank back. It joins with the map of the ranks that run. If
// none does, it starts with the map that its agent gives.
func (g *Group) Start(rank int, given banyanplank.MapID) {
	r := &g.ranks[rank]
	if r.up {
		return
	}
	r.up = true
	r.boots++
	r.status = banyanplank.RankStatus{Boot: strconv.Itoa(r.boots), Map: given, Step: g.step}
	for i := range g.ranks {
		if i != rank && g.ranks[i].up {
			r.status.Map = g.ranks[i].status.Map
		}
	}
}

// Advance runs one step if every rank is up and arrives at the barrier.
func (g *Group) Advance() (ok bool) {
	for i := range g.ranks {
		if !g.ranks[i].up || g.ranks[i].stalled {
			return false
		}
	}
	g.step++
	g.agree()
	for i := range g.ranks {
		r := &g.ranks[i]
		r.status.Step = g.step
		g.record(Use{Step: g.step, Rank: i, Map: r.status.Map})
	}
	return true
}

// agree switches the ranks whose time has come.
func (g *Group) agree() {
	if g.agreement == Collective && !g.isUnanimous() {
		return
	}
	for i := range g.ranks {
		if r := &g.ranks[i]; r.status.Armed != 0 && r.from <= g.step {
			r.status.Map = r.status.Armed
			r.status.Armed = 0
			r.status.Prepared = 0
		}
	}
}

// isUnanimous reports whether all ranks are armed with the same map and have
// reached the step given for it.
func (g *Group) isUnanimous() bool {
	first := g.ranks[0].status.Armed
	for i := range g.ranks {
		r := &g.ranks[i]
		if first == 0 || r.status.Armed != first || r.from > g.step {
			return false
		}
	}
	return true
}
