package admitter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
)

// ledger is the oracle: it adds up what the endpoint holds and follows each
// request from its offer to its end.
type ledger struct {
	machine *machine
	now     time.Time
	waiting map[*ticket]bool
	running map[*ticket]bool
}

// take moves the requests that the machine decided.
func (l *ledger) take(t *rapid.T) {
	for _, d := range l.machine.decided {
		if !l.waiting[d.ticket] {
			t.Fatalf("a request was decided that does not wait")
		}
		delete(l.waiting, d.ticket)
		if d.refusal == nil {
			l.running[d.ticket] = true
		}
	}
	l.machine.decided = l.machine.decided[:0]
}

// held adds up the running requests.
func (l *ledger) held() (tokens int) {
	for t := range l.running {
		tokens += t.tokens
	}
	return tokens
}

// any draws one of the tickets in a set.
func (l *ledger) any(t *rapid.T, set map[*ticket]bool) (chosen *ticket) {
	if len(set) == 0 {
		t.Skip("none")
	}
	var list []*ticket
	for each := range set {
		list = append(list, each)
	}
	// The order of a map is random: sort by the attempt to keep seeds useful.
	for i := range list {
		for j := i; j > 0 && list[j].attempt < list[j-1].attempt; j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	return rapid.SampledFrom(list).Draw(t, "ticket")
}

// check compares the machine with the oracle after a step.
func (l *ledger) check(t *rapid.T, heldBefore int) {
	l.take(t)
	m := l.machine
	held := l.held()
	if held != m.held || len(l.running) != m.running || len(l.waiting) != m.queue.count {
		t.Fatalf("machine holds %d of %d and %d wait; oracle %d of %d and %d",
			m.held, m.running, m.queue.count, held, len(l.running), len(l.waiting))
	}
	if held > heldBefore && held > m.limit.current && len(l.running) > 1 {
		t.Fatalf("work was started at %d tokens above the limit %d", held, m.limit.current)
	}
	for r := range l.running {
		if r.alone && len(l.running) > 1 {
			t.Fatalf("a request that must be alone runs beside others")
		}
	}
	if first := m.queue.first(); first != nil && m.closed == "" && m.fits(first) {
		t.Fatalf("the next request fits and still waits")
	}
}

func TestMachineAgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(100, 10_000).Draw(t, "capacity")
		l := &ledger{machine: newMachine(capacity), now: epoch, waiting: map[*ticket]bool{}, running: map[*ticket]bool{}}
		m := l.machine
		boot, count := 0, 0
		step := func(f func(t *rapid.T)) func(t *rapid.T) {
			return func(t *rapid.T) {
				before := l.held()
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				f(t)
				l.check(t, before)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": step(func(t *rapid.T) {
				request := demanding(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "account")), rapid.IntRange(1, capacity).Draw(t, "tokens"))
				request.Attempt = banyanplank.AttemptID(fmt.Sprintf("%06d", count))
				request.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				request.Body = make([]byte, rapid.IntRange(0, 1<<17).Draw(t, "body"))
				count++
				made := &ticket{alone: rapid.IntRange(0, 9).Draw(t, "alone") == 0}
				m.fill(made, l.now, &request)
				mayStart := m.closed == "" && m.queue.count == 0 && m.fits(made)
				refusal := m.offer(l.now, made)
				if mayStart && made.phase != phaseRunning {
					t.Fatalf("a request that fits was not started: %v", refusal)
				}
				switch {
				case refusal != nil && refusal.Outcome != banyanplank.NotRun:
					t.Fatalf("refusal says %q", refusal.Outcome)
				case refusal != nil:
				case made.phase == phaseRunning:
					l.running[made] = true
				default:
					l.waiting[made] = true
				}
			}),
			"progress": step(func(t *rapid.T) {
				m.advance(l.now, l.any(t, l.running), rapid.IntRange(1, 5).Draw(t, "tokens"))
			}),
			"finish": step(func(t *rapid.T) {
				done := l.any(t, l.running)
				delete(l.running, done)
				m.finish(l.now, done, rapid.IntRange(0, 9).Draw(t, "healthy") > 0)
				m.finish(l.now, done, true)
			}),
			"abandon": step(func(t *rapid.T) {
				gone := l.any(t, l.waiting)
				delete(l.waiting, gone)
				if !m.abandon(l.now, gone) {
					t.Fatalf("a waiting request could not be abandoned")
				}
			}),
			"expire": step(func(t *rapid.T) { m.expire(l.now, l.any(t, l.waiting)) }),
			"report": step(func(t *rapid.T) {
				boot += rapid.IntRange(0, 1).Draw(t, "boot")
				m.observe(l.now, banyanplank.EndpointReport{
					Boot:     fmt.Sprint(boot),
					Cold:     rapid.Bool().Draw(t, "cold"),
					Capacity: rapid.IntRange(capacity/2, capacity).Draw(t, "reported"),
					Held:     rapid.IntRange(0, capacity).Draw(t, "held"),
				})
			}),
			"close": step(func(t *rapid.T) {
				m.close(banyanplank.ReasonZoneOut)
				l.take(t)
				if len(l.waiting) > 0 {
					t.Fatalf("%d requests wait at a closed endpoint", len(l.waiting))
				}
			}),
			"open": step(func(*rapid.T) { m.open(); m.drain(l.now) }),
		})
	})
}
