package banyanplank

import "time"

// RankLoad is what an agent reports of its rank to the group's coordinator.
type RankLoad struct {
	Group       GroupName
	Rank        int
	Incarnation Incarnation
	// Sequence orders the reports of one incarnation.
	Sequence uint64
	// Map is the expert map that the counts belong to.
	Map MapID
	// Span is the time over which Tokens were counted.
	Span time.Duration
	// Steps is how many steps the rank began meanwhile. Zero means unknown.
	Steps uint64
	// Arrived is the latest step at whose barrier the rank has arrived.
	Arrived uint64
	// Busy is the rank's own time in one step, without waiting for others.
	Busy time.Duration
	// Late is how long the rank has kept the others waiting at the barrier of
	// the current step. Zero means that it has arrived or isn't overdue.
	Late time.Duration
	// Tokens counts the tokens of each slot, by layer and slot. It is empty in
	// a report that only tells how far the rank is.
	Tokens []uint32
}

// RankStatus is what an endpoint says of its rank's place in the group. Zero
// map ids mean none.
type RankStatus struct {
	// Boot changes whenever the rank restarts.
	Boot string `json:"boot"`
	// Map is the expert map in use.
	Map MapID `json:"map"`
	// Step is the latest step that the rank has begun.
	Step uint64 `json:"step"`
	// Loading is the map whose weights are on their way.
	Loading MapID `json:"loading,omitempty"`
	// Prepared is the map whose weights are loaded beside those in use.
	Prepared MapID `json:"prepared,omitempty"`
	// Armed is the prepared map that the rank offers at its barriers.
	Armed MapID `json:"armed,omitempty"`
	// Arrived, Busy and Late are as in [RankLoad].
	Arrived uint64        `json:"arrived,omitempty"`
	Busy    time.Duration `json:"busy,omitempty"`
	Late    time.Duration `json:"late,omitempty"`
	// Counts holds the tokens of each slot since the map came into use or the
	// rank booted, by layer and slot.
	Counts []uint64 `json:"counts,omitempty"`
}

// Popularity is the demand for each expert of a group.
type Popularity struct {
	Shape MapShape
	// Tokens holds the tokens a second by layer, then expert.
	Tokens []float32
	// Sudden tells that some expert's demand has just jumped.
	Sudden bool
}

// Layer returns the tokens a second of the experts of one layer.
func (p Popularity) Layer(layer int) (tokens []float32) {
	return p.Tokens[layer*p.Shape.Experts : (layer+1)*p.Shape.Experts]
}
