package switcher_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/switcher"
	"github.com/banyanplank/banyanplank/protocol/orderer"
	"github.com/banyanplank/banyanplank/standin/ranks"
)

const (
	// stepTime is the time of one step of the benchmark's group.
	stepTime = 50 * time.Millisecond
	// tickTime is the interval of the coordinator's ticks.
	tickTime = 100 * time.Millisecond
	// movedSlots is the number of slots that the benchmark's plan changes.
	movedSlots = 300
	// packetBytes is what a call takes besides its messages, both ways.
	packetBytes = 240
)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// agenda orders events by time.
type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// timed runs a coordinator, gates and ranks on a clock of its own, with a
// delay on every message.
type timed struct {
	agenda      agenda
	now         time.Time
	delay       time.Duration
	coordinator *switcher.Coordinator
	gates       []*switcher.Gate
	group       *ranks.Group
	record      switcher.Record
	orders      int
	bytes       int
	inUse       time.Time
}

func newTimed(count int, delay time.Duration) *timed {
	shape := banyanplank.MapShape{Ranks: count, Layers: 60, Experts: 256, Slots: map[int]int{16: 18, 64: 6, 256: 2}[count]}
	initial, err := banyanplank.NewExpertMap("g", 1, shape)
	if err != nil {
		panic(err)
	}
	w := &timed{now: time.Unix(0, 0), delay: delay}
	w.coordinator, _ = switcher.NewCoordinator(initial)
	w.group = ranks.NewGroup(count, 1, ranks.WithRecord(func(u ranks.Use) {
		if u.Map != 1 && w.inUse.IsZero() {
			w.inUse = w.now
		}
	}))
	for range count {
		gate := switcher.NewGate()
		gate.Update(w.now, switcher.RecordMsg{Record: switcher.Record{Fence: 1}})
		w.gates = append(w.gates, gate)
	}
	w.every(stepTime, func() { w.group.Advance() })
	w.every(tickTime, func() { w.tell(banyanplank.TickMsg{}) })
	return w
}

func (w *timed) after(d time.Duration, do func()) {
	heap.Push(&w.agenda, event{at: w.now.Add(d), do: do})
}

func (w *timed) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

// runUntil lets time pass until done.
func (w *timed) runUntil(done func() bool) {
	for limit := w.now.Add(time.Hour); !done(); {
		if w.now.After(limit) {
			panic("not done within an hour")
		}
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.do()
	}
}

func (w *timed) tell(msg banyanplank.Msg) {
	_, commands := w.coordinator.Update(w.now, msg)
	for _, command := range commands {
		w.execute(command)
	}
}

func (w *timed) execute(command banyanplank.Command) {
	switch c := command.(type) {
	case switcher.ReadRecordCmd:
		w.after(time.Millisecond, func() { w.tell(switcher.RecordMsg{Err: banyanplank.ErrNotFound}) })
	case switcher.WriteRecordCmd:
		w.record = c.Record
		w.after(time.Millisecond, func() { w.tell(switcher.RecordMsg{Record: c.Record, Version: c.Expect + 1}) })
	case switcher.OrderCmd:
		w.give(c.Rank, switcher.OrderMsg{Serial: c.Serial, Order: c.Order}, changeSize(c))
	case switcher.StatusCmd:
		w.give(c.Rank, switcher.OrderMsg{Serial: c.Serial, Order: banyanplank.Order{Fence: c.Fence}, Query: true}, 0)
	}
}

// changeSize returns the bytes of the map that an order brings along.
func changeSize(c switcher.OrderCmd) (bytes int) {
	if c.Map == nil {
		return 0
	}
	change, err := orderer.FromChange(*c.Base, *c.Map)
	if err != nil {
		panic(err)
	}
	return proto.Size(change)
}

// give takes an order to a rank and its answer back.
func (w *timed) give(rank int, msg switcher.OrderMsg, extra int) {
	request := orderer.FromOrder("g", rank, msg.Serial, msg.Order)
	w.orders++
	w.bytes += packetBytes + proto.Size(request) + extra
	w.after(w.delay, func() {
		_, commands := w.gates[rank].Update(w.now, msg)
		answer := switcher.ReplyMsg{Rank: rank, Serial: msg.Serial}
		for _, command := range commands {
			if pass, ok := command.(switcher.PassCmd); ok {
				if !pass.Query {
					answer.Err = w.group.Order(rank, pass.Order)
				}
				answer.Status, _ = w.group.Status(rank)
				w.gates[rank].Update(w.now, switcher.EndpointMsg{Call: pass.Call})
			}
		}
		w.after(w.delay, func() { w.tell(answer) })
	})
}

// BenchmarkSwitch measures a whole switch on a clock of its own: from the plan
// to the first step with the new map and to the coordinator's being idle
// again, the calls, and the bytes at the coordinator with packet headers. The
// weights are taken to load at once.
func BenchmarkSwitch(b *testing.B) {
	for _, count := range []int{16, 64, 256} {
		for _, delay := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
			b.Run(fmt.Sprintf("%d ranks/%v", count, delay), func(b *testing.B) {
				for range b.N {
					measureSwitch(b, count, delay)
				}
			})
		}
	}
}

func measureSwitch(b *testing.B, count int, delay time.Duration) {
	w := newTimed(count, delay)
	w.tell(switcher.LeaseMsg{Fence: 1, Until: w.now.Add(time.Hour)})
	idle := func() bool { return w.coordinator.Phase() == switcher.Idle }
	w.runUntil(idle)
	current, _ := w.coordinator.Current()
	var moves []banyanplank.SlotMove
	for i := range movedSlots {
		moves = append(moves, banyanplank.SlotMove{Layer: uint16(i % 60), Rank: uint16(count - 1), Slot: uint16(i / 60 % current.Shape.Slots), Expert: banyanplank.NoExpert})
	}
	next, err := current.Apply(banyanplank.NewMapID(1, 1), moves[:min(len(moves), 60*current.Shape.Slots)])
	if err != nil {
		b.Fatal(err)
	}
	start := w.now
	w.orders, w.bytes = 0, 0
	w.tell(switcher.PlanMsg{Fence: 1, Base: current.ID, Map: next})
	w.runUntil(func() bool { return !w.inUse.IsZero() && idle() })
	b.ReportMetric(w.inUse.Sub(start).Seconds(), "s-to-switch")
	b.ReportMetric(w.now.Sub(start).Seconds(), "s-to-idle")
	b.ReportMetric(float64(w.orders), "calls")
	b.ReportMetric(float64(w.bytes), "bytes")
	b.ReportMetric(float64(w.bytes)/w.now.Sub(start).Seconds(), "bytes/s")
}
