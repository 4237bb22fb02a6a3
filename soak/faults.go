package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/platform/mimic"
)

// The parameters of a round: overlapping faults, and then a phase without faults in which
// operators make changes.
const (
	// faultStartWindow is the time in which the faults of a round begin.
	faultStartWindow = 4 * time.Second
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// minFaults and maxFaults bound the number of faults in a round.
	minFaults = 5
	maxFaults = 12
	// drainTime is how long a server keeps running after it has announced that it leaves.
	drainTime = 4 * time.Second
	// zoneReturn is when operators take zones back, from the start of the phase without faults.
	zoneReturn = 10 * time.Second
)

// Fault is a fault that is injected in a run, or an operation of the operators.
type Fault struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	// At and Until are when the fault begins and ends. Until the fault has ended they are
	// offsets from the start of its phase, afterwards from the start of the run.
	At    time.Duration `json:"at"`
	Until time.Duration `json:"until"`
	// Harmless is set for operations that must not affect calls.
	Harmless bool `json:"harmless"`
	inject   func(done <-chan struct{})
}

// drawFaults draws the faults of a round.
func (h *harness) drawFaults(random *rand.Rand) (faults []*Fault) {
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		f := h.drawFault(random)
		f.At = time.Duration(random.Int64N(int64(faultStartWindow)))
		f.Until = f.At + minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faults = append(faults, f)
	}
	faults = append(faults, h.drawExtraFaults()...)
	faults = append(faults, h.drawMalformedFaults()...)
	return append(faults, h.drawReturns()...)
}

// drawExtraFaults draws faults of the kinds that were added later. It uses a random source
// of its own, so that older seeds still draw the same faults.
func (h *harness) drawExtraFaults() (faults []*Fault) {
	at := func() (begin time.Duration) { return time.Duration(h.extraRandom.Int64N(int64(faultStartWindow))) }
	service := h.slots[h.extraRandom.IntN(len(h.slots))].service
	switch h.extraRandom.IntN(3) {
	case 0:
		faults = []*Fault{{Kind: "crashing request", Target: service, At: at(), inject: func(done <-chan struct{}) { h.repeatCrashingRequest(crashingRequest, service, done) }}}
		faults[0].Until = faults[0].At + crashDuration
	case 1:
		faults = []*Fault{{Kind: "servers pausing", Target: service, At: at(), inject: func(done <-chan struct{}) {
			h.injectServerFault(service, mimic.ServerPauses)
			<-done
			h.injectServerFault(service, mimic.ServerHealthy)
		}}}
		faults[0].Until = faults[0].At + maxFaultDuration
	}
	if h.extraRandom.IntN(3) == 0 {
		f := &Fault{Kind: "crashing part", Target: mimic.ChatService, At: at()}
		f.Until = f.At + crashDuration
		f.inject = func(done <-chan struct{}) { h.repeatCrashingRequest(crashingPart, mimic.ChatService, done) }
		faults = append(faults, f)
	}
	return faults
}

// drawMalformedFaults draws whether the servers of a service send malformed responses. It has a
// random source of its own, for the same reason.
func (h *harness) drawMalformedFaults() (faults []*Fault) {
	random := h.malformedRandom
	if random.IntN(2) == 0 {
		return nil
	}
	choice := malformedFaults[random.IntN(len(malformedFaults))]
	f := h.newServerFault(choice, h.slots[random.IntN(len(h.slots))].service)
	f.At = time.Duration(random.Int64N(int64(faultStartWindow)))
	f.Until = f.At + maxFaultDuration
	return []*Fault{f}
}

// serverFaultKind is a fault of servers and its name.
type serverFaultKind struct {
	kind  string
	fault mimic.ServerFault
}

