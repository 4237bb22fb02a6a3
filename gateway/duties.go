package gateway

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/coordination/usagereporter"
)

// dutyCandidates is the number of entries that compete for a duty. Each reads the store every
// 1.5 s.
const dutyCandidates = 2

const (
	// maxCallInterval bounds the time between two calls of a duty.
	maxCallInterval = time.Hour
	// callJitter is the difference between the times that two calls take to the platform, by
	// which calls come closer together than they were sent.
	callJitter = 50 * time.Millisecond
)

// duties holds the duties of an entry. A nil pointer has none.
type duties struct {
	self     banyanplank.DaemonID
	holders  []*leaser.Holder
	reporter *usagereporter.Reporter
	scaling  *scaling
}

// DutyParts holds what the duties of an entry use.
type DutyParts struct {
	// Store holds who has the duties, and Platform makes their calls.
	Store    banyanplank.ObjectStore
	Platform banyanplank.DutyPlatform
	// Collector collects the counts of all entries. Without it, the daemon counts and
	// collects, and sets Coverage and Clock.
	Collector banyanplank.UsageCollector
	// Coverage returns, for the window collected last, how many entries its counts come from,
	// and the age of the oldest of these counts. Optional.
	Coverage func(window int64) (entries int, oldest time.Duration)
	// Clock returns the true time, and ignores steps of the machine's clock. Nil means
	// [time.Now], whose steps the reporter ignores for a minute.
	Clock func() time.Time
}

// SetDuties enables the duties that the settings name. Call it before [Daemon.Run].
func (d *Daemon) SetDuties(parts DutyParts) {
	settings := &d.settings.Duties
	for _, duty := range settings.Names {
		if duty != banyanplank.DutyUsage && duty != banyanplank.DutyScale {
			d.logger.Warn().Str("duty", string(duty)).Msg("unknown duty ignored")
		}
	}
	if settings.enabled(banyanplank.DutyUsage) || settings.enabled(banyanplank.DutyScale) {
		d.duties = &duties{self: d.self.ID}
	}
	if settings.enabled(banyanplank.DutyScale) {
		for _, outcome := range []string{scaleSent, scaleRejected, scaleFailed} {
			d.gateway.counters.set.GetOrCreateCounter(scaleCounter(outcome))
		}
		d.duties.scaling = newScaling(d, d.newHolder(parts.Store, banyanplank.DutyScale), parts.Platform)
	}
	if settings.enabled(banyanplank.DutyUsage) {
		d.newReporter(parts)
	}
}

// newReporter adds the reporter of usage, and registers its counters.
func (d *Daemon) newReporter(parts DutyParts) {
	settings := &d.settings.Duties
	if parts.Collector == nil {
		d.countUsage(&parts)
	}
	options := []usagereporter.Option{
		usagereporter.WithWindow(cmp.Or(time.Duration(settings.Window), usagereporter.DefaultWindow)),
		usagereporter.WithLate(cmp.Or(time.Duration(settings.Late), usagereporter.DefaultLate)),
		usagereporter.WithEventHandler(d.logUsageReport),
	}
	if parts.Clock != nil {
		options = append(options, usagereporter.WithSteadyClock(parts.Clock))
	}
	if parts.Coverage != nil {
		options = append(options, usagereporter.WithCoverage(parts.Coverage))
	}
	holder := d.newHolder(parts.Store, banyanplank.DutyUsage)
	for _, outcome := range usagereporter.Outcomes {
		d.gateway.counters.set.GetOrCreateCounter(usageCounter(outcome))
	}
	d.duties.reporter = usagereporter.New(holder, parts.Store, parts.Platform, parts.Collector, options...)
}

// countUsage has the daemon count requests, and sets the parts that report the counts.
func (d *Daemon) countUsage(parts *DutyParts) {
	settings := &d.settings.Duties
	var options []usageOption
	if settings.Late > 0 {
		options = append(options, withUsageLate(time.Duration(settings.Late)))
	}
	if settings.Off > 0 {
		options = append(options, withUsageOff(settings.Off))
	}
	c := d.enableUsage(cmp.Or(time.Duration(settings.Window), usagereporter.DefaultWindow), options...)
	clock, read := d.usage.exchanger.Clock(), d.usage.read
	parts.Collector = c
	parts.Clock = func() time.Time { return clock.Now(read()) }
	parts.Coverage = func(int64) (entries int, oldest time.Duration) {
		coverage := c.Coverage()
		return coverage.Entries, coverage.Oldest
	}
}

