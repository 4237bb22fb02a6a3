package explainer

import (
	"slices"
	"strings"
	"time"
)

// maxSeconds bounds how many seconds are returned.
const maxSeconds = 10

// SecondSummary counts the calls that ended at all entries within one second.
type SecondSummary struct {
	At time.Time `json:"at"`
	// Calls counts all calls, Unserved those that ended without a complete response.
	Calls    int `json:"calls"`
	Unserved int `json:"unserved"`
	// Causes are the reasons of the unserved calls, the most frequent first.
	Causes []Cause `json:"causes"`
}

// Cause counts the calls that ended for one reason. ExampleID is the ID of
// one of them.
type Cause struct {
	Reason    string `json:"reason"`
	Count     int    `json:"count"`
	ExampleID string `json:"id"`
}

// WorstSeconds returns the seconds with the most unserved calls, at most ten of them, the
// worst first.
func (e *Explainer) WorstSeconds() (seconds []SecondSummary) {
	byTime := make(map[time.Time]*SecondSummary)
	for i := range e.calls {
		l := &e.calls[i]
		at := l.At.Truncate(time.Second)
		s := byTime[at]
		if s == nil {
			s = &SecondSummary{At: at}
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
	slices.SortFunc(seconds, func(a, b SecondSummary) int {
		if a.Unserved != b.Unserved {
			return b.Unserved - a.Unserved
		}
		return a.At.Compare(b.At)
	})
	return seconds[:min(len(seconds), maxSeconds)]
}

// add counts the call whose end is logged in l.
func (s *SecondSummary) add(l *Line) {
	s.Calls++
	if l.Fields["outcome"] == "served" {
		return
	}
	s.Unserved++
	reason := failureReason(l)
	for i := range s.Causes {
		if s.Causes[i].Reason == reason {
			s.Causes[i].Count++
			return
		}
	}
	s.Causes = append(s.Causes, Cause{Reason: reason, Count: 1, ExampleID: l.Fields["id"]})
}

// failureReason returns why a call ended, without details that differ between calls, so
// that calls can be counted by it.
func failureReason(l *Line) (reason string) {
	reason = l.Fields["outcome"]
	if refusal := l.Fields["reason"]; refusal != "" && refusal != reason {
		reason += " " + refusal
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
