package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newMachine returns a machine whose endpoint has reported its capacity.
func newMachine(capacity int) *machine {
	m := &machine{
		limit:     limit{floor: defaultFloor, coldShare: defaultColdShare},
		queue:     newQueue(),
		residue:   newResidue(epoch.Add(-time.Hour), defaultLongest),
		most:      64,
		mostBytes: 1 << 20,
	}
	m.observe(epoch, banyanplank.EndpointReport{Boot: "one", Capacity: capacity})
	return m
}

// offer offers a request and returns its ticket.
func offer(m *machine, now time.Time, request banyanplank.Request) (t *ticket, refusal *banyanplank.Refusal) {
	t = &ticket{}
	m.fill(t, now, &request)
	return t, m.offer(now, t)
}

// demanding returns a request of an account that holds tokens at its longest.
func demanding(account string, tokens int) banyanplank.Request {
	return banyanplank.Request{
		Account: banyanplank.AccountID(account),
		Demand:  banyanplank.Demand{Prompt: tokens / 2, Longest: tokens - tokens/2},
	}
}

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
	if first := m.queue.first(); first != nil && m.closed == "" && m.fits(l.now, first) {
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
				mayStart := m.closed == "" && m.queue.count == 0 && m.fits(l.now, made)
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

func TestColdEndpointUnderFullLoad(t *testing.T) {
	is := is.New(t)
	m := newMachine(16_000)
	for i := range 60 {
		_, refusal := offer(m, epoch, demanding(fmt.Sprint(i%10), 500))
		is.True(refusal == nil)
	}
	is.Equal(m.held, 1000) // a sixteenth, however many entries send
	is.Equal(m.queue.count, 58)
}

func TestLimitFollowsFinishedWork(t *testing.T) {
	is := is.New(t)
	m := newMachine(16_000)
	before := m.limit.current
	for range 200 {
		made, _ := offer(m, epoch, demanding("a", 500))
		is.Equal(m.limit.current, before)
		m.finish(epoch, made, true)
		is.True(m.limit.current <= before+250)
		before = m.limit.current
	}
	is.Equal(m.limit.current, 16_000)
}

// warm returns a machine at its full limit with requests running.
func warm(requests int) (m *machine, running []*ticket) {
	m = newMachine(16_000)
	m.limit.current = 16_000
	for range requests {
		made, _ := offer(m, epoch, demanding("a", 500))
		running = append(running, made)
	}
	return m, running
}

func TestWarmEndpointTurnsCold(t *testing.T) {
	tests := map[string]func(m *machine, running []*ticket){
		"restart": func(m *machine, _ []*ticket) {
			m.observe(epoch, banyanplank.EndpointReport{Boot: "two", Capacity: 16_000})
		},
		"report": func(m *machine, _ []*ticket) {
			m.observe(epoch, banyanplank.EndpointReport{Boot: "one", Capacity: 16_000, Cold: true})
		},
		"failure": func(m *machine, running []*ticket) { m.finish(epoch, running[0], false) },
		"jump in own steps": func(m *machine, running []*ticket) {
			now := epoch
			for range 60 {
				now = now.Add(20 * time.Millisecond)
				m.advance(now, running[0], 1)
			}
			for range jumpSteps {
				now = now.Add(90 * time.Millisecond)
				m.advance(now, running[0], 1)
			}
		},
		"jump in reports": func(m *machine, running []*ticket) {
			now := epoch
			for range 60 {
				now = now.Add(20 * time.Millisecond)
				m.advance(now, running[0], 1)
			}
			for range jumpReports {
				m.observe(now, banyanplank.EndpointReport{Boot: "one", Capacity: 16_000, Step: 90 * time.Millisecond})
			}
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, running := warm(8)
			is.Equal(m.running, 8)
			act(m, running)
			is.Equal(m.limit.current, 1000)
			_, refusal := offer(m, epoch, demanding("b", 500))
			is.True(refusal == nil)
			is.True(m.running <= 8) // nothing more starts
			is.Equal(m.queue.count, 1)
		})
	}
}

func TestLargerBatchIsNoJump(t *testing.T) {
	is := is.New(t)
	m, running := warm(1)
	now := epoch
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		m.advance(now, running[0], 1)
	}
	for range 31 {
		made, _ := offer(m, now, demanding("a", 400))
		running = append(running, made)
	}
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		m.advance(now, running[0], 1)
	}
	is.Equal(m.limit.current, 16_000)
}

func TestSlowStepsLowerTheLimit(t *testing.T) {
	is := is.New(t)
	m, running := warm(32)
	m.limit.between = 62 * time.Millisecond
	now := epoch
	for range 200 {
		now = now.Add(70 * time.Millisecond)
		m.advance(now, running[0], 1)
	}
	is.True(m.limit.current < 12_000)
	is.True(m.limit.current >= 4000)
}

