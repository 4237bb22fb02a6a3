// Package switcher replaces the expert map of a group of ranks atomically: all
// ranks switch in the same step, or none does.
//
// The [Coordinator] runs at the agent that holds the group's lease. The [Gate]
// runs at each agent and decides which orders are forwarded to the endpoint.
// Both are state machines without I/O. The commit point is the barrier of the
// ranks: a map that is prepared and armed at every rank is used from the next
// step on, and one that is missing at any rank is not. Coordinators learn the
// state from the ranks. The [Record] in the object API orders coordinators by
// fencing number and holds the placement of every map that may be in use.
package switcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Phase is the current activity of a [Coordinator].
type Phase string

// The phases of a coordinator.
const (
	// Standby means that the coordinator holds no lease and sends no orders.
	Standby Phase = "standby"
	// Claiming means that the fencing number is being written into the record.
	Claiming Phase = "claiming"
	// Settling means that prepared maps are aborted to find the map in use.
	Settling Phase = "settling"
	// Recording means that the map in use is being written into the record.
	Recording Phase = "recording"
	// Idle means that the coordinator accepts a plan.
	Idle Phase = "idle"
	// Announcing means that the planned map is being written into the record.
	Announcing Phase = "announcing"
	// Switching means that the ranks are preparing and arming the planned map.
	Switching Phase = "switching"
)

// Defaults of a [Coordinator].
const (
	defaultRetryInterval = 2 * time.Second
	defaultPollInterval  = time.Minute
	defaultSwitchTimeout = 10 * time.Minute
	// defaultOrdersPerSecond bounds the coordinator's traffic.
	defaultOrdersPerSecond = 3
)

// Coordinator controls the map switches of a group. It is not safe for
// concurrent use.
type Coordinator struct {
	group           banyanplank.GroupName
	shape           banyanplank.MapShape
	initial         banyanplank.ExpertMap
	retryInterval   time.Duration
	pollInterval    time.Duration
	switchTimeout   time.Duration
	ordersPerSecond float64

	phase            Phase
	fence            uint64
	leaseUntil       time.Time
	record           Record
	recordVersion    banyanplank.Version
	recordKnown      bool
	storeCallPending bool
	storeRetryAt     time.Time
	mapInUse         banyanplank.MapID
	target           banyanplank.ExpertMap
	preparedLogged   bool
	switchDeadline   time.Time
	ranks            []rankState
	lastSerial       uint64
	// fenceStartSerial is the last serial number used under an earlier fencing
	// number. Replies to calls up to it are ignored.
	fenceStartSerial uint64
	// surveyStartSerial is the last serial number before the latest survey.
	surveyStartSerial uint64
	polledAt          time.Time
	orderTokens       float64
	refilledAt        time.Time
}

// rankState is the last known state of one rank.
type rankState struct {
	status banyanplank.RankStatus
	// repliedSerial is the serial number of the latest reply processed.
	repliedSerial uint64
	sentSerial    uint64
	sentAt        time.Time
	// lastAction is the purpose of the latest order or query of a switch.
	lastAction rankAction
}

// Option configures a [Coordinator].
type Option func(*Coordinator)

// WithRetryInterval sets how long to wait for a reply before sending again, and
// how long to wait after a failed store call. Use several round trips. The
// default is 2 seconds.
func WithRetryInterval(interval time.Duration) Option {
	return func(c *Coordinator) { c.retryInterval = interval }
}

// WithPollInterval sets how often an idle coordinator requests the status of the
// ranks. The default is one minute.
func WithPollInterval(interval time.Duration) Option {
	return func(c *Coordinator) { c.pollInterval = interval }
}

// WithSwitchTimeout sets how long after accepting a plan its switch is abandoned.
// Allow for the time to load the weights. The default is 10 minutes.
func WithSwitchTimeout(timeout time.Duration) Option {
	return func(c *Coordinator) { c.switchTimeout = timeout }
}

// WithOrderRate sets the maximum number of orders and queries per second. Use the
// bandwidth available to the coordinator divided by the size of an order. The
// default is 3.
func WithOrderRate(perSecond float64) Option {
	return func(c *Coordinator) { c.ordersPerSecond = perSecond }
}

// NewCoordinator returns a coordinator in [Standby]. Initial is the map that the
// group uses before any coordinator has changed it. NewCoordinator returns an
// error if that map is invalid.
func NewCoordinator(initial banyanplank.ExpertMap, options ...Option) (c *Coordinator, err error) {
	if err := initial.Check(); err != nil {
		return nil, err
	}
	c = &Coordinator{
		group:           initial.Group,
		shape:           initial.Shape,
		initial:         initial,
		retryInterval:   defaultRetryInterval,
		pollInterval:    defaultPollInterval,
		switchTimeout:   defaultSwitchTimeout,
		ordersPerSecond: defaultOrdersPerSecond,
		phase:           Standby,
		ranks:           make([]rankState, initial.Shape.Ranks),
	}
	for _, option := range options {
		option(c)
	}
	return c, nil
}

