package balancer

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The limits on the reports of endpoints about themselves, and on pauses.
const (
	// selfReportMaxAge is how long the report of an unlisted endpoint is kept, in
	// case the platform lists the same incarnation again.
	selfReportMaxAge = 10 * time.Minute
	// maxUnlistedReports is the number of unlisted endpoints above which their
	// reports are dropped at once. At twice that number of reports, peers can't add
	// unknown endpoints.
	maxUnlistedReports = 4096
	// resumeSpreadShare is the jitter at the end of a pause, as a part of the
	// pause, and maxResumeSpread its upper bound. It spreads the first calls of
	// all entries.
	resumeSpreadShare = 0.25
	maxResumeSpread   = 500 * time.Millisecond
)

// selfReport is what an endpoint reported about itself in one incarnation. Unlike a
// listing of the platform, it holds for the whole incarnation: an older listing, a
// reload or a new configuration does not change it.
type selfReport struct {
	born time.Time
	// repliedAt is when the endpoint last answered this entry.
	repliedAt time.Time
	load      banyanplank.BackendLoad
	// leavingSince is when the endpoint was first known to be leaving. This is
	// permanent for an incarnation.
	leavingSince time.Time
	// pausedAt is when the endpoint last requested a pause, which ends at resumeAt.
	pausedAt time.Time
	resumeAt time.Time
	// coldUntil is when the endpoint's cold start ends.
	coldUntil time.Time
	// limit is the rate that the endpoint last named.
	limit rateLimit
}

// selfReportOf returns the report of an endpoint. It starts an empty one for an
// endpoint that is new, or born later than the incarnation known so far.
func (b *Balancer) selfReportOf(id banyanplank.BackendID, born time.Time) (report *selfReport) {
	report = b.selfReports[id]
	if report == nil || report.born.Before(born) {
		report = &selfReport{born: born}
		b.selfReports[id] = report
	}
	return report
}

// pruneSelfReports drops the reports of unlisted endpoints that are older than
// selfReportMaxAge, or all of them if there are more than maxUnlistedReports.
func (b *Balancer) pruneSelfReports(now time.Time, listed map[banyanplank.BackendID]bool) {
	unlisted := len(b.selfReports) - len(listed)
	maps.DeleteFunc(b.selfReports, func(id banyanplank.BackendID, report *selfReport) bool {
		lastUsed := report.repliedAt
		if report.leavingSince.After(lastUsed) {
			lastUsed = report.leavingSince
		}
		return !listed[id] && (unlisted > maxUnlistedReports || now.Sub(lastUsed) > selfReportMaxAge)
	})
}

// RecordReply records what the endpoint reports about itself in its reply. It returns true if
// the endpoint is newly known to be leaving, or starts a pause.
func (l *Lease) RecordReply(reply *banyanplank.ReplyInfo) (changed bool) {
	b, now := l.pool.owner, time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	report := l.state.report
	report.repliedAt = now
	if reply.Load.Known {
		report.load = reply.Load
	}
	if reply.ColdStartLeft > 0 {
		l.state.setCold(now, reply.ColdStartLeft)
	}
	if reply.Leaving && report.leavingSince.IsZero() {
		report.leavingSince, changed = now, true
	}
	if reply.Pause > 0 && now.Add(reply.Pause).After(report.resumeAt) {
		changed = changed || !now.Before(report.resumeAt)
		spread := min(time.Duration(resumeSpreadShare*float64(reply.Pause)), maxResumeSpread)
		report.pausedAt, report.resumeAt = now, now.Add(reply.Pause+time.Duration(b.random.Int64N(int64(spread)+1)))
		l.state.slowStartLimit = 1
	}
	return changed
}

