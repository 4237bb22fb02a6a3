package admitter

import (
	"slices"
	"time"
)

// prefillBacklog counts the prompt tokens that the endpoint has yet to process.
// The prefill of a streamed request ends with the first part of its answer. That
// of any other request is assumed to end after the predicted time.
type prefillBacklog struct {
	tokens int
	// unary holds the running requests without a stream, in the order in which
	// they were started.
	unary []*ticket
}

// add adds the prompt of t and returns the prompt tokens to process before its
// first token, its own included.
func (b *prefillBacklog) add(now time.Time, t *ticket, speed *speedEstimate) (ahead int) {
	b.tokens += t.promptTokens
	if !t.stream && t.promptTokens > 0 {
		t.prefillDue = now.Add(speed.prefillTime(b.tokens))
		b.unary = append(b.unary, t)
	}
	return b.tokens
}

// remove removes the prompt of t. Only the first call for t has an effect.
func (b *prefillBacklog) remove(t *ticket) {
	if t.prefillDone {
		return
	}
	t.prefillDone = true
	b.tokens -= t.promptTokens
}

// removeDue removes the requests whose predicted prefill time has passed.
func (b *prefillBacklog) removeDue(now time.Time) {
	done := 0
	for done < len(b.unary) && (b.unary[done].prefillDone || !now.Before(b.unary[done].prefillDue)) {
		b.remove(b.unary[done])
		done++
	}
	b.unary = slices.Delete(b.unary, 0, done)
}
