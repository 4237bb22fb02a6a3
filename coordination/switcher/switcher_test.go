package switcher_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/switcher"
	"github.com/banyanplank/banyanplank/standin/ranks"
)

// rapidChooser lets rapid choose, so that it can shrink a failing run. Rapid
// prefers small numbers; mixing them keeps all choices equally likely.
type rapidChooser struct {
	t     *rapid.T
	count uint64
}

func (r *rapidChooser) pick(n int) int {
	r.count++
	drawn := uint64(rapid.Uint8().Draw(r.t, "pick"))
	return rand.New(rand.NewPCG(r.count, drawn)).IntN(n)
}

// randomChooser chooses from a seeded source.
type randomChooser struct{ r *rand.Rand }

func (r randomChooser) pick(n int) int { return r.r.IntN(n) }

// leaseTime is long enough that no holder ever notices that it lost the lease.
const leaseTime = 1000 * time.Hour

// act lets one thing happen. Messages move in most cases, so that switches get
// somewhere between the failures.
func (w *world) act() {
	switch n := w.choose.pick(100); {
	case n < 56:
		w.deliver()
	case n < 66:
		w.advance()
	case n < 74:
		w.tick(time.Duration(w.choose.pick(4)) * time.Second)
	case n < 80:
		w.propose()
	case n < 84:
		w.repeat()
	case n < 86:
		w.lose()
	case n < 88:
		w.timeOut()
	default:
		w.disturb()
	}
}

// disturb lets one failure begin or end. Ends are likelier than beginnings.
func (w *world) disturb() {
	switch w.choose.pick(16) {
	case 0:
		w.grant(w.choose.pick(worldCoordinators))
	case 1:
		w.replace(w.choose.pick(worldCoordinators))
	case 2:
		w.pause(w.choose.pick(worldCoordinators), true)
	case 3:
		w.restartAgent(w.choose.pick(worldRanks))
	case 4:
		w.stop(w.choose.pick(worldRanks))
	case 5:
		w.stall(w.choose.pick(worldRanks), true)
	case 6:
		w.setStore(true)
	case 7, 8:
		w.pause(w.choose.pick(worldCoordinators), false)
	case 9, 10, 11:
		w.start(w.choose.pick(worldRanks))
	case 12, 13:
		w.stall(w.choose.pick(worldRanks), false)
	default:
		w.setStore(false)
	}
}

// take removes a message that can arrive now. It reports false if none can.
func (w *world) take() (e envelope, ok bool) {
	var ready []int
	for i := range w.flight {
		if w.flight[i].ready() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return e, false
	}
	i := ready[w.choose.pick(len(ready))]
	e = w.flight[i]
	w.flight = append(w.flight[:i:i], w.flight[i+1:]...)
	return e, true
}

// takeRemote is take, for messages that the network may harm.
func (w *world) takeRemote() (e envelope, ok bool) {
	if e, ok = w.take(); ok && e.local {
		w.flight = append(w.flight, e)
		return envelope{}, false
	}
	return e, ok
}

func (w *world) deliver() {
	if e, ok := w.take(); ok {
		w.log("arrives: %s", e.name)
		e.deliver()
	}
}

// repeat delivers a message and leaves it on its way.
func (w *world) repeat() {
	if e, ok := w.takeRemote(); ok {
		w.log("arrives, to come again: %s", e.name)
		e.deliver()
		w.flight = append(w.flight, e)
	}
}

func (w *world) lose() {
	if e, ok := w.takeRemote(); ok {
		w.log("lost: %s", e.name)
		e.fail()
	}
}

// timeOut tells the sender that no answer came and leaves the message on its
// way.
func (w *world) timeOut() {
	if e, ok := w.takeRemote(); ok {
		w.log("late: %s", e.name)
		e.fail()
		w.flight = append(w.flight, e)
	}
}

func (w *world) advance() {
	ran := w.group.Advance()
	hindered := false
	for rank := range worldRanks {
		hindered = hindered || !w.alive[rank] || w.held[rank]
	}
	if ran == hindered {
		w.fail("group ran: %v, although hindered: %v", ran, hindered)
	}
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for id := range w.coordinators {
		if !w.paused[id] {
			w.tell(id, banyanplank.TickMsg{})
		}
	}
}

func (w *world) propose() {
	id := w.choose.pick(worldCoordinators)
	if w.paused[id] {
		return
	}
	if plan, ok := w.nextMap(w.coordinators[id]); ok {
		w.tell(id, plan)
	}
}

// grant gives the lease to a coordinator under the next fencing number. The
// former holders go on believing that they hold it.
func (w *world) grant(id int) {
	w.fence++
	w.log("lease %d to coordinator %d", w.fence, id)
	w.tell(id, switcher.LeaseMsg{Fence: w.fence, Until: w.now.Add(leaseTime)})
}

// replace ends a coordinator's process and starts another. What the old one
// sent is still on its way.
func (w *world) replace(id int) {
	w.log("coordinator %d is replaced", id)
	w.runs[id]++
	w.paused[id] = false
	w.coordinators[id] = w.newCoordinator()
}

func (w *world) pause(id int, paused bool) {
	w.paused[id] = paused
	w.log("coordinator %d paused: %v", id, paused)
}

func (w *world) setStore(down bool) {
	w.storeDown = down
	w.log("store down: %v", down)
}

