package balancer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

const (
	// peerReportMaxAge is the age at which a peer's report of its calls in flight
	// expires. It allows for one lost heartbeat of a peer in another zone.
	peerReportMaxAge = 1800 * time.Millisecond
	// peerExpiryInterval is the shortest time between two checks for expired reports.
	peerExpiryInterval = 200 * time.Millisecond
)

// Option configures a [Balancer].
type Option func(*Balancer)

// WithZone prefers endpoints of zone over others of similar cost. The default is
// no preference.
func WithZone(zone banyanplank.Zone) Option {
	return func(b *Balancer) { b.zone = zone }
}

// WithEntry sets the ID of this entry, which decides on its part of the rate limits of
// endpoints. Without it, this entry counts as the first one.
func WithEntry(id banyanplank.DaemonID) Option {
	return func(b *Balancer) { b.entry = id }
}

// WithRandom sets the source of all random choices. The default is a source with
// a random seed.
func WithRandom(random *rand.Rand) Option {
	return func(b *Balancer) { b.random = random }
}

// WithRetryBudget sets the retry budget: in any window, all entries together may send
// ratio retries per request, plus allowance. The default is 0.2 and 40 in 10 s.
func WithRetryBudget(ratio float64, allowance int, window time.Duration) Option {
	return func(b *Balancer) { b.retryRatio, b.retryAllowance, b.retryWindow = ratio, allowance, window }
}

// Balancer assigns calls to the endpoints of all services. It is safe for
// concurrent use.
type Balancer struct {
	mutex          sync.Mutex
	entry          banyanplank.DaemonID
	zone           banyanplank.Zone
	random         *rand.Rand
	retryRatio     float64
	retryAllowance int
	retryWindow    time.Duration
	pools          map[banyanplank.ServiceName]*pool
	peers          map[banyanplank.DaemonID]peerReport
	// peersExpiredAt is when expired reports were last dropped.
	peersExpiredAt time.Time
	// slowUntil is the time at which the last report of a slow endpoint expires.
	slowUntil map[banyanplank.BackendID]time.Time
	// selfReports holds what endpoints reported about themselves, including
	// endpoints that are no longer listed.
	selfReports map[banyanplank.BackendID]*selfReport
	// peerCalls counts the calls in flight of all peers by endpoint.
	peerCalls map[banyanplank.BackendID]int
	// zones holds the last reports of other zones on the calls of their entries to their own
	// endpoints.
	zones map[banyanplank.Zone]peerReport
}

// peerReport is the last report of a peer on its calls in flight.
type peerReport struct {
	receivedAt time.Time
	inFlight   map[banyanplank.BackendID]int
	// isLocal is set if the peer is in the zone of this entry.
	isLocal bool
}

