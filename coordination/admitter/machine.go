package admitter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// machine is the admitter's state. Its methods are pure: they take the time
// and leave the requests that are decided in its decided list.
type machine struct {
	limit   limit
	pace    pace
	queue   *queue
	residue *residue
	excess  excess
	// first is the objective for the time to the first token, or zero.
	first time.Duration
	// most and mostBytes bound the queue.
	most      int
	mostBytes int

	// known tells that the endpoint has reported.
	known   bool
	boot    string
	held    int
	running int
	// exclusive tells that a request runs that must be alone.
	exclusive bool
	// prefilling is the prompt tokens that the endpoint has still to work off.
	prefilling prefilling
	closed     banyanplank.Reason
	// turn counts how often the endpoint turned cold.
	turn int
	// decided lists what the latest call decided.
	decided []decision
}

// creditShare is the part of the limit that an account may go ahead with after
// it has used little.
const creditShare = 4

// startShare is the part of the objective for the first token, in tenths, in
// which a request must be predicted to start. The rest covers the way to the
// caller, other attempts and wrong predictions.
const startShare = 6

// longShare is the part in which a request with a long prompt may wait, in
// tenths, however long its own prefill takes. Without it such a request would
// start only at an idle endpoint.
const longShare = 3

// decision is the fate of a request that waited: a nil refusal lets it run.
type decision struct {
	ticket  *ticket
	refusal *banyanplank.Refusal
}

// offer takes in a request. It starts, waits, or gets a refusal at once.
func (m *machine) offer(now time.Time, t *ticket) (refusal *banyanplank.Refusal) {
	m.drain(now)
	if refusal = m.refuse(now, t); refusal != nil {
		t.phase = phaseDone
		return refusal
	}
	if m.queue.count == 0 && m.fits(t) {
		m.start(now, t)
		return nil
	}
	if refusal = m.makeRoom(t); refusal != nil {
		t.phase = phaseDone
		return refusal
	}
	m.queue.push(t)
	return nil
}

// refuse returns why t cannot be served in time, or nil.
func (m *machine) refuse(now time.Time, t *ticket) (refusal *banyanplank.Refusal) {
	if m.closed != "" {
		return closedRefusal(m.closed)
	}
	if m.limit.capacity > 0 && t.tokens > m.limit.capacity {
		return invalidRefusal(t.tokens, m.limit.capacity)
	}
	if t.latest.IsZero() {
		return nil
	}
	if late := now.Add(m.wait(t)).Sub(t.latest); late > 0 {
		return lateRefusal(late, "the endpoint cannot start the request in time")
	}
	return nil
}

// tick takes in that time has passed.
func (m *machine) tick(now time.Time) {
	m.queue.credit = float64(m.limit.current) / creditShare
	// An endpoint that never reports is taken as idle in the end.
	m.known = m.known || m.residue.isSettled(now)
	m.prefilling.expire(now)
	m.residue.expire(now)
}

// wait predicts how long a new request t would wait for its start, and for
// the prefill work ahead of it.
func (m *machine) wait(t *ticket) (d time.Duration) {
	ahead := 0
	if m.queue.count > 0 {
		ahead = m.queue.ahead(t)
	}
	prefill := m.pace.prefillTime(m.prefilling.tokens)
	missing := ahead + t.tokens - m.free()
	if missing <= 0 || m.held == 0 {
		return prefill
	}
	drain := time.Duration(float64(missing) / float64(m.held) * float64(m.pace.hold))
	return max(prefill, drain)
}

// free returns the tokens that the limit still allows.
func (m *machine) free() (tokens int) {
	used := m.held + m.residue.tokens + m.excess.tokens
	if m.limit.capacity == 0 {
		return m.limit.current - used
	}
	return min(m.limit.current-used, m.limit.capacity-used-m.residue.growth)
}

// isIdle reports whether the endpoint runs nothing.
func (m *machine) isIdle() bool {
	return m.running == 0 && m.residue.tokens == 0
}

// fits reports whether t may start. A request above a cold endpoint's limit
// runs when nothing else does, because less work than that does not exist.
func (m *machine) fits(t *ticket) bool {
	if !m.known || m.exclusive || t.alone && !m.isIdle() {
		return false
	}
	if t.tokens <= m.free() {
		return true
	}
	return m.isIdle() && m.limit.capacity > 0 && t.tokens <= m.limit.capacity
}

// start lets t run.
func (m *machine) start(now time.Time, t *ticket) {
	m.queue.charge(t, m.taken(t))
	m.residue.start(now, t.attempt)
	m.held += t.tokens
	m.excess.reserve(m.held + m.residue.tokens)
	m.running++
	m.exclusive = t.alone
	t.phase = phaseRunning
	t.started = now
	t.turn = m.turn
	t.ahead = m.prefilling.start(now, t, &m.pace)
}

// taken returns the tokens that t keeps from others while it runs.
func (m *machine) taken(t *ticket) (tokens int) {
	if t.alone {
		return max(t.tokens, m.limit.current)
	}
	return t.tokens
}

// makeRoom makes room in the queue for t. The account that waits with most for
// its weight gives way.
func (m *machine) makeRoom(t *ticket) (refusal *banyanplank.Refusal) {
	if t.bytes > m.mostBytes {
		return fullRefusal()
	}
	for m.queue.count >= m.most || m.queue.bytes+t.bytes > m.mostBytes {
		most := m.heaviest()
		if most == t.account || most == nil {
			return fullRefusal()
		}
		m.refuseWaiting(most.tail, fullRefusal())
	}
	return nil
}

