package balancer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The limits that endpoints name, and their division among the entries.
const (
	// minRateLimit is the lowest rate that is divided, in requests per second. An endpoint
	// without any call couldn't say that its limit has ended.
	minRateLimit = 0.1
	// minParts and partsPerRate give the number of entries that share the limit of an
	// endpoint, by its rate. An idle entry may send one call at once, so the number of
	// entries bounds the burst that follows an idle time.
	minParts     = 3
	partsPerRate = 2
	// limitToldAge is how long an entry tells its peers what an endpoint said. It allows
	// for several lost heartbeats.
	limitToldAge = 10 * time.Second
	// maxToldLimits bounds the limits in one heartbeat, at some 35 bytes each. The latest
	// ones go first.
	maxToldLimits = 128
	// minLimitChange is the relative change of a limit from which it is worth a log line.
	minLimitChange = 0.1
	// maxRateLimitWait bounds the retry delay of callers when all endpoints limit their rate.
	maxRateLimitWait = 10 * time.Second
)

// rateLimit is the rate that an endpoint names in its answers.
type rateLimit struct {
	// perSecond is the number of requests per second from all entries together. It holds
	// if isNamed is set.
	perSecond float64
	isNamed   bool
	// saidAt is when the endpoint last named a rate, or named none any more. isOwn is set
	// if it did so in an answer to this entry.
	saidAt time.Time
	isOwn  bool
}

// limitDivision determines this entry's part of the limit of an endpoint. All entries
// derive the same division from the same lists, without an exchange. It deals the endpoints
// to the entries in turn, so that all entries get about as many parts.
type limitDivision struct {
	// endpoint is the index of the endpoint among those of its service, and entry that of
	// this entry among the live ones.
	endpoint, endpoints int
	entry, entries      int
}

// parts returns the number of entries that share the limit. Every entry has a part of some
// endpoint of the service.
func (d limitDivision) parts(limit rateLimit) (parts int) {
	parts = d.entries
	if byRate := minParts + partsPerRate*limit.perSecond; byRate < float64(parts) {
		parts = int(byRate)
	}
	if d.endpoints > 0 {
		parts = max(parts, (d.entries+d.endpoints-1)/d.endpoints)
	}
	return min(parts, d.entries)
}

// hasPart reports whether this entry has a part of the limit.
func (d limitDivision) hasPart(limit rateLimit) bool {
	parts := d.parts(limit)
	offset := (d.entry - d.endpoint*parts) % d.entries
	return (offset+d.entries)%d.entries < parts
}

// rate returns this entry's part of the limit in requests per second.
func (d limitDivision) rate(limit rateLimit) (perSecond float64) {
	return max(minRateLimit, limit.perSecond) / float64(d.parts(limit))
}

// divideLimit applies a new division of the endpoint's limit among the entries.
func (s *endpointState) divideLimit(now time.Time, division limitDivision) {
	s.division = division
	s.applyLimit(now)
}

// applyLimit sets the rate of this entry's calls by the limit that the endpoint named. A new
// limit begins with a random fraction of a token, so that the first calls of all entries are
// spread out.
func (s *endpointState) applyLimit(now time.Time) {
	if !s.report.limit.isNamed {
		s.rateLimiter = tokenBucket{}
		return
	}
	if s.rateLimiter.rate == 0 {
		s.rateLimiter.tokens, s.rateLimiter.refilledAt = s.pool.owner.random.Float64(), now
	}
	s.rateLimiter.refill(now)
	s.rateLimiter.rate = s.division.rate(s.report.limit)
}

// isWithinRateLimit reports whether the limit that the endpoint named allows another call.
func (s *endpointState) isWithinRateLimit(now time.Time) bool {
	return !s.report.limit.isNamed || s.rateLimiter.hasToken(now)
}

// rateLimitWait returns how long a call has to wait for the rate limits of endpoints, or zero
// if some endpoint that could take it has none.
func (p *pool) rateLimitWait(now time.Time, query Query) (wait time.Duration) {
	rate, soonest := 0.0, time.Duration(math.MaxInt64)
	for _, s := range p.shuffled {
		if !s.isUsable(now) || s.isInProbeBackoff(now) || slices.Contains(query.Avoid, s.backend.ID) {
			continue
		}
		if !s.report.limit.isNamed {
			return 0
		}
		rate += s.rateLimiter.rate
		soonest = min(soonest, s.rateLimiter.timeToToken(now))
	}
	if rate == 0 {
		return 0
	}
	return soonest + time.Duration(float64(len(p.queue))/rate*float64(time.Second))
}

// retryAfterRateLimit returns the retry delay of a call that would have to wait for the rate
// limits of endpoints, with jitter of up to half the time again.
func (p *pool) retryAfterRateLimit(wait time.Duration) (after time.Duration) {
	wait = min(max(wait, retryAfterMin), maxRateLimitWait)
	return wait + time.Duration(p.owner.random.Int64N(int64(wait/2)))
}

// RecordLimit records whether the endpoint names a rate limit in its reply. It returns true
// if that begins or ends a limit, or changes it by minLimitChange or more. A limit that
// can't be read leaves the last one in force.
func (l *Lease) RecordLimit(reply *banyanplank.ReplyInfo) (changed bool) {
	if reply.Misdirected || !reply.IsRateLimited && reply.InvalidRateLimit != "" {
		return false
	}
	b, now := l.pool.owner, time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	old := l.state.report.limit
	if !old.isNamed && !reply.IsRateLimited {
		return false
	}
	l.state.report.limit = rateLimit{perSecond: reply.RateLimit, isNamed: reply.IsRateLimited, saidAt: now, isOwn: true}
	l.state.applyLimit(now)
	return old.isNamed != reply.IsRateLimited || math.Abs(reply.RateLimit-old.perSecond) >= minLimitChange*old.perSecond
}

// Limits returns what endpoints said of their rate limits to this entry itself of late, the
// latest first, to tell peers.
func (b *Balancer) Limits() (limits []banyanplank.BackendLimit) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	for _, p := range b.pools {
		for _, s := range p.shuffled {
			limit := s.report.limit
			if !limit.isOwn || now.Sub(limit.saidAt) > limitToldAge {
				continue
			}
			told := banyanplank.BackendLimit{ID: s.backend.ID, Born: s.report.born, PerSecond: -1, Age: now.Sub(limit.saidAt)}
			if limit.isNamed {
				told.PerSecond = limit.perSecond
			}
			limits = append(limits, told)
		}
	}
	slices.SortFunc(limits, func(a, b banyanplank.BackendLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), strings.Compare(string(a.ID), string(b.ID)))
	})
	return limits[:min(len(limits), maxToldLimits)]
}

// MarkLimits records what endpoints said of their rate limits to a peer, where that is newer
// than what this entry knows.
func (b *Balancer) MarkLimits(now time.Time, limits []banyanplank.BackendLimit) {
	if len(limits) == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	told := make(map[banyanplank.BackendID]banyanplank.BackendLimit, len(limits))
	for _, l := range limits {
		told[l.ID] = l
	}
	for _, p := range b.pools {
		for id, s := range p.endpoints {
			l, ok := told[id]
			saidAt := now.Add(-l.Age)
			if !ok || !l.Born.Equal(s.report.born) || !saidAt.After(s.report.limit.saidAt) || !saidAt.After(s.report.repliedAt) {
				continue
			}
			s.report.limit = rateLimit{perSecond: max(0, l.PerSecond), isNamed: l.PerSecond >= 0, saidAt: saidAt}
			s.applyLimit(now)
		}
	}
}
