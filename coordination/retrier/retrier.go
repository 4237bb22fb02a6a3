// Package retrier decides whether and when an entry retries a request at
// another endpoint.
//
// A request is retried only if it did not run, or if it may run twice and its
// caller has received nothing yet. A retry budget limits retries to a fraction
// of the first attempts, so that a failing zone does not multiply the load on
// the others. A request that is not retried gets its final answer at once.
//
//	r := retrier.New(rand.New(rand.NewPCG(seed, 0)))
//	r.AddFirstAttempt(account)
//	attempt := retrier.Attempt{Account: account, Number: 1, Deadline: deadline}
//	delay, ok := r.NextDelay(time.Now(), attempt, err)
//
// Requests are never hedged. A second copy of a model request costs another
// prefill and its memory when endpoints are short of both, and a request that
// must run at most once must not be copied.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The defaults of the options, and the limits of the budgets and the backoff.
const (
	// defaultRetryRatio is the number of retries that each first attempt adds
	// to the budget.
	defaultRetryRatio = 0.2
	// defaultBurst is the maximum budget of an account, in retries.
	defaultBurst = 10
	// maxAccounts is the maximum number of accounts in one generation of
	// budgets.
	maxAccounts = 4096
	// defaultMaxAttempts limits the attempts of one request, including the
	// first.
	defaultMaxAttempts = 3
	// maxFreeAttempts limits the attempts of a request while they are free.
	maxFreeAttempts = 8
	// baseDelay is the upper bound of the random delay before the second retry.
	// The first retry goes to another endpoint without a delay.
	baseDelay = 20 * time.Millisecond
	// maxDelay is the upper bound of all delays.
	maxDelay = 200 * time.Millisecond
)

// Attempt describes a failed attempt.
type Attempt struct {
	Account banyanplank.AccountID
	// Number is the number of attempts of the request so far, including this
	// one.
	Number int
	// AtMostOnce reports that the request must run at most once.
	AtMostOnce bool
	// Free reports that the attempt put no load on an endpoint: the agent was
	// not reached, or accepts no new requests.
	Free bool
	// AnswerStarted reports whether the caller has received a part of the answer.
	AnswerStarted bool
	// Deadline is the time at which the caller stops waiting. Zero means none.
	Deadline time.Time
}

// Retrier holds the retry budgets of one entry. Each client account has its own
// budget, so that no account exhausts that of another. Create it with [New].
// Its methods are safe for concurrent use.
type Retrier struct {
	retryRatio  float64
	burst       float64
	maxAttempts int

	mu      sync.Mutex
	random  *rand.Rand
	budgets map[banyanplank.AccountID]float64
	// previousBudgets holds the budgets of the accounts that were not used
	// since the latest change of generation.
	previousBudgets map[banyanplank.AccountID]float64
}

// Option configures a [Retrier].
type Option func(*Retrier)

// WithRetryRatio sets the number of retries that each first attempt adds to the
// budget. A larger ratio hides more failures but adds more load when many
// requests fail. The default is 0.2.
func WithRetryRatio(ratio float64) Option {
	return func(r *Retrier) { r.retryRatio = ratio }
}

// WithBurst sets the maximum budget of an account, in retries. The default is
// 10.
func WithBurst(retries int) Option {
	return func(r *Retrier) { r.burst = float64(retries) }
}

// WithMaxAttempts limits the attempts of one request, including the first. The
// default is 3.
func WithMaxAttempts(count int) Option {
	return func(r *Retrier) { r.maxAttempts = count }
}

// New returns a retrier. The budget of each account starts at one retry. Delays
// are drawn from random.
func New(random *rand.Rand, options ...Option) *Retrier {
	r := &Retrier{retryRatio: defaultRetryRatio, burst: defaultBurst, maxAttempts: defaultMaxAttempts, random: random}
	for _, option := range options {
		option(r)
	}
	r.budgets = map[banyanplank.AccountID]float64{}
	return r
}

// AddFirstAttempt adds the first attempt of a request to the budget of its account.
func (r *Retrier) AddFirstAttempt(account banyanplank.AccountID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setBudget(account, min(r.burst, r.budget(account)+r.retryRatio))
}

