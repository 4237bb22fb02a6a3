package forwarder_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
)

// TestResumeAtAnotherEntry lets an entry die after two parts. The caller comes
// back at another one with the id of the last event.
func TestResumeAtAnotherEntry(t *testing.T) {
	tests := map[string]struct {
		kind    callKind
		after   time.Duration
		restart bool
		planned bool
		body    string
		outcome banyanplank.Outcome
		runs    int
	}{
		"stream, at once":             {kind: callStream, runs: 1},
		"plain, at once":              {kind: callPlain, runs: 1},
		"own, at once":                {kind: callOwn, runs: 1},
		"key, at once":                {kind: callClaim, runs: 1},
		"stream, after it was kept":   {kind: callStream, after: time.Minute, runs: 2},
		"plain, after it was kept":    {kind: callPlain, after: time.Minute, runs: 1, outcome: banyanplank.OutcomeUnknown},
		"stream, agent restarted":     {kind: callStream, restart: true, runs: 2},
		"own, agent restarted":        {kind: callOwn, restart: true, runs: 1, outcome: banyanplank.OutcomeUnknown},
		"key, agent restarted":        {kind: callClaim, restart: true, runs: 1, outcome: banyanplank.OutcomeUnknown},
		"own, planned restart":        {kind: callOwn, restart: true, planned: true, runs: 1, outcome: banyanplank.OutcomeUnknown},
		"plain, another call's event": {kind: callPlain, body: "another-call", outcome: banyanplank.OutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(3, 2, nil)
				c := &call{kind: test.kind, timeout: 10 * time.Minute}
				prepare(w, []*call{c})
				c.body = "the whole answer of five parts"
				for len(partsOf(c.body)) < 5 {
					c.body += "."
				}
				place := readTwoParts(t, w, c)
				if test.restart {
					w.agent(place.Daemon).restart(test.planned)
				}
				time.Sleep(test.after)
				again := c.request()
				again.ID, again.Offset = "again", 2
				if test.body != "" {
					again.Body = []byte(test.body)
				}
				delivery, err := w.entries[1].Forward(t.Context(), again, &place)
				next := 2
				for err == nil {
					var part banyanplank.Part
					part, err = delivery.Next()
					if err == nil {
						is.Equal(string(part.Data), partsOf(c.body)[next])
						next++
					}
				}
				if delivery != nil {
					is.NoErr(delivery.Close())
				}
				w.close()
				var refusal *banyanplank.Refusal
				if errors.As(err, &refusal) {
					is.Equal(refusal.Outcome, test.outcome)
				} else {
					is.Equal(err, io.EOF)
					is.Equal(test.outcome, banyanplank.Outcome(""))
					is.Equal(next, len(partsOf(c.body)))
				}
				if test.body == "" {
					is.Equal(w.runs[c.body], test.runs)
				}
			})
		})
	}
}

// readTwoParts makes the call at an entry that dies after two parts.
func readTwoParts(t *testing.T, w *world, c *call) (place forwarder.Place) {
	is := is.New(t)
	entry := &dying{world: w}
	first := forwarder.New(&turns{world: w}, entry, forwarder.WithClaimer(w.claimer()), forwarder.WithLocator(w.locate))
	delivery, err := first.Forward(t.Context(), c.request(), nil)
	is.NoErr(err)
	for range 2 {
		_, err := delivery.Next()
		is.NoErr(err)
	}
	place = delivery.Place()
	entry.link.Leave()
	return place
}
