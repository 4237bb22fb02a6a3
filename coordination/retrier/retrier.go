// Package retrier decides whether and when an entry tries a request again at
// another endpoint.
//
// Only a request that did not run, or one that may run twice and has given its
// caller nothing yet, is tried again. Retries are bounded by a share of the
// fresh requests, so that a failing zone does not multiply the load of the
// others. What is not tried again gets its final answer at once.
//
//	r := retrier.New(rand.New(rand.NewPCG(seed, 0)))
//	r.Fresh(account)
//	delay, ok := r.Next(time.Now(), retrier.Attempt{Account: account, Number: 1, Deadline: deadline}, err)
//
// Requests are never hedged. A second copy of a model request costs a whole
// prefill and its memory when endpoints are short of both, and a copy of a
// request that must not be repeated is forbidden.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The defaults of the options and the backoff.
const (
	// defaultShare is the retries that each fresh request allows.
	defaultShare = 0.2
	// defaultBurst is the most retries that an account saves up.
	defaultBurst = 10
	// mostBudgets bounds the accounts in one generation of budgets.
	mostBudgets = 4096
	// defaultAttempts bounds the attempts of one request, the first included.
	defaultAttempts = 3
	// freeAttempts bounds the attempts of a request while they are free.
	freeAttempts = 8
	// firstDelay bounds the random delay before the second retry. The first
	// goes to another endpoint without one.
	firstDelay = 20 * time.Millisecond
	// mostDelay bounds all delays.
	mostDelay = 200 * time.Millisecond
)

// Attempt describes the attempt that has failed.
type Attempt struct {
	Account banyanplank.AccountID
	// Number counts the attempts of the request so far, this one included.
	Number int
	// Once tells that the request must not be repeated.
	Once bool
	// Free tells that the attempt cost no endpoint anything: the agent was not
	// reached, or takes no new work.
	Free bool
	// Begun tells that the caller has some of the answer.
	Begun bool
	// Deadline is when the caller gives up. Zero means never.
	Deadline time.Time
}

// Retrier holds the retry budgets of one entry, one for each client account, so
// that none uses up another's. Create it with [New]. Its methods may be called
// from many goroutines.
type Retrier struct {
	share    float64
	burst    float64
	attempts int

	mu      sync.Mutex
	random  *rand.Rand
	budgets map[banyanplank.AccountID]float64
	// last holds the budgets of the accounts that were not used since the
	// latest change of generation.
	last map[banyanplank.AccountID]float64
}

// Option configures a [Retrier].
type Option func(*Retrier)

// WithShare sets how many retries each fresh request allows. Larger hides more
// failures and adds more load when many requests fail. The default is 0.2.
func WithShare(share float64) Option {
	return func(r *Retrier) { r.share = share }
}

// WithBurst sets how many retries an account may save up. The default is 10.
func WithBurst(retries int) Option {
	return func(r *Retrier) { r.burst = float64(retries) }
}

// WithAttempts bounds the attempts of one request, the first included. The
// default is 3.
func WithAttempts(count int) Option {
	return func(r *Retrier) { r.attempts = count }
}

// New returns a retrier. Each account begins with one retry. Delays are drawn
// from random.
func New(random *rand.Rand, options ...Option) *Retrier {
	r := &Retrier{share: defaultShare, burst: defaultBurst, attempts: defaultAttempts, random: random}
	for _, option := range options {
		option(r)
	}
	r.budgets = map[banyanplank.AccountID]float64{}
	return r
}

// Fresh counts a request of an account that is not a retry.
func (r *Retrier) Fresh(account banyanplank.AccountID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(account, min(r.burst, r.budget(account)+r.share))
}

// budget returns the retries that an account may make.
func (r *Retrier) budget(account banyanplank.AccountID) float64 {
	if budget, ok := r.budgets[account]; ok {
		return budget
	}
	if budget, ok := r.last[account]; ok {
		return budget
	}
	return min(1, r.burst)
}

// set keeps the budget of an account. Accounts that are not used for two
// generations are forgotten.
func (r *Retrier) set(account banyanplank.AccountID, budget float64) {
	r.budgets[account] = budget
	if len(r.budgets) >= mostBudgets {
		r.last = r.budgets
		r.budgets = make(map[banyanplank.AccountID]float64, mostBudgets)
	}
}

// Next tells after which delay to try again, or that err is final. A retry
// that it allows is taken from the budget.
func (r *Retrier) Next(now time.Time, attempt Attempt, err error) (delay time.Duration, ok bool) {
	if !mayRepeat(attempt, err) {
		return 0, false
	}
	var refusal *banyanplank.Refusal
	attempt.Free = errors.As(err, &refusal) && IsFree(refusal)
	return r.Allow(now, attempt)
}

// Allow is [Retrier.Next] for a caller that has decided that the request may
// be repeated.
func (r *Retrier) Allow(now time.Time, attempt Attempt) (delay time.Duration, ok bool) {
	most := r.attempts
	if attempt.Free {
		most = max(most, freeAttempts)
	}
	if attempt.Number >= most {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delay = r.delay(attempt.Number)
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
	r.set(attempt.Account, budget-1)
	return delay, true
}

// delay draws the delay after an attempt.
func (r *Retrier) delay(number int) time.Duration {
	if number <= 1 {
		return 0
	}
	most := min(mostDelay, firstDelay<<min(number-2, 10))
	return time.Duration(r.random.Int64N(int64(most)))
}

// mayRepeat reports whether another endpoint may get the request.
func mayRepeat(attempt Attempt, err error) bool {
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) || attempt.Begun {
		return false
	}
	switch refusal.Outcome {
	case banyanplank.NotRun:
		return isElsewhere(refusal.Reason)
	case banyanplank.OutcomeUnknown:
		return !attempt.Once && isLost(refusal.Reason)
	default:
		return false
	}
}

// isElsewhere reports whether another endpoint could run what one refused for
// the reason.
func isElsewhere(reason banyanplank.Reason) bool {
	switch reason {
	case banyanplank.ReasonOverload, banyanplank.ReasonDeadline, banyanplank.ReasonZoneOut,
		banyanplank.ReasonLeaving, banyanplank.ReasonUnreachable, banyanplank.ReasonEndpoint,
		banyanplank.ReasonStale:
		return true
	default:
		return false
	}
}

// IsFree reports whether a refusal cost no endpoint anything. Such attempts are
// not taken from the budget, which is there to keep failures from multiplying
// load.
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

// isLost reports whether the reason is the loss of the agent or the endpoint.
func isLost(reason banyanplank.Reason) bool {
	return reason == banyanplank.ReasonUnreachable || reason == banyanplank.ReasonEndpoint
}
