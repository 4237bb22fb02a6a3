package gateway

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/promiser"
	"github.com/banyanplank/banyanplank/coordination/sharer"
)

const (
	// outputTokenWeight is the size of an output token in prompt tokens: an engine produces
	// output one step at a time, and reads prompts many tokens at a time.
	outputTokenWeight = 10
	// slotTimeWeight is the weight of the latest call in the mean slot time of its route.
	slotTimeWeight = 0.02
	// minSizeShare and maxSizeShare bound the cost of one call, in mean calls of its route.
	// Callers may announce any size.
	minSizeShare = 0.3
	maxSizeShare = 4
	// maxSlotTimes bounds the routes with a mean slot time.
	maxSlotTimes = 1024
	// refreshCapacityInterval is the time between two updates of the capacity that is
	// divided.
	refreshCapacityInterval = 250 * time.Millisecond
	// loadHeardAge is how long an entry tells its demand after a peer was under load. It
	// allows for one lost heartbeat of a peer in another zone.
	loadHeardAge = 1800 * time.Millisecond
)

// admission divides what the engines of a service can run among the calls of all entries, by
// priority and client account, and keeps room for refused calls that return.
type admission struct {
	sharer   *sharer.Sharer
	promiser *promiser.Promiser
	balancer *balancer.Balancer

	mutex       sync.Mutex
	slotTimes   map[string]*slotTime
	refreshedAt time.Time
	// loadHeardAt is when a peer last told its demand, while that one was under load.
	loadHeardAt time.Time
	// alive is the number of live entries, among which demand is divided: the callers of
	// others have moved to them. known counts those that may be cut off, too, so that both
	// sides of a partition don't promise the same room. position is that of this entry among
	// the live ones.
	alive, known, position int
}

// slotTime holds moving averages over the calls of one route.
type slotTime struct {
	// seconds is the time for which a call takes a slot, and size the size in tokens of those
	// that announce one.
	seconds, size float64
	service       banyanplank.ServiceName
}

// newAdmission returns an admission that divides nothing until the balancer knows engines.
func newAdmission(b *balancer.Balancer) (a *admission) {
	a = &admission{balancer: b, slotTimes: make(map[string]*slotTime), known: 1, alive: 1}
	a.sharer = sharer.New(sharer.WithEntries(func() int {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return a.alive
	}))
	a.promiser = promiser.New(promiser.WithEntries(func() (count, position int) {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return a.known, a.position
	}))
	return a
}

// updateEntries sets the number of entries that may be running, and the IDs of the live ones in
// order.
func (a *admission) updateEntries(known int, alive []banyanplank.DaemonID, self banyanplank.DaemonID) {
	position, _ := slices.BinarySearch(alive, self)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.known, a.alive, a.position = max(1, known, len(alive)), max(1, len(alive)), position
}

// sizeOf returns the size of a call in tokens, or zero if the caller doesn't announce it.
func sizeOf(info *banyanplank.CallInfo) (tokens float64) {
	return float64(info.PromptTokens) + outputTokenWeight*float64(info.MaxOutputTokens)
}

// recordSlotTime records for how long a served call took its slot.
func (a *admission) recordSlotTime(f *forwarder, taken time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	t := a.slotTimes[f.route.Name]
	if t == nil {
		if len(a.slotTimes) >= maxSlotTimes {
			clear(a.slotTimes) // routes come and go
		}
		t = &slotTime{seconds: taken.Seconds(), size: sizeOf(&f.info), service: f.service}
		a.slotTimes[f.route.Name] = t
	}
	t.service = f.service
	t.seconds += slotTimeWeight * (taken.Seconds() - t.seconds)
	size := sizeOf(&f.info)
	switch {
	case size == 0: // unknown
	case t.size == 0:
		t.size = size
	default:
		// Without the bound, one announced size makes the calls of all others count as the
		// smallest.
		t.size += slotTimeWeight * (min(size, maxSizeShare*t.size) - t.size)
	}
}

// cost returns for how many seconds a call is expected to take a slot, or zero if no call of
// its route was served yet.
func (a *admission) cost(f *forwarder) (slotSeconds float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	t := a.slotTimes[f.route.Name]
	if t == nil {
		return 0
	}
	share := 1.0
	if size := sizeOf(&f.info); size > 0 && t.size > 0 {
		share = min(maxSizeShare, max(minSizeShare, size/t.size))
	}
	return t.seconds * share
}

