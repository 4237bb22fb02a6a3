package explainer

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	const text = `time=2026-04-17T08:41:48.206Z level=warn event="endpoint died" endpoint=i-1 requests="[\"e1\",\"e2\"]" age=3.5`
	at := time.Date(2026, 4, 17, 8, 41, 48, 206e6, time.UTC)
	tests := map[string]struct {
		text   string
		daemon string
		ok     bool
	}{
		"a line":            {text, "file", true},
		"of a bench":        {"   0.2166 front-a-1 " + text, "front-a-1", true},
		"with an end":       {text + "\r\n", "file", true},
		"no line":           {"panic: runtime error", "", false},
		"cut in a quote":    {text[:len(text)-14], "", false},
		"no event":          {"time=2026-04-17T08:41:48.206Z level=info", "", false},
		"no time":           {"time=now event=call", "", false},
		"words in between":  {"time=2026-04-17T08:41:48.206Z some words event=call", "", false},
		"nothing":           {"", "", false},
		"an unclosed value": {`time=2026-04-17T08:41:48.206Z event="`, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			line, ok := Parse("file", test.text)
			is.Equal(ok, test.ok)
			if !ok {
				return
			}
			is.Equal(line.Daemon, test.daemon)
			is.True(line.At.Equal(at))
			is.Equal(line.Event, "endpoint died")
			is.Equal(line.list("requests"), []string{"e1", "e2"})
			is.Equal(line.millis("age"), 3500*time.Microsecond)
		})
	}
}

// FuzzParse has any text be a line or none.
func FuzzParse(f *testing.F) {
	f.Add(`time=2026-04-17T08:41:48.206Z event="a b" x="\u00e9" y=`)
	f.Add(`time==== event=`)
	f.Fuzz(func(t *testing.T, text string) {
		if line, ok := Parse("d", text); ok && line.Event == "" {
			t.Error("a line without an event")
		}
	})
}

// call returns the line of a call that ended some milliseconds after a time.
func call(ms int, id, request, fields string) string {
	at := time.Date(2026, 4, 17, 8, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf("time=%s level=info event=call id=%s request=%s total=100 %s\n", at.Format(time.RFC3339Nano), id, request, fields)
}

// note returns a line that tells of no call.
func note(ms int, event, fields string) string {
	return strings.Replace(call(ms, "x", "x", fields), "event=call id=x request=x total=100", "event="+event, 1)
}

func TestCause(t *testing.T) {
	tests := map[string]struct{ fields, want string }{
		"served":     {`outcome=served first=12 sends=1 tried="[\"i-1\"]" waited=0`, "served after 12 ms by i-1"},
		"repeated":   {`outcome=served first=12 sends=2 tried="[\"i-1\",\"i-2\"]" waited=3 pause=80`, "served after 12 ms by i-2, the last of 2 endpoints, of which 3 ms it waited for a place, with a pause of 80 ms between two events at most"},
		"suspect":    {`outcome=refused status=503 reason=suspect sends=0 tried=[]`, "refused, and not run: endpoints ended while they ran the same request"},
		"busy":       {`outcome=refused status=503 reason=overload sends=0 waited=160 tried=[]`, "refused, and not run: all endpoints were busy, or no place came free while it waited 160 ms"},
		"declined":   {`outcome=refused status=503 reason=overload sends=1 tried="[\"i-1\"]"`, "refused, and not run: i-1 turned it away, and the budget of repeats or the attempts were used up"},
		"nobody":     {`outcome=refused status=503 reason=no_endpoint detail=" / not run: no_endpoint: no endpoint can take the call leaving=1 paused=2"`, "refused, and not run: no endpoint may get work: no endpoint can take the call leaving=1 paused=2"},
		"a timeout":  {`outcome=failed status=504 tried="[\"i-1\"]" own=0 others=1 limit=12 detail="await answer"`, "it may have run, sent to i-1, which had 0 calls of this entry and 1 of others, of 12 at most: no whole answer by the time limit: await answer"},
		"a cut":      {`outcome=cut events=51 tried="[\"i-1\"]" detail=EOF`, "the stream was cut after 51 events, sent to i-1, which had none calls of this entry and none of others, of none at most: EOF"},
		"the caller": {`outcome=left tried=[]`, "the caller left after 100 ms, sent nowhere"},
		"no route":   {`outcome=invalid status=404 routing=4 detail=" / no route"`, "refused by the routes in force, version 4: no route"},
		"no answer":  {`outcome=none`, "ended without an answer: none"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			line, ok := Parse("d", call(0, "c", "r", test.fields))
			is.New(t).True(ok)
			is.New(t).Equal(cause(&line), test.want)
		})
	}
}

// TestExplain has a call be explained from the lines of two entries, with the other calls
// of the same request and what has to do with them.
func TestExplain(t *testing.T) {
	is := is.New(t)
	e := New()
	is.NoErr(e.Read("one", strings.NewReader(
		call(1000, "c1", "e1", `outcome=failed status=502 service=s tried="[\"i-1\"]" detail=EOF`)+
			"not a line\n"+
			note(1002, `"endpoint died"`, `endpoint=i-1 requests="[\"e1\"]" how="refuses connections"`)+
			note(2000, `"endpoint gone"`, `key=i-9`)+
			note(2500, `"map switch"`, `service=s before=2 after=1.2`)+
			call(2000, "c9", "e9", `outcome=served service=s`))))
	is.NoErr(e.Read("two", strings.NewReader(
		call(3000, "c2", "e1", `outcome=refused reason=suspect service=s tried=[]`)+
			note(2900, `"request convicted"`, `requests="[\"e1\"]" how="told by another entry"`)+
			note(60_000, `"zone out"`, `key=a`))))
	is.Equal(e.Skipped, 1)
	report, err := e.Explain("c2")
	is.NoErr(err)
	is.Equal(report.Request, "e1")
	is.Equal(len(report.Calls), 2)
	is.Equal(report.Calls[0].Daemon, "one")
	is.True(report.Calls[1].Asked)
	var events []string
	for _, l := range report.Notes {
		events = append(events, l.Event)
	}
	is.Equal(events, []string{"endpoint died", "map switch", "request convicted"})
	_, err = e.Explain("c3")
	is.True(errors.Is(err, ErrUnknown))
}

// TestWorst counts the causes of the seconds in which most calls ended unserved.
func TestWorst(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for i := range 30 {
		text.WriteString(call(1000+i, fmt.Sprint("a", i), "r", `outcome=refused reason=overload`))
		text.WriteString(call(5000+i, fmt.Sprint("b", i), "r", `outcome=served`))
	}
	text.WriteString(call(5100, "c", "r", `outcome=failed detail="read: i/o timeout"`))
	e := New()
	is.NoErr(e.Read("one", strings.NewReader(text.String())))
	worst := e.Worst()
	is.Equal(len(worst), 2)
	is.Equal(worst[0].Unserved, 30)
	is.Equal(worst[0].Causes, []Cause{{Reason: "refused overload", Count: 30, ID: "a0"}})
	is.Equal(worst[1].Calls, 31)
	is.Equal(worst[1].Causes[0].Reason, "failed, at the time limit")
}
