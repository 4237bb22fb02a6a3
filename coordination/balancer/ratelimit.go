package balancer

import (
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
)

// rateLimit is the rate that an endpoint names in its answers.
type rateLimit struct {
	// perSecond is the number of requests per second from all entries together. It holds
	// if isNamed is set.
	perSecond float64
	isNamed   bool
	// namedAt is when the endpoint last named a rate, or none after that.
	namedAt time.Time
}

// minLimitChange is the relative change of a limit from which it is worth a log line.
const minLimitChange = 0.1

// RecordLimit records whether the endpoint names a rate limit in its reply. It returns true
// if that begins or ends a limit, or changes it by [minLimitChange] or more. A limit that
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
	l.state.report.limit = rateLimit{perSecond: reply.RateLimit, isNamed: reply.IsRateLimited, namedAt: now}
	return old.isNamed != reply.IsRateLimited || math.Abs(reply.RateLimit-old.perSecond) >= minLimitChange*old.perSecond
}
