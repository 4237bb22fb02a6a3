package suspecter

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The numbers of consecutive deaths that convict a request.
const (
	// minConsecutiveDeaths is enough if no other request ran at all of them. A single
	// death may be a coincidence.
	minConsecutiveDeaths = 2
	// certainConsecutiveDeaths is enough whichever other requests ran at them.
	certainConsecutiveDeaths = 3
)

// heartbeatJitter is by how much the delays of two heartbeats may differ, and with them the
// times of a death and of a run that ended with it.
const heartbeatJitter = 50 * time.Millisecond

// death is one death of an endpoint.
type death struct {
	id banyanplank.DeathID
	at time.Time
	// requests lists the requests that ran, as far as daemons reported them.
	requests []banyanplank.Fingerprint
	until    time.Time
}

// fatalRun is a run of a request that was ended by the endpoint's death.
type fatalRun struct {
	*death
	began time.Time
}

// suspect is a request that ran when an endpoint died.
type suspect struct {
	runs  []fatalRun
	until time.Time
	// convictedByPeer is set when another daemon convicted the request.
	convictedByPeer bool
}

// earliestRun returns the index of the run that ended with the earliest death.
func (s *suspect) earliestRun() (index int) {
	for i, r := range s.runs {
		if r.at.Before(s.runs[index].at) {
			index = i
		}
	}
	return index
}

// consecutiveRuns returns the longest sequence of runs in which each began after the
// previous death. Simultaneous deaths, such as when a zone loses power, count once. It
// skips runs that began after the death that other daemons reported: they never reached
// the endpoint, because something else may accept connections at its address.
func (s *suspect) consecutiveRuns() (consecutive []fatalRun) {
	ordered := slices.Clone(s.runs)
	slices.SortStableFunc(ordered, func(a, b fatalRun) int { return a.at.Compare(b.at) })
	for _, r := range ordered {
		if r.began.After(r.at.Add(heartbeatJitter)) {
			continue
		}
		if len(consecutive) == 0 || !r.began.Before(consecutive[len(consecutive)-1].at) {
			consecutive = append(consecutive, r)
		}
	}
	return consecutive
}

// isConvicted reports whether the deaths can only have been caused by this request, or
// another daemon convicted it.
func (s *suspect) isConvicted() bool {
	runs := s.consecutiveRuns()
	switch {
	case s.convictedByPeer || len(runs) >= certainConsecutiveDeaths:
		return true
	case len(runs) < minConsecutiveDeaths:
		return false
	}
	common := slices.Clone(runs[0].requests)
	for _, r := range runs[1:] {
		common = slices.DeleteFunc(common, func(f banyanplank.Fingerprint) bool { return !slices.Contains(r.requests, f) })
	}
	return len(common) == 1
}