// heaviest returns the account that uses most of what is short in the queue.
func (m *machine) heaviest() (a *account) {
	if m.queue.count >= m.most {
		return m.queue.largest(func(a *account) int { return a.count })
	}
	return m.queue.largest(func(a *account) int { return a.bytes })
}

// refuseWaiting decides a waiting request.
func (m *machine) refuseWaiting(t *ticket, refusal *banyanplank.Refusal) {
	m.queue.remove(t)
	t.phase = phaseDone
	m.decided = append(m.decided, decision{ticket: t, refusal: refusal})
}

// drain starts the waiting requests that fit, in order.
func (m *machine) drain(now time.Time) {
	if m.closed != "" {
		return
	}
	m.tick(now)
	for t := m.queue.first(); t != nil && m.fits(t); t = m.queue.first() {
		m.queue.remove(t)
		m.start(now, t)
		m.decided = append(m.decided, decision{ticket: t})
	}
}

// expire decides t when its time to start has passed.
func (m *machine) expire(now time.Time, t *ticket) {
	if t.phase != phaseWaiting {
		return
	}
	m.refuseWaiting(t, lateRefusal(now.Sub(t.latest)+m.wait(t), "the request waited in vain"))
	m.drain(now)
}

// abandon takes out a waiting request whose caller has gone. It reports false
// when the request is decided already.
func (m *machine) abandon(now time.Time, t *ticket) (ok bool) {
	if t.phase != phaseWaiting {
		return false
	}
	m.queue.remove(t)
	t.phase = phaseDone
	m.drain(now)
	return true
}

// advance takes in that the answer of t has grown.
func (m *machine) advance(now time.Time, t *ticket, tokens int) {
	if t.phase != phaseRunning || tokens <= 0 {
		return
	}
	if t.made == 0 {
		m.prefilling.end(t)
	}
	if t.stream && !t.stalled {
		m.learn(now, t, tokens)
	}
	t.made += tokens
	t.tokened = now
}

// learn takes in the pace that a part of a streamed answer tells of.
func (m *machine) learn(now time.Time, t *ticket, tokens int) {
	if t.made == 0 {
		m.pace.first(t.ahead, now.Sub(t.started))
		return
	}
	m.observeStep(now, t, now.Sub(t.tokened)/time.Duration(tokens))
}

// observeStep takes in one step time that the agent saw itself.
func (m *machine) observeStep(now time.Time, t *ticket, step time.Duration) {
	t.slow++
	if !m.pace.step(step, m.running) {
		t.slow = 0
	}
	if t.slow >= jumpSteps {
		t.slow = 0
		m.turnCold()
		return
	}
	m.limit.cut(now, m.held, m.pace.tail)
}

// withdraw takes back the start of t, which its caller never used.
func (m *machine) withdraw(now time.Time, t *ticket) {
	if t.phase != phaseRunning {
		return
	}
	m.release(t)
	m.drain(now)
}

// release returns what t held.
func (m *machine) release(t *ticket) {
	t.phase = phaseDone
	m.held -= t.tokens
	m.running--
	if t.alone {
		m.exclusive = false
	}
	m.prefilling.end(t)
}

// finish ends the run of t.
func (m *machine) finish(now time.Time, t *ticket, healthy bool) {
	if t.phase != phaseRunning {
		return
	}
	m.release(t)
	switch {
	case !healthy:
		m.turnCold()
	case t.made > 0:
		m.finishWell(now, t)
	}
	m.drain(now)
}

// finishWell learns from a request that ended well. Work from before the
// endpoint turned cold tells nothing of what it carries now.
func (m *machine) finishWell(now time.Time, t *ticket) {
	m.pace.finish(now.Sub(t.started))
	if t.turn == m.turn {
		m.limit.grow(now, t.tokens, m.pace.tail)
	}
}

// observe takes in a report of the endpoint.
func (m *machine) observe(now time.Time, report banyanplank.EndpointReport) {
	m.limit.observe(now, report)
	if m.boot == "" {
		m.limit.adopt(report)
	}
	m.known = true
	restarted := m.boot != "" && report.Boot != m.boot
	m.boot = report.Boot
	if restarted {
		m.residue.clear()
	}
	m.residue.observe(now, report, m.running)
	m.excess.observe(report.Held, m.held+m.residue.tokens)
	jump := m.pace.report(report.Step, max(report.Running, m.running))
	if restarted || jump || report.Cold {
		m.turnCold()
	}
	m.drain(now)
}

// turnCold lowers the limit to that of a cold endpoint.
func (m *machine) turnCold() {
	m.turn++
	m.limit.reset()
	m.pace.forget()
}

// close refuses all waiting and new requests.
func (m *machine) close(reason banyanplank.Reason) {
	m.closed = reason
	for t := m.queue.first(); t != nil; t = m.queue.first() {
		m.refuseWaiting(t, closedRefusal(reason))
	}
}

// open admits requests again, as in cold start.
func (m *machine) open() {
	if m.closed == "" {
		return
	}
	m.closed = ""
	m.turnCold()
}
