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
	// Arrived is the latest step at whose barrier the rank has arrived.
	Arrived uint64
	// Busy is the rank's own time in one step, without waiting for others.
	Busy time.Duration
	// Tokens counts the tokens of each slot, by layer and slot.
	Tokens []uint32
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
