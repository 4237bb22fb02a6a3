package promiser

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Times of promises, as fractions and durations of the caller's time.
const (
	// maxTimeLeftShare is the part of the time left up to which callers honour a return
	// time.
	maxTimeLeftShare = 3
	// defaultFirstReturn is the shortest time after which a call returns with a promise.
	defaultFirstReturn = 250 * time.Millisecond
	// minAfter is the resolution of return times in heartbeats.
	minAfter = time.Millisecond
	// maxAfter bounds the return times, and with them the life of a promise.
	maxAfter = 60 * time.Second
	// earlyShare is the part of the time told to the caller before which its promise isn't
	// redeemed.
	earlyShare = 0.8
	// maxLate is how long after its return time a call still redeems its promise.
	maxLate = 1500 * time.Millisecond
	// goalDivisor gives the part of the latency goal that must be left after the return,
	// as for retries at the gateway.
	goalDivisor = 4
)

// Bounds of memory and heartbeats, in promises.
const (
	// maxSummary is the maximum length of a summary.
	maxSummary = 48
	// maxOwn bounds the open promises of an entry that has peers. All of them fit into
	// every summary, and a quarter of it is left for used promises. A promise that peers
	// don't know couldn't be kept.
	maxOwn = 36
	// maxAlone bounds the open promises of an entry without peers.
	maxAlone = 1024
	// maxUsed bounds the used promises that are announced to peers.
	maxUsed = 1024
	// maxKnown bounds the promises of all entries. 420 entries with full summaries
	// announce 20,160.
	maxKnown = 32 << 10
	// sweepInterval is the shortest time between two removals of expired promises.
	sweepInterval = 500 * time.Millisecond
)

// Request is a refused call.
type Request struct {
	Service banyanplank.ServiceName
	// Key consists of the first 8 bytes of the fingerprint of the call's method, path, body
	// and account. Calls with equal keys share one promise at a time.
	Key uint64
	// TimeLeft is the time until the caller gives up.
	TimeLeft time.Duration
	// Goal is the latency objective of the call. Room is only kept for a call that would
	// return with more than a quarter of it left. Zero means none.
	Goal time.Duration
}

// Promised is a promise as announced in heartbeats.
type Promised struct {
	Service banyanplank.ServiceName
	Key     uint64
	// After is the time after which the caller was told to return, from 1 ms to 60 s.
	After time.Duration
	// Age is the time since the caller was told, or, if Used is set, since its return.
	Age time.Duration
	// Used reports that the call has returned, so that the promise no longer holds.
	Used bool
}

// callID identifies a call that comes back.
type callID struct {
	service banyanplank.ServiceName
	key     uint64
}

// promise is a promise of this entry or of a peer, open or used.
type promise struct {
	// isOwn is set if this entry made the promise. Otherwise owner is the peer that
	// announced it.
	isOwn bool
	owner banyanplank.DaemonID
	// toldAt is when the caller was told, dueAt when it should return.
	toldAt, dueAt time.Time
	// usedAt is when the call returned, or zero.
	usedAt time.Time
}

// isUsed reports whether the call has returned.
func (m *promise) isUsed() bool { return !m.usedAt.IsZero() }

// isExpired reports whether the call can't redeem the promise any more.
func (m *promise) isExpired(now time.Time) bool { return now.Sub(m.dueAt) > maxLate }

// redeemableAt returns the earliest time at which the call redeems the promise. That of a
// peer's promise is late by the time that the heartbeat was under way, which may be up to a
// fifth of the time told without harm to punctual callers.
func (m *promise) redeemableAt() time.Time {
	return m.toldAt.Add(time.Duration(earlyShare * float64(m.dueAt.Sub(m.toldAt))))
}

// Promiser promises return times to refused calls and recognizes those that return. Create
// it with [New]. It is safe for concurrent use.
type Promiser struct {
	firstReturn time.Duration
	entries     func() (count, position int)

	mutex sync.Mutex
	rooms map[banyanplank.ServiceName]*room
	// known holds all promises, own the open ones of this entry, and used those redeemed
	// here.
	known     map[callID]*promise
	own, used map[callID]*promise
	sweptAt   time.Time
}