// The kinds of faults, drawn by index.
var (
	storeFaults = []struct {
		kind  string
		fault mimic.StoreFault
	}{
		{"store busy", mimic.StoreUnavailable}, {"store many", mimic.StoreTooManyRequests}, {"store lost answers", mimic.StoreDropsReplies}, {"store silent", mimic.StoreHangs},
	}
	// storeFaultShares are the fractions of the store's calls that a fault affects.
	storeFaultShares = []float64{0.3, 1}
	linkModes        = []struct {
		kind string
		mode mode
	}{
		{"delay", delay}, {"reset", reset}, {"mute", dropToTarget}, {"deaf", dropFromTarget},
	}
	serverFaults = []serverFaultKind{
		{"forgetful", mimic.ServerDropsReplies}, {"short", mimic.ServerTruncates}, {"full", mimic.ServerRejects}, {"failing", mimic.ServerFails},
	}
	malformedFaults = []serverFaultKind{
		{"with invalid status", mimic.ServerSendsInvalidStatus}, {"with invalid names", mimic.ServerSendsInvalidName},
	}
)

// drawFault draws a fault without its times.
func (h *harness) drawFault(random *rand.Rand) (f *Fault) {
	e := h.entries[random.IntN(len(h.entries))]
	index := random.IntN(len(h.slots))
	s, link := h.slots[index], linkModes[random.IntN(len(linkModes))]
	switch random.IntN(10) {
	case 0:
		return h.storeFault(random)
	case 1:
		return &Fault{Kind: "link to store " + link.kind, Target: e.name, inject: proxyFault(e.store, link.mode)}
	case 2, 3:
		return &Fault{Kind: "link to server " + link.kind, Target: s.displayName(index), inject: h.linkFault(index, link.mode)}
	case 4:
		return &Fault{Kind: "server crash", Target: s.displayName(index), inject: func(done <-chan struct{}) { h.restartServer(index, done) }}
	case 5:
		return h.freezeFault(e)
	case 6:
		return h.signalFault("entry killed", e, syscall.SIGKILL)
	case 7:
		return h.signalFault("entry stopped in trouble", e, syscall.SIGTERM)
	default:
		return h.serverFault(random, s.service)
	}
}

// storeFault injects a fault into the store.
func (h *harness) storeFault(random *rand.Rand) (f *Fault) {
	choice, share := storeFaults[random.IntN(len(storeFaults))], storeFaultShares[random.IntN(len(storeFaultShares))]
	return &Fault{Kind: choice.kind, Target: fmt.Sprintf("%.0f%% of calls", 100*share), inject: func(done <-chan struct{}) {
		h.store.InjectFault(choice.fault, share)
		<-done
		h.store.InjectFault(mimic.StoreHealthy, 0)
	}}
}

// serverFault draws a fault of all servers of a service.
func (h *harness) serverFault(random *rand.Rand, service string) (f *Fault) {
	return h.newServerFault(serverFaults[random.IntN(len(serverFaults))], service)
}

// newServerFault returns a fault of all servers of a service.
func (h *harness) newServerFault(choice serverFaultKind, service string) (f *Fault) {
	return &Fault{Kind: "servers " + choice.kind, Target: service, inject: func(done <-chan struct{}) {
		h.injectServerFault(service, choice.fault)
		<-done
		h.injectServerFault(service, mimic.ServerHealthy)
	}}
}

// freezeFault stops an entry with SIGSTOP and continues it with SIGCONT.
func (h *harness) freezeFault(e *entry) (f *Fault) {
	return &Fault{Kind: "entry frozen", Target: e.name, inject: func(done <-chan struct{}) {
		h.runExclusively(e, func() {
			e.signal(syscall.SIGSTOP)
			<-done
			e.signal(syscall.SIGCONT)
		})
	}}
}

// signalFault ends an entry with a signal and starts it again.
func (h *harness) signalFault(kind string, e *entry, signal syscall.Signal) (f *Fault) {
	return &Fault{Kind: kind, Target: e.name, inject: func(done <-chan struct{}) {
		h.runExclusively(e, func() {
			e.signal(signal)
			e.waitForExit()
			<-done
			h.addError(e.start())
		})
	}}
}

// proxyFault sets the mode of a proxy until done is closed.
func proxyFault(p *proxy, m mode) (inject func(done <-chan struct{})) {
	return func(done <-chan struct{}) {
		p.setMode(m)
		<-done
		p.setMode(forward)
	}
}

// linkFault sets the mode of the link to a server until done is closed, and records the span.
func (h *harness) linkFault(index int, m mode) (inject func(done <-chan struct{})) {
	return func(done <-chan struct{}) {
		begin := time.Now()
		proxyFault(h.slots[index].proxy, m)(done)
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.linkFaultSpans[index] = append(h.linkFaultSpans[index], span{begin, time.Now()})
	}
}

