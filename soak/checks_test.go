package soak

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank/platform/mimic"
)

// TestChecksReportOnlyViolations guards against checks that miss a violation of their
// promise or report one where there is none.
func TestChecksReportOnlyViolations(t *testing.T) {
	begin := time.Now()
	at := begin.Add
	address := netip.MustParseAddrPort("127.0.0.1:1")
	call := func(path string, from time.Duration, reply mimic.Reply, err error) *record {
		return &record{
			Call:  mimic.Call{Attempt: "x", Path: path, Key: permanentKey},
			entry: address, begin: at(from), end: at(from + 100*time.Millisecond), reply: reply, err: err,
		}
	}
	complete := mimic.Reply{Status: 200, Complete: true, Correct: true}
	refused := mimic.Reply{Status: 503, Complete: true}
	unknown := mimic.Reply{Status: 404, Complete: true}
	runs := func(count int) map[string][]mimic.Run {
		return map[string][]mimic.Run{"x": make([]mimic.Run, count)}
	}
	faultSpans := []span{{at(time.Second), at(2 * time.Second)}}
	checkStop := func(faultSpans []span, r *record) Promise {
		e := &entry{callerAddress: address}
		h := &harness{entries: []*entry{e}, faultSpans: faultSpans, plannedStops: map[*entry][]span{e: {{at(0), at(time.Second)}}}}
		return h.checkPlannedStops([]*record{r})
	}
	checkVersion := func(faultSpans []span, records ...*record) Promise {
		h := &harness{faultSpans: faultSpans, acceptedAt: map[string]time.Time{"v2": begin}}
		return h.checkVersions(records)
	}
	// The store lacks the version from 1 s to 2 s after it was written.
	checkLostVersion := func(start, from time.Duration) Promise {
		e := &entry{callerAddress: address, starts: []time.Time{at(-time.Second), at(start)}}
		h := &harness{entries: []*entry{e}, lossSpans: faultSpans, faultSpans: faultSpans, acceptedAt: map[string]time.Time{"v2": begin}}
		return h.checkVersions([]*record{call("v2", 0, complete, nil), call("v2", from, unknown, nil)})
	}
	checkExclusion := func(faultSpans []span, run mimic.Run) Promise {
		h := &harness{faultSpans: faultSpans, runLog: &mimic.RunLog{}, exclusions: []exclusion{{zone: "a", from: begin, until: at(3 * time.Second)}}}
		return h.checkExclusions([]mimic.Run{run})
	}
	checkRecovery := func(reply mimic.Reply) Promise {
		h := &harness{faultFreePhases: []span{{begin, at(faultFreeTime)}}}
		return h.checkRecovery([]*record{call("look", recoveryLimit+time.Second, reply, nil)})
	}
	checkCrashesOf := func(attempt string, threshold int, after time.Duration, count int, entryFaultSpans ...span) Promise {
		h := &harness{crashAttempts: map[string]netip.AddrPort{attempt: address}, entryFaultSpans: map[netip.AddrPort][]span{address: entryFaultSpans}}
		var runs []mimic.Run
		for range threshold {
			runs = append(runs, mimic.Run{Attempt: attempt, Crashed: true, At: begin})
		}
		for range count {
			runs = append(runs, mimic.Run{Attempt: attempt, Crashed: true, At: at(after)})
		}
		return h.checkCrashes(runs)
	}
	checkCrash := func(after time.Duration, count int, entryFaultSpans ...span) Promise {
		return checkCrashesOf("crash-desk-1", crashThreshold, after, count, entryFaultSpans...)
	}
	checkPause := func(entryFaultSpans, linkFaultSpans []span, after ...time.Duration) Promise {
		h := &harness{entryFaultSpans: map[netip.AddrPort][]span{address: entryFaultSpans}, linkFaultSpans: map[int][]span{3: linkFaultSpans}}
		var runs []mimic.Run
		for _, d := range after {
			runs = append(runs, mimic.Run{Attempt: "x", Server: "i-03-2", Rejected: true, At: at(d)})
		}
		return h.checkPauses([]*record{call("look", 0, refused, nil)}, runs)
	}
	cutErr := errors.Wrap(io.ErrUnexpectedEOF, "post")
	dialErr := &net.OpError{Op: "dial", Err: io.EOF}
	tests := map[string]struct {
		promise Promise
		broken  bool
	}{
		"non-repeatable call ran once":               {checkAtMostOnce([]*record{call("once", 0, complete, nil)}, runs(1)), false},
		"non-repeatable call ran twice":              {checkAtMostOnce([]*record{call("once", 0, complete, nil)}, runs(2)), true},
		"repeatable call ran twice":                  {checkAtMostOnce([]*record{call("look", 0, complete, nil)}, runs(2)), false},
		"refused call did not run":                   {checkRefusals([]*record{call("once", 0, refused, nil)}, runs(0)), false},
		"refused call ran":                           {checkRefusals([]*record{call("once", 0, refused, nil)}, runs(1)), true},
		"correct answer":                             {checkAnswers([]*record{call("look", 0, complete, nil)}), false},
		"wrong answer":                               {checkAnswers([]*record{call("look", 0, mimic.Reply{Status: 200, Complete: true}, nil)}), true},
		"visibly truncated answer":                   {checkAnswers([]*record{call("look", 0, mimic.Reply{Status: 200}, nil)}), false},
		"evacuated zone in use":                      {checkExclusion(nil, mimic.Run{Zone: "a", At: at(time.Second)}), true},
		"evacuated zone in use after a fault":        {checkExclusion(faultSpans, mimic.Run{Zone: "a", At: at(2500 * time.Millisecond)}), false},
		"restored zone in use":                       {checkExclusion(nil, mimic.Run{Zone: "a", At: at(4 * time.Second)}), false},
		"other zone in use":                          {checkExclusion(nil, mimic.Run{Zone: "b", At: at(time.Second)}), false},
		"version unknown after the limit":            {checkVersion(nil, call("v2", 6*time.Second, unknown, nil)), true},
		"version unknown after a fault":              {checkVersion(faultSpans, call("v2", 5500*time.Millisecond, unknown, nil)), false},
		"version unknown within the limit":           {checkVersion(nil, call("v2", time.Second, unknown, nil)), false},
		"version unknown after a refusal":            {checkVersion(faultSpans, call("v2", 0, refused, nil), call("v2", time.Second, unknown, nil)), false},
		"version unknown after being served":         {checkVersion(faultSpans, call("v2", 0, complete, nil), call("v2", time.Second, unknown, nil)), true},
		"version lost by an entry that started":      {checkLostVersion(1200*time.Millisecond, 3*time.Second), false},
		"version lost by an entry that went on":      {checkLostVersion(-500*time.Millisecond, 3*time.Second), true},
		"version lost before the store lost it":      {checkLostVersion(200*time.Millisecond, 800*time.Millisecond), true},
		"version lost by an entry that started late": {checkLostVersion(3*time.Second, 4*time.Second), true},
		"version lost for longer than the limit":     {checkLostVersion(1200*time.Millisecond, 8*time.Second), true},
		"call interrupted by a stop":                 {checkStop(nil, call("once", 0, mimic.Reply{}, cutErr)), true},
		"stream truncated by a stop":                 {checkStop(nil, call("talk", 0, mimic.Reply{Status: 200}, nil)), true},
		"call served during a stop":                  {checkStop(nil, call("once", 0, complete, nil)), false},
		"connection refused during a stop":           {checkStop(nil, call("once", 0, mimic.Reply{}, dialErr)), false},
		"call interrupted by a stop during a fault":  {checkStop([]span{{at(0), at(time.Second)}}, call("once", 0, mimic.Reply{}, cutErr)), false},
		"back":                                      {checkRecovery(complete), false},
		"service not recovered":                     {checkRecovery(refused), true},
		"tolerated number of later crashes":         {checkCrash(settleTime+time.Second, maxLaterCrashes), false},
		"one later crash too many":                  {checkCrash(settleTime+time.Second, maxLaterCrashes+1), true},
		"tolerated later crashes on a part":         {checkCrashesOf("tainted-chat-1", partCrashThreshold, settleTime+time.Second, maxLaterCrashes), false},
		"one later crash on a part too many":        {checkCrashesOf("tainted-chat-1", partCrashThreshold, settleTime+time.Second, maxLaterCrashes+1), true},
		"crashes within the settle time":            {checkCrash(time.Second, 5), false},
		"crashes after a restart of the entry":      {checkCrash(settleTime+time.Second, 5, span{at(2 * time.Second), at(3 * time.Second)}), false},
		"two calls during a pause":                  {checkPause(nil, nil, 0, time.Second, time.Second), false},
		"three calls during a pause":                {checkPause(nil, nil, 0, time.Second, time.Second, time.Second), true},
		"calls at the start of a pause":             {checkPause(nil, nil, 0, 1, 2, 3, 4), false},
		"calls during a pause after an entry fault": {checkPause(faultSpans, nil, 0, time.Second, time.Second, time.Second), false},
		"calls during a pause with a link fault":    {checkPause(nil, faultSpans, 0, time.Second, time.Second, time.Second), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(test.promise.Broken) > 0, test.broken)
		})
	}
}

// TestDrawFaultsIsDeterministic guards against a seed that draws other faults in a second
// run, so that a failure can't be reproduced.
func TestDrawFaultsIsDeterministic(t *testing.T) {
	is := is.New(t)
	h := &harness{entries: []*entry{{name: "e"}}, slots: []*serverSlot{{service: "s", zone: "a"}}}
	drawTexts := func(seed uint64) (texts []string) {
		h.extraRandom, h.malformedRandom, h.returnRandom = newRandom(seed), newRandom(seed), newRandom(seed)
		for _, f := range h.drawFaults(newRandom(seed)) {
			texts = append(texts, f.Kind+f.Target+f.At.String()+f.Until.String())
		}
		return texts
	}
	is.Equal(drawTexts(5), drawTexts(5))
	is.True(len(drawTexts(5)) >= minFaults)
}
