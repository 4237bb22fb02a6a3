package admitter

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// phase is the progress of a request.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseDone
)

// ticket is the state of one request.
type ticket struct {
	attempt banyanplank.AttemptID
	account *account
	// tokens is the reservation of the request, in tokens or slots.
	tokens       int
	promptTokens int
	bodyBytes    int
	priority     int
	phase        phase
	// startDeadline is the time by which the request must start. Zero means that
	// it may start at any time.
	startDeadline time.Time
	previous      *ticket
	next          *ticket

	startedAt time.Time
	// prefillAhead is the prefill backlog in tokens at the start, including the
	// prompt of this request.
	prefillAhead int
	lastProgress time.Time
	// coldStarts is the scheduler's count at the start.
	coldStarts   int
	outputTokens int
	slowSteps    int
	// stream reports whether the answer is streamed, so that its parts measure the
	// endpoint's speed.
	stream bool
	// stalled reports whether the reader was too slow for such measurements.
	stalled bool
	// prefillDue is the predicted end of the prefill of a request without a
	// stream. prefillDone reports whether the prefill has ended.
	prefillDue  time.Time
	prefillDone bool
	// alone reports whether the request must not run along with others.
	alone bool
	// waiter receives the decision on the request.
	waiter *waiter
}

// isPlain reports whether the demand is that of a request to a plain service.
func isPlain(demand banyanplank.Demand) bool {
	return demand.MaxTokens() == 0
}

// initTicket initializes t for a request offered at now. The objective for the
// first token brings the start deadline forward for streams of model services.
func (s *scheduler) initTicket(t *ticket, now time.Time, request *banyanplank.Request) {
	t.attempt = request.Attempt
	t.account = s.queue.account(request.Account)
	t.tokens = max(1, request.Demand.MaxTokens())
	t.promptTokens = request.Demand.PromptTokens
	t.bodyBytes = len(request.Body)
	t.priority = request.Priority
	t.startDeadline = request.Deadline
	t.stream = request.Stream
	if s.maxFirstToken > 0 && t.stream && !t.alone && !isPlain(request.Demand) {
		start := now.Add(max(s.maxFirstToken*minWaitTenths/10, s.maxFirstToken*maxWaitTenths/10-s.speed.prefillTime(t.promptTokens)))
		if t.startDeadline.IsZero() || start.Before(t.startDeadline) {
			t.startDeadline = start
		}
	}
}
