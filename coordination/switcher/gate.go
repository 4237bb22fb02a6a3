package switcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// OrderMsg is an order or query that has reached an agent.
type OrderMsg struct {
	Serial uint64
	Order  banyanplank.Order
	// Query tells that only the status is asked for.
	Query bool
	// Call names the call to answer.
	Call uint64
}

// EndpointMsg is the outcome of a [PassCmd].
type EndpointMsg struct {
	Call   uint64
	Status banyanplank.RankStatus
	Err    error
}

// PassCmd asks to pass an order to the endpoint, unless it is a query, and to
// read the rank's status. The answer is an [EndpointMsg].
type PassCmd struct {
	Call  uint64
	Order banyanplank.Order
	Query bool
}

// AnswerCmd asks to answer a call.
type AnswerCmd struct {
	Call   uint64
	Status banyanplank.RankStatus
	Err    error
}

// Gate decides at an agent which orders reach its endpoint. It holds for
// endpoints that don't check fencing numbers, too. Update it from one goroutine
// only.
//
// A gate that has just started knows no fencing number. It passes nothing until
// it has read the group's record, into which each coordinator writes its number
// before it gives any order.
type Gate struct {
	check   func(banyanplank.Order) error
	learned bool
	reading bool
	fence   uint64
	serial  uint64
	busy    bool
	call    uint64
}

// GateOption configures a [Gate].
type GateOption func(*Gate)

// WithCheck refuses the orders for which check returns an error. Use it to
// check the map of an order to prepare. The default refuses none.
func WithCheck(check func(banyanplank.Order) error) GateOption {
	return func(g *Gate) { g.check = check }
}

// NewGate returns a gate that passes nothing yet.
func NewGate(options ...GateOption) *Gate {
	g := &Gate{check: func(banyanplank.Order) error { return nil }}
	for _, option := range options {
		option(g)
	}
	return g
}

// Update takes in a message and returns the commands that follow from it.
func (g *Gate) Update(_ time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	switch msg := msg.(type) {
	case OrderMsg:
		commands = g.takeOrder(msg)
	case RecordMsg:
		g.learn(msg)
	case EndpointMsg:
		commands = g.takeAnswer(msg)
	case banyanplank.PanicMsg:
		commands = g.takePanic(msg)
	}
	return g, commands
}

// takeOrder passes an order or refuses it.
func (g *Gate) takeOrder(msg OrderMsg) (commands []banyanplank.Command) {
	if !g.learned {
		commands = append(commands, AnswerCmd{Call: msg.Call, Err: ErrLearning})
		if !g.reading {
			g.reading = true
			commands = append(commands, ReadRecordCmd{})
		}
		return commands
	}
	g.raise(msg.Order.Fence)
	if err := g.judge(msg); err != nil {
		return []banyanplank.Command{AnswerCmd{Call: msg.Call, Err: err}}
	}
	g.serial = msg.Serial
	g.busy, g.call = true, msg.Call
	return []banyanplank.Command{PassCmd{Call: msg.Call, Order: msg.Order, Query: msg.Query}}
}

// judge reports why an order must not reach the endpoint.
func (g *Gate) judge(msg OrderMsg) (err error) {
	if msg.Order.Fence < g.fence {
		return errors.Wrapf(ErrOldFence, "order of %d, now %d", msg.Order.Fence, g.fence)
	}
	if msg.Serial <= g.serial {
		return errors.Wrapf(ErrOldOrder, "order %d, now %d", msg.Serial, g.serial)
	}
	if g.busy {
		return ErrBusy
	}
	if msg.Query {
		return nil
	}
	return g.check(msg.Order)
}

// learn takes in the fencing number of the group's record.
func (g *Gate) learn(msg RecordMsg) {
	g.reading = false
	if msg.Err != nil {
		return
	}
	g.learned = true
	g.raise(msg.Record.Fence)
}

// raise takes note of a later fencing number, whose orders count from one.
func (g *Gate) raise(fence uint64) {
	if fence > g.fence {
		g.fence, g.serial = fence, 0
	}
}

// takeAnswer answers the call whose order the endpoint has taken.
func (g *Gate) takeAnswer(msg EndpointMsg) (commands []banyanplank.Command) {
	if msg.Call == g.call {
		g.busy = false
	}
	return []banyanplank.Command{AnswerCmd(msg)}
}

// takePanic ends what a failed command was to do.
func (g *Gate) takePanic(msg banyanplank.PanicMsg) (commands []banyanplank.Command) {
	switch c := msg.Command.(type) {
	case PassCmd:
		return g.takeAnswer(EndpointMsg{Call: c.Call, Err: msg.Err})
	case ReadRecordCmd:
		g.reading = false
	}
	return nil
}
