package balancer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// peerAge is how old the word of a peer on its calls in flight may be. It allows
// for a lost heartbeat of a peer in another zone.
const peerAge = 1800 * time.Millisecond

// Option configures a [Balancer].
type Option func(*Balancer)

// WithZone prefers endpoints of zone among near equals. The default is none.
func WithZone(zone banyanplank.Zone) Option {
	return func(b *Balancer) { b.zone = zone }
}

// WithRandom draws choices among equals from random. The default is a source
// with a random seed.
func WithRandom(random *rand.Rand) Option {
	return func(b *Balancer) { b.random = random }
}

// WithRepeats bounds repeats by share of the requests and a number for a span,
// summed over all entries. The default is 0.2 and 40 in 10 s.
func WithRepeats(share float64, slack int, span time.Duration) Option {
	return func(b *Balancer) { b.share, b.slack, b.span = share, slack, span }
}

// Balancer knows the endpoints of all services. Its methods may be called from
// many goroutines.
type Balancer struct {
	mutex  sync.Mutex
	zone   banyanplank.Zone
	random *rand.Rand
	share  float64
	slack  int
	span   time.Duration
	pools  map[banyanplank.ServiceName]*pool
	peers  map[banyanplank.DaemonID]peerWord
	// slow tells until when endpoints count as slow.
	slow map[banyanplank.BackendID]time.Time
	// said is what endpoints have said of themselves, listed or not.
	said map[banyanplank.BackendID]*said
	// others counts the calls of all peers by endpoint.
	others map[banyanplank.BackendID]int
}

// peerWord is what a peer said of its calls in flight.
type peerWord struct {
	at       time.Time
	inFlight map[banyanplank.BackendID]int
}