// Option configures a [Promiser].
type Option func(*Promiser)

// WithEntries sets the function that returns the number of entries that share the room of
// each service, and the position of this entry in their sorted list, from 0. [Promiser.SetRoom]
// calls it. The entries that are only cut off should be counted, so that both sides together
// don't promise more than there is room for. The default is one entry.
func WithEntries(entries func() (count, position int)) Option {
	return func(p *Promiser) { p.entries = entries }
}

// WithFirstReturn sets the shortest time after which a call returns with a promise. A promise
// shorter than the interval of heartbeats to other zones is only known in the same zone when
// the call returns. The default is 0.25 s.
func WithFirstReturn(after time.Duration) Option {
	return func(p *Promiser) { p.firstReturn = max(minAfter, after) }
}

// New returns a promiser. It keeps no room until [Promiser.SetRoom].
func New(options ...Option) *Promiser {
	p := &Promiser{
		firstReturn: defaultFirstReturn,
		entries:     func() (count, position int) { return 1, 0 },
		rooms:       map[banyanplank.ServiceName]*room{},
		known:       map[callID]*promise{},
		own:         map[callID]*promise{},
		used:        map[callID]*promise{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetRoom sets the calls per second that all endpoints of the service finish in time. All
// entries together keep a fraction of 0.15 for returning calls. Zero, also for a service that
// is removed, keeps no room; promises made before still hold. Call it whenever the capacity
// or the list of entries changes.
func (p *Promiser) SetRoom(now time.Time, service banyanplank.ServiceName, perSecond float64) {
	count, position := p.entries()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	r := p.rooms[service]
	if r == nil {
		r = &room{}
	}
	r.divide(perSecond, count, position)
	if r.slots == 0 && len(r.taken) == 0 {
		delete(p.rooms, service)
		return
	}
	p.rooms[service] = r
}

// Promise returns when a refused call should come back, and whether room is kept for it. If
// not, after is the latest useful moment: a third of the time left, at most 60 s. A call with
// an open promise gets the rest of its time and takes no more room.
func (p *Promiser) Promise(now time.Time, r Request) (after time.Duration, kept bool) {
	latest := min(max(0, r.TimeLeft)/maxTimeLeftShare, maxAfter)
	latestKept := min(latest, r.TimeLeft-r.Goal/goalDivisor)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	id := callID{service: r.Service, key: r.Key}
	if m := p.known[id]; m != nil && !m.isUsed() {
		after = max(m.dueAt.Sub(now), p.firstReturn)
		if !m.isExpired(now.Add(after)) {
			if after > latestKept {
				return latest, false
			}
			return after, true
		}
	}
	room := p.rooms[r.Service]
	if room == nil || len(p.own) >= room.maxOwn() || !p.hasSpace(id) {
		return latest, false
	}
	dueAt, ok := room.take(now, p.firstReturn, latestKept)
	if !ok {
		return latest, false
	}
	p.put(id, &promise{isOwn: true, toldAt: now, dueAt: dueAt})
	return dueAt.Sub(now), true
}

// Redeem reports whether a call returns with a promise, from any entry, and uses it up. A call
// that returns before 0.8 of the time it was told doesn't redeem its promise, and may do so
// later.
func (p *Promiser) Redeem(now time.Time, service banyanplank.ServiceName, key uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	id := callID{service: service, key: key}
	m := p.known[id]
	if m == nil || m.isUsed() || m.isExpired(now) || now.Before(m.redeemableAt()) {
		return false
	}
	m.usedAt = now
	delete(p.own, id)
	if len(p.used) < maxUsed {
		p.used[id] = m
	}
	return true
}

// Summary returns the promises to announce to peers, at most 48: the open ones of this entry,
// the soonest due first, and then those redeemed here, the latest first.
func (p *Promiser) Summary(now time.Time) (promised []Promised) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	for id, m := range p.own {
		if !m.isExpired(now) {
			promised = append(promised, Promised{Service: id.service, Key: id.key, After: m.dueAt.Sub(m.toldAt), Age: max(0, now.Sub(m.toldAt))})
		}
	}
	slices.SortFunc(promised, func(a, b Promised) int {
		return cmp.Or(cmp.Compare(a.After-a.Age, b.After-b.Age), compareCalls(a, b))
	})
	var used []Promised
	for id, m := range p.used {
		used = append(used, Promised{Service: id.service, Key: id.key, After: m.dueAt.Sub(m.toldAt), Age: max(0, now.Sub(m.usedAt)), Used: true})
	}
	slices.SortFunc(used, func(a, b Promised) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), compareCalls(a, b))
	})
	promised = append(promised, used...)
	return promised[:min(len(promised), maxSummary)]
}

