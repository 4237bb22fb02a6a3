package balancer

import (
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The weights of a choice, in calls in flight.
const (
	// farCost keeps a call in its zone among near equals.
	farCost = 1.5
	// failureCost is for an endpoint all of whose calls fail.
	failureCost = 8
	// jitterCost breaks ties, so that entries do not all choose the same.
	jitterCost = 0.3
	// tokensPerCall is the prompt tokens that weigh as much as one more call.
	tokensPerCall = 1200
)

// The bounds on leaving out an endpoint that fails.
const (
	ejectLeast = 250 * time.Millisecond
	ejectMost  = 4 * time.Second
	// failureDecay is the weight of the latest call in the share of failures.
	failureDecay = 0.2
	// latencyDecay is the weight of the latest call in the mean latency.
	latencyDecay = 0.15
	// forgetHalf is the time in which what is known of an endpoint counts half,
	// so that one that gets no calls is tried again.
	forgetHalf = 2 * time.Second
)

// seat is what an entry knows of one endpoint.
type seat struct {
	pool    *pool
	group   *group
	backend *banyanplank.Backend
	// out tells that the endpoint's zone is out of service.
	out bool
	// own counts the calls of this entry in flight.
	own int
	// begun counts those that have their first event.
	begun int
	// unread is the prompt tokens of calls that have no first event yet.
	unread int
	// failures is the share of calls that failed lately, latency how long the
	// others took.
	failures float64
	latency  time.Duration
	// learned is when these two were last known.
	learned time.Time
	// streak counts the failures in a row.
	streak       int
	ejectedUntil time.Time
	trying       bool
	cold         bucket
	// said is what this incarnation has said of itself.
	said *said
	// ramp bounds the own calls in flight after a pause that the endpoint asked
	// for, until as many are served as it may hold. Zero is no bound.
	ramp int
}

// newSeat returns a seat that nothing is known of but what its endpoint has said.
func newSeat(p *pool, g *group, backend banyanplank.Backend) *seat {
	return &seat{pool: p, group: g, said: p.owner.saidBy(backend.ID, backend.Born)}
}

// join moves the endpoint to the group that it is listed in.
func (s *seat) join(g *group) {
	s.group.begun -= s.begun
	s.group = g
	s.group.begun += s.begun
}

// renew takes in what the platform lists.
func (s *seat) renew(now time.Time, backend banyanplank.Backend, out bool, coldRate float64) {
	// An endpoint may turn cold while its zone gets no work.
	if s.out && !out && backend.Cold == 0 {
		s.chill(now, returnCold)
	}
	if backend.Cold > 0 && (s.backend == nil || s.backend.Cold != backend.Cold) {
		s.chill(now, backend.Cold)
	}
	s.backend, s.out = &backend, out
	s.cold.rate = coldRate
}

// chill notes that the endpoint is cold for a while. Its rate is shared by all
// entries, which learn of it together: each begins at another part of the time
// between two of its calls, so that all together send at the rate from then on.
func (s *seat) chill(now time.Time, left time.Duration) {
	if !now.Before(s.said.cold) {
		s.cold.tokens, s.cold.at = s.pool.owner.random.Float64(), now
	}
	s.said.cold = now.Add(left)
}

// returnCold is how long endpoints of a zone that returns count as cold.
const returnCold = 3 * time.Second

// held returns the calls that the endpoint has, as far as known.
func (s *seat) held() (calls float64) {
	return float64(s.own + s.pool.owner.others[s.backend.ID])
}

// isUsable reports whether the endpoint may get work when it has room.
func (s *seat) isUsable(now time.Time) bool { return s.barrier(now) == barNone }

// isSlow reports whether the endpoint holds up its group of ranks.
func (s *seat) isSlow(now time.Time) bool {
	return now.Before(s.pool.owner.slow[s.backend.ID])
}

// hasRate reports whether the endpoint's cold start, and its return from a pause, allow
// one more call.
func (s *seat) hasRate(now time.Time) bool {
	if s.ramp > 0 && s.own >= s.ramp {
		return false
	}
	return !now.Before(s.said.cold) || s.cold.has(now)
}

// cost returns how little the endpoint suits one more call.
func (s *seat) cost(now time.Time, b *Balancer) (cost float64) {
	fresh := s.fresh(now)
	cost = s.held() + float64(s.unread)/tokensPerCall + s.failures*fresh*failureCost
	if s.pool.spec.Engine == nil && s.latency > 0 {
		// Plain endpoints of one service differ in speed.
		cost = (cost + 1) * s.latency.Seconds() * fresh * 100
	}
	if s.backend.Zone != b.zone {
		cost += farCost
	}
	return cost + jitterCost*b.random.Float64()
}

// fresh returns how much of what is known of the endpoint still counts.
func (s *seat) fresh(now time.Time) (part float64) {
	return math.Exp2(-now.Sub(s.learned).Seconds() / forgetHalf.Seconds())
}

// learn lets earlier failures count less, before a call's end is added.
func (s *seat) learn(now time.Time) {
	s.failures *= s.fresh(now)
	s.learned = now
}

// begin notes a call that is sent.
func (s *seat) begin(now time.Time, query Query) {
	s.group.probed = now
	s.own++
	s.unread += query.Prompt
	if s.streak > 0 {
		s.trying = true
	}
	if now.Before(s.said.cold) {
		s.cold.take(now)
	}
}

// fail notes a call that the endpoint failed.
func (s *seat) fail(now time.Time) {
	s.learn(now)
	s.failures += failureDecay * (1 - s.failures)
	s.streak++
	pause := ejectLeast << min(s.streak-1, 4)
	s.ejectedUntil = now.Add(min(pause, ejectMost))
}

// serve notes a call that went well.
func (s *seat) serve(now time.Time, latency time.Duration) {
	s.learn(now)
	s.failures -= failureDecay * s.failures
	s.streak = 0
	if s.ramp *= 2; float64(s.ramp) >= s.pool.limit(s) {
		s.ramp = 0
	}
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(latencyDecay * float64(latency-s.latency))
}

// bucket bounds a rate.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Time
}

// burstSpan is the time for which a bucket saves up.
const burstSpan = 100 * time.Millisecond

// fill adds what has come since the last call.
func (k *bucket) fill(now time.Time) {
	k.tokens += now.Sub(k.at).Seconds() * k.rate
	k.tokens = min(k.tokens, max(1, k.rate*burstSpan.Seconds()))
	k.at = now
}

// has reports whether one call may go. A rate of zero is no bound.
func (k *bucket) has(now time.Time) bool {
	if k.rate <= 0 {
		return true
	}
	k.fill(now)
	return k.tokens >= 1
}

// take counts one call.
func (k *bucket) take(now time.Time) {
	k.fill(now)
	k.tokens--
}
