package balancer

import (
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The weights in the cost of an endpoint, in calls in flight.
const (
	// crossZoneCost keeps calls in the entry's zone unless an endpoint elsewhere
	// has clearly fewer.
	crossZoneCost = 1.5
	// failureCost is the cost of an endpoint at a failure rate of 1.
	failureCost = 8
	// jitterCost breaks ties at random, so that entries choose different endpoints.
	jitterCost = 0.3
	// tokensPerCall is the number of pending prompt tokens that cost as much as
	// one call.
	tokensPerCall = 1200
)

// Parameters of the ejection of failing endpoints.
const (
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// failureWeight is the weight of the latest call in the failure rate.
	failureWeight = 0.2
	// latencyWeight is the weight of the latest call in the mean latency.
	latencyWeight = 0.15
	// historyHalfLife is the time in which the weight of an endpoint's failure rate
	// and latency halves, so that an endpoint without calls is tried again.
	historyHalfLife = 2 * time.Second
)

// endpointState is this entry's view of one endpoint.
type endpointState struct {
	pool    *pool
	group   *group
	backend *banyanplank.Backend
	// zoneOut is set while the endpoint's zone is out of service.
	zoneOut bool
	// ownCalls counts this entry's calls in flight.
	ownCalls int
	// streams counts those that have received their first event.
	streams int
	// pendingPromptTokens is the number of prompt tokens of own calls without a
	// first event.
	pendingPromptTokens int
	// failureRate is the moving average of the share of calls that failed, and
	// meanLatency that of the time that the others took.
	failureRate float64
	meanLatency time.Duration
	// updatedAt is when these two were last updated.
	updatedAt           time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	probing             bool
	coldLimiter         tokenBucket
	// rateLimiter holds this entry's part of the rate that the endpoint names, which
	// division determines.
	rateLimiter tokenBucket
	division    limitDivision
	// slots determines which slots belong to this entry.
	slots slotDivision
	// report is what this incarnation reported about itself.
	report *selfReport
	// slowStartLimit limits ownCalls after a pause that the endpoint requested. It
	// doubles with each call served, up to the endpoint's limit. Zero means no limit.
	slowStartLimit int
}

// newEndpointState returns the state of an endpoint without history, except for what
// this incarnation already reported about itself.
func newEndpointState(p *pool, g *group, backend banyanplank.Backend) *endpointState {
	return &endpointState{pool: p, group: g, report: p.owner.selfReportOf(backend.ID, backend.Born)}
}

// moveToGroup moves the endpoint to the group that it is listed in.
func (s *endpointState) moveToGroup(g *group) {
	s.group.streams -= s.streams
	s.group = g
	s.group.streams += s.streams
}

// update applies a listing of the platform.
func (s *endpointState) update(now time.Time, backend banyanplank.Backend, zoneOut bool, coldRate float64) {
	// An endpoint may turn cold while its zone gets no calls.
	if s.zoneOut && !zoneOut && backend.ColdStartLeft == 0 {
		s.setCold(now, zoneReturnColdTime)
	}
	if backend.ColdStartLeft > 0 && (s.backend == nil || s.backend.ColdStartLeft != backend.ColdStartLeft) {
		s.setCold(now, backend.ColdStartLeft)
	}
	s.backend, s.zoneOut = &backend, zoneOut
	s.coldLimiter.rate = coldRate
}

// setCold marks the endpoint as in cold start for the remaining time. All entries
// share its rate and learn of the cold start at about the same time. Each starts with
// a random fraction of a token, so that their first calls are spread out and together
// keep to the rate.
func (s *endpointState) setCold(now time.Time, remaining time.Duration) {
	if !now.Before(s.report.coldUntil) {
		s.coldLimiter.tokens, s.coldLimiter.refilledAt = s.pool.owner.random.Float64(), now
	}
	s.report.coldUntil = now.Add(remaining)
}

// zoneReturnColdTime is how long endpoints count as cold when their zone returns to
// service.
const zoneReturnColdTime = 3 * time.Second

// callsInFlight returns the endpoint's known calls in flight, of this entry and its
// peers.
func (s *endpointState) callsInFlight() (calls float64) {
	b := s.pool.owner
	return float64(s.ownCalls + b.peerCalls[s.backend.ID] + b.zones[s.backend.Zone].inFlight[s.backend.ID])
}

// isUsable reports whether the endpoint may get calls while it has capacity.
func (s *endpointState) isUsable(now time.Time) bool { return s.exclusion(now) == exclusionNone }

// isSlow reports whether the endpoint is marked as slowing down its group of ranks.
func (s *endpointState) isSlow(now time.Time) bool {
	return now.Before(s.pool.owner.slowUntil[s.backend.ID])
}

// isWithinStartLimits reports whether the rate of a cold start and the slow start after
// a pause allow another call.
func (s *endpointState) isWithinStartLimits(now time.Time) bool {
	if s.slowStartLimit > 0 && s.ownCalls >= s.slowStartLimit {
		return false
	}
	return !now.Before(s.report.coldUntil) || s.coldLimiter.hasToken(now)
}

// cost returns the cost of sending another call to the endpoint. Lower is better.
func (s *endpointState) cost(now time.Time, b *Balancer) (cost float64) {
	weight := s.historyWeight(now)
	cost = s.callsInFlight() + float64(s.pendingPromptTokens)/tokensPerCall + s.failureRate*weight*failureCost
	if s.pool.spec.Engine == nil && s.meanLatency > 0 {
		// Endpoints of a plain service differ in speed.
		cost = (cost + 1) * s.meanLatency.Seconds() * weight * 100
	}
	if s.backend.Zone != b.zone {
		cost += crossZoneCost
	}
	return cost + jitterCost*b.random.Float64()
}

// historyWeight returns the weight, from 1 down to 0, of the endpoint's failure rate and
// latency by their age.
func (s *endpointState) historyWeight(now time.Time) (weight float64) {
	return math.Exp2(-now.Sub(s.updatedAt).Seconds() / historyHalfLife.Seconds())
}

// decayFailureRate applies the weight of the failure rate's age, before another call is
// added.
func (s *endpointState) decayFailureRate(now time.Time) {
	s.failureRate *= s.historyWeight(now)
	s.updatedAt = now
}

// recordStart records that a call is sent to the endpoint.
func (s *endpointState) recordStart(now time.Time, query Query) {
	s.group.probedAt = now
	s.ownCalls++
	s.pendingPromptTokens += query.PromptTokens
	if s.consecutiveFailures > 0 {
		s.probing = true
	}
	if now.Before(s.report.coldUntil) {
		s.coldLimiter.takeToken(now)
	}
	if s.report.limit.isNamed {
		s.rateLimiter.takeToken(now)
	}
}

// recordFailure records a failed call and ejects the endpoint. The ejection doubles with
// each consecutive failure, up to maxEjection.
func (s *endpointState) recordFailure(now time.Time) {
	s.decayFailureRate(now)
	s.failureRate += failureWeight * (1 - s.failureRate)
	s.consecutiveFailures++
	ejection := minEjection << min(s.consecutiveFailures-1, 4)
	s.ejectedUntil = now.Add(min(ejection, maxEjection))
}

// recordSuccess records a served call and its latency.
func (s *endpointState) recordSuccess(now time.Time, latency time.Duration) {
	s.decayFailureRate(now)
	s.failureRate -= failureWeight * s.failureRate
	s.consecutiveFailures = 0
	if s.slowStartLimit *= 2; float64(s.slowStartLimit) >= s.pool.limit(s) {
		s.slowStartLimit = 0
	}
	if s.meanLatency == 0 {
		s.meanLatency = latency
		return
	}
	s.meanLatency += time.Duration(latencyWeight * float64(latency-s.meanLatency))
}

// tokenBucket limits a rate in calls per second.
type tokenBucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// maxBurst is the time for which an unused bucket accumulates tokens.
const maxBurst = 100 * time.Millisecond

// refill adds the tokens due since the last refill.
func (k *tokenBucket) refill(now time.Time) {
	k.tokens += now.Sub(k.refilledAt).Seconds() * k.rate
	k.tokens = min(k.tokens, max(1, k.rate*maxBurst.Seconds()))
	k.refilledAt = now
}

// hasToken reports whether a call may be sent. A rate of zero means no limit.
func (k *tokenBucket) hasToken(now time.Time) bool {
	if k.rate <= 0 {
		return true
	}
	k.refill(now)
	return k.tokens >= 1
}

// takeToken takes a token for a call. Without a limit it takes none, so that a later limit
// begins without debt.
func (k *tokenBucket) takeToken(now time.Time) {
	if k.rate <= 0 {
		return
	}
	k.refill(now)
	k.tokens--
}

// timeToToken returns the time until a call may be sent. The rate must be positive.
func (k *tokenBucket) timeToToken(now time.Time) (wait time.Duration) {
	k.refill(now)
	return time.Duration(max(0, 1-k.tokens) / k.rate * float64(time.Second))
}
