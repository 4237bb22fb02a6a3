package balancer

import "time"

// retryBudgetShare is the part of the allowed retries that entries use. The rest is
// a margin, since no entry knows exactly how many retries the others send.
const retryBudgetShare = 0.7

// retryBudget limits the retries of one entry to a ratio of its own requests, plus
// its part of the allowance that all entries share. It counts requests and retries
// in the current and the previous window.
type retryBudget struct {
	ratio            float64
	allowance        float64
	window           time.Duration
	windowStart      time.Time
	requests         float64
	previousRequests float64
	retries          float64
	previousRetries  float64
}

// advance starts a new window if the current one has ended.
func (u *retryBudget) advance(now time.Time) {
	elapsed := now.Sub(u.windowStart)
	if elapsed < u.window {
		return
	}
	u.previousRequests, u.previousRetries = u.requests, u.retries
	if elapsed >= 2*u.window {
		u.previousRequests, u.previousRetries = 0, 0
	}
	u.requests, u.retries = 0, 0
	u.windowStart = now
}

// countRequest counts a request that is not a retry.
func (u *retryBudget) countRequest(now time.Time) {
	u.advance(now)
	u.requests++
}

// takeRetry counts a retry and returns true if the budget allows it. The previous
// window counts in proportion to its overlap with the sliding window that ends now.
func (u *retryBudget) takeRetry(now time.Time) (ok bool) {
	u.advance(now)
	overlap := 1 - now.Sub(u.windowStart).Seconds()/u.window.Seconds()
	requests := u.requests + u.previousRequests*overlap
	retries := u.retries + u.previousRetries*overlap
	if retries+1 > retryBudgetShare*(u.ratio*requests+u.allowance) {
		return false
	}
	u.retries++
	return true
}
