package stepper

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/banyanplank/banyanplank"
)

const (
	// lateOrderTime bounds the time after which an order that got no answer is executed:
	// 12 s according to the documentation of the platform, and the wait for the answer.
	lateOrderTime = 13 * time.Second
	// maxCreatedMaps bounds the maps whose passes are remembered. An order for an older
	// one is refused.
	maxCreatedMaps = 64
)

// fence records what this entry has ordered in an epoch of a group, so that no order which
// is executed late can change a later switch. In an idle group the number of a pass is no
// fence by itself, since no pass begins: a map is armed for one pass only, and a rank holds
// a pass only once.
type fence struct {
	epoch     uint64
	usedAt    time.Time
	lastMapID banyanplank.MapID
	// lastHeld is the latest pass that a rank was ordered to hold.
	lastHeld uint64
	// nextHolder is the rank that holds the next pass. The first one is random, so that
	// another entry usually has another rank hold a pass.
	nextHolder int
	// lateUntil is the time, by rank, until which an order to hold or release a pass may
	// be executed.
	lateUntil map[int]time.Time
	// armedFor is the pass for which the ranks are armed, by the maps that this entry has
	// created, or zero if no rank has been ordered to arm yet.
	armedFor map[banyanplank.MapID]uint64
}

// fenceOf returns the fence of a group, which outlasts the loss of the leadership. It starts
// afresh in a new epoch, which voids all earlier orders.
func (s *Stepper) fenceOf(key groupKey, epoch uint64) (f *fence) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f = s.fences[key]
	if f == nil || f.epoch != epoch {
		fresh := &fence{epoch: epoch, nextHolder: rand.Int(), lateUntil: make(map[int]time.Time), armedFor: make(map[banyanplank.MapID]uint64)}
		if f != nil {
			fresh.lastMapID = f.lastMapID
		}
		f = fresh
		s.fences[key] = f
	}
	f.usedAt = time.Now()
	return f
}

// dropFences drops the fences of removed groups once all orders to them have been executed.
// The mutex is held.
func (s *Stepper) dropFences(listed map[groupKey][]banyanplank.Backend) {
	now := time.Now()
	maps.DeleteFunc(s.fences, func(key groupKey, f *fence) (removed bool) {
		return listed[key] == nil && now.Sub(f.usedAt) > lateOrderTime
	})
}

// observe records the highest map id that a rank has reported.
func (f *fence) observe(reports []banyanplank.RankReport) {
	for _, r := range reports {
		f.lastMapID = max(f.lastMapID, r.Map, r.Prepared, r.Armed)
	}
}

// createMap returns the id of a new map.
func (f *fence) createMap() (id banyanplank.MapID) {
	f.lastMapID = newMapID(f.lastMapID)
	f.armedFor[f.lastMapID] = 0
	maps.DeleteFunc(f.armedFor, func(id banyanplank.MapID, _ uint64) (old bool) {
		return id+maxCreatedMaps<<mapIDRandomBits < f.lastMapID
	})
	return f.lastMapID
}

// newMapID returns an id above last. Its random part makes a collision with an id of
// another entry unlikely.
func newMapID(last banyanplank.MapID) (id banyanplank.MapID) {
	return (last>>mapIDRandomBits+1)<<mapIDRandomBits | banyanplank.MapID(rand.N(1<<mapIDRandomBits))
}

// bind records that ranks are ordered to be armed with a map for a pass. It reports false
// if this entry has armed ranks with the map for another pass.
func (f *fence) bind(id banyanplank.MapID, pass uint64) (ok bool) {
	bound, known := f.armedFor[id]
	if known && bound == 0 {
		f.armedFor[id] = pass
	}
	return !known || bound == 0 || bound == pass
}

// newHold returns the rank that is to hold a pass, and the pass: the first one from earliest
// that no rank was ordered to hold. A rank that already holds a pass, or to which an earlier
// order may still be on its way, is avoided where possible.
func (f *fence) newHold(earliest uint64, reports []banyanplank.RankReport) (h hold) {
	now := time.Now()
	h.rank = -1
	for range reports {
		rank := f.nextHolder % len(reports)
		f.nextHolder = rank + 1
		if reports[rank].HeldPass != 0 {
			continue
		}
		if h.rank < 0 || f.lateUntil[rank].Before(f.lateUntil[h.rank]) {
			h.rank = rank
		}
		if now.After(f.lateUntil[h.rank]) {
			break
		}
	}
	f.lastHeld = max(earliest, f.lastHeld+1)
	h.pass = f.lastHeld
	return h
}

// recordLate records that an order to a rank got no answer.
func (f *fence) recordLate(rank int) { f.lateUntil[rank] = time.Now().Add(lateOrderTime) }
