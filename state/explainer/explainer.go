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

// The bounds of what is read and shown.
const (
	// longestLine is the longest line that is read, in bytes.
	longestLine = 1 << 20
	// around is how long before a call and after it a change of belief may have to do
	// with it. An entry acts on what it was told within seconds.
	around = 3 * time.Second
	// mostCalls and mostNotes bound the calls of the same request and the changes of
	// belief that are shown, those that are nearest to the call.
	mostCalls = 40
	mostNotes = 20
)

// eventCall is the event of a line that tells how a call ended.
const eventCall = "call"

// ErrUnknown means that no line names the call.
var ErrUnknown = errors.New("no line names the call")

// Explainer holds the lines of some entries.
type Explainer struct {
	calls []Line
	// notes are the lines that tell of no call.
	notes []Line
	// Skipped counts the lines that could not be read.
	Skipped int
}

// New returns an explainer that has read nothing.
func New() *Explainer { return &Explainer{} }

// Read reads the lines of a daemon.
func (e *Explainer) Read(daemon string, from io.Reader) (err error) {
	defer func() { err = errors.Wrapf(err, "read the lines of %s", daemon) }()
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 64<<10), longestLine)
	for scanner.Scan() {
		line, ok := Parse(daemon, scanner.Text())
		switch {
		case !ok:
			e.Skipped++
		case line.Event == eventCall:
			e.calls = append(e.calls, line)
		default:
			e.notes = append(e.notes, line)
		}
	}
	return scanner.Err()
}

// Report tells why a call ended as it did.
type Report struct {
	ID      string `json:"id"`
	Request string `json:"request,omitempty"`
	// Calls are all calls of the same request, in order. The one that was asked for
	// is marked.
	Calls []Call `json:"calls"`
	// Notes are changes of belief that may have to do with these calls, in order.
	Notes []Line `json:"notes"`
}

// Call is one call, as an entry ended it.
type Call struct {
	Line
	Asked bool `json:"asked"`
	// Began is when the entry had the call.
	Began time.Time `json:"began"`
	// Cause is why it ended so, in words.
	Cause string `json:"cause"`
}

// Explain reports on the call with an id. The error is ErrUnknown if there is none.
func (e *Explainer) Explain(id string) (report *Report, err error) {
	report = &Report{ID: id}
	for _, l := range e.calls {
		if l.Fields["id"] == id && l.Fields["request"] != "" {
			report.Request = l.Fields["request"]
		}
	}
	for _, l := range e.calls {
		asked := l.Fields["id"] == id
		if asked || (report.Request != "" && l.Fields["request"] == report.Request) {
			report.Calls = append(report.Calls, newCall(l, asked))
		}
	}
	if len(report.Calls) == 0 {
		return nil, errors.Wrapf(ErrUnknown, "call %q in %d lines", id, len(e.calls)+len(e.notes))
	}
	at := report.asked()
	slices.SortStableFunc(report.Calls, func(a, b Call) int { return cmp.Compare(a.At.Sub(at).Abs(), b.At.Sub(at).Abs()) })
	report.Calls = report.Calls[:min(len(report.Calls), mostCalls)]
	slices.SortStableFunc(report.Calls, func(a, b Call) int { return a.Began.Compare(b.Began) })
	report.Notes = e.about(report, at)
	return report, nil
}

// asked returns when the call that was asked for ended.
func (r *Report) asked() (at time.Time) {
	for _, c := range r.Calls {
		if c.Asked {
			at = c.At
		}
	}
	return at
}

// newCall returns the call that a line tells of.
func newCall(l Line, asked bool) (c Call) {
	return Call{Line: l, Asked: asked, Began: l.At.Add(-l.millis("total")), Cause: cause(&l)}
}

// about returns the changes of belief that may have to do with the calls of a report:
// those that name the request, and those nearest to a time.
func (e *Explainer) about(report *Report, at time.Time) (notes []Line) {
	for _, l := range e.notes {
		if slices.ContainsFunc(report.Calls, func(c Call) bool { return c.concerns(&l, report.Request) }) {
			notes = append(notes, l)
		}
	}
	distance := func(l Line) (d time.Duration) {
		if report.Request != "" && strings.Contains(l.Fields["requests"], report.Request) {
			return 0
		}
		return l.At.Sub(at).Abs()
	}
	slices.SortStableFunc(notes, func(a, b Line) int { return cmp.Compare(distance(a), distance(b)) })
	notes = notes[:min(len(notes), mostNotes)]
	slices.SortStableFunc(notes, func(a, b Line) int { return a.At.Compare(b.At) })
	return notes
}

// concerns reports whether a change of belief may have to do with the call: it names the
// request or an endpoint that was tried, or was made at the same entry at that time.
func (c *Call) concerns(l *Line, request string) bool {
	if request != "" && strings.Contains(l.Fields["requests"], request) {
		return true
	}
	if l.At.Before(c.Began.Add(-around)) || l.At.After(c.At.Add(around)) {
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
