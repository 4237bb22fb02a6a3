package balancer

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The delays after which refused callers are told to retry.
const (
	// retryAfterUnknown is for causes of unknown duration.
	retryAfterUnknown = 500 * time.Millisecond
	// retryAfterFull is for plain endpoints that were full. Their calls take around
	// ten milliseconds.
	retryAfterFull = 50 * time.Millisecond
	// retryAfterMin and retryAfterMax bound the delay when all endpoints are busy.
	// It varies, so that callers refused together do not retry together.
	retryAfterMin = 250 * time.Millisecond
	retryAfterMax = 2 * time.Second
	// retryAfterRankLost and retryAfterRankLostMax bound the delay for a group of
	// ranks that has lost one. It takes calls again once the rank is back, which
	// takes about 2 s on the users' platform. Callers retry once, and wait for at
	// most a third of their remaining time, which is 2.7 s at most.
	retryAfterRankLost    = 2 * time.Second
	retryAfterRankLostMax = 2600 * time.Millisecond
	// groupFormTime is the time from the return of all ranks until a group takes
	// calls: 0.6 s on the users' platform, plus the time until the first probe.
	groupFormTime = 850 * time.Millisecond
)

// The thresholds for detecting a group of ranks that has lost one.
const (
	// silentAfter is the time without an event on any stream of a group after
	// which the group counts as down. A pass takes 100 ms.
	silentAfter = 500 * time.Millisecond
	// silentAfterPasses is the same limit in passes, for slow groups.
	silentAfterPasses = 4
	// stalledAfter and stalledAfterPasses are the lower limits after which a pass
	// may have been left held. A false alarm costs one report of each rank.
	stalledAfter       = 300 * time.Millisecond
	stalledAfterPasses = 3
	// minStreams is the number of streams that it takes to judge their group.
	minStreams = 3
	// probeInterval is the time between two calls that probe a group that is down.
	probeInterval = 250 * time.Millisecond
)

// The limits on queueing and on the choice of endpoints.
const (
	// maxWaitShare is the part of its latency goal that a call may spend in the
	// queue. The rest is left for the endpoint.
	maxWaitShare = 0.4
	// resumedMaxWait is how long the rest of an answer may be queued. Callers leave
	// after two seconds without an event.
	resumedMaxWait = time.Second
	// plainCallsPerSlot is the limit on the calls of a plain endpoint per slot,
	// running and queued.
	plainCallsPerSlot = 2
	// defaultSlots is for endpoints that don't report a number of slots.
	defaultSlots = 8
	// minSample is the number of endpoints of the entry's zone that are compared
	// for a call in addition to the entry's share of all endpoints.
	minSample = 2
)

// pool holds the endpoints and the queue of one service.
type pool struct {
	owner     *Balancer
	spec      banyanplank.PoolSpec
	endpoints map[banyanplank.BackendID]*endpointState
	// shuffled lists the endpoints in random order. localEndpoints counts those in
	// the entry's zone, or is zero while that zone is out of service.
	shuffled       []*endpointState
	localEndpoints int
	entries        int
	// zoneEntries is the number of entries of the zone that accept callers.
	zoneEntries int
	queue       []*waiter
	budget      retryBudget
	// finished counts the calls that ended since windowStart. finishRate is the
	// calls per second that ended in the previous window.
	finished    float64
	finishRate  float64
	windowStart time.Time
	// groups holds the groups of ranks by name. Plain endpoints share a group with
	// an empty name.
	groups map[banyanplank.GroupName]*group
}

// waiter is a call in the queue.
type waiter struct {
	query   Query
	maxWait time.Duration
	done    chan struct{}
	lease   *Lease
	err     error
}

// newPool returns a pool without endpoints.
func newPool(owner *Balancer, now time.Time) *pool {
	return &pool{
		owner:       owner,
		endpoints:   make(map[banyanplank.BackendID]*endpointState),
		groups:      make(map[banyanplank.GroupName]*group),
		budget:      retryBudget{ratio: owner.retryRatio, allowance: float64(owner.retryAllowance), window: owner.retryWindow},
		windowStart: now,
	}
}

