package suspecter

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The deaths in a row that convict a request.
const (
	// leastRow is enough when no other request ran at all of them. One death alone
	// may be a coincidence.
	leastRow = 2
	// certainRow is enough whatever ran beside the request.
	certainRow = 3
)

// death is one death of an endpoint.
type death struct {
	id banyanplank.DeathID
	at time.Time
	// beside lists the requests that ran, as far as daemons have told of them.
	beside []banyanplank.Fingerprint
	until  time.Time
}

// run is a run of a request that a death ended.
type run struct {
	*death
	began time.Time
}

// suspect is a request that ran when an endpoint died.
type suspect struct {
	runs  []run
	until time.Time
	// convicted tells that another daemon has found the request guilty.
	convicted bool
}

// row returns the longest row of runs each of which began after the death before it.
// Deaths that came together, as when a zone loses power, count once. A run that began
// after its endpoint had died, as other daemons tell, never reached it: something else
// may accept connections at its address.
func (s *suspect) row() (row []run) {
	ordered := slices.Clone(s.runs)
	slices.SortStableFunc(ordered, func(a, b run) int { return a.at.Compare(b.at) })
	for _, r := range ordered {
		if r.began.After(r.at) {
			continue
		}
		if len(row) == 0 || !r.began.Before(row[len(row)-1].at) {
			row = append(row, r)
		}
	}
	return row
}

// isGuilty reports whether the deaths leave no other request to blame.
func (s *suspect) isGuilty() bool {
	row := s.row()
	switch {
	case s.convicted || len(row) >= certainRow:
		return true
	case len(row) < leastRow:
		return false
	}
	common := slices.Clone(row[0].beside)
	for _, r := range row[1:] {
		common = slices.DeleteFunc(common, func(f banyanplank.Fingerprint) bool { return !slices.Contains(r.beside, f) })
	}
	return len(common) == 1
}
