package banyanplank

import "time"

// RankLoad is an agent's report on its rank to the group's coordinator.
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
	// Steps is the number of steps that the rank began in Span. Zero means
	// unknown.
	Steps uint64
	// Arrived is the latest step whose barrier the rank has reached.
	Arrived uint64
	// BusyTime is the rank's own time in one step, without waiting for other ranks.
	BusyTime time.Duration
	// Lateness is how long the other ranks have waited for this rank at the barrier
	// of the current step. Zero means that the rank has arrived or is not
	// overdue.
	Lateness time.Duration
	// Tokens holds the number of tokens of each slot, by layer and slot. It is
	// empty in a report of the rank's progress only.
	Tokens []uint32
}

// RankStatus is an endpoint's report on its rank in the group. Zero map ids
// mean none.
type RankStatus struct {
	// Boot changes whenever the rank restarts.
	Boot string `json:"boot"`
	// Map is the expert map in use.
	Map MapID `json:"map"`
	// Step is the latest step that the rank has begun.
	Step uint64 `json:"step"`
	// Loading is the map whose weights are being loaded.
	Loading MapID `json:"loading,omitempty"`
	// Prepared is the map whose weights are loaded beside those in use.
	Prepared MapID `json:"prepared,omitempty"`
	// Armed is the prepared map that the rank proposes at its barriers.
	Armed MapID `json:"armed,omitempty"`
	// Arrived, BusyTime and Lateness are as in [RankLoad].
	Arrived  uint64        `json:"arrived,omitempty"`
	BusyTime time.Duration `json:"busy,omitempty"`
	Lateness time.Duration `json:"late,omitempty"`
	// Counts holds the number of tokens of each slot since the map came into
	// use or the rank booted, by layer and slot.
	Counts []uint64 `json:"counts,omitempty"`
}

// Popularity is the demand for each expert of a group.
type Popularity struct {
	Shape MapShape
	// Tokens holds the tokens per second of each expert, by layer and expert.
	Tokens []float32
	// HasJump reports whether the demand for some expert has just jumped.
	HasJump bool
}

// Layer returns the tokens per second of the experts of one layer.
func (p Popularity) Layer(layer int) (tokens []float32) {
	return p.Tokens[layer*p.Shape.Experts : (layer+1)*p.Shape.Experts]
}
