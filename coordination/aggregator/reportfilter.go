package aggregator

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Defaults and thresholds of a [ReportFilter].
const (
	// defaultInterval is the time between two full reports.
	defaultInterval = time.Minute
	// defaultBytesPerSecond is the report budget of one agent. With 256 ranks,
	// the coordinator receives 256 times as much.
	defaultBytesPerSecond = 6
	// defaultBurstBytes bounds the unused budget that accumulates.
	defaultBurstBytes = 600
	// urgentRateChange is the change of a slot's token rate, relative to the
	// busiest slot, from which a report is sent before the interval ends.
	urgentRateChange = 0.5
	// minUrgentInterval is the least time between any report and a following
	// urgent one.
	minUrgentInterval = 10 * time.Second
	// lateThreshold is how long the group must have waited for a rank at a
	// barrier before its agent reports the lateness.
	lateThreshold = 2 * time.Second
)

// ReportFilter decides at an agent which load reports are sent to the coordinator. It
// limits their size with a token bucket of bytes. It is not safe for concurrent
// use.
type ReportFilter struct {
	interval       time.Duration
	bytesPerSecond float64
	burstBytes     float64
	availableBytes float64
	refilledAt     time.Time
	sentAt         time.Time
	fullSentAt     time.Time
	// sentRates holds the tokens per second of the last full report, by layer
	// and slot.
	sentRates []float64
	// wasLate is set if the last report that was sent is a lateness report.
	wasLate bool
}

// ReportFilterOption configures a [ReportFilter].
type ReportFilterOption func(*ReportFilter)

// WithInterval sets the time between two full reports. It should be the planning
// interval. The default is one minute.
func WithInterval(interval time.Duration) ReportFilterOption {
	return func(t *ReportFilter) { t.interval = interval }
}

// WithByteRate sets the report budget of the agent in bytes per second. It
// should be the budget of the coordinator divided by the number of ranks. The
// default is 6.
func WithByteRate(bytesPerSecond float64) ReportFilterOption {
	return func(t *ReportFilter) { t.bytesPerSecond = bytesPerSecond }
}

// NewReportFilter returns a filter whose budget is full at now.
func NewReportFilter(now time.Time, options ...ReportFilterOption) *ReportFilter {
	t := &ReportFilter{
		interval:       defaultInterval,
		bytesPerSecond: defaultBytesPerSecond,
		burstBytes:     defaultBurstBytes,
		availableBytes: defaultBurstBytes,
		refilledAt:     now,
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Filter returns the report to send now and whether there is one. The result is
// the whole report if it is due or urgent, or only the progress without counts
// while the group waits for the rank. Size returns the encoded size of a report
// in bytes.
func (f *ReportFilter) Filter(
	now time.Time,
	report banyanplank.RankLoad,
	size func(banyanplank.RankLoad) int,
) (filtered banyanplank.RankLoad, ok bool) {
	f.refill(now)
	if report.Lateness > lateThreshold {
		report.Tokens = nil
		if now.Sub(f.sentAt) < lateThreshold && f.wasLate {
			return banyanplank.RankLoad{}, false
		}
		return report, f.spendBudget(now, report, size, true)
	}
	due := f.fullSentAt.IsZero() || now.Sub(f.fullSentAt) >= f.interval
	urgent := now.Sub(f.sentAt) >= minUrgentInterval && f.isUrgent(report)
	if !due && !urgent {
		return banyanplank.RankLoad{}, false
	}
	return report, f.spendBudget(now, report, size, false)
}

// refill adds the budget for the time since the last call.
func (f *ReportFilter) refill(now time.Time) {
	f.availableBytes = min(f.burstBytes, f.availableBytes+f.bytesPerSecond*now.Sub(f.refilledAt).Seconds())
	f.refilledAt = now
}

// spendBudget deducts the size of a report from the budget and records the
// report as sent. It returns false if the budget is too small.
func (f *ReportFilter) spendBudget(now time.Time, report banyanplank.RankLoad, size func(banyanplank.RankLoad) int, late bool) (ok bool) {
	cost := float64(size(report))
	if cost > f.availableBytes {
		return false
	}
	f.availableBytes -= cost
	f.sentAt = now
	f.wasLate = late
	if late {
		return true
	}
	f.fullSentAt = now
	f.sentRates = f.sentRates[:0]
	for _, tokens := range report.Tokens {
		f.sentRates = append(f.sentRates, float64(tokens)/report.Span.Seconds())
	}
	return true
}

// isUrgent reports whether the rate of some slot has changed much since the last
// full report, relative to the busiest slot of both reports.
func (f *ReportFilter) isUrgent(report banyanplank.RankLoad) bool {
	if len(f.sentRates) != len(report.Tokens) || report.Span <= 0 {
		return true
	}
	busiest, change := 0.0, 0.0
	for i, tokens := range report.Tokens {
		rate := float64(tokens) / report.Span.Seconds()
		busiest = max(busiest, rate, f.sentRates[i])
		change = max(change, rate-f.sentRates[i], f.sentRates[i]-rate)
	}
	return change > urgentRateChange*busiest
}