// compareCalls orders promises by service and key.
func compareCalls(a, b Promised) int {
	return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), cmp.Compare(a.Key, b.Key))
}

// Merge records the promises that a peer announced. It ignores those that are expired or
// outside the ranges of [Promised], and all after the first 48.
func (p *Promiser) Merge(now time.Time, peer banyanplank.DaemonID, promised []Promised) {
	if len(promised) == 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	for _, told := range promised[:min(len(promised), maxSummary)] {
		if told.After < minAfter || told.After > maxAfter || told.Age < 0 || told.Age > maxAfter+maxLate {
			continue
		}
		id := callID{service: told.Service, key: told.Key}
		if told.Used {
			p.mergeUsed(now, id, peer, told)
		} else {
			p.mergeOpen(now, id, peer, told)
		}
	}
}

// mergeOpen records an open promise of a peer. Of two promises for one call, the later one
// holds, since it is the one that the caller follows.
func (p *Promiser) mergeOpen(now time.Time, id callID, peer banyanplank.DaemonID, told Promised) {
	toldAt := now.Add(-told.Age)
	dueAt := toldAt.Add(told.After)
	if now.Sub(dueAt) > maxLate {
		return
	}
	old := p.known[id]
	switch {
	case old == nil || old.isExpired(now):
	case old.isUsed():
		// A promise that was told before the call returned is a late announcement.
		if !toldAt.After(old.usedAt) {
			return
		}
	case !old.isOwn && old.owner == peer && !toldAt.After(old.dueAt):
		// The announcement that was under way for the shortest time is the most exact.
		if dueAt.Before(old.dueAt) {
			old.toldAt, old.dueAt = toldAt, dueAt
		}
		return
	case !toldAt.After(old.toldAt):
		return
	}
	if p.hasSpace(id) {
		p.put(id, &promise{owner: peer, toldAt: toldAt, dueAt: dueAt})
	}
}

// mergeUsed records that a call returned to a peer. The record is kept until no announcement
// of the open promise can arrive any more.
func (p *Promiser) mergeUsed(now time.Time, id callID, peer banyanplank.DaemonID, told Promised) {
	usedAt := now.Add(-told.Age)
	old := p.known[id]
	switch {
	case old == nil:
		// The return time isn't announced; this is the latest that it can be.
		dueAt := usedAt.Add(time.Duration((1 - earlyShare) * float64(told.After)))
		if now.Sub(dueAt) <= maxLate && p.hasSpace(id) {
			p.put(id, &promise{owner: peer, toldAt: usedAt, dueAt: dueAt, usedAt: usedAt})
		}
	case !old.isUsed() && old.toldAt.Before(usedAt):
		old.usedAt = usedAt
		delete(p.own, id)
	}
}

// hasSpace reports whether a promise for the call can be recorded.
func (p *Promiser) hasSpace(id callID) bool {
	return len(p.known) < maxKnown || p.known[id] != nil
}

// put records an open or used promise in place of an earlier one for the same call.
func (p *Promiser) put(id callID, m *promise) {
	delete(p.own, id)
	delete(p.used, id)
	p.known[id] = m
	if m.isOwn {
		p.own[id] = m
	}
}

// sweep removes what is expired, at most once per sweepInterval.
func (p *Promiser) sweep(now time.Time) {
	if since := now.Sub(p.sweptAt); since >= 0 && since < sweepInterval {
		return
	}
	p.sweptAt = now
	for id, m := range p.known {
		if m.isExpired(now) {
			delete(p.known, id)
			delete(p.own, id)
			delete(p.used, id)
		}
	}
	for _, r := range p.rooms {
		r.release(now)
	}
}
