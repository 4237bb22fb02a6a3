package admitter

// excess tracks the tokens that the endpoint holds beyond all reservations,
// because entries underestimated prompts. Reports lag, so each is compared with
// the peak of the reservations since the report before the previous one.
type excess struct {
	tokens int
	// peak is the maximum reserved since the latest report, previousPeak the
	// maximum between the two reports before.
	peak         int
	previousPeak int
}

// recordReserved updates the peak with the tokens that are reserved now.
func (e *excess) recordReserved(reserved int) {
	e.peak = max(e.peak, reserved)
}

// observe applies a report of held tokens, made while reserved tokens are
// reserved.
func (e *excess) observe(held, reserved int) {
	e.tokens = max(0, held-max(e.peak, e.previousPeak))
	e.previousPeak, e.peak = e.peak, reserved
}
