package admitter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// scheduler holds the state of an admitter. Its methods read no clock and do not
// block: they take the current time and append their decisions on waiting
// requests to decisions.
type scheduler struct {
	limit     limit
	speed     speedEstimate
	queue     *queue
	inherited *inheritedWork
	excess    excess
	// maxFirstToken is the objective for the time to the first token. Zero means
	// no objective.
	maxFirstToken time.Duration
	// maxWaiting and maxWaitingBytes bound the queue.
	maxWaiting      int
	maxWaitingBytes int

	// loadKnown reports whether the endpoint has sent a report, or is assumed idle
	// because it sent none in time.
	loadKnown bool
	boot      string
	held      int
	running   int
	// exclusive reports whether a request that must run alone is running.
	exclusive bool
	// prefill counts the prompt tokens that the endpoint has yet to process.
	prefill prefillBacklog
	closed  banyanplank.Reason
	// coldStarts counts the resets to cold start.
	coldStarts int
	// decisions lists the decisions that were not delivered yet.
	decisions []decision
}

// creditDivisor gives the part of the limit that an account may start ahead of
// others after it has used little.
const creditDivisor = 4

// maxWaitTenths is the part of the objective for the first token, in tenths,
// that the predicted wait and prefill of a request may use. The rest covers the
// network, other attempts and prediction errors.
const maxWaitTenths = 6

// minWaitTenths is the part of the objective for the first token, in tenths,
// that a request may always wait, however long its own prefill takes. Without it
// a request with a long prompt would start only at an idle endpoint.
const minWaitTenths = 3

// decision is the result for a request that waited. It was started if the
// refusal is nil.
type decision struct {
	ticket  *ticket
	refusal *banyanplank.Refusal
}

// offer starts t, queues it or returns a refusal.
func (s *scheduler) offer(now time.Time, t *ticket) (refusal *banyanplank.Refusal) {
	s.startWaiting(now)
	if refusal = s.checkRefusal(now, t); refusal != nil {
		t.phase = phaseDone
		return refusal
	}
	if s.queue.count == 0 && s.fits(t) {
		s.start(now, t)
		return nil
	}
	if refusal = s.makeRoom(t); refusal != nil {
		t.phase = phaseDone
		return refusal
	}
	s.queue.push(t)
	return nil
}

// checkRefusal returns a refusal if t cannot run, or not in time, and nil
// otherwise.
func (s *scheduler) checkRefusal(now time.Time, t *ticket) (refusal *banyanplank.Refusal) {
	if s.closed != "" {
		return closedRefusal(s.closed)
	}
	if s.limit.capacity > 0 && t.tokens > s.limit.capacity {
		return invalidRefusal(t.tokens, s.limit.capacity)
	}
	if t.startDeadline.IsZero() {
		return nil
	}
	if late := now.Add(s.predictWait(t)).Sub(t.startDeadline); late > 0 {
		return lateRefusal(late, "the endpoint cannot start the request in time")
	}
	return nil
}

// advanceTime updates the state that depends on the time.
func (s *scheduler) advanceTime(now time.Time) {
	s.queue.credit = float64(s.limit.current) / creditDivisor
	// An endpoint without a report is assumed idle once work of an earlier run
	// of the agent would have been discovered.
	s.loadKnown = s.loadKnown || s.inherited.isDiscoveryOver(now)
	s.prefill.removeDue(now)
	s.inherited.expire(now)
}

// predictWait predicts how long a new request t would wait for its start and for
// the prefill of earlier requests.
func (s *scheduler) predictWait(t *ticket) (wait time.Duration) {
	ahead := 0
	if s.queue.count > 0 {
		ahead = s.queue.tokensAhead(t)
	}
	prefill := s.speed.prefillTime(s.prefill.tokens)
	missing := ahead + t.tokens - s.free()
	if missing <= 0 || s.held == 0 {
		return prefill
	}
	releaseTime := time.Duration(float64(missing) / float64(s.held) * float64(s.speed.holdTime))
	return max(prefill, releaseTime)
}

// free returns the tokens that the limit still allows. It is negative if the
// endpoint holds more than the limit.
func (s *scheduler) free() (tokens int) {
	used := s.held + s.inherited.tokens + s.excess.tokens
	if s.limit.capacity == 0 {
		return s.limit.current - used
	}
	return min(s.limit.current-used, s.limit.capacity-used-s.inherited.maxGrowth)
}

