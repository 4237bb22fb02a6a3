package switcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The errors for refused orders and plans. The current map stays in use.
var (
	// ErrOldFence means that a later fencing number is known.
	ErrOldFence = errors.New("old fencing number")
	// ErrOldOrder means that an order with the same or a later serial number of
	// the same coordinator was accepted before.
	ErrOldOrder = errors.New("older than an order already accepted")
	// ErrFenceUnknown means that the agent has not read the group's record yet.
	// Until then it forwards no order, because it may not know the latest
	// fencing number.
	ErrFenceUnknown = errors.New("latest fencing number not known yet")
	// ErrBusy means that the endpoint is still executing an earlier order.
	ErrBusy = errors.New("endpoint is still executing an order")
	// ErrNotReady means that the coordinator is not [Idle].
	ErrNotReady = errors.New("not ready for a plan")
)

// LeaseMsg reports that the coordinator holds the group's lease.
type LeaseMsg struct {
	// Fence is the fencing number of the lease.
	Fence uint64
	// Until is the expiry time of the lease unless it is renewed.
	Until time.Time
}

// LeaseLostMsg reports that the coordinator no longer holds the lease.
type LeaseLostMsg struct{}

// PlanMsg requests a switch to a map.
type PlanMsg struct {
	// Fence is the fencing number under which the plan was made.
	Fence uint64
	// Base is the map in use when the plan was made.
	Base banyanplank.MapID
	Map  banyanplank.ExpertMap
}

// RecordMsg is the result of a [ReadRecordCmd] or [WriteRecordCmd].
type RecordMsg struct {
	// Record and Version are the stored state. They are valid if Err is nil.
	Record  Record
	Version banyanplank.Version
	Err     error
}

// ReplyMsg is the result of an [OrderCmd] or [StatusCmd].
type ReplyMsg struct {
	Rank   int
	Serial uint64
	Status banyanplank.RankStatus
	// Err is set if the order was refused or no reply arrived. Status is then
	// invalid.
	Err error
}

// ReadRecordCmd reads the group's record. Its result is a [RecordMsg].
type ReadRecordCmd struct{}

// WriteRecordCmd writes the group's record if the stored version is Expect. Its
// result is a [RecordMsg].
type WriteRecordCmd struct {
	Record Record
	Expect banyanplank.Version
}

// OrderCmd sends an order to the agent of a rank. Its result is a [ReplyMsg].
type OrderCmd struct {
	Rank int
	// Serial increases with each order and query of a coordinator.
	Serial uint64
	Order  banyanplank.Order
	// Map is the map to prepare, and Base the map that its difference is sent
	// against. Base is nil if the placement of the map in use is unknown.
	Base *banyanplank.ExpertMap
	Map  *banyanplank.ExpertMap
}

// StatusCmd requests the status of a rank from its agent. Its result is a
// [ReplyMsg].
type StatusCmd struct {
	Rank   int
	Serial uint64
	Fence  uint64
}

// EventCmd logs an event.
type EventCmd struct {
	Kind  EventKind
	Fence uint64
	Map   banyanplank.MapID
	Err   error
}

// EventKind names an event in the log.
type EventKind string

// Kinds of events.
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