// Phase returns the current phase.
func (c *Coordinator) Phase() (phase Phase) { return c.phase }

// Current returns the map that all ranks use. It returns false unless the phase is
// [Idle], [Announcing] or [Switching] and the record contains the map.
func (c *Coordinator) Current() (m banyanplank.ExpertMap, ok bool) {
	if c.phase != Idle && c.phase != Announcing && c.phase != Switching {
		return banyanplank.ExpertMap{}, false
	}
	return c.record.Map(c.mapInUse)
}

// Fence returns the fencing number of the lease held last.
func (c *Coordinator) Fence() (fence uint64) { return c.fence }

// Update processes a message and returns the commands to execute.
func (c *Coordinator) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	if c.phase != Standby && !now.Before(c.leaseUntil) {
		c.resign()
	}
	switch msg := msg.(type) {
	case LeaseMsg:
		commands = c.handleLease(now, msg)
	case LeaseLostMsg:
		c.resign()
	case RecordMsg:
		commands = c.handleRecord(now, msg)
	case ReplyMsg:
		commands = c.handleReply(msg)
	case PlanMsg:
		commands = c.handlePlan(now, msg)
	case banyanplank.PanicMsg:
		c.handlePanic(msg)
	}
	return c, append(commands, c.nextCommands(now)...)
}

// nextCommands returns the commands of the current phase.
func (c *Coordinator) nextCommands(now time.Time) (commands []banyanplank.Command) {
	c.refillOrderTokens(now)
	switch c.phase {
	case Claiming:
		return c.claimRecord(now)
	case Settling:
		return c.continueSettling(now)
	case Recording:
		return c.writeRecord(now, c.record.settled(c.mapInUse))
	case Idle:
		return c.pollStatus(now)
	case Announcing:
		return c.writeRecord(now, c.record.announced(c.target))
	case Switching:
		return c.driveSwitch(now)
	default:
		return nil
	}
}

// handleLease extends the lease or, under a new fencing number, starts to claim
// the record. It ignores older fencing numbers and expired leases.
func (c *Coordinator) handleLease(now time.Time, msg LeaseMsg) (commands []banyanplank.Command) {
	if msg.Fence < c.fence || !now.Before(msg.Until) {
		return nil
	}
	c.leaseUntil = msg.Until
	if msg.Fence == c.fence && c.phase != Standby {
		return nil
	}
	c.fence = msg.Fence
	c.fenceStartSerial = c.lastSerial
	c.phase = Claiming
	c.recordKnown = false
	return nil
}

// resign returns to [Standby], in which no orders are sent.
func (c *Coordinator) resign() {
	c.phase = Standby
	c.recordKnown = false
}

// handlePlan checks a plan and starts the switch to its map.
func (c *Coordinator) handlePlan(now time.Time, msg PlanMsg) (commands []banyanplank.Command) {
	if err := c.checkPlan(msg); err != nil {
		return []banyanplank.Command{EventCmd{Kind: EventRefused, Fence: msg.Fence, Map: msg.Map.ID, Err: err}}
	}
	c.target = msg.Map
	c.preparedLogged = false
	c.switchDeadline = now.Add(c.switchTimeout)
	c.phase = Announcing
	return []banyanplank.Command{EventCmd{Kind: EventPlanned, Fence: c.fence, Map: c.target.ID}}
}

// checkPlan returns an error if the plan can't be accepted.
func (c *Coordinator) checkPlan(msg PlanMsg) (err error) {
	if c.phase != Idle {
		return errors.Wrapf(ErrNotReady, "plan for map %d while %s", msg.Map.ID, c.phase)
	}
	if msg.Fence != c.fence {
		return errors.Wrapf(ErrOldFence, "plan has fencing number %d, latest is %d", msg.Fence, c.fence)
	}
	if msg.Base != c.mapInUse {
		return errors.Newf("plan starts from map %d, the group uses %d", msg.Base, c.mapInUse)
	}
	if _, ok := c.record.Map(c.mapInUse); !ok {
		return errors.Newf("placement of map %d, which the group uses, is unknown", c.mapInUse)
	}
	if floor := banyanplank.NewMapID(c.fence, 0); msg.Map.ID <= floor || msg.Map.ID <= c.mapInUse {
		return errors.Newf("map id %d, want above %d and %d", msg.Map.ID, floor, c.mapInUse)
	}
	if _, ok := c.record.Map(msg.Map.ID); ok {
		return errors.Newf("map id %d was used before", msg.Map.ID)
	}
	return msg.Map.CheckFor(c.group, c.shape)
}
