package banyanplank

import "context"

// RankReport is what a rank of a group says of itself.
type RankReport struct {
	Group GroupName
	// Epoch counts the times that the group was formed. Nothing that a rank was
	// told in an earlier epoch holds.
	Epoch uint64
	Rank  int
	// Size is the number of ranks.
	Size int
	// Open tells that the group runs; otherwise it waits for a lost rank.
	Open bool
	// Step is the latest pass that was begun.
	Step uint64
	// Map is in use, Prepared is loaded beside it, and Armed comes into use at
	// its pass. Zero of the latter two means none.
	Map      MapID
	Prepared MapID
	Armed    MapID
	// Held is the pass that does not begin until it is released. Zero means none.
	Held uint64
	// Pace is above 1 for a slow rank.
	Pace float64
}

// RankCounts is how often the requests of a rank chose each expert since it
// started, by layer and expert.
type RankCounts struct {
	Epoch  uint64
	Counts []uint64
}

// RankPlaces is what a rank holds: the experts by layer of the map in use.
type RankPlaces struct {
	Map    MapID
	Places [][]uint16
}

// RankOrderKind tells what a rank is ordered.
type RankOrderKind uint8

// The orders to a rank.
const (
	// RankPrepare loads the weights of a map.
	RankPrepare RankOrderKind = iota
	// RankArm puts a prepared map into use as a pass begins.
	RankArm
	// RankDisarm takes back RankArm.
	RankDisarm
	// RankHold keeps the group from beginning a pass.
	RankHold
	// RankRelease ends RankHold.
	RankRelease
)

// RankOrder is an order to a rank. A rank refuses one of another epoch.
type RankOrder struct {
	Kind  RankOrderKind
	Epoch uint64
	Map   MapID
	Step  uint64
	// Places holds the experts of a map by layer and rank, for RankPrepare.
	Places [][][]uint16
}

// Ranks speaks to the ranks of a group.
type Ranks interface {
	// Report returns what a rank says of itself.
	Report(ctx context.Context, backend *Backend) (report RankReport, err error)
	// Counts returns which experts the requests of a rank chose.
	Counts(ctx context.Context, backend *Backend) (counts RankCounts, err error)
	// Places returns which experts a rank holds.
	Places(ctx context.Context, backend *Backend) (places RankPlaces, err error)
	// Order gives an order. The error is [ErrConflict] when the rank refuses it,
	// and [ErrUncertain] when no reply came: the order may be carried out now
	// or some seconds later.
	Order(ctx context.Context, backend *Backend, order RankOrder) (err error)
}