// newHolder adds a holder of a duty, and registers its gauges.
func (d *Daemon) newHolder(store banyanplank.ObjectStore, duty banyanplank.Duty) (h *leaser.Holder) {
	settings := &d.settings.Duties
	options := []leaser.HolderOption{
		leaser.WithLease(cmp.Or(time.Duration(settings.Lease), leaser.DefaultLease)),
		leaser.WithChangeHandler(func(term banyanplank.Term, held bool) { d.logTerm(duty, term, held) }),
	}
	if settings.Thaw != nil {
		options = append(options, leaser.WithThaw(time.Duration(*settings.Thaw)))
	}
	if settings.Rate > 0 {
		options = append(options, leaser.WithCallInterval(callInterval(settings.Rate, len(settings.Names))))
	}
	h = leaser.NewHolder(store, duty, d.self, options...)
	h.SetCandidate(false)
	d.duties.holders = append(d.duties.holders, h)
	d.gateway.counters.set.NewGauge(fmt.Sprintf("banyanplank_duty_held{duty=%q}", duty), func() float64 {
		if _, held := h.Term(); held {
			return 1
		}
		return 0
	})
	d.gateway.counters.set.NewGauge(fmt.Sprintf("banyanplank_duty_token{duty=%q}", duty), func() float64 {
		term, _ := h.Term()
		return float64(term.Token)
	})
	return h
}

// callInterval returns the least time between two calls of one duty for a rate, in calls per second,
// of all duties. Their holders don't know of each other's calls, and may make theirs in the same
// second. Below one call per second for each duty, the rate is kept on average.
func callInterval(rate float64, duties int) (interval time.Duration) {
	share := rate / float64(duties)
	if share < 1 {
		return time.Duration(min(float64(time.Second)/share, float64(maxCallInterval)))
	}
	return time.Duration(float64(time.Second+callJitter) / math.Floor(share))
}

// usageCounter returns the name of the counter of reports with an outcome.
func usageCounter(outcome usagereporter.Outcome) (name string) {
	return fmt.Sprintf("banyanplank_usage_reports_total{outcome=%q}", outcome)
}

// start runs the duties.
func (u *duties) start(work *pool.ContextPool) {
	if u == nil {
		return
	}
	for _, h := range u.holders {
		work.Go(h.Run)
	}
	if u.reporter != nil {
		work.Go(u.reporter.Run)
	}
	if u.scaling != nil {
		work.Go(u.scaling.run)
	}
}

// updateCandidates makes the first of the entries that can follow the store compete.
func (u *duties) updateCandidates(snapshot *surveyor.Snapshot) {
	if u == nil {
		return
	}
	index := slices.Index(snapshot.FollowingIDs, u.self)
	for _, h := range u.holders {
		h.SetCandidate(index >= 0 && index < dutyCandidates)
	}
}

// setEra passes the era of the store to the duties.
func (u *duties) setEra(era banyanplank.Era) {
	if u == nil {
		return
	}
	if u.reporter != nil {
		u.reporter.SetEra(era)
	}
	for _, h := range u.holders {
		h.SetEra(era)
	}
}

// release gives up the duties for a planned stop.
func (u *duties) release(ctx context.Context) {
	if u == nil {
		return
	}
	for _, h := range u.holders {
		h.Release(ctx)
	}
}

// logTerm logs that this entry has taken or lost a duty.
func (d *Daemon) logTerm(duty banyanplank.Duty, term banyanplank.Term, held bool) {
	line, event := d.logger.Info(), "duty taken"
	if !held {
		event = "duty lost"
	}
	line.Str("duty", string(duty)).Str("holder", string(term.Holder)).Uint64("token", term.Token).Time("since", term.Since).Msg(event)
}

// logUsageReport logs and counts the end of a usage report.
func (d *Daemon) logUsageReport(event usagereporter.Event) {
	d.gateway.counters.set.GetOrCreateCounter(usageCounter(event.Outcome)).Inc()
	line := d.logger.Info()
	if event.Outcome != usagereporter.OutcomeSent {
		line = d.logger.Warn()
	}
	logReport(line, event).Msg("usage report")
}

// logReport adds the fields of a usage report to a log line.
func logReport(line *log.Entry, event usagereporter.Event) (filled *log.Entry) {
	if event.Err != nil && !errors.Is(event.Err, banyanplank.ErrUsageIncomplete) {
		line = line.Err(event.Err)
	}
	return line.Int64("window", event.Window).Str("outcome", string(event.Outcome)).Uint64("token", event.Token).Int64("sum", event.Sum).
		Int("entries", event.Entries).Dur("oldest", event.Oldest).Dur("after", event.After)
}