// isIdle reports whether the endpoint runs nothing.
func (s *scheduler) isIdle() bool {
	return s.running == 0 && s.inherited.tokens == 0
}

// fits reports whether t may start now. A request above the limit of a cold
// endpoint, but not above its capacity, may start while the endpoint is idle: the
// endpoint cannot be given less work than one request, and the limit only grows
// when requests finish.
func (s *scheduler) fits(t *ticket) bool {
	if !s.loadKnown || s.exclusive || t.alone && !s.isIdle() {
		return false
	}
	if t.tokens <= s.free() {
		return true
	}
	return s.isIdle() && s.limit.capacity > 0 && t.tokens <= s.limit.capacity
}

// start reserves the tokens of t and marks it as running.
func (s *scheduler) start(now time.Time, t *ticket) {
	s.queue.charge(t, s.chargedTokens(t))
	s.inherited.recordStart(now, t.attempt)
	s.held += t.tokens
	s.excess.recordReserved(s.held + s.inherited.tokens)
	s.running++
	s.exclusive = t.alone
	t.phase = phaseRunning
	t.startedAt = now
	t.coldStarts = s.coldStarts
	t.prefillAhead = s.prefill.add(now, t, &s.speed)
}

// chargedTokens returns the tokens that no other request can use while t runs.
func (s *scheduler) chargedTokens(t *ticket) (tokens int) {
	if t.alone {
		return max(t.tokens, s.limit.current)
	}
	return t.tokens
}

// makeRoom makes room in the queue for t. It refuses the last requests of the
// account whose waiting requests use the most for its weight, or t if that is
// the account of t. If t is refused, no other request is.
func (s *scheduler) makeRoom(t *ticket) (refusal *banyanplank.Refusal) {
	victims, ok := s.selectVictims(t)
	if !ok {
		return fullRefusal()
	}
	for _, victim := range victims {
		s.refuseWaiting(victim, fullRefusal())
	}
	return nil
}

// occupancy is what waiting requests take of the bounds of the queue.
type occupancy struct{ count, bytes int }

// selectVictims returns the waiting requests to refuse so that t fits into the queue.
// Ok is false if t has to be refused instead.
func (s *scheduler) selectVictims(t *ticket) (victims []*ticket, ok bool) {
	if t.bodyBytes > s.maxWaitingBytes {
		return nil, false
	}
	total := occupancy{s.queue.count, s.queue.bytes}
	if !s.isOverfull(total, t) {
		return nil, true
	}
	freed, last := make(map[*account]occupancy), make(map[*account]*ticket)
	for s.isOverfull(total, t) {
		heaviest := s.queue.heaviest(func(a *account) int {
			if total.count >= s.maxWaiting {
				return a.count - freed[a].count
			}
			return a.bytes - freed[a].bytes
		})
		if heaviest == t.account || heaviest == nil {
			return nil, false
		}
		victim := heaviest.tail
		if earlier := last[heaviest]; earlier != nil {
			victim = earlier.previous
		}
		last[heaviest] = victim
		victims = append(victims, victim)
		freed[heaviest] = occupancy{freed[heaviest].count + 1, freed[heaviest].bytes + victim.bodyBytes}
		total = occupancy{total.count - 1, total.bytes - victim.bodyBytes}
	}
	return victims, true
}

// isOverfull reports whether t does not fit into the queue beside other requests.
func (s *scheduler) isOverfull(total occupancy, t *ticket) bool {
	return total.count >= s.maxWaiting || total.bytes+t.bodyBytes > s.maxWaitingBytes
}

// refuseWaiting removes t from the queue and refuses it.
func (s *scheduler) refuseWaiting(t *ticket, refusal *banyanplank.Refusal) {
	s.queue.remove(t)
	t.phase = phaseDone
	s.decisions = append(s.decisions, decision{ticket: t, refusal: refusal})
}

// startWaiting starts the waiting requests that fit, in the order of the queue.
func (s *scheduler) startWaiting(now time.Time) {
	if s.closed != "" {
		return
	}
	s.advanceTime(now)
	for t := s.queue.first(); t != nil && s.fits(t); t = s.queue.first() {
		s.queue.remove(t)
		s.start(now, t)
		s.decisions = append(s.decisions, decision{ticket: t})
	}
}

// expire refuses t, whose start deadline has passed, if it still waits.
func (s *scheduler) expire(now time.Time, t *ticket) {
	if t.phase != phaseWaiting {
		return
	}
	s.refuseWaiting(t, lateRefusal(now.Sub(t.startDeadline)+s.predictWait(t), "the endpoint did not start the request in time"))
	s.startWaiting(now)
}

