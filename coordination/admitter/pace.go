package admitter

import (
	"math/bits"
	"time"
)

// The detection of a jump in step time.
const (
	// jumpFactor is how many tenths of the usual step time make a step slow.
	jumpFactor = 25
	// jumpSteps is the number of slow steps in a row, of one request, that
	// tell of a cold endpoint.
	jumpSteps = 5
	// jumpReports is the same for the endpoint's own reports.
	jumpReports = 2
	// leastSamples is the number of steps after which a usual step time is
	// known.
	leastSamples = 32
	// tailSteps is how many steps above the tail raise it by its own size.
	tailSteps = 256
	// batches is the number of batch sizes told apart, each twice the last.
	batches = 16
)

// usual is the average step time at one batch size.
type usual struct {
	step    time.Duration
	samples int
}

// pace learns how fast the endpoint works from what the agent sees itself.
type pace struct {
	// usual holds the step times by the logarithm of the batch size, because a
	// larger batch takes longer without any fault.
	usual [batches]usual
	// recent is the average of the latest steps, tail their 95th percentile.
	recent time.Duration
	tail   time.Duration
	// prefill is in prompt tokens a second.
	prefill float64
	// hold is the average time for which a request holds its tokens.
	hold time.Duration
	// reports counts slow reports in a row.
	reports int
}

// step takes in the time of one step of a batch and reports whether it was
// slow.
func (p *pace) step(d time.Duration, batch int) (slow bool) {
	if p.recent == 0 {
		p.recent, p.tail = d, d
	}
	p.recent += (d - p.recent) / 8
	p.track(d)
	if p.isSlow(d, batch) {
		return true
	}
	u := &p.usual[class(batch)]
	u.samples++
	u.step += (d - u.step) / time.Duration(min(u.samples, 64))
	return false
}

// track moves the tail so that one step in twenty is above it.
func (p *pace) track(d time.Duration) {
	if d > p.tail {
		p.tail += 19 * p.tail / (20 * tailSteps)
		return
	}
	p.tail -= p.tail / (20 * tailSteps)
}

// class returns the place of a batch size in the usual step times.
func class(batch int) int {
	return min(batches-1, bits.Len(uint(batch)))
}

// expected returns the usual step time of a batch, or zero when it is unknown.
// Twice the batch takes at most twice the time.
func (p *pace) expected(batch int) (d time.Duration) {
	own := class(batch)
	for i := own; i >= 0; i-- {
		if p.usual[i].samples >= leastSamples {
			return p.usual[i].step << (own - i)
		}
	}
	return 0
}

// isSlow reports whether d is far above the usual step time of a batch.
func (p *pace) isSlow(d time.Duration, batch int) bool {
	expected := p.expected(batch)
	return expected > 0 && d*10 > jumpFactor*expected
}

// report takes in the step time of a report and reports whether it tells of a
// jump.
func (p *pace) report(d time.Duration, batch int) (jump bool) {
	if !p.isSlow(d, batch) {
		p.reports = 0
		return false
	}
	p.reports++
	return p.reports >= jumpReports
}

// forget drops the usual step times, after a jump has been acted on.
func (p *pace) forget() {
	p.usual = [batches]usual{}
	p.reports = 0
}

// first takes in the time in which the endpoint worked off prompt tokens.
func (p *pace) first(tokens int, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	sample := float64(tokens) / d.Seconds()
	if p.prefill == 0 {
		p.prefill = sample
		return
	}
	p.prefill += (sample - p.prefill) / 8
}

// finish takes in how long a request held its tokens.
func (p *pace) finish(d time.Duration) {
	if p.hold == 0 {
		p.hold = d
		return
	}
	p.hold += (d - p.hold) / 16
}

// prefillTime predicts the time to work off prompt tokens.
func (p *pace) prefillTime(tokens int) time.Duration {
	if p.prefill == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.prefill * float64(time.Second))
}
