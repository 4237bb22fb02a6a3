package aggregator

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The constants of finding ranks that hold up the others.
const (
	// stallAfter is how long a rank must keep the others waiting at a barrier.
	stallAfter = 2 * time.Second
	// lastingAfter is how long until a stalled or silent rank should be planned
	// without.
	lastingAfter = 30 * time.Second
	// silentAfter is how long a rank may go without a report.
	silentAfter = 3 * time.Minute
	// slowSpeed is the speed below which a rank counts as slow.
	slowSpeed = 0.75
	// slowReports is how many reports in a row must say so.
	slowReports = 3
)

// StepCost is what a step of a healthy rank takes.
type StepCost struct {
	// Fixed is the part that no expert map changes.
	Fixed time.Duration
	// Token is the time for one token of one expert.
	Token time.Duration
	// Steps is the number of steps a second.
	Steps float64
}

// StallKind tells how a rank holds up the others.
type StallKind string

// The kinds of stalls.
const (
	// Stalled ranks have not arrived at the barrier where others wait.
	Stalled StallKind = "stalled"
	// Slow ranks take longer for a step than their load explains.
	Slow StallKind = "slow"
	// Silent ranks have stopped to report.
	Silent StallKind = "silent"
)

// Stall names one rank that holds up the others.
type Stall struct {
	Rank int
	Kind StallKind
	// Since is when the rank was last known to advance or to be heard.
	Since time.Time
	// Speed is the rank's pace relative to a healthy one, for slow ranks.
	Speed float64
	// Lasting tells that the group should be planned without the rank.
	Lasting bool
}

// Stalls returns the ranks that hold up the others, in rank order.
func (a *Aggregator) Stalls(now time.Time) (stalls []Stall) {
	furthest := a.furthest()
	for rank := range a.ranks {
		r := &a.ranks[rank]
		if !r.heard {
			continue
		}
		switch {
		case a.late(rank, furthest) > stallAfter:
			late := a.late(rank, furthest)
			stalls = append(stalls, Stall{Rank: rank, Kind: Stalled, Since: r.at.Add(-late), Lasting: late > lastingAfter})
		case now.Sub(r.at) > silentAfter:
			stalls = append(stalls, Stall{Rank: rank, Kind: Silent, Since: r.at, Lasting: now.Sub(r.at) > silentAfter+lastingAfter})
		case r.slowness >= slowReports:
			stalls = append(stalls, Stall{Rank: rank, Kind: Slow, Since: r.at, Speed: a.speed(rank)})
		}
	}
	return stalls
}

// late returns how long a rank has kept the others waiting, by its agent's word
// or because others have arrived at a later barrier.
func (a *Aggregator) late(rank int, furthest uint64) (late time.Duration) {
	r := &a.ranks[rank]
	if r.late == 0 && r.arrived < furthest {
		return r.at.Sub(r.moved)
	}
	return r.late
}

// furthest returns the latest step at whose barrier any rank has arrived. All
// ranks pass a barrier together, so one that is behind is waited for.
func (a *Aggregator) furthest() (step uint64) {
	for i := range a.ranks {
		step = max(step, a.ranks[i].arrived)
	}
	return step
}

// judgeSpeed counts the reports in a row in which the rank was slow.
func (a *Aggregator) judgeSpeed(rank int) {
	r := &a.ranks[rank]
	if s := a.speed(rank); s > 0 && s < slowSpeed {
		r.slowness++
		return
	}
	r.slowness = 0
}

// speed returns a rank's pace relative to the median rank, or zero when it
// can't be told.
func (a *Aggregator) speed(rank int) (speed float64) {
	own := a.pace(rank)
	if own == 0 {
		return 0
	}
	var paces []float64
	for i := range a.ranks {
		if p := a.pace(i); p > 0 {
			paces = append(paces, p)
		}
	}
	slices.Sort(paces)
	return own / paces[len(paces)/2]
}

// pace returns the time that a step should take over the time that it takes.
func (a *Aggregator) pace(rank int) (pace float64) {
	r := &a.ranks[rank]
	if r.busy <= 0 || a.stepCost.Steps <= 0 {
		return 0
	}
	tokens := 0.0
	for _, rate := range r.rates {
		tokens += float64(rate) / a.stepCost.Steps
	}
	expected := float64(a.stepCost.Fixed) + tokens*float64(a.stepCost.Token)
	return expected / float64(r.busy)
}

// RankOf returns what to tell the planner of a rank that has the stalls.
func RankOf(rank int, stalls []Stall) (speed float64, excluded bool) {
	speed = 1
	for _, s := range stalls {
		if s.Rank != rank {
			continue
		}
		if s.Kind == Slow {
			speed = s.Speed
		}
		excluded = excluded || s.Lasting
	}
	return speed, excluded
}

// LastReport returns when the rank was last heard.
func (a *Aggregator) LastReport(rank int) (at time.Time, mapID banyanplank.MapID) {
	return a.ranks[rank].at, a.ranks[rank].mapID
}

// IsLike reports whether other names the same rank for the same reason.
func (s Stall) IsLike(other Stall) bool {
	return s.Rank == other.Rank && s.Kind == other.Kind && s.Lasting == other.Lasting
}
