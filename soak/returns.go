package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/platform/mimic"
)

// The timing of a store that returns from an older copy.
const (
	minCopyAge   = 500 * time.Millisecond
	maxCopyAge   = 6 * time.Second
	minAwayTime  = 200 * time.Millisecond
	maxAwayTime  = 1500 * time.Millisecond
	maxReturnGap = 3 * time.Second
	// rewriteLimit is the longest time until operators write again what the store lost. Servers
	// do so each second.
	rewriteLimit = time.Second
	// maxUnrelated bounds the unrelated changes that the store loses, beside those that servers
	// make.
	maxUnrelated = 600
)

// drawTime draws a time from least to most.
func drawTime(random *rand.Rand, least, most time.Duration) (d time.Duration) {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// drawReturns draws returns of the store beside other faults, at times two within seconds. It has
// a random source of its own, so that older seeds still draw the same other faults.
func (h *harness) drawReturns() (faults []*Fault) {
	random := h.returnRandom
	if random.IntN(2) == 0 {
		return nil
	}
	change, kind := func() {}, "no change"
	if random.IntN(2) == 0 {
		change, kind = h.putNextConfig, "a configuration"
	}
	first := h.newReturn(random, kind, change)
	first.shift(time.Duration(random.Int64N(int64(faultStartWindow))))
	faults = []*Fault{first}
	if random.IntN(3) == 0 {
		second := h.newReturn(random, "no change", func() {})
		// The second copy may be older than the first return.
		second.shift(max(0, first.Until+drawTime(random, minCopyAge, maxReturnGap)-second.Until))
		faults = append(faults, second)
	}
	return faults
}

// drawLoneReturn draws a return of the store with no other fault, and what ends the change that
// the store loses. Those are operations of the phase without faults that follows.
func (h *harness) drawLoneReturn() (faults, undo []*Fault) {
	random := h.loneRandom
	if random.IntN(2) == 0 {
		return nil, nil
	}
	zone, index := zones[random.IntN(len(zones))], random.IntN(len(h.slots))
	s := h.slots[index]
	var leaving *mimic.Server
	switch random.IntN(4) {
	case 0:
		return []*Fault{h.newReturn(random, "no change", func() {})}, nil
	case 1:
		return []*Fault{h.newReturn(random, "a configuration", h.putNextConfig)}, nil
	case 2:
		faults = []*Fault{h.newReturn(random, "a zone out of service", func() { h.evacuateZone(zone) })}
		undo = []*Fault{{Kind: "zone still out of service", Target: zone, inject: func(done <-chan struct{}) {
			h.addExclusion(exclusion{zone: zone, from: time.Now().Add(propagationLimit), until: h.phaseTime(zoneReturn)})
			<-done
			h.restoreZone(zone)
		}}}
	default:
		faults = []*Fault{h.newReturn(random, "a leaving server", func() {
			s.faultMutex.Lock()
			defer s.faultMutex.Unlock()
			leaving = s.server
			leaving.Drain()
		})}
		undo = []*Fault{{Kind: "server still leaving", Target: s.displayName(index), inject: func(done <-chan struct{}) {
			h.addExclusion(exclusion{server: leaving.ID, from: time.Now().Add(drainTime - time.Second)})
			<-done
			s.faultMutex.Lock()
			defer s.faultMutex.Unlock()
			if s.server == leaving { // Operators may have ended it.
				leaving.Crash()
				h.addError(s.start(index, h.store, h.runLog))
			}
		}}}
	}
	undo[0].Until, undo[0].Harmless = zoneReturn, true
	return faults, undo
}

// newReturn draws a fault that copies the store's state, has the store go away, and return from
// the copy. The store loses a change that is made in between, until it is made again, and
// unrelated changes that are not. Or the change is made before any entry reaches the store again,
// at a revision that was given out before, and unrelated ones follow until the store has passed
// the last one that entries know.
func (h *harness) newReturn(random *rand.Rand, kind string, change func()) (f *Fault) {
	age, away := drawTime(random, minCopyAge, maxCopyAge), drawTime(random, minAwayTime, maxAwayTime)
	changeAt, rewriteAfter := drawTime(random, 0, age), drawTime(random, 0, rewriteLimit)
	unrelated := random.IntN(maxUnrelated)
	reused := random.IntN(3) == 0
	f = &Fault{
		Kind: "store returns older", Until: age + away,
		Target: fmt.Sprintf("copy %s old, away %s, loses %d unrelated changes and %s", age.Round(time.Millisecond), away.Round(time.Millisecond), unrelated, kind),
	}
	if reused {
		f.Target = fmt.Sprintf("copy %s old, away %s, loses %d unrelated changes, then %s at their revisions", age.Round(time.Millisecond), away.Round(time.Millisecond), unrelated, kind)
	}
	putUnrelated := func(count int) {
		for i := range count {
			h.store.Put("unrelated", strconv.Itoa(i), time.Now()) // An equal value is no change.
		}
	}
	wait := func(d time.Duration) { _ = banyanplank.Sleep(context.Background(), d) }
	f.inject = func(done <-chan struct{}) {
		older := h.store.Snapshot()
		wait(changeAt)
		putUnrelated(unrelated)
		if !reused {
			change()
		}
		wait(age - changeAt)
		h.store.InjectFault(mimic.StoreAway, 1)
		<-done
		begin := time.Now()
		h.store.Restore(older)
		if reused {
			change()
			h.rewrite(begin)
			putUnrelated(unrelated + maxUnrelated)
			h.store.InjectFault(mimic.StoreHealthy, 0)
			return
		}
		h.store.InjectFault(mimic.StoreHealthy, 0)
		wait(rewriteAfter)
		h.rewrite(begin)
	}
	return f
}

// shift delays a fault.
func (f *Fault) shift(d time.Duration) { f.At, f.Until = f.At+d, f.Until+d }

// rewrite has operators write again what the store lost at a time.
func (h *harness) rewrite(lostAt time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.config.Put(h.store)
	for _, zone := range zones {
		if h.zonesOut[zone] {
			mimic.EvacuateZone(h.store, zone)
		} else {
			mimic.RestoreZone(h.store, zone)
		}
	}
	h.lossSpans = append(h.lossSpans, span{lostAt, time.Now()})
}

// evacuateZone takes a zone out of service.
func (h *harness) evacuateZone(zone string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.zonesOut[zone] = true
	mimic.EvacuateZone(h.store, zone)
}

// restoreZone takes a zone back into service.
func (h *harness) restoreZone(zone string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.zonesOut[zone] = false
	mimic.RestoreZone(h.store, zone)
}

// couldHaveLost reports whether the process of the entry of a call started after the last call that
// it served by the same route, from a store that lacked the newest configuration, and has had
// propagationLimit at most since that was written again. Other processes must keep to what they
// had.
func (h *harness) couldHaveLost(r *record, lastServed time.Time) (lost bool) {
	var start time.Time
	for _, e := range h.entries {
		for _, t := range e.starts {
			if e.callerAddress == r.entry && t.Before(r.begin) {
				start = t
			}
		}
	}
	return start.After(lastServed) && slices.ContainsFunc(h.lossSpans, func(loss span) bool {
		return start.Before(loss.end) && r.begin.After(loss.begin) && r.begin.Before(loss.end.Add(propagationLimit))
	})
}
