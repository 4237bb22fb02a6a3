package explainer

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The limits of what is read and reported.
const (
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	// eventWindow is how long before the start and after the end of a call an event is
	// still taken as related to it. An entry acts on new information within seconds.
	eventWindow = 3 * time.Second
	// maxCalls and maxEvents bound the calls of the same request and the related events
	// in a report. Those nearest in time to the queried call are kept.
	maxCalls  = 40
	maxEvents = 20
)

// eventCall is the event of the line that an entry logs when a call ends.
const eventCall = "call"

// ErrUnknown means that no log line has the ID of the call.
var ErrUnknown = errors.New("no line names the call")

// Explainer holds the log lines of several entries. Create it with [New].
type Explainer struct {
	calls []Line
	// events are all lines other than ends of calls.
	events []Line
	// Skipped counts the lines that could not be parsed.
	Skipped int
}

// New returns an explainer without log lines.
func New() *Explainer { return &Explainer{} }

// Read adds the log lines of a daemon. It skips lines that cannot be parsed, and fails if
// from fails or has a line longer than 1 MiB.
func (e *Explainer) Read(daemon string, from io.Reader) (err error) {
	defer func() { err = errors.Wrapf(err, "read the log of %s", daemon) }()
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := Parse(daemon, scanner.Text())
		switch {
		case !ok:
			e.Skipped++
		case line.Event == eventCall:
			e.calls = append(e.calls, line)
		default:
			e.events = append(e.events, line)
		}
	}
	return scanner.Err()
}

// Report explains why a call ended as it did.
type Report struct {
	ID      string `json:"id"`
	Request string `json:"request,omitempty"`
	// Calls are the calls of the same request, ordered by their start. The queried one
	// has IsQueried set.
	Calls []Call `json:"calls"`
	// Events are the events related to these calls, ordered by time.
	Events []Line `json:"notes"`
}

// Call is one call, as the entry logged its end.
type Call struct {
	Line
	IsQueried bool `json:"asked"`
	// StartedAt is when the entry received the call.
	StartedAt time.Time `json:"began"`
	// Cause describes why the call ended as it did.
	Cause string `json:"cause"`
}

// Explain returns the report on the call with the given ID. The error wraps [ErrUnknown] if
// no line has this ID.
func (e *Explainer) Explain(id string) (report *Report, err error) {
	report = &Report{ID: id}
	for _, l := range e.calls {
		if l.Fields["id"] == id && l.Fields["request"] != "" {
			report.Request = l.Fields["request"]
		}
	}
	for _, l := range e.calls {
		isQueried := l.Fields["id"] == id
		if isQueried || (report.Request != "" && l.Fields["request"] == report.Request) {
			report.Calls = append(report.Calls, newCall(l, isQueried))
		}
	}
	if len(report.Calls) == 0 {
		return nil, errors.Wrapf(ErrUnknown, "call %q in %d lines", id, len(e.calls)+len(e.events))
	}
	queriedAt := report.queriedAt()
	slices.SortStableFunc(report.Calls, func(a, b Call) int { return cmp.Compare(a.At.Sub(queriedAt).Abs(), b.At.Sub(queriedAt).Abs()) })
	report.Calls = report.Calls[:min(len(report.Calls), maxCalls)]
	slices.SortStableFunc(report.Calls, func(a, b Call) int { return a.StartedAt.Compare(b.StartedAt) })
	report.Events = e.relatedEvents(report, queriedAt)
	return report, nil
}

// queriedAt returns when the queried call ended.
func (r *Report) queriedAt() (at time.Time) {
	for _, c := range r.Calls {
		if c.IsQueried {
			at = c.At
		}
	}
	return at
}

// newCall returns the call whose end is logged in l.
func newCall(l Line, isQueried bool) (c Call) {
	return Call{Line: l, IsQueried: isQueried, StartedAt: l.At.Add(-l.duration("total")), Cause: describeOutcome(&l)}
}

// relatedEvents returns the events related to the calls of a report, ordered by time. If
// there are too many, it keeps those that name the request, then those nearest to queriedAt.
func (e *Explainer) relatedEvents(report *Report, queriedAt time.Time) (events []Line) {
	for _, l := range e.events {
		if slices.ContainsFunc(report.Calls, func(c Call) bool { return c.isRelatedTo(&l, report.Request) }) {
			events = append(events, l)
		}
	}
	distance := func(l Line) (d time.Duration) {
		if report.Request != "" && strings.Contains(l.Fields["requests"], report.Request) {
			return 0
		}
		return l.At.Sub(queriedAt).Abs()
	}
	slices.SortStableFunc(events, func(a, b Line) int { return cmp.Compare(distance(a), distance(b)) })
	events = events[:min(len(events), maxEvents)]
	slices.SortStableFunc(events, func(a, b Line) int { return a.At.Compare(b.At) })
	return events
}

// isRelatedTo reports whether the event in l may have affected the call: it names the
// request, or it falls within [eventWindow] and concerns an endpoint that was tried, the
// service of the call, or the state of the same entry.
func (c *Call) isRelatedTo(l *Line, request string) bool {
	if request != "" && strings.Contains(l.Fields["requests"], request) {
		return true
	}
	if l.At.Before(c.StartedAt.Add(-eventWindow)) || l.At.After(c.At.Add(eventWindow)) {
		return false
	}
	for _, endpoint := range c.list("tried") {
		if l.Fields["endpoint"] == endpoint || l.Fields["key"] == endpoint || slices.Contains(l.list("endpoints"), endpoint) {
			return true
		}
	}
	if service := l.Fields["service"]; service != "" {
		return service == c.Fields["service"]
	}
	switch l.Event {
	case "routing in force", "zone out", "zone back", "topic lost", "topic regained", "start", "drain", "stop", "panic":
		return l.Daemon == c.Daemon
	}
	return false
}
