package switcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// OrderMsg is an order or query received by an agent.
type OrderMsg struct {
	Serial uint64
	Order  banyanplank.Order
	// Query means that only the status is requested.
	Query bool
	// Call identifies the call to answer.
	Call uint64
}

// EndpointResultMsg is the result of a [ForwardCmd].
type EndpointResultMsg struct {
	Call   uint64
	Status banyanplank.RankStatus
	Err    error
}

// ForwardCmd forwards an order to the endpoint, unless it is a query, and reads the
// status of the rank. Its result is an [EndpointResultMsg].
type ForwardCmd struct {
	Call  uint64
	Order banyanplank.Order
	Query bool
}

// AnswerCmd answers a call.
type AnswerCmd struct {
	Call   uint64
	Status banyanplank.RankStatus
	Err    error
}

// Gate decides at an agent which orders are forwarded to its endpoint, so that
// stale orders are refused even if the endpoint doesn't check fencing numbers.
// It is not safe for concurrent use.
//
// A new gate knows no fencing number. It forwards nothing until it has read the
// group's record, into which each coordinator writes its fencing number before
// it sends any order.
type Gate struct {
	checkOrder  func(banyanplank.Order) error
	fenceKnown  bool
	readPending bool
	fence       uint64
	lastSerial  uint64
	busy        bool
	pendingCall uint64
}

// GateOption configures a [Gate].
type GateOption func(*Gate)

// WithCheck refuses the orders for which check returns an error, for example to
// validate the map of an order to prepare. The default refuses none.
func WithCheck(check func(banyanplank.Order) error) GateOption {
	return func(g *Gate) { g.checkOrder = check }
}

// NewGate returns a gate that forwards no order until it has read the record.
func NewGate(options ...GateOption) *Gate {
	g := &Gate{checkOrder: func(banyanplank.Order) error { return nil }}
	for _, option := range options {
		option(g)
	}
	return g
}

// Update processes a message and returns the commands to execute.
func (g *Gate) Update(_ time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	switch msg := msg.(type) {
	case OrderMsg:
		commands = g.handleOrder(msg)
	case RecordMsg:
		g.handleRecord(msg)
	case EndpointResultMsg:
		commands = g.handleEndpointResult(msg)
	case banyanplank.PanicMsg:
		commands = g.handlePanic(msg)
	}
	return g, commands
}

// handleOrder forwards an order or refuses it.
func (g *Gate) handleOrder(msg OrderMsg) (commands []banyanplank.Command) {
	if !g.fenceKnown {
		commands = append(commands, AnswerCmd{Call: msg.Call, Err: ErrFenceUnknown})
		if !g.readPending {
			g.readPending = true
			commands = append(commands, ReadRecordCmd{})
		}
		return commands
	}
	g.raiseFence(msg.Order.Fence)
	if err := g.validateOrder(msg); err != nil {
		return []banyanplank.Command{AnswerCmd{Call: msg.Call, Err: err}}
	}
	g.lastSerial = msg.Serial
	g.busy, g.pendingCall = true, msg.Call
	return []banyanplank.Command{ForwardCmd{Call: msg.Call, Order: msg.Order, Query: msg.Query}}
}

// validateOrder returns an error if the order must not be forwarded.
func (g *Gate) validateOrder(msg OrderMsg) (err error) {
	if msg.Order.Fence < g.fence {
		return errors.Wrapf(ErrOldFence, "order has fencing number %d, latest is %d", msg.Order.Fence, g.fence)
	}
	if msg.Serial <= g.lastSerial {
		return errors.Wrapf(ErrOldOrder, "order has serial number %d, latest is %d", msg.Serial, g.lastSerial)
	}
	if g.busy {
		return ErrBusy
	}
	if msg.Query {
		return nil
	}
	return g.checkOrder(msg.Order)
}

// handleRecord adopts the fencing number of the group's record.
func (g *Gate) handleRecord(msg RecordMsg) {
	g.readPending = false
	if msg.Err != nil {
		return
	}
	g.fenceKnown = true
	g.raiseFence(msg.Record.Fence)
}

// raiseFence adopts a later fencing number and accepts its orders from serial
// number one on.
func (g *Gate) raiseFence(fence uint64) {
	if fence > g.fence {
		g.fence, g.lastSerial = fence, 0
	}
}

// handleEndpointResult answers the forwarded call with the result from the
// endpoint.
func (g *Gate) handleEndpointResult(msg EndpointResultMsg) (commands []banyanplank.Command) {
	if msg.Call == g.pendingCall {
		g.busy = false
	}
	return []banyanplank.Command{AnswerCmd(msg)}
}

// handlePanic treats the panic of a command as its failure.
func (g *Gate) handlePanic(msg banyanplank.PanicMsg) (commands []banyanplank.Command) {
	switch c := msg.Command.(type) {
	case ForwardCmd:
		return g.handleEndpointResult(EndpointResultMsg{Call: c.Call, Err: msg.Err})
	case ReadRecordCmd:
		g.readPending = false
	}
	return nil
}