// restartAgent replaces an agent. What the old one sent is still on its way.
func (w *world) restartAgent(rank int) {
	w.log("agent %d restarts", rank)
	w.gates[rank] = switcher.NewGate()
	w.gateRuns[rank]++
	w.passed[rank] = 0
}

func (w *world) stop(rank int) {
	w.log("rank %d stops", rank)
	w.group.Stop(rank)
	w.alive[rank], w.held[rank] = false, false
}

// start brings a rank back. The first rank of a group that was down as a whole
// needs the store to know the map.
func (w *world) start(rank int) {
	others := false
	for i := range w.alive {
		others = others || w.alive[i]
	}
	if w.alive[rank] || (!others && w.storeDown) {
		return
	}
	given := w.record.Current
	if w.version == 0 {
		given = 1
	}
	w.group.Start(rank, given)
	w.alive[rank] = true
	w.log("rank %d starts", rank)
}

func (w *world) stall(rank int, stalled bool) {
	if w.alive[rank] {
		w.held[rank] = stalled
		w.group.Stall(rank, stalled)
		w.log("rank %d stalls: %v", rank, stalled)
	}
}

// heal ends all failures and lets everything arrive that is on its way.
func (w *world) heal() {
	w.log("heal")
	w.storeDown = false
	for id := range w.paused {
		w.paused[id] = false
	}
	for rank := range worldRanks {
		w.start(rank)
		w.stall(rank, false)
	}
	w.grant(0)
	w.settle(60)
}

// settle lets time pass without failures.
func (w *world) settle(seconds int) {
	for range seconds {
		for range 200 {
			if len(w.flight) == 0 {
				break
			}
			w.deliver()
		}
		w.advance()
		w.tick(time.Second)
	}
}

// checkRecovered checks that ranks, coordinator and record name one map, and
// that the next plan goes through.
func (w *world) checkRecovered() {
	c := w.coordinators[0]
	w.checkOneMap(c)
	plan, ok := w.nextMap(c)
	if !ok {
		w.fail("coordinator is %s", c.Phase())
		return
	}
	w.tell(0, plan)
	w.settle(60)
	w.checkOneMap(c)
	if w.record.Current != plan.Map.ID {
		w.fail("map %d never came into use, current %d", plan.Map.ID, w.record.Current)
	}
}

func (w *world) checkOneMap(c *switcher.Coordinator) {
	current, ok := c.Current()
	if !ok || c.Phase() != switcher.Idle {
		w.fail("coordinator is %s and knows its map: %v", c.Phase(), ok)
	}
	if w.record.Current != current.ID || w.record.Pending != 0 {
		w.fail("record has %d and %d pending, coordinator %d", w.record.Current, w.record.Pending, current.ID)
	}
	for rank := range worldRanks {
		if s, _ := w.group.Status(rank); s.Map != current.ID {
			w.fail("rank %d uses map %d, coordinator has %d", rank, s.Map, current.ID)
		}
	}
}

// run lets a world go through the actions, then heals it.
func (w *world) run(actions int) {
	w.grant(0)
	for range actions {
		w.act()
		if w.violation != "" {
			return
		}
	}
	w.heal()
	w.checkRecovered()
}

var fencings = map[string]func(rank int) bool{
	"no endpoint checks fencing numbers":    func(int) bool { return false },
	"every endpoint checks fencing numbers": func(int) bool { return true },
	"some endpoints check fencing numbers":  func(rank int) bool { return rank == 1 },
}

func TestEveryStepHasOneMap(t *testing.T) {
	for name, fencing := range fencings {
		t.Run(name, func(t *testing.T) {
			switched := 0
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(&rapidChooser{t: t}, ranks.WithFencing(fencing))
				w.run(1500)
				switched += w.switched
				if w.violation != "" {
					t.Fatalf("%s\n%s", w.violation, strings.Join(w.trace, "\n"))
				}
			})
			if switched == 0 {
				t.Fatal("no run ever switched a map")
			}
			t.Logf("%d switches", switched)
		})
	}
}

func TestEveryStepHasOneMapSeeded(t *testing.T) {
	runs := 1500
	if testing.Short() {
		runs = 100
	}
	amid := 0
	for seed := range runs {
		fencing := func(rank int) bool { return (seed>>rank)&1 == 1 }
		w := newWorld(randomChooser{rand.New(rand.NewPCG(uint64(seed), 0))}, ranks.WithFencing(fencing))
		w.run(1500)
		if w.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.violation, strings.Join(w.trace, "\n"))
		}
		if w.switched > 1 {
			amid++
		}
	}
	t.Logf("%d of %d runs switched amid the failures", amid, runs)
	is.New(t).True(amid > runs/20)
}

// TestOracleFindsTwoMapsInOneStep shows that the oracle can fail: ranks that
// switch on their own, without agreeing at the barrier, mix maps.
func TestOracleFindsTwoMapsInOneStep(t *testing.T) {
	for seed := range 200 {
		w := newWorld(randomChooser{rand.New(rand.NewPCG(uint64(seed), 0))}, ranks.WithAgreement(ranks.Alone))
		w.run(600)
		if strings.Contains(w.violation, "another map") {
			t.Logf("seed %d: %s", seed, w.violation)
			return
		}
	}
	t.Fatal("the oracle has noticed nothing in 200 runs")
}
