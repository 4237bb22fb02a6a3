package balancer

import (
	"time"
)

// group is the group of ranks that an engine belongs to. Its ranks run each pass
// together, so the loss of one rank stalls the whole group. A service may have
// several groups.
type group struct {
	// lastEvent is the time of the latest event of any stream of the group.
	lastEvent time.Time
	// streams counts the calls in flight that have received their first event.
	streams int
	// rankLost is set when an endpoint reports the loss of a rank, until a stream
	// of the group starts. probedAt is when the last call was sent, or was declined
	// for the loss of a rank.
	rankLost bool
	probedAt time.Time
	// reopensAt is when the group is expected to take calls again. It is set when
	// a rank comes back while the group is down.
	reopensAt   time.Time
	concurrency concurrencyLimiter
	// meanCalls is the mean number of calls in flight per endpoint at countedAt.
	meanCalls float64
	countedAt time.Time
}

// countInterval is the shortest time between two counts of a group's calls.
const countInterval = 50 * time.Millisecond

// countMeanCalls returns the mean number of calls in flight per endpoint of the
// group. The result is cached for countInterval.
func (p *pool) countMeanCalls(now time.Time, g *group) (mean float64) {
	if now.Sub(g.countedAt) < countInterval {
		return g.meanCalls
	}
	calls, members := 0.0, 0
	for _, s := range p.shuffled {
		if s.group == g {
			calls += s.callsInFlight()
			members++
		}
	}
	g.meanCalls, g.countedAt = calls/float64(max(1, members)), now
	return g.meanCalls
}

// isDown reports whether the group is down: a rank was reported lost, or all streams
// are silent.
func (g *group) isDown(now time.Time) bool {
	return g.rankLost || (g.streams >= minStreams && g.isSilent(now))
}

// isSilent reports whether no stream of the group has had an event for longer than
// both silentAfter and silentAfterPasses.
func (g *group) isSilent(now time.Time) bool {
	return now.Sub(g.lastEvent) > max(silentAfter, silentAfterPasses*g.concurrency.meanGap)
}

// isStalled reports whether the streams of the group have had no event for longer than
// both stalledAfter and stalledAfterPasses.
func (g *group) isStalled(now time.Time) bool {
	return g.streams >= minStreams && now.Sub(g.lastEvent) > max(stalledAfter, stalledAfterPasses*g.concurrency.meanGap)
}

// isInProbeBackoff reports whether the group is down and was probed less than
// probeInterval ago.
func (g *group) isInProbeBackoff(now time.Time) bool {
	return g.isDown(now) && now.Sub(g.probedAt) < probeInterval
}

// isInProbeBackoff reports whether the endpoint's group of ranks is down and was
// probed less than probeInterval ago. Plain services have no groups of ranks.
func (s *endpointState) isInProbeBackoff(now time.Time) bool {
	return s.pool.spec.Engine != nil && s.group.isInProbeBackoff(now)
}

// isDown reports whether all groups of ranks of the service are down.
func (p *pool) isDown(now time.Time) bool {
	for _, g := range p.groups {
		if !g.isDown(now) {
			return false
		}
	}
	return p.spec.Engine != nil && len(p.groups) > 0
}

// reopensIn returns the time until the first of the groups that are down is expected
// to take calls again, if that is known.
func (p *pool) reopensIn(now time.Time) (left time.Duration, known bool) {
	for _, g := range p.groups {
		if until := g.reopensAt.Sub(now); until > 0 && (!known || until < left) {
			left, known = until, true
		}
	}
	return left, known
}
