package picker_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyanplank/banyanplank"
)

// script is the state of one scenario script.
type script struct {
	policy   string
	scenario scenario
	world    *world
}

type scriptKey struct{}

// TestScenarios plays the scripts in testdata. Their commands are:
//
//	policy NAME             ours (the default), guarded, scattered, earlier, round, random or least
//	load SHARE              requests offered, as a share of the capacity
//	accounts SHARE...       the share of each account (default: a large one of ten)
//	cold                    start all endpoints cold
//	resend                  callers send again what broke off
//	at TIME EVENT...        see eventOf
//	play SPAN               run the scenario
//	expect MEASURE OP VALUE compare a measure, see measureOf
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[scriptKey{}] = &script{policy: "ours", scenario: scenario{load: 1, share: tenAccounts}}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"policy":   func(ts *testscript.TestScript, _ bool, args []string) { of(ts).policy = args[0] },
			"load":     func(ts *testscript.TestScript, _ bool, args []string) { of(ts).scenario.load = number(ts, args[0]) },
			"cold":     func(ts *testscript.TestScript, _ bool, _ []string) { of(ts).scenario.cold = true },
			"resend":   func(ts *testscript.TestScript, _ bool, _ []string) { of(ts).scenario.resend = true },
			"accounts": accounts,
			"at":       at,
			"play": func(ts *testscript.TestScript, _ bool, args []string) {
				s := of(ts)
				s.scenario.span = span(ts, args[0])
				s.world = simulate(t, policies[s.policy], s.scenario)
				ts.Logf("%v sent again %d", s.world.measure(0), s.world.resent)
			},
			"expect": expect,
		},
	})
}

func of(ts *testscript.TestScript) *script { return ts.Value(scriptKey{}).(*script) }

func number(ts *testscript.TestScript, text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	ts.Check(err)
	return value
}

func span(ts *testscript.TestScript, text string) time.Duration {
	value, err := time.ParseDuration(text)
	ts.Check(err)
	return value
}

func accounts(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	s.scenario.share = nil
	for _, arg := range args {
		s.scenario.share = append(s.scenario.share, number(ts, arg))
	}
}

func at(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	s.scenario.events = append(s.scenario.events, event{at: span(ts, args[0]), act: eventOf(ts, s, args[1:])})
}

// eventOf returns an event: cut ZONE, restore ZONE, restart COUNT agents, chill
// COUNT engines within TIME, crash the busiest engine, mute COUNT reports, or lie
// in COUNT reports.
func eventOf(ts *testscript.TestScript, s *script, args []string) func(w *world) {
	first := func(act func(f *fake)) func(w *world) {
		count := int(number(ts, args[1]))
		return func(w *world) {
			for _, f := range w.fakes[:count] {
				act(f)
			}
		}
	}
	switch args[0] {
	case "cut":
		return func(w *world) { w.cut(banyanplank.Zone(args[1]), true) }
	case "restore":
		return func(w *world) { w.cut(banyanplank.Zone(args[1]), false) }
	case "restart":
		count := int(number(ts, args[1]))
		return func(w *world) { w.restart(policies[s.policy], count) }
	case "chill":
		fading := span(ts, args[2])
		return first(func(f *fake) { f.chill(fading) })
	case "crash":
		return func(w *world) { w.busiest().crash() }
	case "mute":
		return first(func(f *fake) { f.fault(true, false) })
	case "lie":
		return first(func(f *fake) { f.fault(false, true) })
	}
	ts.Fatalf("no event %s", args[0])
	return nil
}

func expect(ts *testscript.TestScript, _ bool, args []string) {
	got, want := measureOf(ts, of(ts).world, args[0]), number(ts, args[2])
	ok := map[string]bool{"=": got == want, "<=": got <= want, ">=": got >= want}[args[1]]
	if !ok {
		ts.Fatalf("%s is %v, want %s %v", args[0], got, args[1], want)
	}
}

// measureOf returns a measure of the whole run: falls, good, refused and failed
// in percent, first and between as 95th percentiles in milliseconds, jain, and
// back, the seconds from the 15th until the first token is in time for good.
func measureOf(ts *testscript.TestScript, w *world, name string) float64 {
	f := w.measure(0)
	back, _, _ := w.recovery(15 * time.Second)
	value, ok := map[string]float64{
		"falls":   float64(f.falls),
		"good":    f.share(f.good),
		"refused": f.share(f.refused),
		"failed":  f.share(f.failed),
		"first":   f.first[1] * 1000,
		"between": f.between[1] * 1000,
		"jain":    w.jain(settled),
		"back":    back.Seconds(),
	}[name]
	if !ok {
		ts.Fatalf("no measure %s", name)
	}
	return value
}
