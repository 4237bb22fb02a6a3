package aggregator

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Thresholds for the detection of ranks that delay the others.
const (
	// stallThreshold is how long the other ranks must have waited at a barrier
	// for a rank to count as stalled.
	stallThreshold = 2 * time.Second
	// persistentThreshold is how long a rank must have been stalled or silent
	// before it is excluded from plans.
	persistentThreshold = 30 * time.Second
	// silenceThreshold is the age of the last report from which a rank counts as
	// silent.
	silenceThreshold = 3 * time.Minute
	// slowSpeedThreshold is the relative speed below which a report counts as
	// slow.
	slowSpeedThreshold = 0.75
	// minSlowReports is the number of consecutive slow reports from which a rank
	// counts as slow.
	minSlowReports = 3
)

// StepCost is the expected step time of a healthy rank.
type StepCost struct {
	// Fixed is the part that does not depend on the expert map.
	Fixed time.Duration
	// Token is the time for one token in one expert.
	Token time.Duration
	// Steps is the number of steps per second.
	Steps float64
}

// StallKind describes how a rank delays the others.
type StallKind string

// Values of [StallKind].
const (
	// Stalled ranks have not reached a barrier at which others wait.
	Stalled StallKind = "stalled"
	// Slow ranks take longer for a step than their load explains.
	Slow StallKind = "slow"
	// Silent ranks have stopped sending reports.
	Silent StallKind = "silent"
)

// Stall describes a rank that delays the others.
type Stall struct {
	Rank int
	Kind StallKind
	// Since is when a stalled rank stopped making progress. For other kinds, it
	// is the time of the last report.
	Since time.Time
	// Speed is the speed of a slow rank relative to the median rank.
	Speed float64
	// Persistent reports whether the rank should be excluded from plans.
	Persistent bool
}

// Stalls returns the ranks that delay the others, in rank order.
func (a *Aggregator) Stalls(now time.Time) (stalls []Stall) {
	latestStep := a.latestArrivedStep()
	for rank := range a.ranks {
		r := &a.ranks[rank]
		if !r.hasReported {
			continue
		}
		switch {
		case a.lateness(rank, latestStep) > stallThreshold:
			lateness := a.lateness(rank, latestStep)
			stalls = append(stalls, Stall{Rank: rank, Kind: Stalled, Since: r.reportedAt.Add(-lateness), Persistent: lateness > persistentThreshold})
		case now.Sub(r.reportedAt) > silenceThreshold:
			stalls = append(stalls, Stall{Rank: rank, Kind: Silent, Since: r.reportedAt, Persistent: now.Sub(r.reportedAt) > silenceThreshold+persistentThreshold})
		case r.slowReportCount >= minSlowReports:
			stalls = append(stalls, Stall{Rank: rank, Kind: Slow, Since: r.reportedAt, Speed: a.speed(rank)})
		}
	}
	return stalls
}

// lateness returns how long the others have waited for a rank: as reported by
// its agent, or else, if another rank has reached a later barrier, the time
// without progress up to its last report.
func (a *Aggregator) lateness(rank int, latestStep uint64) (lateness time.Duration) {
	r := &a.ranks[rank]
	if r.lateness == 0 && r.arrivedStep < latestStep {
		return r.reportedAt.Sub(r.progressedAt)
	}
	return r.lateness
}

// latestArrivedStep returns the latest step whose barrier any rank has reached.
// All ranks pass a barrier together, so the others wait for a rank that is
// behind.
func (a *Aggregator) latestArrivedStep() (step uint64) {
	for i := range a.ranks {
		step = max(step, a.ranks[i].arrivedStep)
	}
	return step
}

// updateSlowReportCount counts consecutive slow reports of a rank.
func (a *Aggregator) updateSlowReportCount(rank int) {
	r := &a.ranks[rank]
	if s := a.speed(rank); s > 0 && s < slowSpeedThreshold {
		r.slowReportCount++
		return
	}
	r.slowReportCount = 0
}

// speed returns the speed of a rank relative to the median rank, or zero if it
// is unknown.
func (a *Aggregator) speed(rank int) (speed float64) {
	own := a.stepEfficiency(rank)
	if own == 0 {
		return 0
	}
	var efficiencies []float64
	for i := range a.ranks {
		if p := a.stepEfficiency(i); p > 0 {
			efficiencies = append(efficiencies, p)
		}
	}
	slices.Sort(efficiencies)
	return own / efficiencies[len(efficiencies)/2]
}

// stepEfficiency returns the expected step time of a rank divided by its
// measured step time, or zero if either is unknown.
func (a *Aggregator) stepEfficiency(rank int) (efficiency float64) {
	r := &a.ranks[rank]
	if r.busyTime <= 0 || a.stepCost.Steps <= 0 {
		return 0
	}
	tokens := 0.0
	for _, rate := range r.rates {
		tokens += float64(rate) / a.stepCost.Steps
	}
	expected := float64(a.stepCost.Fixed) + tokens*float64(a.stepCost.Token)
	return expected / float64(r.busyTime)
}

// RankSpeed returns the relative speed of a rank and whether plans exclude it,
// according to the given stalls.
func RankSpeed(rank int, stalls []Stall) (speed float64, excluded bool) {
	speed = 1
	for _, s := range stalls {
		if s.Rank != rank {
			continue
		}
		if s.Kind == Slow {
			speed = s.Speed
		}
		excluded = excluded || s.Persistent
	}
	return speed, excluded
}

// LastReport returns the time of the last report of a rank, and the map of its
// last report with counts.
func (a *Aggregator) LastReport(rank int) (reportedAt time.Time, mapID banyanplank.MapID) {
	return a.ranks[rank].reportedAt, a.ranks[rank].mapID
}

// IsSameStall reports whether both stalls have the same rank, Kind and Persistent.
func (s Stall) IsSameStall(other Stall) bool {
	return s.Rank == other.Rank && s.Kind == other.Kind && s.Persistent == other.Persistent
}
