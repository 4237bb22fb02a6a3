package picker

import (
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/indexer"
)

// Parameters of the prediction.
const (
	// defaultPrefillRate is the prefill rate, in tokens per second, of an
	// endpoint that has not reported one.
	defaultPrefillRate = 10_000
	// defaultHoldTime is how long a request holds its tokens, until the first
	// request has finished.
	defaultHoldTime = 5 * time.Second
	// modelLoadTime is the time to load a missing model.
	modelLoadTime = 30 * time.Second
	// adapterLoadTime is the time to load a missing adapter.
	adapterLoadTime = time.Second
	// fullBatchCost is the cost of a full batch, whose steps take longer.
	fullBatchCost = 700 * time.Millisecond
	// queueingThreshold is the utilization above which requests may have to
	// queue, and queueingCost the additional cost per unit of utilization above
	// it.
	queueingThreshold = 0.6
	queueingCost      = time.Second
	// incompleteGroupCost is the cost of a group with missing ranks.
	incompleteGroupCost = 10 * time.Second
	// baseFailureBackoff is how long an unreachable endpoint is avoided after
	// the first failure.
	baseFailureBackoff = time.Second
	// maxFailureBackoff is the maximum time to avoid an endpoint after repeated
	// failures.
	maxFailureBackoff = 16 * time.Second
	// maxQueueAge is the age at which a reported queue is ignored. Endpoints
	// drain a queue of prompts in a fraction of a second.
	maxQueueAge = time.Second
	// freshReportAge is the age up to which a report has full weight.
	freshReportAge = 2 * time.Second
	// staleReportAge is the age from which a report is ignored.
	staleReportAge = 10 * time.Second
	// closedRetryInterval is how long a closed agent is avoided. Reports only
	// arrive with answers, so a request must find out whether the agent has
	// reopened.
	closedRetryInterval = time.Second
	// biasDecayTime is the time in which a learned bias decays to half.
	biasDecayTime = 10 * time.Second
)

// endpoint is the state that the entry keeps for an endpoint.
type endpoint struct {
	member banyanplank.Member
	index  indexer.EndpointID
	// report is the latest load report, received at reportedAt.
	report     banyanplank.LoadReport
	reportedAt time.Time
	// ownPromptTokens, ownTokens and ownRequests count the own requests since
	// the report. ownPromptTokens is the remaining prefill work as of
	// promptsUpdatedAt.
	ownPromptTokens  int
	ownTokens        int
	ownRequests      int
	promptsUpdatedAt time.Time
	// running is the number of own requests that have not finished.
	running int
	// failures is the number of consecutive attempts that did not reach the
	// agent. Until avoidedUntil, no further attempt is made.
	failures     int
	avoidedUntil time.Time
	// bias is how much later than predicted first tokens have arrived.
	bias          time.Duration
	biasUpdatedAt time.Time
}

// reportWeight returns the weight of the report, from 0 for a stale report to 1
// for a fresh one.
func (e *endpoint) reportWeight(now time.Time) (weight float64) {
	if e.reportedAt.IsZero() {
		return 0
	}
	age := now.Sub(e.reportedAt)
	if age <= freshReportAge {
		return 1
	}
	return max(0, 1-float64(age-freshReportAge)/float64(staleReportAge-freshReportAge))
}

// isUsable reports whether new requests may be sent to the endpoint. The closed
// state only counts for closedRetryInterval, because the next report only
// arrives with a request, and a refusal by a closed agent is cheap.
func (e *endpoint) isUsable(now time.Time) bool {
	isClosed := e.report.Closed && now.Sub(e.reportedAt) < closedRetryInterval
	return !isClosed && !now.Before(e.avoidedUntil)
}

// recordReport records a report. It returns false if the report is outdated or
// a duplicate.
func (e *endpoint) recordReport(now time.Time, report banyanplank.LoadReport) (ok bool) {
	if report.Incarnation < e.report.Incarnation {
		return false
	}
	if report.Incarnation == e.report.Incarnation && report.Sequence <= e.report.Sequence {
		return false
	}
	e.report = report
	e.reportedAt = now
	e.ownPromptTokens, e.ownTokens, e.ownRequests = 0, 0, 0
	return true
}

// heldFraction returns the estimated fraction of the reported tokens that the
// endpoint still holds, from 0 to 1. A request holds its tokens for holdTime on
// average.
func (e *endpoint) heldFraction(now time.Time, holdTime time.Duration) (fraction float64) {
	if e.reportWeight(now) == 0 || holdTime <= 0 {
		return 0
	}
	return math.Exp(-float64(now.Sub(e.reportedAt)) / float64(holdTime))
}

// queueWeight returns the weight of the reported queue, from 0 to 1.
func (e *endpoint) queueWeight(now time.Time) (weight float64) {
	if e.reportedAt.IsZero() {
		return 0
	}
	return max(0, 1-float64(now.Sub(e.reportedAt))/float64(maxQueueAge))
}

// pendingPromptTokens returns the prompt tokens of own requests that the
// endpoint has not prefilled yet, given its prefill rate in tokens per second.
func (e *endpoint) pendingPromptTokens(now time.Time, rate float64) (tokens int) {
	return max(0, e.ownPromptTokens-int(rate*now.Sub(e.promptsUpdatedAt).Seconds()))
}

// addRequest adds an own request, given the endpoint's prefill rate in tokens
// per second.
func (e *endpoint) addRequest(now time.Time, rate float64, demand banyanplank.Demand) {
	e.ownPromptTokens = e.pendingPromptTokens(now, rate) + demand.PromptTokens
	e.promptsUpdatedAt = now
	e.ownTokens += reservedTokens(demand)
	e.ownRequests++
	e.running++
}

// finishRequest removes an own request and learns from its result.
func (e *endpoint) finishRequest(now time.Time, choice banyanplank.Choice, result banyanplank.Result) {
	e.running = max(0, e.running-1)
	if !choice.ChosenAt.Before(e.reportedAt) {
		e.ownPromptTokens = max(0, e.ownPromptTokens-choice.Demand.PromptTokens)
		e.ownTokens = max(0, e.ownTokens-reservedTokens(choice.Demand))
		e.ownRequests = max(0, e.ownRequests-1)
	}
	if !result.Reached {
		e.recordFailure(now)
		return
	}
	e.failures = 0
	if result.FirstTokenTime > 0 {
		e.updateBias(now, result.FirstTokenTime-choice.FirstTokenEstimate)
	}
}

// recordFailure avoids the endpoint for a time that doubles with each failure.
func (e *endpoint) recordFailure(now time.Time) {
	if now.Before(e.avoidedUntil) {
		return
	}
	e.avoidedUntil = now.Add(min(maxFailureBackoff, baseFailureBackoff<<min(e.failures, 10)))
	e.failures++
}

// updateBias updates the bias with the delay of a first token beyond its
// prediction.
func (e *endpoint) updateBias(now time.Time, delay time.Duration) {
	bias := e.currentBias(now)
	e.bias = max(0, bias+(delay-bias)/4)
	e.biasUpdatedAt = now
}

// currentBias returns the remaining part of the bias at now.
func (e *endpoint) currentBias(now time.Time) (d time.Duration) {
	if e.bias == 0 {
		return 0
	}
	return time.Duration(float64(e.bias) / (1 + float64(now.Sub(e.biasUpdatedAt))/float64(biasDecayTime)))
}

// reservedTokens returns the number of tokens that a request reserves, or 1 for
// the slot of a plain request.
func reservedTokens(demand banyanplank.Demand) (tokens int) {
	return max(1, demand.MaxTokens())
}
