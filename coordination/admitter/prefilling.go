package admitter

import (
	"slices"
	"time"
)

// prefilling counts the prompt tokens that the endpoint has still to work off.
// A streamed answer tells by its first part that its prompt is read. Without a
// stream the prompt counts as read after the predicted time.
type prefilling struct {
	tokens int
	// unary holds the running requests without a stream, by when they are due.
	unary []*ticket
}

// start counts in t and returns the work ahead of its first token.
func (p *prefilling) start(now time.Time, t *ticket, pace *pace) (ahead int) {
	p.tokens += t.prompt
	if !t.stream && t.prompt > 0 {
		t.due = now.Add(pace.prefillTime(p.tokens))
		p.unary = append(p.unary, t)
	}
	return p.tokens
}

// end counts out t, once.
func (p *prefilling) end(t *ticket) {
	if t.isRead {
		return
	}
	t.isRead = true
	p.tokens -= t.prompt
}

// expire counts out the requests that are due.
func (p *prefilling) expire(now time.Time) {
	done := 0
	for done < len(p.unary) && (p.unary[done].isRead || !now.Before(p.unary[done].due)) {
		p.end(p.unary[done])
		done++
	}
	p.unary = slices.Delete(p.unary, 0, done)
}
