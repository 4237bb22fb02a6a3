package limiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Parameters of the division of a limit among entries.
const (
	// evenShare is the part of a limit that is split evenly.
	evenShare = 1.0 / 8
	// burstDuration bounds the burst of an entry: the requests that its even rate
	// allows in this time.
	burstDuration = time.Second
	// demandWindow is the time constant of the moving averages of the demand.
	demandWindow = 2 * time.Second
	// minSweepAccounts is the smallest number of accounts at which adding one
	// causes a sweep.
	minSweepAccounts = 1024
)

// limits holds the configured limits of an account, in requests per second and
// in requests in flight. Zero means no limit.
type limits struct {
	rate       float64
	concurrent float64
}

// demand is the demand of an account above its even shares, in requests per second
// and in requests in flight.
type demand struct {
	rate    float64
	running float64
}

// account is the state of one account with a limit.
type account struct {
	limits limits
	// tokens is the level of the token bucket at refilledAt, in requests.
	tokens     float64
	refilledAt time.Time
	// running counts the requests in flight. recentRefusals counts those refused
	// by the concurrency limit, decaying over demandWindow.
	running        int
	recentRefusals float64
	// requestRate is the average number of requests per second at updatedAt,
	// including refused ones.
	requestRate float64
	updatedAt   time.Time
	// ownDemand is the demand here that the owners know, otherDemand the demand at
	// the other entries that an owner replied with at repliedAt.
	ownDemand   demand
	otherDemand demand
	repliedAt   time.Time
}

// Limiter enforces the limits of all accounts at one entry. Create it with
// [New]. It is safe for concurrent use.
type Limiter struct {
	entry banyanplank.DaemonID

	mu      sync.Mutex
	entries []banyanplank.DaemonID
	// configuration is the latest one applied.
	configuration *banyanplank.Configuration

	limits   map[banyanplank.AccountID]limits
	accounts map[banyanplank.AccountID]*account
	// demands holds the demand by entry of the accounts that this entry owns.
	demands map[banyanplank.AccountID]map[banyanplank.DaemonID]entryDemand
	sweepAt int
	// scratch is the buffer of [Limiter.Report].
	scratch []Usage
}

// New returns a limiter for the given entry. It has no limits until [Limiter.Reconfigure].
func New(entry banyanplank.DaemonID) *Limiter {
	return &Limiter{
		entry:    entry,
		entries:  []banyanplank.DaemonID{entry},
		accounts: map[banyanplank.AccountID]*account{},
		demands:  map[banyanplank.AccountID]map[banyanplank.DaemonID]entryDemand{},
		sweepAt:  minSweepAccounts,
	}
}

// Reconfigure sets the limits of the accounts and the live entries that share them. It
// does not read the limits again if the configuration is the one already applied.
func (l *Limiter) Reconfigure(configuration *banyanplank.Configuration, entries []banyanplank.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.Clone(entries)
	if !slices.Contains(l.entries, l.entry) {
		l.entries = append(l.entries, l.entry)
	}
	if configuration == l.configuration {
		return
	}
	l.configuration = configuration
	l.limits = map[banyanplank.AccountID]limits{}
	for _, spec := range configuration.Accounts {
		if spec.MaxRate > 0 || spec.MaxConcurrent > 0 {
			l.limits[spec.Name] = limits{rate: spec.MaxRate, concurrent: float64(spec.MaxConcurrent)}
		}
	}
	for id, a := range l.accounts {
		a.limits = l.limits[id]
	}
}

// Acquire admits a request of an account or refuses it. The error is a
// [*banyanplank.Refusal] with [banyanplank.NotRun] and
// [banyanplank.ReasonLimit]. After a nil error, call [Limiter.Release] when the
// request has ended.
func (l *Limiter) Acquire(now time.Time, id banyanplank.AccountID) (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, id)
	if a == nil {
		return nil
	}
	a.recordRequest(now)
	evenRate, rate, running := l.allowance(now, a)
	a.refill(now, rate, evenRate)
	switch {
	case a.limits.concurrent > 0 && float64(a.running) >= running:
		a.recentRefusals++
		return newRefusal(time.Second, "the client account has too many requests in flight")
	case a.limits.rate > 0 && a.tokens < 1:
		return newRefusal(secondsToDuration((1-a.tokens)/rate), "the client account sends too many requests a second")
	}
	if a.limits.rate > 0 {
		a.tokens--
	}
	a.running++
	return nil
}