func TestAgentRestartsBesideBusyEndpoint(t *testing.T) {
	busy := banyanplank.EndpointReport{
		Boot: "one", Capacity: 160_000, Held: 40_000, Running: 10,
		Attempts: []banyanplank.AttemptID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"},
	}
	tests := map[string]struct {
		later banyanplank.EndpointReport
		after time.Duration
		holds bool
	}{
		"still runs":     {busy, 4 * time.Second, true},
		"has ended":      {banyanplank.EndpointReport{Boot: "one", Capacity: 160_000}, 4 * time.Second, false},
		"ended too soon": {banyanplank.EndpointReport{Boot: "one", Capacity: 160_000}, time.Second, true},
		"has restarted":  {banyanplank.EndpointReport{Boot: "two", Capacity: 160_000}, time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(0)
			m.boot = ""
			m.residue = newResidue(epoch, 1000)
			_, refusal := offer(m, epoch, demanding("a", 500))
			is.True(refusal == nil)
			is.Equal(m.running, 0) // the capacity is not known
			m.observe(epoch, busy)
			is.Equal(m.running, 0) // the endpoint is full for a cold one
			is.Equal(m.residue.tokens, 50_000)
			m.observe(epoch.Add(test.after), test.later)
			is.Equal(m.residue.tokens > 0, test.holds)
			is.Equal(m.running == 1, !test.holds)
		})
	}
}

func TestPromptsEstimatedTooShort(t *testing.T) {
	is := is.New(t)
	m, _ := warm(16) // reserves 8000
	for range 2 {
		m.observe(epoch, banyanplank.EndpointReport{Boot: "one", Capacity: 16_000, Held: 12_000, Running: 16})
	}
	is.Equal(m.free(), 4000)
	for range 2 {
		m.observe(epoch, banyanplank.EndpointReport{Boot: "one", Capacity: 16_000, Held: 3000, Running: 16})
	}
	is.Equal(m.free(), 8000)
}

func TestQueueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(1000)
		m.limit.current = 1000
		weights := []int{1, 1, 3}
		var accounts []banyanplank.AccountSpec
		for i, w := range weights {
			accounts = append(accounts, banyanplank.AccountSpec{Name: banyanplank.AccountID(fmt.Sprint(i)), Weight: w})
		}
		m.queue.renew(accounts)
		m.most = 1000
		first, _ := offer(m, epoch, demanding("flood", 1000))
		// The first account sends far more than the others.
		for i, count := range []int{300, 60, 180} {
			for range count {
				_, refusal := offer(m, epoch, demanding(fmt.Sprint(i), rapid.IntRange(50, 100).Draw(t, "tokens")))
				if refusal != nil {
					t.Fatalf("refused: %v", refusal)
				}
			}
		}
		served := map[banyanplank.AccountID]float64{}
		running := []*ticket{first}
		for range 200 {
			i := rapid.IntRange(0, len(running)-1).Draw(t, "finish")
			m.finish(epoch, running[i], true)
			running = append(running[:i], running[i+1:]...)
			for _, d := range m.decided {
				served[d.ticket.account.id] += d.ticket.account.cost(d.ticket.tokens)
				running = append(running, d.ticket)
			}
			m.decided = m.decided[:0]
			for _, other := range []banyanplank.AccountID{"1", "2"} {
				if gap := served["0"] - served[other]; gap > 200 || gap < -200 {
					t.Fatalf("service differs by %v, more than two of the largest requests", gap)
				}
			}
		}
	})
}

func TestFloodLeavesRoomInQueue(t *testing.T) {
	is := is.New(t)
	m, _ := warm(32)
	for i := range 100 {
		_, refusal := offer(m, epoch, demanding("flood", 500))
		is.Equal(refusal == nil, i < m.most)
	}
	is.Equal(m.queue.count, m.most)
	_, refusal := offer(m, epoch, demanding("small", 500))
	is.True(refusal == nil)
	is.Equal(m.queue.count, m.most)
	is.Equal(len(m.decided), 1) // the flooding account gave way
	is.Equal(m.decided[0].refusal.Reason, banyanplank.ReasonOverload)
	is.Equal(m.decided[0].ticket.account.id, banyanplank.AccountID("flood"))
}

func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	m, running := warm(32)
	m.first = 1600 * time.Millisecond
	now := epoch.Add(8 * time.Second)
	m.finish(now, running[0], true) // requests hold their tokens for 8 s
	_, refusal := offer(m, now, demanding("a", 500))
	is.True(refusal == nil)
	refused := 0
	for range 20 {
		if _, refusal = offer(m, now, demanding("a", 500)); refusal != nil {
			refused++
			is.Equal(refusal.Outcome, banyanplank.NotRun)
			is.Equal(refusal.Reason, banyanplank.ReasonDeadline)
			is.True(refusal.RetryAfter >= time.Second)
		}
	}
	is.Equal(refused, 14) // 32 requests in 8 s are 6 in 1.6 s
	_, refusal = offer(m, now, demanding("b", 500))
	is.True(refusal == nil) // another account's turn comes earlier
}

func TestPriorityWithinAccount(t *testing.T) {
	is := is.New(t)
	m, running := warm(32)
	var waiting []*ticket
	for _, priority := range []int{0, 2, 1, 2} {
		request := demanding("b", 500)
		request.Priority = priority
		made, _ := offer(m, epoch, request)
		waiting = append(waiting, made)
	}
	for _, r := range running[:4] {
		m.finish(epoch, r, true)
	}
	is.Equal(len(m.decided), 4)
	for i, want := range []int{1, 3, 2, 0} {
		is.True(m.decided[i].ticket == waiting[want])
	}
}

func TestKnownAccountsAreForgotten(t *testing.T) {
	is := is.New(t)
	m := newMachine(16_000)
	for i := range 50_000 {
		made, _ := offer(m, epoch, demanding(fmt.Sprint(i), 100))
		m.finish(epoch, made, true)
	}
	is.True(len(m.queue.accounts) <= 2*leastSweep)
}