// budget returns the number of retries that an account may make.
func (r *Retrier) budget(account banyanplank.AccountID) float64 {
	if budget, ok := r.budgets[account]; ok {
		return budget
	}
	if budget, ok := r.previousBudgets[account]; ok {
		return budget
	}
	return min(1, r.burst)
}

// setBudget stores the budget of an account. Accounts that are unused for two
// generations are dropped.
func (r *Retrier) setBudget(account banyanplank.AccountID, budget float64) {
	r.budgets[account] = budget
	if len(r.budgets) >= maxAccounts {
		r.previousBudgets = r.budgets
		r.budgets = make(map[banyanplank.AccountID]float64, maxAccounts)
	}
}

// NextDelay returns the delay before the next attempt, or false if err is final. It
// deducts the retry from the budget unless the attempt was free.
func (r *Retrier) NextDelay(now time.Time, attempt Attempt, err error) (delay time.Duration, ok bool) {
	if !mayRetry(attempt, err) {
		return 0, false
	}
	var refusal *banyanplank.Refusal
	attempt.Free = errors.As(err, &refusal) && IsFree(refusal)
	return r.Allow(now, attempt)
}

// Allow is like [Retrier.NextDelay], but for a caller that has already established
// that the request may be repeated.
func (r *Retrier) Allow(now time.Time, attempt Attempt) (delay time.Duration, ok bool) {
	limit := r.maxAttempts
	if attempt.Free {
		limit = max(limit, maxFreeAttempts)
	}
	if attempt.Number >= limit {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delay = r.drawDelay(attempt.Number)
	if !attempt.Deadline.IsZero() && !now.Add(delay).Before(attempt.Deadline) {
		return 0, false
	}
	if attempt.Free {
		return delay, true
	}
	budget := r.budget(attempt.Account)
	if budget < 1 {
		return 0, false
	}
	r.setBudget(attempt.Account, budget-1)
	return delay, true
}

// drawDelay returns a random delay to wait after the given attempt.
func (r *Retrier) drawDelay(number int) time.Duration {
	if number <= 1 {
		return 0
	}
	limit := min(maxDelay, baseDelay<<min(number-2, 10))
	return time.Duration(r.random.Int64N(int64(limit)))
}

// mayRetry reports whether the request may be sent to another endpoint.
func mayRetry(attempt Attempt, err error) bool {
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) || attempt.AnswerStarted {
		return false
	}
	switch refusal.Outcome {
	case banyanplank.NotRun:
		return isRunnableElsewhere(refusal.Reason)
	case banyanplank.OutcomeUnknown:
		return !attempt.AtMostOnce && isEndpointLoss(refusal.Reason)
	default:
		return false
	}
}

// isRunnableElsewhere reports whether another endpoint could run a request that
// one endpoint refused for the reason.
func isRunnableElsewhere(reason banyanplank.Reason) bool {
	switch reason {
	case banyanplank.ReasonOverload, banyanplank.ReasonDeadline, banyanplank.ReasonZoneOut,
		banyanplank.ReasonLeaving, banyanplank.ReasonUnreachable, banyanplank.ReasonEndpoint,
		banyanplank.ReasonStale:
		return true
	default:
		return false
	}
}

// IsFree reports whether the refused attempt put no load on an endpoint. Such
// attempts are not deducted from the budget, whose purpose is to keep failures
// from multiplying the load.
func IsFree(refusal *banyanplank.Refusal) bool {
	if refusal.Outcome != banyanplank.NotRun {
		return false
	}
	switch refusal.Reason {
	case banyanplank.ReasonZoneOut, banyanplank.ReasonLeaving, banyanplank.ReasonUnreachable, banyanplank.ReasonStale:
		return true
	default:
		return false
	}
}

// isEndpointLoss reports whether the reason is the loss of the agent or the
// endpoint.
func isEndpointLoss(reason banyanplank.Reason) bool {
	return reason == banyanplank.ReasonUnreachable || reason == banyanplank.ReasonEndpoint
}