// refresh updates the capacity of all services.
func (a *admission) refresh(now time.Time) {
	a.mutex.Lock()
	if now.Sub(a.refreshedAt) < refreshCapacityInterval {
		a.mutex.Unlock()
		return
	}
	a.refreshedAt = now
	seconds := make(map[banyanplank.ServiceName]float64)
	count := make(map[banyanplank.ServiceName]int)
	for _, t := range a.slotTimes {
		seconds[t.service] += t.seconds
		count[t.service]++
	}
	a.mutex.Unlock()
	for service, slots := range a.balancer.EngineSlots(now) {
		a.sharer.SetCapacity(now, service, slots)
		if count[service] > 0 && seconds[service] > 0 {
			a.promiser.SetRoom(now, service, slots*float64(count[service])/seconds[service])
		}
	}
}

// admit returns a refusal if other calls go before this one, by their priority or because
// their accounts use less of the service. It decides only while the engines are under load.
func (f *forwarder) admit() (err error) {
	a := f.gateway.admission
	cost := a.cost(f)
	if cost == 0 || f.admissionDone {
		return nil
	}
	f.admissionDone = true
	now := time.Now()
	f.isReturning = a.promiser.Redeem(now, f.service, uint64(f.fingerprint))
	decision := a.sharer.Admit(now, sharer.Arrival{Service: f.service, Account: f.account, Priority: f.priority, Cost: cost, Returning: f.isReturning})
	f.result.pressure, f.result.share = decision.Pressure, decision.Share
	if decision.Admitted || !f.gateway.balancer.IsUnderLoad(f.service) {
		return nil
	}
	f.gateway.counters.set.GetOrCreateCounter(`banyanplank_shares_refused_total{reason="` + decision.Reason + `",priority="` + strconv.Itoa(f.priority) + `"}`).Inc()
	return &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonOverload, Detail: "over its share: " + decision.Reason}
}

// promiseReturn returns when a refused call should return. It is rounded down to what the
// header can tell, as callers ignore more than a third of the time that they have left.
func (f *forwarder) promiseReturn() (after time.Duration) {
	after, f.result.promised = f.gateway.admission.promiser.Promise(time.Now(), promiser.Request{
		Service: f.service, Key: uint64(f.fingerprint), TimeLeft: time.Until(f.deadline), Goal: f.latencyGoal(),
	})
	word := "none"
	if f.result.promised {
		word = "kept"
	}
	f.gateway.counters.set.GetOrCreateCounter(`banyanplank_promises_total{room="` + word + `"}`).Inc()
	return max(time.Millisecond, after.Truncate(time.Millisecond))
}

// compose sets the fields of a heartbeat that other entries need to divide capacity alike.
func (a *admission) compose(now time.Time, beat *beater.Heartbeat) (err error) {
	a.refresh(now)
	if beat.Promised, err = promiser.EncodePromised(a.promiser.Summary(now)); err != nil {
		return err
	}
	if !a.isLoadKnown(now) {
		return nil
	}
	beat.IsUnderLoad = a.balancer.IsAnyUnderLoad()
	beat.Demand, err = sharer.EncodeDemand(a.sharer.Summary(now))
	return err
}

// isLoadKnown reports whether this entry or another one is under load. Then all tell their
// demand, also those of a zone with little of it.
func (a *admission) isLoadKnown(now time.Time) bool {
	a.mutex.Lock()
	heardAt := a.loadHeardAt
	a.mutex.Unlock()
	return now.Sub(heardAt) < loadHeardAge || a.balancer.IsAnyUnderLoad()
}

// merge applies the heartbeat of a peer. A part that can't be decoded doesn't cost the others.
func (a *admission) merge(now time.Time, beat *beater.Heartbeat) (err error) {
	if beat.IsUnderLoad {
		a.mutex.Lock()
		a.loadHeardAt = now
		a.mutex.Unlock()
	}
	return errors.CombineErrors(a.mergePromised(now, beat), a.mergeDemand(now, beat))
}

// mergePromised applies the return times that a peer promised.
func (a *admission) mergePromised(now time.Time, beat *beater.Heartbeat) (err error) {
	promised, err := promiser.DecodePromised(beat.Promised)
	if err == nil && len(promised) > 0 {
		a.promiser.Merge(now, beat.From, promised)
	}
	return err
}

// mergeDemand applies the demand of a peer. Peers leave it out while no load is known.
func (a *admission) mergeDemand(now time.Time, beat *beater.Heartbeat) (err error) {
	if len(beat.Demand) == 0 {
		return nil
	}
	demand, err := sharer.DecodeDemand(beat.Demand)
	if err == nil {
		a.sharer.Merge(now, beat.From, demand)
	}
	return err
}