// MarkLeaving records which endpoints other entries know to be leaving. It returns those
// that were not yet known to be leaving.
func (b *Balancer) MarkLeaving(now time.Time, leavers []banyanplank.LeavingBackend) (added []banyanplank.LeavingBackend) {
	if len(leavers) == 0 {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range leavers {
		known := b.selfReports[l.ID]
		if known == nil && len(b.selfReports) >= 2*maxUnlistedReports || known != nil && (known.born.After(l.Born) || known.born.Equal(l.Born) && !known.leavingSince.IsZero()) {
			continue
		}
		b.selfReportOf(l.ID, l.Born).leavingSince = now
		for _, p := range b.pools {
			if s := p.endpoints[l.ID]; s != nil {
				s.report = b.selfReportOf(l.ID, s.backend.Born)
			}
		}
		added = append(added, l)
	}
	return added
}

// LeavingEndpoints returns the endpoints that are known to be leaving while the platform still
// lists them as ready, sorted by ID.
func (b *Balancer) LeavingEndpoints() (leavers []banyanplank.LeavingBackend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, p := range b.pools {
		for _, s := range p.shuffled {
			if !s.report.leavingSince.IsZero() && !s.backend.Leaving {
				leavers = append(leavers, banyanplank.LeavingBackend{ID: s.backend.ID, Born: s.report.born})
			}
		}
	}
	slices.SortFunc(leavers, func(a, b banyanplank.LeavingBackend) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return leavers
}

// AddLeaving marks those of the endpoints as leaving that said so themselves or through
// other entries, whatever the platform lists.
func (b *Balancer) AddLeaving(endpoints []banyanplank.Backend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := range endpoints {
		e := &endpoints[i]
		if report := b.selfReports[e.ID]; report != nil && !report.born.Before(e.Born) && !report.leavingSince.IsZero() {
			e.Leaving = true
		}
	}
}

// remainingPause returns the time until the first of the paused endpoints may get calls
// again, if any endpoint is paused.
func (p *pool) remainingPause(now time.Time) (left time.Duration, paused bool) {
	for _, s := range p.shuffled {
		until := s.report.resumeAt.Sub(now)
		if s.exclusion(now) == exclusionPaused && (!paused || until < left) {
			left, paused = until, true
		}
	}
	return left, paused
}

// Exclusion is the reason why an endpoint gets no calls.
type Exclusion uint8

// The exclusions, in the order in which they are checked.
const (
	exclusionNone Exclusion = iota
	exclusionZoneOut
	exclusionLeaving
	exclusionPaused
	exclusionFailing
	exclusionProbing
	exclusionLimited
)

// String returns the exclusion's label in metrics and refusals.
func (r Exclusion) String() string {
	return [...]string{"none", "zone_out", "leaving", "paused", "failing", "tried", "limited"}[r]
}

// Exclusions lists all exclusions.
var Exclusions = []Exclusion{exclusionZoneOut, exclusionLeaving, exclusionPaused, exclusionFailing, exclusionProbing, exclusionLimited}

// exclusion returns the reason why the endpoint gets no calls, regardless of its
// capacity.
func (s *endpointState) exclusion(now time.Time) Exclusion {
	switch {
	case s.zoneOut:
		return exclusionZoneOut
	case s.backend.Leaving, !s.report.leavingSince.IsZero():
		return exclusionLeaving
	case now.Before(s.report.resumeAt):
		return exclusionPaused
	case now.Before(s.ejectedUntil):
		return exclusionFailing
	case s.consecutiveFailures > 0 && s.probing:
		// After an ejection, one call at a time probes the endpoint.
		return exclusionProbing
	case s.report.limit.isNamed && !s.division.hasPart(s.report.limit):
		return exclusionLimited
	}
	return exclusionNone
}

// countExclusions returns the number of excluded endpoints by reason.
func (p *pool) countExclusions(now time.Time) (counts map[Exclusion]int) {
	counts = make(map[Exclusion]int)
	for _, s := range p.shuffled {
		if reason := s.exclusion(now); reason != exclusionNone {
			counts[reason]++
		}
	}
	return counts
}

// formatExclusions returns the counts as text for the detail of a refusal.
func formatExclusions(counts map[Exclusion]int) (text string) {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		text += " " + reason.String() + "=" + strconv.Itoa(counts[reason])
	}
	return text
}