// New returns a balancer without endpoints.
func New(options ...Option) *Balancer {
	b := &Balancer{
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		retryRatio:     0.2,
		retryAllowance: 40,
		retryWindow:    10 * time.Second,
		pools:          make(map[banyanplank.ServiceName]*pool),
		peers:          make(map[banyanplank.DaemonID]peerReport),
		slowUntil:      make(map[banyanplank.BackendID]time.Time),
		selfReports:    make(map[banyanplank.BackendID]*selfReport),
		peerCalls:      make(map[banyanplank.BackendID]int),
		zones:          make(map[banyanplank.Zone]peerReport),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Query describes a call that needs an endpoint.
type Query struct {
	Service banyanplank.ServiceName
	// PromptTokens is the length of the prompt in tokens, zero for plain calls.
	PromptTokens int
	// LatencyGoal is the latency objective for the answer, or for its first event if it
	// is a stream. It also bounds the time in the queue.
	LatencyGoal time.Duration
	// Priority orders the queue; the lowest value goes first.
	Priority int
	// Resumed is set for the rest of an answer that the caller has a part of. Such a
	// call goes before all others and waits for resumedMaxWait.
	Resumed bool
	// Returning is set for a call that was refused and comes back when it was promised a
	// slot. Such a call goes before all but resumed ones.
	Returning bool
	// Avoid lists the endpoints that the call must not be sent to, such as those
	// that it has already tried.
	Avoid []banyanplank.BackendID
}

// Fleet is the state of the system that a balancer depends on.
type Fleet struct {
	Pools    []banyanplank.PoolSpec
	Backends []banyanplank.Backend
	// ZonesOut lists the availability zones that get no new calls.
	ZonesOut map[banyanplank.Zone]bool
	// Entries is the number of live entries that send to the endpoints.
	Entries int
	// KnownEntries is the number of entries among which limits are divided. It includes
	// unreachable entries: behind a partition they still use their part. Zero
	// means Entries.
	KnownEntries int
	// EntryIDs lists the live entries in order, among which the rate limits of endpoints
	// are divided.
	EntryIDs []banyanplank.DaemonID
	// ZoneEntryIDs lists the entries of this entry's zone that accept callers, in order. They
	// divide the slots of the engines of the zone.
	ZoneEntryIDs []banyanplank.DaemonID
	// MaxGaps is the longest time between two events of a stream, by service, that
	// callers accept as on time.
	MaxGaps map[banyanplank.ServiceName]time.Duration
}

// UpdateFleet replaces the state of the fleet. It refuses the queued calls of services
// that are no longer declared, and dispatches those that have an endpoint now.
func (b *Balancer) UpdateFleet(now time.Time, fleet Fleet) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	declared := make(map[banyanplank.ServiceName]bool, len(fleet.Pools))
	for _, spec := range fleet.Pools {
		declared[spec.Name] = true
		p := b.pools[spec.Name]
		if p == nil {
			p = newPool(b, now)
			b.pools[spec.Name] = p
		}
		p.update(now, spec, fleet)
	}
	for name, p := range b.pools {
		if !declared[name] {
			p.refuseQueue()
			delete(b.pools, name)
		}
	}
	listed := make(map[banyanplank.BackendID]bool, len(fleet.Backends))
	for _, backend := range fleet.Backends {
		listed[backend.ID] = true
	}
	b.pruneSelfReports(now, listed)
}

// UpdatePeer replaces the calls that a peer has in flight by endpoint, and dispatches
// queued calls. A local peer is in the zone of this entry.
func (b *Balancer) UpdatePeer(now time.Time, peer banyanplank.DaemonID, isLocal bool, inFlight map[banyanplank.BackendID]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.addPeerCalls(b.peers[peer].inFlight, -1)
	b.addPeerCalls(inFlight, 1)
	b.peers[peer] = peerReport{receivedAt: now, inFlight: inFlight, isLocal: isLocal}
	b.expirePeers(now)
	for _, p := range b.pools {
		p.dispatch(now)
	}
}

// expirePeers drops the expired reports of peers.
func (b *Balancer) expirePeers(now time.Time) {
	if now.Sub(b.peersExpiredAt) < peerExpiryInterval {
		return
	}
	b.peersExpiredAt = now
	for id, report := range b.peers {
		if now.Sub(report.receivedAt) > peerReportMaxAge {
			b.addPeerCalls(report.inFlight, -1)
			delete(b.peers, id)
		}
	}
	for zone, report := range b.zones {
		if now.Sub(report.receivedAt) > peerReportMaxAge {
			delete(b.zones, zone)
		}
	}
}

// slowReportMaxAge is the age at which the report of a slow endpoint expires.
const slowReportMaxAge = 2 * time.Second

// MarkSlow marks endpoints that slow down their group of ranks. They get no calls
// while another endpoint could take them, until no report has marked them for
// slowReportMaxAge.
func (b *Balancer) MarkSlow(now time.Time, endpoints []banyanplank.BackendID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, id := range endpoints {
		b.slowUntil[id] = now.Add(slowReportMaxAge)
	}
	for id, until := range b.slowUntil {
		if now.After(until) {
			delete(b.slowUntil, id)
		}
	}
}

// IsSlow reports whether an endpoint is marked as slowing down its group of ranks.
func (b *Balancer) IsSlow(id banyanplank.BackendID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Now().Before(b.slowUntil[id])
}

// addPeerCalls adds the calls of a peer, multiplied by factor, to the totals by
// endpoint.
func (b *Balancer) addPeerCalls(inFlight map[banyanplank.BackendID]int, factor int) {
	for id, n := range inFlight {
		b.peerCalls[id] += factor * n
		if b.peerCalls[id] == 0 {
			delete(b.peerCalls, id)
		}
	}
}

// InFlight returns this entry's own calls in flight by endpoint, to report to peers.
func (b *Balancer) InFlight() (inFlight map[banyanplank.BackendID]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	inFlight = make(map[banyanplank.BackendID]int)
	for _, p := range b.pools {
		for _, s := range p.endpoints {
			if s.ownCalls > 0 {
				inFlight[s.backend.ID] = s.ownCalls
			}
		}
	}
	return inFlight
}

// Acquire returns a lease to send one call to an endpoint. If all endpoints are
// busy, it queues the call as long as one is expected to be free in time. The error
// is a [*banyanplank.Refusal] with [banyanplank.NotRun].
func (b *Balancer) Acquire(ctx context.Context, query Query) (lease *Lease, err error) {
	now := time.Now()
	b.mutex.Lock()
	b.expirePeers(now)
	p := b.pools[query.Service]
	if p == nil {
		b.mutex.Unlock()
		return nil, newRefusal(banyanplank.ReasonNoEndpoint, retryAfterUnknown, "the service is not declared")
	}
	lease, w, err := p.admit(now, query)
	b.mutex.Unlock()
	if w == nil {
		return lease, err
	}
	return b.awaitSlot(ctx, p, w)
}

// awaitSlot waits until the queued call gets its lease, its time in the queue is
// used up, or ctx is done.
func (b *Balancer) awaitSlot(ctx context.Context, p *pool, w *waiter) (lease *Lease, err error) {
	timer := time.NewTimer(w.maxWait)
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
	p.removeWaiter(w)
	if ctx.Err() != nil {
		return nil, newRefusal(banyanplank.ReasonCanceled, 0, "the caller canceled the call while it was queued")
	}
	return nil, newRefusal(banyanplank.ReasonOverload, p.retryAfterOverload(), "no endpoint became free in time")
}

// newRefusal returns the refusal of a call that was not sent.
func newRefusal(reason banyanplank.Reason, retryAfter time.Duration, detail string) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

// TakeRetry takes one retry from the service's retry budget, which all entries share.
// It returns false if the budget is used up or the service is unknown.
func (b *Balancer) TakeRetry(service banyanplank.ServiceName) (ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.pools[service]
	return p != nil && p.budget.takeRetry(time.Now())
}

// RetryAfter returns the delay after which a caller should retry a call that an
// endpoint did not run.
func (b *Balancer) RetryAfter(service banyanplank.ServiceName) (after time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	switch p := b.pools[service]; {
	case p == nil:
		return retryAfterUnknown
	case p.isDown(now) || !p.isUsable(now, Query{}):
		return p.retryAfterNoEndpoint(now)
	case p.spec.Engine == nil:
		return retryAfterFull + time.Duration(b.random.Int64N(int64(retryAfterFull)))
	default:
		return p.retryAfterOverload()
	}
}

// IsStalled reports whether the streams of any of the service's groups of ranks have
// stalled for several passes.
func (b *Balancer) IsStalled(service banyanplank.ServiceName) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.pools[service]
	if p == nil {
		return false
	}
	for _, g := range p.groups {
		if g.isStalled(time.Now()) {
			return true
		}
	}
	return false
}

// PoolStatus is the state of one service for logs and metrics.
type PoolStatus struct {
	Service  banyanplank.ServiceName
	Backends int
	Usable   int
	InFlight int
	Waiting  int
	// Excluded counts the excluded endpoints by reason.
	Excluded map[Exclusion]int
	// Limit is the lowest limit on the calls in flight of one endpoint.
	Limit float64
	// StreamGap is the mean time between two events of a stream in the slowest group.
	StreamGap time.Duration
}

// Status returns the state of all services, in no particular order.
func (b *Balancer) Status() (all []PoolStatus) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	for _, p := range b.pools {
		all = append(all, p.status(now))
	}
	return all
}
