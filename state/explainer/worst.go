package explainer

import (
	"slices"
	"strings"
	"time"
)

// mostWorst bounds the seconds that are shown.
const mostWorst = 10

// Second is one second of all entries.
type Second struct {
	At time.Time `json:"at"`
	// Calls ended in it, Unserved of them without a whole answer.
	Calls    int `json:"calls"`
	Unserved int `json:"unserved"`
	// Causes are the reasons of the unserved ones, the most frequent first.
	Causes []Cause `json:"causes"`
}

// Cause is a reason, how often it ended a call, and one such call.
type Cause struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	ID     string `json:"id"`
}

// Worst returns the seconds in which most calls ended unserved, the worst first.
func (e *Explainer) Worst() (seconds []Second) {
	byTime := make(map[time.Time]*Second)
	for i := range e.calls {
		l := &e.calls[i]
		at := l.At.Truncate(time.Second)
		s := byTime[at]
		if s == nil {
			s = &Second{At: at}
			byTime[at] = s
		}
		s.add(l)
	}
	for _, s := range byTime {
		if s.Unserved > 0 {
			slices.SortFunc(s.Causes, func(a, b Cause) int { return b.Count - a.Count })
			seconds = append(seconds, *s)
		}
	}
	slices.SortFunc(seconds, func(a, b Second) int {
		if a.Unserved != b.Unserved {
			return b.Unserved - a.Unserved
		}
		return a.At.Compare(b.At)
	})
	return seconds[:min(len(seconds), mostWorst)]
}

// add counts a call.
func (s *Second) add(l *Line) {
	s.Calls++
	if l.Fields["outcome"] == "served" {
		return
	}
	s.Unserved++
	reason := reasonOf(l)
	for i := range s.Causes {
		if s.Causes[i].Reason == reason {
			s.Causes[i].Count++
			return
		}
	}
	s.Causes = append(s.Causes, Cause{Reason: reason, Count: 1, ID: l.Fields["id"]})
}

// reasonOf returns the reason of a line without what belongs to one call.
func reasonOf(l *Line) (reason string) {
	reason = l.Fields["outcome"]
	if why := l.Fields["reason"]; why != "" && why != reason {
		reason += " " + why
	}
	switch detail := l.Fields["detail"]; {
	case strings.Contains(detail, "stands still"):
		reason += ", the group of ranks stands still"
	case strings.Contains(detail, "declined"):
		reason += ", declined by the endpoint"
	case strings.Contains(detail, "timeout"), strings.Contains(detail, "deadline"):
		reason += ", at the time limit"
	case strings.Contains(detail, "EOF"), strings.Contains(detail, "reset"):
		reason += ", the answer broke off"
	}
	return reason
}
