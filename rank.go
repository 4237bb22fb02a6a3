package banyanplank

import "context"

// RankReport is the status report of a rank of a group.
type RankReport struct {
	Group GroupName
	// Epoch is the number of times that the group was formed. A new epoch
	// voids all earlier orders to a rank.
	Epoch uint64
	Rank  int
	// Size is the number of ranks in the group.
	Size int
	// Open reports whether the group runs; otherwise it waits for a lost rank.
	Open bool
	// Pass is the latest pass that has begun.
	Pass uint64
	// Map is in use, Prepared is loaded beside it, and Armed comes into use as
	// ArmedPass begins. Zero means none for Prepared and Armed. An armed map
	// stays prepared until it comes into use.
	Map       MapID
	Prepared  MapID
	Armed     MapID
	ArmedPass uint64
	// HeldPass is the pass that is held back until released. Zero means none.
	HeldPass uint64
	// Slowdown is above 1 for a slow rank.
	Slowdown float64
}

// RankCounts counts how often the requests of a rank were routed to each expert
// since the rank started, by layer and expert.
type RankCounts struct {
	Epoch  uint64
	Counts []uint64
}

// RankPlacement holds the experts of a rank by layer, in the map in use.
type RankPlacement struct {
	Map     MapID
	Experts [][]uint16
}

// RankOrderKind is the kind of a [RankOrder].
type RankOrderKind uint8

// The kinds of orders to a rank.
const (
	// RankPrepare loads the weights of a map.
	RankPrepare RankOrderKind = iota
	// RankArm schedules a prepared map to come into use as a pass begins.
	RankArm
	// RankDisarm cancels RankArm.
	RankDisarm
	// RankHold prevents the group from beginning a pass.
	RankHold
	// RankRelease ends RankHold.
	RankRelease
)

// RankOrder is an order to a rank. A rank refuses orders of another epoch.
type RankOrder struct {
	Kind  RankOrderKind
	Epoch uint64
	Map   MapID
	Pass  uint64
	// Placement holds the experts of a map by layer and rank. It is set only for
	// RankPrepare.
	Placement [][][]uint16
}

// RankClient sends requests to the ranks of a group.
type RankClient interface {
	// Report returns the status of a rank.
	Report(ctx context.Context, backend *Backend) (report RankReport, err error)
	// Counts returns how often the requests of a rank were routed to each
	// expert.
	Counts(ctx context.Context, backend *Backend) (counts RankCounts, err error)
	// Placement returns the experts that a rank holds.
	Placement(ctx context.Context, backend *Backend) (placement RankPlacement, err error)
	// Order sends an order. The error is [ErrConflict] if the rank refuses it,
	// and [ErrUncertain] if no reply arrived: the order may be executed now or
	// some seconds later.
	Order(ctx context.Context, backend *Backend, order RankOrder) (err error)
}