// Release ends a request that [Limiter.Acquire] admitted.
func (l *Limiter) Release(id banyanplank.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[id]; a != nil {
		a.running = max(0, a.running-1)
	}
}

// account returns the state of an account and creates it if needed. It returns
// nil if the account has no state and no limits.
func (l *Limiter) account(now time.Time, id banyanplank.AccountID) *account {
	if a, ok := l.accounts[id]; ok {
		return a
	}
	bounds, ok := l.limits[id]
	if !ok {
		return nil
	}
	if len(l.accounts) >= l.sweepAt {
		l.sweep(now)
	}
	a := &account{limits: bounds, refilledAt: now, updatedAt: now}
	a.tokens = burstSize(bounds.rate / float64(len(l.entries)))
	l.accounts[id] = a
	return a
}

// sweep removes the accounts that have been idle for four times demandWindow.
func (l *Limiter) sweep(now time.Time) {
	for id, a := range l.accounts {
		if a.running == 0 && now.Sub(a.updatedAt) > 4*demandWindow {
			delete(l.accounts, id)
		}
	}
	l.sweepAt = max(minSweepAccounts, 2*len(l.accounts))
}

// recordRequest adds one request to the moving averages.
func (a *account) recordRequest(now time.Time) {
	decay := math.Exp(-float64(now.Sub(a.updatedAt)) / float64(demandWindow))
	a.requestRate = a.requestRate*decay + 1/demandWindow.Seconds()
	a.recentRefusals *= decay
	a.updatedAt = now
}

// excessDemand returns the demand of the account at this entry above its even
// share.
func (l *Limiter) excessDemand(now time.Time, a *account) (excess demand) {
	decay := math.Exp(-float64(now.Sub(a.updatedAt)) / float64(demandWindow))
	evenFraction := evenShare / float64(len(l.entries))
	if bound := a.limits.rate; bound > 0 {
		excess.rate = max(0, min(bound, a.requestRate*decay)-bound*evenFraction)
	}
	if bound := a.limits.concurrent; bound > 0 {
		excess.running = max(0, min(bound, float64(a.running)+a.recentRefusals*decay)-bound*evenFraction)
	}
	return excess
}

// allowance returns the rate of an even split among the entries, and the rate and
// the concurrency that this entry may use.
func (l *Limiter) allowance(now time.Time, a *account) (evenRate, rate, running float64) {
	entries := float64(len(l.entries))
	evenRate = a.limits.rate / entries
	if entries > 1 && now.Sub(a.repliedAt) > demandTTL {
		return evenRate, evenRate, max(1, math.Floor(a.limits.concurrent/entries))
	}
	rate = entryShare(a.limits.rate, entries, a.ownDemand.rate, a.otherDemand.rate)
	running = entryShare(a.limits.concurrent, entries, a.ownDemand.running, a.otherDemand.running)
	return evenRate, rate, max(1, math.Floor(running))
}

// entryShare returns the share of a bound for an entry with ownDemand while the
// other entries have otherDemand in total.
func entryShare(bound, entries, ownDemand, otherDemand float64) float64 {
	if entries == 1 {
		return bound
	}
	even := bound * evenShare / entries
	if ownDemand == 0 {
		return even
	}
	return even + bound*(1-evenShare)*ownDemand/(ownDemand+otherDemand)
}

// refill adds the tokens since the last refill to the token bucket.
func (a *account) refill(now time.Time, rate, evenRate float64) {
	a.tokens = min(burstSize(evenRate), a.tokens+rate*now.Sub(a.refilledAt).Seconds())
	a.refilledAt = now
}

// burstSize returns the size of the token bucket, in requests.
func burstSize(evenRate float64) float64 {
	return max(1, evenRate*burstDuration.Seconds())
}

// The bounds of the retry delay that is recommended to callers.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

func newRefusal(retry time.Duration, detail string) error {
	rounded := (retry + time.Second - 1).Truncate(time.Second)
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonLimit,
		RetryAfter: min(maxRetryAfter, max(minRetryAfter, rounded)),
		Detail:     detail,
	}
}

// secondsToDuration converts seconds to a duration of at most maxRetryAfter.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
