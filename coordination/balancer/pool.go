package balancer

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The times that a refused caller is told to wait.
const (
	// retryUnknown is for a cause whose end can't be foreseen.
	retryUnknown = 500 * time.Millisecond
	// retryFull is for a plain endpoint that was full: its calls take some ten
	// milliseconds.
	retryFull = 50 * time.Millisecond
	// retryLeast and retryMost bound the time when all endpoints are busy. The
	// callers that are refused together must not return together.
	retryLeast = 250 * time.Millisecond
	retryMost  = 2 * time.Second
	// retryBroken and retryBrokenMost bound the time for a group of ranks that
	// has lost one: it opens again when that one is back, which takes some 2 s on
	// the users' platform. Callers come back once and wait no longer than a third
	// of the time that they have left, which is 2.7 s at most.
	retryBroken     = 2 * time.Second
	retryBrokenMost = 2600 * time.Millisecond
	// formTime is how long a group takes to open once all its ranks are back: 0.6 s
	// on the users' platform, and the time until the first probe.
	formTime = 850 * time.Millisecond
)

// The signs of a group of ranks that has lost one.
const (
	// silence is how long no stream of a service goes on before its group is
	// taken to stand still. A pass takes a tenth of a second.
	silence = 500 * time.Millisecond
	// silentPasses is the same in passes, for groups that are slow.
	silentPasses = 4
	// standstill and standPasses are the same for a group that may wait for a pass
	// that was left held. Looking in vain costs a report of each rank.
	standstill  = 300 * time.Millisecond
	standPasses = 3
	// leastStreams is the number of streams whose silence tells of the group.
	leastStreams = 3
	// probePause is the time between two calls that try whether the group is open.
	probePause = 250 * time.Millisecond
)

// The bounds on waiting.
const (
	// waitShare is the part of the goal that a call may wait for a place. The
	// rest is left for the endpoint.
	waitShare = 0.4
	// plainQueue is how many calls a plain endpoint may hold for each of its
	// slots, those that run included.
	plainQueue = 2
	// defaultSlots is for endpoints that do not state their slots.
	defaultSlots = 8
	// leastSample is the number of endpoints of the own zone that are compared
	// for a call besides this entry's share of all.
	leastSample = 2
)

// pool is one service.
type pool struct {
	owner *Balancer
	spec  banyanplank.PoolSpec
	seats map[banyanplank.BackendID]*seat
	// order lists the seats in random order, near counts those in the own zone.
	order   []*seat
	near    int
	entries int
	waiting []*waiter
	budget  budget
	// finished counts the calls that left in the current second, and rate the
	// calls that left in the last one.
	finished float64
	rate     float64
	since    time.Time
	// groups are those of the engines, by name. Plain endpoints share one without
	// a name.
	groups map[banyanplank.GroupName]*group
}

// waiter is a call that waits for a place.
type waiter struct {
	query    Query
	patience time.Duration
	done     chan struct{}
	lease    *Lease
	err      error
}

// newPool returns a pool without endpoints.
func newPool(owner *Balancer, now time.Time) *pool {
	return &pool{
		owner:  owner,
		seats:  make(map[banyanplank.BackendID]*seat),
		groups: make(map[banyanplank.GroupName]*group),
		budget: budget{share: owner.share, slack: float64(owner.slack), span: owner.span},
		since:  now,
	}
}

// renew takes in the endpoints of the service.
func (p *pool) renew(now time.Time, spec banyanplank.PoolSpec, fleet Fleet) {
	p.spec = spec
	entries := max(1, fleet.Entries)
	p.entries = entries
	sharers := float64(max(entries, fleet.Sharers))
	p.budget.slack = float64(p.owner.slack) / sharers
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
		g.pace.configure(spec.Engine, fleet.Gaps[spec.Name])
		s := p.seats[backend.ID]
		if s == nil || s.backend.Address != backend.Address || !s.backend.Born.Equal(backend.Born) {
			s = newSeat(p, g, backend)
			p.seats[backend.ID] = s
			if spec.Engine != nil && g.isDown(now) {
				g.opens = now.Add(formTime)
			}
		}
		s.join(g)
		s.renew(now, backend, fleet.Out[backend.Zone], spec.ColdRate/sharers)
	}
	for id := range p.seats {
		if !listed[id] {
			delete(p.seats, id)
		}
	}
	maps.DeleteFunc(p.groups, func(name banyanplank.GroupName, _ *group) bool { return !present[name] })
	p.order, p.near = p.order[:0], 0
	for _, id := range slices.Sorted(maps.Keys(p.seats)) {
		s := p.seats[id]
		p.order = append(p.order, s)
		if s.backend.Zone == p.owner.zone && !s.out {
			p.near++
		}
	}
	p.dispatch(now)
}

// limit returns how many calls an endpoint may hold.
func (p *pool) limit(s *seat) (calls float64) {
	slots := s.backend.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	if p.spec.Engine == nil {
		return float64(slots * plainQueue)
	}
	return s.group.pace.limit(float64(slots))
}