// update replaces the endpoints of the service, and dispatches queued calls.
func (p *pool) update(now time.Time, spec banyanplank.PoolSpec, fleet Fleet) {
	p.spec = spec
	entries := max(1, fleet.Entries)
	p.entries, p.zoneEntries = entries, len(fleet.ZoneEntryIDs)
	knownEntries := float64(max(entries, fleet.KnownEntries))
	p.budget.allowance = float64(p.owner.retryAllowance) / knownEntries
	listed, present := make(map[banyanplank.BackendID]bool), make(map[banyanplank.GroupName]bool)
	for _, backend := range fleet.Backends {
		if backend.Service != spec.Name {
			continue
		}
		listed[backend.ID], present[backend.Group] = true, true
		g := p.groups[backend.Group]
		if g == nil {
			g = &group{}
			p.groups[backend.Group] = g
		}
		g.concurrency.configure(spec.Engine, fleet.MaxGaps[spec.Name])
		s := p.endpoints[backend.ID]
		if s == nil || s.backend.Address != backend.Address || !s.backend.Born.Equal(backend.Born) {
			s = newEndpointState(p, g, backend)
			p.endpoints[backend.ID] = s
			if spec.Engine != nil && g.isDown(now) {
				g.reopensAt = now.Add(groupFormTime)
			}
		}
		s.moveToGroup(g)
		s.update(now, backend, fleet.ZonesOut[backend.Zone], spec.ColdRate/knownEntries)
	}
	rank, _ := slices.BinarySearch(fleet.EntryIDs, p.owner.entry)
	for id := range p.endpoints {
		if !listed[id] {
			delete(p.endpoints, id)
		}
	}
	maps.DeleteFunc(p.groups, func(name banyanplank.GroupName, _ *group) bool { return !present[name] })
	p.shuffled, p.localEndpoints = p.shuffled[:0], 0
	zoneRank, inZone := slices.BinarySearch(fleet.ZoneEntryIDs, p.owner.entry)
	for i, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		s := p.endpoints[id]
		s.divideLimit(now, limitDivision{endpoint: i, endpoints: len(p.endpoints), entry: rank, entries: max(1, len(fleet.EntryIDs))})
		p.shuffled = append(p.shuffled, s)
		s.slots = slotDivision{}
		if s.backend.Zone == p.owner.zone && !s.zoneOut {
			if inZone {
				s.slots = slotDivision{endpoint: p.localEndpoints, entry: zoneRank, entries: len(fleet.ZoneEntryIDs)}
			}
			p.localEndpoints++
		}
	}
	for _, s := range p.shuffled {
		s.slots.endpoints = p.localEndpoints
	}
	p.dispatch(now)
}

// limit returns the limit on the calls in flight of an endpoint.
func (p *pool) limit(s *endpointState) (calls float64) {
	slots := s.backend.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	if p.spec.Engine == nil {
		return float64(slots * plainCallsPerSlot)
	}
	return s.group.concurrency.limit(float64(slots))
}