// New returns a balancer that knows no endpoint.
func New(options ...Option) *Balancer {
	b := &Balancer{
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		share:  0.2,
		slack:  40,
		span:   10 * time.Second,
		pools:  make(map[banyanplank.ServiceName]*pool),
		peers:  make(map[banyanplank.DaemonID]peerWord),
		slow:   make(map[banyanplank.BackendID]time.Time),
		said:   make(map[banyanplank.BackendID]*said),
		others: make(map[banyanplank.BackendID]int),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Query is a call that needs an endpoint.
type Query struct {
	Service banyanplank.ServiceName
	// Prompt is the length of the prompt in tokens, zero for plain calls.
	Prompt int
	// Goal is the time within which the answer, or its first event, is on time.
	Goal time.Duration
	// Priority orders the calls that wait; 0 goes first.
	Priority int
	// Avoid lists the endpoints that this call has already tried.
	Avoid []banyanplank.BackendID
}

// Fleet is what a balancer has to know of the rest of the system.
type Fleet struct {
	Pools    []banyanplank.PoolSpec
	Backends []banyanplank.Backend
	// Out lists the availability zones that get no new work.
	Out map[banyanplank.Zone]bool
	// Entries is the number of entries that send to the endpoints.
	Entries int
	// Sharers is the number of entries among which limits are divided. It counts
	// those that can't be heard, which may be cut off and use their share all the
	// same. Zero means Entries.
	Sharers int
	// Gaps tells, by service, the longest pause between two events that callers
	// take as on time.
	Gaps map[banyanplank.ServiceName]time.Duration
}

// Renew takes in the fleet as it is now known.
func (b *Balancer) Renew(now time.Time, fleet Fleet) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	named := make(map[banyanplank.ServiceName]bool, len(fleet.Pools))
	for _, spec := range fleet.Pools {
		named[spec.Name] = true
		p := b.pools[spec.Name]
		if p == nil {
			p = newPool(b, now)
			b.pools[spec.Name] = p
		}
		p.renew(now, spec, fleet)
	}
	for name, p := range b.pools {
		if !named[name] {
			p.refuseAll()
			delete(b.pools, name)
		}
	}
	listed := make(map[banyanplank.BackendID]bool, len(fleet.Backends))
	for _, backend := range fleet.Backends {
		listed[backend.ID] = true
	}
	b.forgetSaid(now, listed)
}

// Hear takes in the calls that a peer has in flight.
func (b *Balancer) Hear(now time.Time, peer banyanplank.DaemonID, inFlight map[banyanplank.BackendID]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.shift(b.peers[peer].inFlight, -1)
	b.shift(inFlight, 1)
	b.peers[peer] = peerWord{at: now, inFlight: inFlight}
	for id, word := range b.peers {
		if now.Sub(word.at) > peerAge {
			b.shift(word.inFlight, -1)
			delete(b.peers, id)
		}
	}
	for _, p := range b.pools {
		p.dispatch(now)
	}
}

// slowAge is how old the word that an endpoint is slow may be.
const slowAge = 2 * time.Second

// Slow takes in which endpoints hold up their group of ranks. They get no calls
// while others have room, until nobody says so any more.
func (b *Balancer) Slow(now time.Time, endpoints []banyanplank.BackendID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, id := range endpoints {
		b.slow[id] = now.Add(slowAge)
	}
	for id, until := range b.slow {
		if now.After(until) {
			delete(b.slow, id)
		}
	}
}

// IsSlow reports whether an endpoint holds up its group of ranks.
func (b *Balancer) IsSlow(id banyanplank.BackendID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Now().Before(b.slow[id])
}

// shift adds calls of a peer to what the endpoints hold, or takes them away.
func (b *Balancer) shift(inFlight map[banyanplank.BackendID]int, sign int) {
	for id, n := range inFlight {
		b.others[id] += sign * n
		if b.others[id] == 0 {
			delete(b.others, id)
		}
	}
}

// InFlight returns the own calls in flight by endpoint, for the peers.
func (b *Balancer) InFlight() (inFlight map[banyanplank.BackendID]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	inFlight = make(map[banyanplank.BackendID]int)
	for _, p := range b.pools {
		for _, s := range p.seats {
			if s.own > 0 {
				inFlight[s.backend.ID] = s.own
			}
		}
	}
	return inFlight
}

// Acquire returns the right to send one call to an endpoint. It waits while all
// are busy and a place is expected in time. The error is a
// [*banyanplank.Refusal] with [banyanplank.NotRun].
func (b *Balancer) Acquire(ctx context.Context, query Query) (lease *Lease, err error) {
	now := time.Now()
	b.mutex.Lock()
	p := b.pools[query.Service]
	if p == nil {
		b.mutex.Unlock()
		return nil, refuse(banyanplank.ReasonNoEndpoint, retryUnknown, "the service is not declared")
	}
	lease, w, err := p.admit(now, query)
	b.mutex.Unlock()
	if w == nil {
		return lease, err
	}
	return b.await(ctx, p, w)
}

// await waits for a place until the waiter's time is up.
func (b *Balancer) await(ctx context.Context, p *pool, w *waiter) (lease *Lease, err error) {
	timer := time.NewTimer(w.patience)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.lease, w.err
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	select {
	case <-w.done:
		return w.lease, w.err
	default:
	}
	p.leave(w)
	if ctx.Err() != nil {
		return nil, refuse(banyanplank.ReasonCanceled, 0, "the caller left while the call waited")
	}
	return nil, refuse(banyanplank.ReasonOverload, p.retryAfter(), "no place came free in time")
}

// refuse returns the refusal of a call that was not sent.
func refuse(reason banyanplank.Reason, after time.Duration, detail string) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: reason, RetryAfter: after, Detail: detail}
}

// Repeat takes one repeat of a call to a service from the budget that all
// entries share, or reports that it is used up.
func (b *Balancer) Repeat(service banyanplank.ServiceName) (ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.pools[service]
	return p != nil && p.budget.take(time.Now())
}

// RetryAfter returns when the caller of a call that an endpoint has not run should
// return.
func (b *Balancer) RetryAfter(service banyanplank.ServiceName) (after time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	switch p := b.pools[service]; {
	case p == nil:
		return retryUnknown
	case p.isDown(now) || !p.isUsable(now, Query{}):
		return p.retryBroken(now)
	case p.spec.Engine == nil:
		return retryFull + time.Duration(b.random.Int64N(int64(retryFull)))
	default:
		return p.retryAfter()
	}
}

// Stands reports whether the streams of some group of ranks have stood still for some
// passes.
func (b *Balancer) Stands(service banyanplank.ServiceName) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.pools[service]
	if p == nil {
		return false
	}
	for _, g := range p.groups {
		if g.stands(time.Now()) {
			return true
		}
	}
	return false
}

// PoolStatus describes one service for logs and metrics.
type PoolStatus struct {
	Service  banyanplank.ServiceName
	Backends int
	Usable   int
	InFlight int
	Waiting  int
	// Barred counts the endpoints that get no calls, by reason.
	Barred map[Barrier]int
	// Limit is the calls that one endpoint may hold, in the group that may least.
	Limit float64
	// Pace is the time between two events of a stream, in the slowest group.
	Pace time.Duration
}

// Status describes all services.
func (b *Balancer) Status() (all []PoolStatus) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	for _, p := range b.pools {
		all = append(all, p.status(now))
	}
	return all
}
