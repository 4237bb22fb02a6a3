package admitter

// excess is what the endpoint holds beyond all reservations, because entries
// estimated prompts too short. Reports lag, so each is compared with the most
// that was reserved since the report before the last.
type excess struct {
	tokens int
	// peak is the most reserved since the latest report, last the same for the
	// span before it.
	peak int
	last int
}

// reserve takes in the tokens reserved now.
func (e *excess) reserve(tokens int) {
	e.peak = max(e.peak, tokens)
}

// observe takes in what the endpoint says it holds while tokens are reserved.
func (e *excess) observe(held, tokens int) {
	e.tokens = max(0, held-max(e.peak, e.last))
	e.last, e.peak = e.peak, tokens
}