// runExclusively serializes the faults and operations that affect an entry's process, and
// records the span of each.
func (h *harness) runExclusively(e *entry, operation func()) {
	e.faultMutex.Lock()
	defer e.faultMutex.Unlock()
	begin := time.Now()
	operation()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.entryFaultSpans[e.callerAddress] = append(h.entryFaultSpans[e.callerAddress], span{begin, time.Now()})
}

// injectServerFault replaces the fault of all servers of a service.
func (h *harness) injectServerFault(service string, fault mimic.ServerFault) {
	for _, s := range h.slots {
		if s.service != service {
			continue
		}
		s.faultMutex.Lock()
		s.server.InjectFault(fault)
		s.faultMutex.Unlock()
	}
}

// restartServer crashes a server and starts it again with a new ID.
func (h *harness) restartServer(index int, done <-chan struct{}) {
	s := h.slots[index]
	s.faultMutex.Lock()
	defer s.faultMutex.Unlock()
	s.server.Crash()
	<-done
	h.addError(s.start(index, h.store, h.runLog))
}

// drawOperations draws what operators do in a phase without faults: a planned stop, a new
// configuration that revokes a key, a zone that is evacuated and restored, and a server
// that leaves as planned.
func (h *harness) drawOperations(random *rand.Rand) (operations []*Fault) {
	e := h.entries[random.IntN(len(h.entries))]
	zone := zones[random.IntN(len(zones))]
	index := random.IntN(len(h.slots))
	// A leaving server announces it in the store, or only in the headers of its responses.
	viaStore := h.extraRandom.IntN(2) == 0
	operations = []*Fault{
		{Kind: "configuration", Target: "all", At: 3 * time.Second, inject: func(<-chan struct{}) { h.putNextConfig() }},
		{Kind: "planned stop", Target: e.name, At: 5 * time.Second, Until: 5 * time.Second, inject: func(<-chan struct{}) {
			h.runExclusively(e, func() {
				begin := time.Now()
				e.signal(syscall.SIGTERM)
				e.waitForExit()
				h.addPlannedStop(e, span{begin, time.Now()})
				h.addError(e.start())
			})
		}},
		{Kind: "zone out of service", Target: zone, At: 3 * time.Second, Until: zoneReturn, inject: func(done <-chan struct{}) {
			h.evacuateZone(zone)
			h.addExclusion(exclusion{zone: zone, from: time.Now().Add(propagationLimit), until: h.phaseTime(zoneReturn)})
			<-done
			h.restoreZone(zone)
		}},
		{Kind: "server leaves", Target: h.slots[index].displayName(index), At: 3 * time.Second, Until: 3*time.Second + drainTime, inject: func(done <-chan struct{}) {
			s := h.slots[index]
			s.faultMutex.Lock()
			defer s.faultMutex.Unlock()
			if viaStore {
				s.server.Drain()
			} else {
				s.server.SetLeavingHeader()
			}
			h.addExclusion(exclusion{server: s.server.ID, from: time.Now().Add(drainTime - time.Second)})
			<-done
			s.server.Crash()
			h.addError(s.start(index, h.store, h.runLog))
		}},
	}
	for _, o := range operations {
		o.Harmless = true
	}
	return operations
}

// runFaults injects each fault at its offset from now and waits until all have ended.
func (h *harness) runFaults(ctx context.Context, faults []*Fault) {
	h.phaseStart = time.Now()
	base := time.Since(h.startTime)
	var group conc.WaitGroup
	for _, f := range faults {
		group.Go(func() {
			if banyanplank.Sleep(ctx, f.At) != nil {
				return
			}
			done := make(chan struct{})
			timer := time.AfterFunc(max(0, f.Until-f.At), func() { close(done) })
			defer timer.Stop()
			begin := time.Now()
			f.inject(done)
			f.At += base
			f.Until = time.Since(h.startTime)
			if !f.Harmless {
				h.addFaultSpan(begin, time.Now())
			}
		})
	}
	group.Wait()
	h.faults = append(h.faults, faults...)
}