// admit gives a call a place, lets it wait, or refuses it.
func (p *pool) admit(now time.Time, query Query) (lease *Lease, w *waiter, err error) {
	if len(query.Avoid) == 0 {
		p.budget.fresh(now)
	}
	if len(p.waiting) == 0 {
		if s := p.choose(now, query); s != nil {
			return p.grant(now, s, query), nil, nil
		}
	}
	if !p.isUsable(now, query) {
		reason := "no endpoint can take the call"
		if p.isDown(now) {
			reason = "the group of ranks stands still"
		}
		return nil, nil, refuse(banyanplank.ReasonNoEndpoint, p.retryBroken(now), reason+formatBarred(p.barred(now)))
	}
	patience := time.Duration(float64(query.Goal) * waitShare)
	if p.expectedWait() > patience {
		return nil, nil, refuse(banyanplank.ReasonOverload, p.retryAfter(), "all endpoints are busy")
	}
	w = &waiter{query: query, patience: patience, done: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if a.query.Priority <= b.query.Priority {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, at, w)
	return nil, w, nil
}

// expectedWait returns how long one more call would wait.
func (p *pool) expectedWait() (wait time.Duration) {
	rate := max(p.rate, 1)
	return time.Duration(float64(len(p.waiting)+1) / rate * float64(time.Second))
}

// retryAfter returns when a call that finds all endpoints busy should return:
// when those that wait have left, spread over as much time again.
func (p *pool) retryAfter() (after time.Duration) {
	after = retryLeast + p.expectedWait()
	after += time.Duration(p.owner.random.Int64N(int64(after)))
	return min(after, retryMost)
}

// retryBroken returns when a call that finds no endpoint should return.
func (p *pool) retryBroken(now time.Time) (after time.Duration) {
	if left, paused := p.pauseLeft(now); paused {
		return left + time.Duration(p.owner.random.Int64N(int64(max(retryLeast, left/2))))
	}
	if left, known := p.opens(now); known {
		return left + time.Duration(p.owner.random.Int64N(int64(retryLeast)))
	}
	if p.spec.Engine != nil {
		return retryBroken + time.Duration(p.owner.random.Int64N(int64(retryBrokenMost-retryBroken)))
	}
	soonest := retryUnknown
	for _, s := range p.order {
		if left := s.ejectedUntil.Sub(now); s.barrier(now) == barFailing {
			soonest = min(soonest, left)
		}
	}
	return soonest + time.Duration(p.owner.random.Int64N(int64(retryLeast)))
}

// isUsable reports whether some endpoint could take the call once it has room.
func (p *pool) isUsable(now time.Time, query Query) bool {
	for _, s := range p.order {
		if s.isUsable(now) && !s.isBarred(now) && !slices.Contains(query.Avoid, s.backend.ID) {
			return true
		}
	}
	return false
}

// choose returns an endpoint that will start the call soon, or nil. Entries know
// late what the others have sent. If all looked at all endpoints they would all
// send to the same ones in the meantime, so each looks at a few, drawn for each
// call, and at the others only when none of these has room.
func (p *pool) choose(now time.Time, query Query) (best *seat) {
	lowest, seen, sample := 0.0, 0, len(p.order)/p.entries+leastSample
	p.owner.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	slow := p.onlySlow(now, query)
	for _, s := range p.order {
		if !s.isUsable(now) || s.held()+1 > p.limit(s)+0.5 || !s.hasRate(now) || slices.Contains(query.Avoid, s.backend.ID) {
			continue
		}
		if s.isBarred(now) || (s.isSlow(now) && !slow) {
			continue
		}
		if cost := s.cost(now, p.owner); best == nil || cost < lowest {
			best, lowest = s, cost
		}
		if s.backend.Zone == p.owner.zone || p.near == 0 {
			seen++
		}
		if seen >= sample {
			break
		}
	}
	return best
}

// onlySlow reports whether all endpoints that could take the call hold up their
// group. While any other could, one of these gets none, even if it alone has room:
// the call would slow all streams of the group.
func (p *pool) onlySlow(now time.Time, query Query) bool {
	for _, s := range p.order {
		if s.isUsable(now) && !s.isSlow(now) && !slices.Contains(query.Avoid, s.backend.ID) {
			return false
		}
	}
	return true
}

// grant takes a place.
func (p *pool) grant(now time.Time, s *seat, query Query) (lease *Lease) {
	lease = &Lease{
		Backend: s.backend,
		Own:     s.own,
		Others:  p.owner.others[s.backend.ID],
		Limit:   p.limit(s),
		pool:    p,
		seat:    s,
		prompt:  query.Prompt,
		began:   now,
	}
	s.begin(now, query)
	return lease
}

// dispatch gives free places to those that wait.
func (p *pool) dispatch(now time.Time) {
	for i := 0; i < len(p.waiting); {
		w := p.waiting[i]
		s := p.choose(now, w.query)
		if s == nil {
			i++
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		w.lease = p.grant(now, s, w.query)
		close(w.done)
	}
}

// leave takes a waiter out.
func (p *pool) leave(w *waiter) {
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// refuseAll refuses all that wait.
func (p *pool) refuseAll() {
	for _, w := range p.waiting {
		w.err = refuse(banyanplank.ReasonNoEndpoint, retryUnknown, "the service was removed")
		close(w.done)
	}
	p.waiting = nil
}

// left notes that a call has left.
func (p *pool) left(now time.Time) {
	if passed := now.Sub(p.since); passed >= time.Second {
		p.rate = p.finished / passed.Seconds()
		p.finished, p.since = 0, now
	}
	p.finished++
}

// status describes the pool.
func (p *pool) status(now time.Time) (status PoolStatus) {
	status = PoolStatus{Service: p.spec.Name, Backends: len(p.order), Waiting: len(p.waiting), Barred: p.barred(now)}
	for _, g := range p.groups {
		status.Pace = max(status.Pace, g.pace.mean)
	}
	for _, s := range p.order {
		status.InFlight += s.own
		if limit := p.limit(s); status.Limit == 0 || limit < status.Limit {
			status.Limit = limit
		}
		if s.isUsable(now) {
			status.Usable++
		}
	}
	return status
}