// admit grants a lease to a call, queues it, or refuses it.
func (p *pool) admit(now time.Time, query Query) (lease *Lease, w *waiter, err error) {
	if len(query.Avoid) == 0 {
		p.budget.countRequest(now)
	}
	if len(p.queue) == 0 {
		if s := p.chooseEndpoint(now, query); s != nil {
			return p.grant(now, s, query), nil, nil
		}
	}
	if !p.isUsable(now, query) {
		reason := "no endpoint can take the call"
		if p.isDown(now) {
			reason = "the group of ranks stands still"
		}
		return nil, nil, newRefusal(banyanplank.ReasonNoEndpoint, p.retryAfterNoEndpoint(now), reason+formatExclusions(p.countExclusions(now)))
	}
	maxWait := time.Duration(float64(query.LatencyGoal) * maxWaitShare)
	if query.Resumed {
		maxWait = resumedMaxWait
	} else if wait := p.rateLimitWait(now, query); wait > maxWait {
		return nil, nil, newRefusal(banyanplank.ReasonOverload, p.retryAfterRateLimit(wait), "all endpoints limit their rate")
	} else if p.expectedWait() > maxWait {
		return nil, nil, newRefusal(banyanplank.ReasonOverload, p.retryAfterOverload(), "all endpoints are busy")
	}
	w = &waiter{query: query, maxWait: maxWait, done: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(p.queue, w, func(a, b *waiter) int {
		if !b.query.goesBefore(a.query) {
			return -1
		}
		return 1
	})
	p.queue = slices.Insert(p.queue, at, w)
	return nil, w, nil
}

// goesBefore reports whether a call is queued before another one that came earlier.
func (q Query) goesBefore(earlier Query) bool {
	if q.Resumed != earlier.Resumed {
		return q.Resumed
	}
	if q.Returning != earlier.Returning {
		return q.Returning
	}
	return q.Priority < earlier.Priority
}

// expectedWait returns how long another call would be queued.
func (p *pool) expectedWait() (wait time.Duration) {
	rate := max(p.finishRate, 1)
	return time.Duration(float64(len(p.queue)+1) / rate * float64(time.Second))
}

// retryAfterOverload returns the retry delay of a call for which all endpoints are
// busy: the time to drain the queue, with jitter of up to the same time again.
func (p *pool) retryAfterOverload() (after time.Duration) {
	after = retryAfterMin + p.expectedWait()
	after += time.Duration(p.owner.random.Int64N(int64(after)))
	return min(after, retryAfterMax)
}

// retryAfterNoEndpoint returns the retry delay of a call for which no endpoint is usable.
func (p *pool) retryAfterNoEndpoint(now time.Time) (after time.Duration) {
	if left, paused := p.remainingPause(now); paused {
		return left + time.Duration(p.owner.random.Int64N(int64(max(retryAfterMin, left/2))))
	}
	if left, known := p.reopensIn(now); known {
		return left + time.Duration(p.owner.random.Int64N(int64(retryAfterMin)))
	}
	if p.spec.Engine != nil {
		return retryAfterRankLost + time.Duration(p.owner.random.Int64N(int64(retryAfterRankLostMax-retryAfterRankLost)))
	}
	soonest := retryAfterUnknown
	for _, s := range p.shuffled {
		if left := s.ejectedUntil.Sub(now); s.exclusion(now) == exclusionFailing {
			soonest = min(soonest, left)
		}
	}
	return soonest + time.Duration(p.owner.random.Int64N(int64(retryAfterMin)))
}

// isUsable reports whether any endpoint could take the call once it has capacity.
func (p *pool) isUsable(now time.Time, query Query) bool {
	for _, s := range p.shuffled {
		if s.isUsable(now) && !s.isInProbeBackoff(now) && !slices.Contains(query.Avoid, s.backend.ID) {
			return true
		}
	}
	return false
}

// chooseEndpoint returns an endpoint with capacity for the call, or nil. Entries learn
// of each other's calls with a delay. If each compared all endpoints, they would all
// send to the same ones in the meantime, so each call compares a random sample, and
// further endpoints only if none of the sample has capacity.
func (p *pool) chooseEndpoint(now time.Time, query Query) (best *endpointState) {
	lowestCost, seen, seenElsewhere, sample := 0.0, 0, 0, len(p.shuffled)/p.entries+minSample
	p.owner.random.Shuffle(len(p.shuffled), func(i, j int) { p.shuffled[i], p.shuffled[j] = p.shuffled[j], p.shuffled[i] })
	allowSlow := p.hasOnlySlow(now, query)
	for _, s := range p.shuffled {
		if !s.isUsable(now) || !s.hasFreeSlot(now) || !s.isWithinStartLimits(now) || !s.isWithinRateLimit(now) || slices.Contains(query.Avoid, s.backend.ID) {
			continue
		}
		if s.isInProbeBackoff(now) || (s.isSlow(now) && !allowSlow) {
			continue
		}
		if s.backend.Zone != p.owner.zone && p.localEndpoints > 0 {
			// If the own zone has no capacity, all its entries look for the same endpoints.
			if seenElsewhere++; seenElsewhere > sample {
				continue
			}
		} else {
			seen++
		}
		if cost := s.cost(now, p.owner); best == nil || cost < lowestCost {
			best, lowestCost = s, cost
		}
		if seen >= sample {
			break
		}
	}
	return best
}

// hasOnlySlow reports whether all endpoints that could take the call slow down their
// group. While any other endpoint could, slow ones get no calls, even if only they
// have capacity: another call would slow all streams of the group.
func (p *pool) hasOnlySlow(now time.Time, query Query) bool {
	for _, s := range p.shuffled {
		if s.isUsable(now) && !s.isSlow(now) && !slices.Contains(query.Avoid, s.backend.ID) {
			return false
		}
	}
	return true
}

// grant returns a lease for the call at the endpoint.
func (p *pool) grant(now time.Time, s *endpointState, query Query) (lease *Lease) {
	lease = &Lease{
		Backend:      s.backend,
		OwnCalls:     s.ownCalls,
		PeerCalls:    p.owner.peerCalls[s.backend.ID],
		Limit:        p.limit(s),
		pool:         p,
		state:        s,
		promptTokens: query.PromptTokens,
		startedAt:    now,
	}
	s.recordStart(now, query)
	return lease
}

// dispatch grants leases to queued calls while endpoints have capacity.
func (p *pool) dispatch(now time.Time) {
	for i := 0; i < len(p.queue); {
		w := p.queue[i]
		s := p.chooseEndpoint(now, w.query)
		if s == nil {
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		w.lease = p.grant(now, s, w.query)
		close(w.done)
	}
}

// removeWaiter removes a call from the queue.
func (p *pool) removeWaiter(w *waiter) {
	if i := slices.Index(p.queue, w); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// refuseQueue refuses all queued calls.
func (p *pool) refuseQueue() {
	for _, w := range p.queue {
		w.err = newRefusal(banyanplank.ReasonNoEndpoint, retryAfterUnknown, "the service was removed")
		close(w.done)
	}
	p.queue = nil
}

// countFinished counts a call that has ended.
func (p *pool) countFinished(now time.Time) {
	if elapsed := now.Sub(p.windowStart); elapsed >= time.Second {
		p.finishRate = p.finished / elapsed.Seconds()
		p.finished, p.windowStart = 0, now
	}
	p.finished++
}

// status returns the state of the service.
func (p *pool) status(now time.Time) (status PoolStatus) {
	status = PoolStatus{Service: p.spec.Name, Backends: len(p.shuffled), Waiting: len(p.queue), Excluded: p.countExclusions(now)}
	for _, g := range p.groups {
		status.StreamGap = max(status.StreamGap, g.concurrency.meanGap)
	}
	for _, s := range p.shuffled {
		status.InFlight += s.ownCalls
		if limit := p.limit(s); status.Limit == 0 || limit < status.Limit {
			status.Limit = limit
		}
		if s.isUsable(now) {
			status.Usable++
		}
	}
	return status
}
