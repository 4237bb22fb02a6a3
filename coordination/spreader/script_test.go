package spreader_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/spreader"
)

// TestScripts runs the scenarios in testdata/script. Time passes only by
// advance and inforce. Daemons are numbered from 0, entries first; daemon N is
// in zone N modulo the number of zones.
//
//	fleet ENTRIES AGENTS ZONES   make a fleet in which no daemon runs
//	start [DAEMON...]            start these daemons or all
//	accept [ZONE...]             accept a configuration with these zones out
//	store down|up                break or mend the store
//	loss PERCENT                 lose this part of the messages
//	advance DURATION             let time pass
//	inforce DURATION             wait until all that live have the newest revision
//	serving COUNT                check how many daemons take new work
//	status DAEMON STATUS         check the status of a daemon
//	cut DAEMON...                part these from all others and from the store
//	cuthalf                      part the second half from the first and the store
//	heal                         undo every cut
//	pause|resume|crash DAEMON     stop, continue or end a process
//	leave DAEMON                 announce a planned stop
//	list DAEMON live|leaving|none  change the platform's list of instances
//	state DAEMON STATE           check what all others take a member for
//	traffic BYTES                check the bytes a second of the busiest daemon
//	                             since the command before
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values[worldKey{}] = &world{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": makeFleet, "start": startDaemons, "accept": acceptZones, "store": breakStore, "loss": loseMessages,
			"advance": advance, "inforce": awaitInForce, "serving": checkServing, "status": checkStatus,
			"cut": cutDaemons, "cuthalf": cutHalf, "heal": heal, "pause": pause, "resume": resume, "crash": crash,
			"leave": leave, "list": changeList, "state": checkState, "traffic": checkTraffic,
		},
	})
}

type worldKey struct{}

// world is what a script works on.
type world struct {
	fleet *fleet
	zones int
	// counted is when traffic was last counted.
	counted time.Time
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

func number(ts *testscript.TestScript, text string) (n int) {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func span(ts *testscript.TestScript, text string) (d time.Duration) {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// daemons returns the daemons that args number.
func daemons(ts *testscript.TestScript, args []string) (chosen []*daemon) {
	for _, arg := range args {
		chosen = append(chosen, worldOf(ts).fleet.daemons[number(ts, arg)])
	}
	return chosen
}

func makeFleet(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.zones = number(ts, args[2])
	w.fleet = newFleet(1, number(ts, args[0]), number(ts, args[1]), w.zones)
	w.counted = w.fleet.now
}

func startDaemons(ts *testscript.TestScript, _ bool, args []string) {
	chosen := daemons(ts, args)
	if len(args) == 0 {
		chosen = worldOf(ts).fleet.daemons
	}
	for _, d := range chosen {
		worldOf(ts).fleet.start(d)
	}
}

func acceptZones(ts *testscript.TestScript, refused bool, args []string) {
	var out []int
	for _, arg := range args {
		out = append(out, number(ts, arg))
	}
	w := worldOf(ts)
	if accepted := w.fleet.accept(zoned(w.zones, out...)); accepted == refused {
		ts.Fatalf("accepted: %t", accepted)
	}
}

func breakStore(ts *testscript.TestScript, _ bool, args []string) {
	f := worldOf(ts).fleet
	f.storeDown = args[0] == "down"
	f.notify()
}

func loseMessages(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).fleet.loss = float64(number(ts, args[0])) / 100
}

func advance(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).fleet.advance(span(ts, args[0]))
}

func awaitInForce(ts *testscript.TestScript, _ bool, args []string) {
	f := worldOf(ts).fleet
	live := 0
	for _, d := range f.daemons {
		if !d.dead {
			live++
		}
	}
	began, limit := f.now, span(ts, args[0])
	for f.inForce() < live {
		if f.now.Sub(began) >= limit {
			ts.Fatalf("revision %d is in force at %d of %d after %s", f.root.Revision, f.inForce(), live, limit)
		}
		f.advance(100 * time.Millisecond)
	}
	ts.Logf("in force after %s", f.now.Sub(began))
}

func checkServing(ts *testscript.TestScript, _ bool, args []string) {
	if got := worldOf(ts).fleet.serving(); got != number(ts, args[0]) {
		ts.Fatalf("%d daemons serve, want %s", got, args[0])
	}
}

func checkStatus(ts *testscript.TestScript, _ bool, args []string) {
	status := daemons(ts, args[:1])[0].model.Snapshot().Status(worldOf(ts).fleet.now)
	if status != spreader.Status(args[1]) {
		ts.Fatalf("daemon %s is %s, want %s", args[0], status, args[1])
	}
}

func cutDaemons(ts *testscript.TestScript, _ bool, args []string) {
	for _, d := range daemons(ts, args) {
		d.cut, d.storeCut = 1, true
	}
	worldOf(ts).fleet.notify()
}

func cutHalf(ts *testscript.TestScript, _ bool, _ []string) {
	f := worldOf(ts).fleet
	for _, d := range f.daemons[len(f.daemons)/2:] {
		d.cut, d.storeCut = 1, true
	}
	f.notify()
}

func heal(ts *testscript.TestScript, _ bool, _ []string) {
	for _, d := range worldOf(ts).fleet.daemons {
		d.cut, d.storeCut = 0, false
	}
}

func pause(ts *testscript.TestScript, _ bool, args []string)  { daemons(ts, args)[0].paused = true }
func resume(ts *testscript.TestScript, _ bool, args []string) { daemons(ts, args)[0].paused = false }
func crash(ts *testscript.TestScript, _ bool, args []string)  { daemons(ts, args)[0].dead = true }

func leave(ts *testscript.TestScript, _ bool, args []string) {
	d := daemons(ts, args)[0]
	worldOf(ts).fleet.update(d, d.run, spreader.LeaveMsg{})
}

func changeList(ts *testscript.TestScript, _ bool, args []string) {
	f, d := worldOf(ts).fleet, daemons(ts, args[:1])[0]
	if args[1] == "none" {
		delete(f.instances, d.member.Instance)
		return
	}
	f.instances[d.member.Instance] = banyanplank.InstanceState(args[1])
}

func checkState(ts *testscript.TestScript, _ bool, args []string) {
	target := daemons(ts, args[:1])[0]
	for _, d := range worldOf(ts).fleet.daemons {
		if d == target || d.dead || d.paused {
			continue
		}
		got := banyanplank.MemberGone
		for _, m := range d.model.Snapshot().Members {
			if m.ID == target.member.ID {
				got = m.State
			}
		}
		if got.String() != args[1] {
			ts.Fatalf("%s takes %s for %s, want %s", d.member.ID, target.member.ID, got, args[1])
		}
	}
}

func checkTraffic(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	most := 0
	for _, d := range w.fleet.daemons {
		most = max(most, d.bytes)
		d.bytes, d.messages = 0, 0
	}
	rate := float64(most) / max(1, w.fleet.now.Sub(w.counted).Seconds())
	w.counted = w.fleet.now
	ts.Logf("busiest daemon: %.0f bytes a second", rate)
	if rate > float64(number(ts, args[0])) {
		ts.Fatalf("the busiest daemon has %.0f bytes a second", rate)
	}
}
