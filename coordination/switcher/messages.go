package switcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The refusals of orders and plans. The current map stays.
var (
	// ErrOldFence means that a later coordinator has been heard of.
	ErrOldFence = errors.New("old fencing number")
	// ErrOldOrder means that a later order of the same coordinator was taken.
	ErrOldOrder = errors.New("older than an order already taken")
	// ErrLearning means that an agent doesn't know the latest fencing number
	// yet and passes no order until it has read the group's record.
	ErrLearning = errors.New("latest fencing number not known yet")
	// ErrBusy means that the endpoint still works on an earlier order.
	ErrBusy = errors.New("endpoint is working on an order")
	// ErrNotReady means that the coordinator can't take a plan now.
	ErrNotReady = errors.New("not ready for a plan")
)

// LeaseMsg tells the coordinator that it holds the group's lease.
type LeaseMsg struct {
	// Fence is the lease's fencing number.
	Fence uint64
	// Until is when the lease lapses unless it is renewed.
	Until time.Time
}

// LeaseLostMsg tells the coordinator that it no longer holds the lease.
type LeaseLostMsg struct{}

// PlanMsg asks the coordinator to bring a map into use.
type PlanMsg struct {
	// Fence is the fencing number under which the plan was made.
	Fence uint64
	// Base is the map that the plan started from.
	Base banyanplank.MapID
	Map  banyanplank.ExpertMap
}

// RecordMsg is the outcome of a [ReadRecordCmd] or [WriteRecordCmd].
type RecordMsg struct {
	// Record and Version are what the object API holds, if Err is nil.
	Record  Record
	Version banyanplank.Version
	Err     error
}

// ReplyMsg is the answer to an [OrderCmd] or [StatusCmd].
type ReplyMsg struct {
	Rank   int
	Serial uint64
	Status banyanplank.RankStatus
	// Err tells that the order was refused or that no answer came. Status then
	// counts for nothing.
	Err error
}

// ReadRecordCmd asks to read the group's record.
type ReadRecordCmd struct{}

// WriteRecordCmd asks to write the group's record if its version is Expect.
type WriteRecordCmd struct {
	Record Record
	Expect banyanplank.Version
}

// OrderCmd asks to give a rank's agent an order. The answer is a [ReplyMsg].
type OrderCmd struct {
	Rank int
	// Serial orders the orders of one fencing number.
	Serial uint64
	Order  banyanplank.Order
	// Base and Map are what to send along with an order to prepare.
	Base *banyanplank.ExpertMap
	Map  *banyanplank.ExpertMap
}

// StatusCmd asks a rank's agent for its status. The answer is a [ReplyMsg].
type StatusCmd struct {
	Rank   int
	Serial uint64
	Fence  uint64
}

// EventCmd asks to log one event.
type EventCmd struct {
	Kind  EventKind
	Fence uint64
	Map   banyanplank.MapID
	Err   error
}

// EventKind is a short fixed word for an event.
type EventKind string

// The kinds of events.
const (
	EventClaimed  EventKind = "claimed"
	EventResigned EventKind = "resigned"
	EventSettled  EventKind = "settled"
	EventRefused  EventKind = "refused"
	EventPlanned  EventKind = "planned"
	EventPrepared EventKind = "prepared"
	EventSwitched EventKind = "switched"
	EventGivenUp  EventKind = "given_up"
	EventUnknown  EventKind = "unknown_map"
)
