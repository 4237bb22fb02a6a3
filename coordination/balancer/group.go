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
}

// isDown reports whether the group stands still: a rank was said to be lost, or no
// stream goes on. Passes take about pass.
func (g *group) isDown(now time.Time, pass time.Duration) bool {
	return g.broken || (g.begun >= leastStreams && g.isSilent(now, pass))
}

// isSilent reports whether no stream has gone on for long.
func (g *group) isSilent(now time.Time, pass time.Duration) bool {
	return now.Sub(g.last) > max(silence, silentPasses*pass)
}

// stands reports whether the streams have stood still for some passes.
func (g *group) stands(now time.Time, pass time.Duration) bool {
	return g.begun >= leastStreams && now.Sub(g.last) > max(standstill, standPasses*pass)
}

// isBarred reports whether the group stands still and was tried just now.
func (g *group) isBarred(now time.Time, pass time.Duration) bool {
	return g.isDown(now, pass) && now.Sub(g.probed) < probePause
}

// isBarred reports whether the endpoint's group stands still and was tried just now.
func (s *seat) isBarred(now time.Time) bool {
	return s.pool.spec.Engine != nil && s.group.isBarred(now, s.pool.pace.mean)
}

// isDown reports whether all groups of ranks behind the service stand still.
func (p *pool) isDown(now time.Time) bool {
	for _, g := range p.groups {
		if !g.isDown(now, p.pace.mean) {
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
