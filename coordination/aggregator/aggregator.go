// Package aggregator estimates the demand for each expert of a group from the
// load reports of its ranks, and detects ranks that delay the others.
//
// Reports may arrive late, more than once or not at all. The reports of one rank
// are ordered by incarnation and sequence number. If a report is missing, the
// demand for its experts is estimated from the other replicas, or the previous
// estimate is kept.
//
//	a := aggregator.New(current)
//	if err := a.Observe(now, report); err != nil { ... }
//	popularity, err := a.UpdateDemand(now)
package aggregator

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Bounds of a valid report.
const (
	// maxTokensPerSecond bounds the token rate of one slot.
	maxTokensPerSecond = 100_000_000
	// maxReportSpan bounds the period that one report covers.
	maxReportSpan = time.Hour
)

// defaultMaxReportAge is the default of [WithMaxReportAge].
const defaultMaxReportAge = 3 * time.Minute

// ErrStale is returned for a report that is not newer than the last one accepted
// from the same rank.
var ErrStale = errors.New("not newer than the last accepted report")

// Aggregator holds the load state of the ranks of one group. It is not safe for
// concurrent use.
type Aggregator struct {
	// maps holds the current expert map and, after a switch, the previous one.
	maps         []banyanplank.ExpertMap
	maxReportAge time.Duration
	ranks        []rankState
	estimates    []estimate
	// referenceStepRate is the number of steps per second that the estimates are
	// normalized to, or zero if unknown. The step rate of the group may change
	// while the demand per step stays the same.
	referenceStepRate float64
	stepCost          StepCost
}

// rankState holds the last report of one rank.
type rankState struct {
	hasReported bool
	reportedAt  time.Time
	incarnation banyanplank.Incarnation
	sequence    uint64
	mapID       banyanplank.MapID
	// stepRate is the number of steps per second in the last report with counts,
	// or zero if unknown.
	stepRate float64
	// rates holds the tokens per second, by layer and slot.
	rates     []float32
	countedAt time.Time
	// arrivedStep is the last step whose barrier the rank has reached,
	// progressedAt the time at which it last changed.
	arrivedStep  uint64
	progressedAt time.Time
	busyTime     time.Duration
	lateness     time.Duration
	// slowReportCount is the number of consecutive reports with counts in which
	// the rank was slow.
	slowReportCount int
}

// Option configures an [Aggregator].
type Option func(*Aggregator)

// WithMaxReportAge sets the maximum age of the token counts that are used. It should be
// several reporting intervals. The default is 3 minutes.
func WithMaxReportAge(age time.Duration) Option {
	return func(a *Aggregator) { a.maxReportAge = age }
}

// WithStepCost sets the expected step time of a healthy rank, from which slow
// ranks are detected. By default, no rank is reported as slow.
func WithStepCost(cost StepCost) Option {
	return func(a *Aggregator) { a.stepCost = cost }
}

// New returns an aggregator for the group of the given map, which must be valid.
func New(current banyanplank.ExpertMap, options ...Option) *Aggregator {
	a := &Aggregator{
		maps:         []banyanplank.ExpertMap{current},
		maxReportAge: defaultMaxReportAge,
		ranks:        make([]rankState, current.Shape.Ranks),
		estimates:    make([]estimate, current.Shape.Layers*current.Shape.Experts),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// SetCurrentMap sets the current map of the group. Reports that were counted under the
// previous map are still accepted.
func (a *Aggregator) SetCurrentMap(current banyanplank.ExpertMap) {
	if current.ID == a.maps[0].ID {
		return
	}
	a.maps = []banyanplank.ExpertMap{current, a.maps[0]}
}

// Observe records one load report. It returns [ErrStale] for a late or duplicate
// report and another error for an invalid one. A rejected report changes
// nothing.
func (a *Aggregator) Observe(now time.Time, report banyanplank.RankLoad) (err error) {
	defer func() {
		err = errors.Wrapf(err, "load report of rank %d of group %q", report.Rank, report.Group)
	}()
	if err := a.validate(report); err != nil {
		return err
	}
	r := &a.ranks[report.Rank]
	if r.hasReported && isStale(report, r) {
		return ErrStale
	}
	if !r.hasReported || report.Incarnation != r.incarnation || report.Arrived != r.arrivedStep {
		r.progressedAt = now
	}
	r.hasReported = true
	r.reportedAt = now
	r.incarnation = report.Incarnation
	r.sequence = report.Sequence
	r.arrivedStep = report.Arrived
	r.lateness = report.Lateness
	if len(report.Tokens) > 0 {
		a.recordCounts(now, r, report)
	}
	return nil
}

// isStale reports whether the report is not newer than the last one of r.
func isStale(report banyanplank.RankLoad, r *rankState) bool {
	if report.Incarnation != r.incarnation {
		return report.Incarnation < r.incarnation
	}
	return report.Sequence <= r.sequence
}

// validate returns an error if the report is inconsistent with the group or out
// of bounds.
func (a *Aggregator) validate(report banyanplank.RankLoad) (err error) {
	current := a.maps[0]
	if report.Group != current.Group {
		return errors.Newf("want group %q", current.Group)
	}
	if report.Rank < 0 || report.Rank >= current.Shape.Ranks {
		return errors.Newf("the group has %d ranks", current.Shape.Ranks)
	}
	if len(report.Tokens) == 0 {
		return nil
	}
	if a.indexOf(report.Map) < 0 {
		return errors.Newf("counts for unknown map %d, current is %d", report.Map, current.ID)
	}
	if want := current.Shape.Layers * current.Shape.Slots; len(report.Tokens) != want {
		return errors.Newf("counts of %d slots, want %d", len(report.Tokens), want)
	}
	if report.Span <= 0 || report.Span > maxReportSpan {
		return errors.Newf("counts over %v", report.Span)
	}
	for i, tokens := range report.Tokens {
		if float64(tokens) > maxTokensPerSecond*report.Span.Seconds() {
			return errors.Newf("%d tokens in slot %d of layer %d in %v",
				tokens, i%current.Shape.Slots, i/current.Shape.Slots, report.Span)
		}
	}
	return nil
}

// indexOf returns the index of the map with the given id in a.maps, or -1.
func (a *Aggregator) indexOf(id banyanplank.MapID) (index int) {
	return slices.IndexFunc(a.maps, func(m banyanplank.ExpertMap) bool { return m.ID == id })
}

// recordCounts stores the token counts of a report as rates.
func (a *Aggregator) recordCounts(now time.Time, r *rankState, report banyanplank.RankLoad) {
	r.countedAt = now
	r.mapID = report.Map
	r.stepRate = float64(report.Steps) / report.Span.Seconds()
	r.busyTime = report.BusyTime
	if r.rates == nil {
		r.rates = make([]float32, len(report.Tokens))
	}
	for i, tokens := range report.Tokens {
		r.rates[i] = float32(float64(tokens) / report.Span.Seconds())
	}
	a.updateSlowReportCount(report.Rank)
}
