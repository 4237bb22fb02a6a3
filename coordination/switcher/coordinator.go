// Package switcher brings a new expert map into use in a group of ranks: in
// one step for all ranks, or for none.
//
// The [Coordinator] runs at the one agent of the group that holds its lease.
// The [Gate] runs at each agent and decides which orders reach the endpoint.
// Both are pure models. The commit point is the ranks' own barrier: a map that
// is prepared and armed at every rank comes into use in the next step, and one
// that is missing at any rank doesn't. What the coordinators know, they know
// from the ranks; the [Record] in the object API orders the coordinators and
// keeps the places of every map that may be in use.
package switcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Phase tells what a coordinator does.
type Phase string

// The phases of a coordinator.
const (
	// Standby coordinators hold no lease and give no orders.
	Standby Phase = "standby"
	// Claiming writes the fencing number into the group's record.
	Claiming Phase = "claiming"
	// Settling withdraws what is prepared and finds out the map in use.
	Settling Phase = "settling"
	// Recording writes the map in use into the record.
	Recording Phase = "recording"
	// Idle waits for a plan.
	Idle Phase = "idle"
	// Announcing writes the planned map into the record.
	Announcing Phase = "announcing"
	// Switching prepares and arms the planned map at all ranks.
	Switching Phase = "switching"
)

// The defaults of a [Coordinator].
const (
	defaultRetry = 2 * time.Second
	defaultPoll  = time.Minute
	defaultLimit = 10 * time.Minute
	// defaultPace is the orders a second, which bounds the coordinator's
	// traffic.
	defaultPace = 3
)

// Coordinator is the control state of a group's switches. Update it from one
// goroutine only.
type Coordinator struct {
	group   banyanplank.GroupName
	shape   banyanplank.MapShape
	initial banyanplank.ExpertMap
	retry   time.Duration
	poll    time.Duration
	limit   time.Duration
	pace    float64

	phase    Phase
	fence    uint64
	until    time.Time
	record   Record
	version  banyanplank.Version
	known    bool
	storing  bool
	storeAt  time.Time
	inUse    banyanplank.MapID
	target   banyanplank.ExpertMap
	prepared bool
	deadline time.Time
	ranks    []rankView
	serial   uint64
	// since is the last serial number of earlier fencing numbers.
	since uint64
	// round is the serial number at which the latest survey began.
	round  uint64
	polled time.Time
	saved  float64
	filled time.Time
}

// rankView is what the coordinator knows of one rank.
type rankView struct {
	status banyanplank.RankStatus
	// accepted is the serial number of the latest reply taken in, sent that of
	// the latest order or query.
	accepted uint64
	sent     uint64
	sentAt   time.Time
	// asked is what the latest order or query was for.
	asked need
}

// Option configures a [Coordinator].
type Option func(*Coordinator)

// WithRetry sets how long to wait for a reply before asking again. Use several
// round trips. The default is 2 seconds.
func WithRetry(retry time.Duration) Option {
	return func(c *Coordinator) { c.retry = retry }
}

// WithPoll sets how often an idle coordinator asks the ranks for their status.
// The default is one minute.
func WithPoll(interval time.Duration) Option {
	return func(c *Coordinator) { c.poll = interval }
}

// WithLimit bounds the time from the announcement of a map until all ranks use
// it. After that it is given up. Use the time that loading the weights may
// take. The default is 10 minutes.
func WithLimit(limit time.Duration) Option {
	return func(c *Coordinator) { c.limit = limit }
}

// WithPace bounds the orders and queries a second. Use the traffic that the
// coordinator may cause over the size of an order. The default is 3.
func WithPace(orders float64) Option {
	return func(c *Coordinator) { c.pace = orders }
}

// NewCoordinator returns a coordinator on standby for the group. Initial is
// the map that the group runs before any coordinator has changed it.
func NewCoordinator(initial banyanplank.ExpertMap, options ...Option) (c *Coordinator, err error) {
	if err := initial.Check(); err != nil {
		return nil, err
	}
	c = &Coordinator{
		group:   initial.Group,
		shape:   initial.Shape,
		initial: initial,
		retry:   defaultRetry,
		poll:    defaultPoll,
		limit:   defaultLimit,
		pace:    defaultPace,
		phase:   Standby,
		ranks:   make([]rankView, initial.Shape.Ranks),
	}
	for _, option := range options {
		option(c)
	}
	return c, nil
}