// abandon removes t, whose caller canceled it, from the queue. It returns false
// if t does not wait any more.
func (s *scheduler) abandon(now time.Time, t *ticket) (ok bool) {
	if t.phase != phaseWaiting {
		return false
	}
	s.queue.remove(t)
	t.phase = phaseDone
	s.startWaiting(now)
	return true
}

// recordProgress records that the answer of t has grown by tokens.
func (s *scheduler) recordProgress(now time.Time, t *ticket, tokens int) {
	if t.phase != phaseRunning || tokens <= 0 {
		return
	}
	if t.outputTokens == 0 {
		s.prefill.remove(t)
	}
	if t.stream && !t.stalled {
		s.updateSpeed(now, t, tokens)
	}
	t.outputTokens += tokens
	t.lastProgress = now
}

// updateSpeed updates the speed estimate from a part of a streamed answer.
func (s *scheduler) updateSpeed(now time.Time, t *ticket, tokens int) {
	if t.outputTokens == 0 {
		s.speed.observePrefill(t.prefillAhead, now.Sub(t.startedAt))
		return
	}
	s.observeStep(now, t, now.Sub(t.lastProgress)/time.Duration(tokens))
}

// observeStep records a step time that the agent measured. A series of slow steps
// of one request means that the endpoint is in cold start.
func (s *scheduler) observeStep(now time.Time, t *ticket, step time.Duration) {
	t.slowSteps++
	if !s.speed.observeStep(step, s.running) {
		t.slowSteps = 0
	}
	if t.slowSteps >= jumpSlowSteps {
		t.slowSteps = 0
		s.resetToCold()
		return
	}
	s.limit.cut(now, s.held, s.speed.p95Step)
}

// revertStart releases t, which was started but not used by its caller.
func (s *scheduler) revertStart(now time.Time, t *ticket) {
	if t.phase != phaseRunning {
		return
	}
	s.release(t)
	s.startWaiting(now)
}

// release frees what t holds.
func (s *scheduler) release(t *ticket) {
	t.phase = phaseDone
	s.held -= t.tokens
	s.running--
	if t.alone {
		s.exclusive = false
	}
	s.prefill.remove(t)
}

// finish ends the run of t. Healthy reports whether the endpoint is still up.
func (s *scheduler) finish(now time.Time, t *ticket, healthy bool) {
	if t.phase != phaseRunning {
		return
	}
	s.release(t)
	switch {
	case !healthy:
		s.resetToCold()
	case t.outputTokens > 0:
		s.recordSuccess(now, t)
	}
	s.startWaiting(now)
}

// recordSuccess updates the speed estimate and grows the limit after t succeeded.
// A request that was started before the latest reset to cold start does not grow
// the limit, because it shows nothing about the present capacity.
func (s *scheduler) recordSuccess(now time.Time, t *ticket) {
	s.speed.observeHoldTime(now.Sub(t.startedAt))
	if t.coldStarts == s.coldStarts {
		s.limit.grow(now, t.tokens, s.speed.p95Step)
	}
}

// observe applies a report of the endpoint.
func (s *scheduler) observe(now time.Time, report banyanplank.EndpointReport) {
	s.limit.observe(now, report)
	if s.boot == "" {
		s.limit.adoptHeld(report)
	}
	s.loadKnown = true
	restarted := s.boot != "" && report.Boot != s.boot
	s.boot = report.Boot
	if restarted {
		s.inherited.clear()
	}
	s.inherited.observe(now, report, s.running)
	s.excess.observe(report.Held, s.held+s.inherited.tokens)
	jump := s.speed.observeReport(report.Step, max(report.Running, s.running))
	if restarted || jump || report.Cold {
		s.resetToCold()
	}
	s.startWaiting(now)
}

// resetToCold lowers the limit to that of a cold start and discards the usual
// step times.
func (s *scheduler) resetToCold() {
	s.coldStarts++
	s.limit.reset()
	s.speed.resetSteps()
}

// close refuses all waiting and new requests.
func (s *scheduler) close(reason banyanplank.Reason) {
	s.closed = reason
	for t := s.queue.first(); t != nil; t = s.queue.first() {
		s.refuseWaiting(t, closedRefusal(reason))
	}
}

// open admits requests again, with the limit of a cold start.
func (s *scheduler) open() {
	if s.closed == "" {
		return
	}
	s.closed = ""
	s.resetToCold()
}
