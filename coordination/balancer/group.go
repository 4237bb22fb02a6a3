package balancer

import (
	"time"
)

// group is the group of ranks that an engine belongs to. All its ranks run each pass
// together, so it stands still as a whole. A service may have several.
type group struct {
	// last is when a stream of the group went on.
	last time.Time
	// begun counts the calls in flight that have their first event.
	begun int
	// broken tells that a rank of the group was said to be lost, and probed
	// when a call was last let through to try.
	broken bool
	probed time.Time
	// opens is when the group is expected to open, if a rank came back while it
	// stood still.
	opens time.Time
	pace  pace
	// load is the calls that each endpoint holds in the mean, as last counted.
	load    float64
	counted time.Time
}

// countEvery is the time between two counts of the calls that a group holds.
const countEvery = 50 * time.Millisecond

// count counts the calls that the endpoints of the group hold, unless that was done
// just now.
func (p *pool) count(now time.Time, g *group) (load float64) {
	if now.Sub(g.counted) < countEvery {
		return g.load
	}
	held, seats := 0.0, 0
	for _, s := range p.order {
		if s.group == g {
			held += s.held()
			seats++
		}
	}
	g.load, g.counted = held/float64(max(1, seats)), now
	return g.load
}

// isDown reports whether the group stands still: a rank was said to be lost, or no
// stream goes on.
func (g *group) isDown(now time.Time) bool {
	return g.broken || (g.begun >= leastStreams && g.isSilent(now))
}

// isSilent reports whether no stream has gone on for long.
func (g *group) isSilent(now time.Time) bool {
	return now.Sub(g.last) > max(silence, silentPasses*g.pace.mean)
}

// stands reports whether the streams have stood still for some passes.
func (g *group) stands(now time.Time) bool {
	return g.begun >= leastStreams && now.Sub(g.last) > max(standstill, standPasses*g.pace.mean)
}

// isBarred reports whether the group stands still and was tried just now.
func (g *group) isBarred(now time.Time) bool {
	return g.isDown(now) && now.Sub(g.probed) < probePause
}

// isBarred reports whether the endpoint's group stands still and was tried just now.
func (s *seat) isBarred(now time.Time) bool {
	return s.pool.spec.Engine != nil && s.group.isBarred(now)
}

// isDown reports whether all groups of ranks behind the service stand still.
func (p *pool) isDown(now time.Time) bool {
	for _, g := range p.groups {
		if !g.isDown(now) {
			return false
		}
	}
	return p.spec.Engine != nil && len(p.groups) > 0
}

// opens returns when the first of the groups that stand still is expected to open.
func (p *pool) opens(now time.Time) (left time.Duration, known bool) {
	for _, g := range p.groups {
		if until := g.opens.Sub(now); until > 0 && (!known || until < left) {
			left, known = until, true
		}
	}
	return left, known
}