// Phase returns what the coordinator does.
func (c *Coordinator) Phase() (phase Phase) { return c.phase }

// Current returns the map that all ranks use, while the coordinator knows it.
func (c *Coordinator) Current() (m banyanplank.ExpertMap, ok bool) {
	if c.phase != Idle && c.phase != Announcing && c.phase != Switching {
		return banyanplank.ExpertMap{}, false
	}
	return c.record.Map(c.inUse)
}

// Fence returns the fencing number under which the coordinator acts.
func (c *Coordinator) Fence() (fence uint64) { return c.fence }

// Update takes in a message and returns the commands that follow from it.
func (c *Coordinator) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	if c.phase != Standby && !now.Before(c.until) {
		c.resign()
	}
	switch msg := msg.(type) {
	case LeaseMsg:
		commands = c.hold(now, msg)
	case LeaseLostMsg:
		c.resign()
	case RecordMsg:
		commands = c.takeRecord(now, msg)
	case ReplyMsg:
		commands = c.takeReply(msg)
	case PlanMsg:
		commands = c.takePlan(now, msg)
	case banyanplank.PanicMsg:
		c.takePanic(msg)
	}
	return c, append(commands, c.act(now)...)
}

// act returns the commands that the state of things asks for.
func (c *Coordinator) act(now time.Time) (commands []banyanplank.Command) {
	c.fill(now)
	switch c.phase {
	case Claiming:
		return c.claim(now)
	case Settling:
		return c.settle(now)
	case Recording:
		return c.write(now, c.record.settled(c.inUse))
	case Idle:
		return c.watch(now)
	case Announcing:
		return c.write(now, c.record.announced(c.target))
	case Switching:
		return c.bring(now)
	default:
		return nil
	}
}

// hold takes in that the lease is held.
func (c *Coordinator) hold(now time.Time, msg LeaseMsg) (commands []banyanplank.Command) {
	if msg.Fence < c.fence || !now.Before(msg.Until) {
		return nil
	}
	c.until = msg.Until
	if msg.Fence == c.fence && c.phase != Standby {
		return nil
	}
	c.fence = msg.Fence
	c.since = c.serial
	c.phase = Claiming
	c.known = false
	return nil
}

// resign stops all orders.
func (c *Coordinator) resign() {
	c.phase = Standby
	c.known = false
}

// takePlan checks a plan and begins to bring its map into use.
func (c *Coordinator) takePlan(now time.Time, msg PlanMsg) (commands []banyanplank.Command) {
	if err := c.checkPlan(msg); err != nil {
		return []banyanplank.Command{EventCmd{Kind: EventRefused, Fence: msg.Fence, Map: msg.Map.ID, Err: err}}
	}
	c.target = msg.Map
	c.prepared = false
	c.deadline = now.Add(c.limit)
	c.phase = Announcing
	return []banyanplank.Command{EventCmd{Kind: EventPlanned, Fence: c.fence, Map: c.target.ID}}
}

// checkPlan reports why a plan can't be taken.
func (c *Coordinator) checkPlan(msg PlanMsg) (err error) {
	if c.phase != Idle {
		return errors.Wrapf(ErrNotReady, "plan for map %d while %s", msg.Map.ID, c.phase)
	}
	if msg.Fence != c.fence {
		return errors.Wrapf(ErrOldFence, "plan of %d, now %d", msg.Fence, c.fence)
	}
	if msg.Base != c.inUse {
		return errors.Newf("plan starts from map %d, the group uses %d", msg.Base, c.inUse)
	}
	if _, ok := c.record.Map(c.inUse); !ok {
		return errors.Newf("places of map %d, which the group uses, are not known", c.inUse)
	}
	if least := banyanplank.NewMapID(c.fence, 0); msg.Map.ID <= least || msg.Map.ID <= c.inUse {
		return errors.Newf("map id %d, want above %d and %d", msg.Map.ID, least, c.inUse)
	}
	if _, ok := c.record.Map(msg.Map.ID); ok {
		return errors.Newf("map id %d was used before", msg.Map.ID)
	}
	return msg.Map.CheckFor(c.group, c.shape)
}
