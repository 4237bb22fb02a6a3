package admitter

import (
	"math/bits"
	"time"
)

// Parameters of the step time estimates and of the detection of a jump.
const (
	// slowStepTenths is the multiple of the usual step time, in tenths, above
	// which a step is slow.
	slowStepTenths = 25
	// jumpSlowSteps is the number of consecutive slow steps of one request that
	// indicate a cold start.
	jumpSlowSteps = 5
	// jumpSlowReports is the number of consecutive slow reports of the endpoint
	// that indicate a cold start.
	jumpSlowReports = 2
	// minStepSamples is the number of steps after which the usual step time of a
	// batch size is known.
	minStepSamples = 32
	// p95Window is about the number of steps above the 95th percentile that
	// raise it by its own size.
	p95Window = 256
	// batchClasses is the number of classes of batch sizes, each twice as large
	// as the one before.
	batchClasses = 16
)

// stepAverage is the average step time of one class of batch sizes.
type stepAverage struct {
	step    time.Duration
	samples int
}

// speedEstimate estimates the speed of the endpoint from what the agent measures.
type speedEstimate struct {
	// averages holds the usual step times by batch class. They are separate
	// because steps of a larger batch take longer at a healthy endpoint, too.
	averages [batchClasses]stepAverage
	// averageStep is the moving average of all steps, p95Step their 95th
	// percentile.
	averageStep time.Duration
	p95Step     time.Duration
	// prefillRate is in prompt tokens per second, or zero if unknown.
	prefillRate float64
	// holdTime is the average time for which a request holds its reservation.
	holdTime time.Duration
	// slowReports counts consecutive slow reports.
	slowReports int
}

// observeStep records the time of one step of a batch and reports whether it was
// slow.
func (e *speedEstimate) observeStep(d time.Duration, batch int) (slow bool) {
	if e.averageStep == 0 {
		e.averageStep, e.p95Step = d, d
	}
	e.averageStep += (d - e.averageStep) / 8
	e.updateP95(d)
	if e.isSlow(d, batch) {
		return true
	}
	average := &e.averages[batchClass(batch)]
	average.samples++
	average.step += (d - average.step) / time.Duration(min(average.samples, 64))
	return false
}

// updateP95 moves the 95th percentile so that one step in twenty is above it.
func (e *speedEstimate) updateP95(d time.Duration) {
	if d > e.p95Step {
		e.p95Step += 19 * e.p95Step / (20 * p95Window)
		return
	}
	e.p95Step -= e.p95Step / (20 * p95Window)
}

// batchClass returns the index of the class of a batch size.
func batchClass(batch int) int {
	return min(batchClasses-1, bits.Len(uint(batch)))
}

// expectedStep returns the usual step time of a batch, or zero if it is unknown.
// Without enough samples it extrapolates from a smaller class: a step of twice
// the batch takes at most twice the time.
func (e *speedEstimate) expectedStep(batch int) (d time.Duration) {
	own := batchClass(batch)
	for i := own; i >= 0; i-- {
		if e.averages[i].samples >= minStepSamples {
			return e.averages[i].step << (own - i)
		}
	}
	return 0
}

// isSlow reports whether d is far above the usual step time of a batch.
func (e *speedEstimate) isSlow(d time.Duration, batch int) bool {
	expected := e.expectedStep(batch)
	return expected > 0 && d*10 > slowStepTenths*expected
}

// observeReport records the step time of a report of the endpoint and reports
// whether it has jumped.
func (e *speedEstimate) observeReport(d time.Duration, batch int) (jump bool) {
	if !e.isSlow(d, batch) {
		e.slowReports = 0
		return false
	}
	e.slowReports++
	return e.slowReports >= jumpSlowReports
}

// resetSteps discards the usual step times and the count of slow reports.
func (e *speedEstimate) resetSteps() {
	e.averages = [batchClasses]stepAverage{}
	e.slowReports = 0
}

// observePrefill records the time that the prefill of tokens took.
func (e *speedEstimate) observePrefill(tokens int, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	sample := float64(tokens) / d.Seconds()
	if e.prefillRate == 0 {
		e.prefillRate = sample
		return
	}
	e.prefillRate += (sample - e.prefillRate) / 8
}

// observeHoldTime records how long a request held its reservation.
func (e *speedEstimate) observeHoldTime(d time.Duration) {
	if e.holdTime == 0 {
		e.holdTime = d
		return
	}
	e.holdTime += (d - e.holdTime) / 16
}

// prefillTime predicts the time that the prefill of tokens takes, or returns zero
// if the rate is unknown.
func (e *speedEstimate) prefillTime(tokens int) time.Duration {
	if e.prefillRate == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}
