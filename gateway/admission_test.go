package gateway

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/beater"
)

// newLoadedGateway returns a gateway whose engines have the given number of calls of 10 in
// flight, and whose route "r" takes a slot for a second.
func newLoadedGateway(calls int) (g *Gateway) {
	b := balancer.New(balancer.WithZone("z"))
	fleet := balancer.Fleet{Pools: []banyanplank.PoolSpec{{Name: "m", Engine: &banyanplank.EngineSpec{Slots: 10, BaseStepTime: time.Millisecond, StepsPerPass: 1}}}, Entries: 1}
	inFlight := make(map[banyanplank.BackendID]int)
	for i := range 4 {
		id := banyanplank.BackendID(fmt.Sprint("e-", i))
		fleet.Backends = append(fleet.Backends, banyanplank.Backend{ID: id, Service: "m", Slots: 10, Zone: "z", Group: "g"})
		inFlight[id] = calls
	}
	b.UpdateFleet(time.Now(), fleet)
	b.UpdatePeer(time.Now(), "other", true, inFlight)
	g = &Gateway{balancer: b, admission: newAdmission(b), counters: newCounters()}
	g.admission.recordSlotTime(newAdmissionCall(g, "a", 1), time.Second)
	g.admission.refresh(time.Now())
	return g
}

func newAdmissionCall(g *Gateway, account banyanplank.AccountID, fingerprint uint64) (f *forwarder) {
	return &forwarder{
		gateway: g, service: "m", account: account, fingerprint: banyanplank.Fingerprint(fingerprint),
		route:    &banyanplank.RouteSpec{Name: "r", FirstEventTarget: 400 * time.Millisecond},
		deadline: time.Now().Add(8 * time.Second),
		info:     banyanplank.CallInfo{PromptTokens: 100, MaxOutputTokens: 10},
	}
}

// TestHeavyAccountPaysForItself guards against an account that sends twenty times its share
// and has the calls of others refused.
func TestHeavyAccountPaysForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newLoadedGateway(9) // 40 slots of a second: 40 calls a second fit
		refused := map[banyanplank.AccountID]int{}
		for n := range 4000 {
			time.Sleep(5 * time.Millisecond)
			if n%20 == 0 {
				inFlight := map[banyanplank.BackendID]int{"e-0": 9, "e-1": 9, "e-2": 9, "e-3": 9}
				g.balancer.UpdatePeer(time.Now(), "other", true, inFlight)
				g.admission.refresh(time.Now())
			}
			account := banyanplank.AccountID("heavy")
			if n%20 == 0 { // 10 calls a second of 200
				account = "small"
			}
			f := newAdmissionCall(g, account, uint64(n))
			if err := f.admit(); err != nil && n > 400 {
				refused[account]++
				var refusal *banyanplank.Refusal
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Outcome, banyanplank.NotRun)
				is.True(f.retryAfter(refusal) > 0)
			}
		}
		is.Equal(refused["small"], 0)
		is.True(refused["heavy"] > 2000)
	})
}

// TestPromisedCallReturnsFirst guards against refusing a call again that comes back when it
// was promised a slot, at another entry.
func TestPromisedCallReturnsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := newLoadedGateway(9), newLoadedGateway(9)
		f := newAdmissionCall(first, "a", 77)
		after := f.promiseReturn()
		is.True(f.result.promised)
		var beat beater.Heartbeat
		is.NoErr(first.admission.compose(time.Now(), &beat))
		beat.From = "first"
		is.NoErr(second.admission.merge(time.Now(), &beat))
		time.Sleep(after)
		again := newAdmissionCall(second, "a", 77)
		is.NoErr(again.admit())
		is.True(again.isReturning)
		other := newAdmissionCall(second, "a", 78)
		_ = other.admit()
		is.True(!other.isReturning)
	})
}

// TestCalmServiceAdmitsAll guards against refusals of a service that has free slots, for
// example since the demand of one entry is estimated too high.
func TestCalmServiceAdmitsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newLoadedGateway(3)
		for n := range 1000 {
			is.NoErr(newAdmissionCall(g, "a", uint64(n)).admit())
		}
	})
}

// TestAnnouncedSizeDoesNotHideLoad guards against one call with a huge announced size, after which
// the calls of all others count as small ones, and more of them are admitted than fit.
func TestAnnouncedSizeDoesNotHideLoad(t *testing.T) {
	for name, tokens := range map[string]int{"large": 1 << 40, "largest": math.MaxInt} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newLoadedGateway(9)
			call := newAdmissionCall(g, "a", 1)
			before := g.admission.cost(call)
			odd := newAdmissionCall(g, "b", 2)
			odd.info.PromptTokens, odd.info.MaxOutputTokens = tokens, tokens
			g.admission.recordSlotTime(odd, time.Second)
			after := g.admission.cost(call)
			is.True(after > 0.9*before)
			is.True(after < 1.1*before)
			is.Equal(g.admission.cost(odd), float64(maxSizeShare))
		})
	}
}

// TestUnknownSizeCostsTheMean guards against an account that gets several times its share, since
// its calls don't announce their size and count as the smallest.
func TestUnknownSizeCostsTheMean(t *testing.T) {
	is := is.New(t)
	g := newLoadedGateway(9)
	known, unknown := newAdmissionCall(g, "a", 1), newAdmissionCall(g, "b", 2)
	unknown.info.PromptTokens, unknown.info.MaxOutputTokens = 0, 0
	for range 200 {
		g.admission.recordSlotTime(known, time.Second)
		g.admission.recordSlotTime(unknown, time.Second)
	}
	is.Equal(g.admission.cost(unknown), 1.0)
	is.Equal(g.admission.cost(known), 1.0)
	other := newAdmissionCall(g, "c", 3)
	other.route = &banyanplank.RouteSpec{Name: "of unknown sizes first"}
	unknown.route = other.route
	g.admission.recordSlotTime(unknown, time.Second)
	g.admission.recordSlotTime(other, time.Second)
	is.Equal(g.admission.cost(other), 1.0)
}

// TestCalmHeartbeatsAreNoErrors guards against an error for each heartbeat of an entry that
// leaves its demand out while no load is known: it hides other errors of heartbeats, which are
// logged once a second.
func TestCalmHeartbeatsAreNoErrors(t *testing.T) {
	tests := map[string]struct {
		beat     beater.Heartbeat
		failed   bool
		isLoaded bool
	}{
		"calm":                     {beat: beater.Heartbeat{From: "b"}},
		"too large for its demand": {beat: beater.Heartbeat{From: "b", IsUnderLoad: true}, isLoaded: true},
		"malformed demand":         {beat: beater.Heartbeat{From: "b", Demand: []byte{0}, IsUnderLoad: true}, failed: true, isLoaded: true},
		"malformed promises":       {beat: beater.Heartbeat{From: "b", Promised: []byte{0}, IsUnderLoad: true}, failed: true, isLoaded: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newAdmission(balancer.New())
			err := a.merge(time.Now(), &test.beat)
			is.Equal(err != nil, test.failed)
			is.Equal(a.isLoadKnown(time.Now()), test.isLoaded)
		})
	}
}
