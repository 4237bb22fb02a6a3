package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/platform/mimic"
)

// The parameters of requests that crash the servers that run them.
const (
	// crashDuration is how long the request is repeated. It leaves time for repeats after
	// the third crash.
	crashDuration = 12 * time.Second
	// crashInterval is the time between two repeats.
	crashInterval = 300 * time.Millisecond
	// crashDowntime is how long a crashed server is down.
	crashDowntime = 2 * time.Second
	// crashThreshold is the number of crashes after which entries must refuse the request,
	// partCrashThreshold the same for a part of prompts, and maxLaterCrashes is the number
	// of further crashes that are tolerated.
	crashThreshold     = 3
	partCrashThreshold = 5
	maxLaterCrashes    = 3
)

// The kinds of crashing requests. They are the first field of attempt IDs.
const (
	crashingRequest = "crash"
	crashingPart    = "tainted"
)

// repeatCrashingRequest sends a request that crashes servers to each entry in turn until
// done is closed, or requests that have only a crashing part of their prompts in common. It
// restarts the servers that crash.
func (h *harness) repeatCrashingRequest(kind, service string, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		defer cancel()
		<-done
	})
	for i, s := range h.slots {
		if s.service == service {
			group.Go(func() { h.restartCrashedServer(ctx, i) })
		}
	}
	call := mimic.Call{Path: "look", Key: permanentKey, Timeout: callTimeout, Body: mimic.CrashBody}
	if service == mimic.ChatService {
		call.Path = "talk"
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; banyanplank.Sleep(ctx, crashInterval) == nil; i++ {
		e := h.entries[i%len(h.entries)]
		call.Attempt = fmt.Sprintf("%s-%s-%d", kind, service, time.Since(h.startTime).Nanoseconds())
		if kind == crashingPart {
			call.Body = call.Attempt
			call.Prompt = fmt.Sprintf("a%d:40,%s:60,c%x:300", i%promptTemplates, mimic.CrashPart, i)
		}
		h.mutex.Lock()
		h.crashAttempts[call.Attempt] = e.callerAddress
		h.mutex.Unlock()
		// The response is not checked here; the servers' run log shows where the call ran.
		_, _ = mimic.SendCall(ctx, client, e.callerAddress, call)
	}
	group.Wait()
}

// restartCrashedServer restarts a server whenever a request has crashed it, until ctx ends.
func (h *harness) restartCrashedServer(ctx context.Context, index int) {
	s := h.slots[index]
	for banyanplank.Sleep(ctx, crashInterval/3) == nil || s.hasCrashed() {
		s.faultMutex.Lock()
		if s.server.HasCrashed() {
			s.server.Crash()
			_ = banyanplank.Sleep(context.Background(), crashDowntime)
			h.addError(s.start(index, h.store, h.runLog))
		}
		s.faultMutex.Unlock()
	}
}

// hasCrashed reports whether a request has crashed the server. It waits while another fault
// controls the server.
func (s *serverSlot) hasCrashed() bool {
	s.faultMutex.Lock()
	defer s.faultMutex.Unlock()
	return s.server.HasCrashed()
}

// hadEntryFault reports whether a fault affected the process of an entry in the settleTime
// before t.
func (h *harness) hadEntryFault(address netip.AddrPort, t time.Time) bool {
	for _, s := range h.entryFaultSpans[address] {
		if s.begin.Before(t) && s.end.After(t.Add(-settleTime)) {
			return true
		}
	}
	return false
}

// hadLinkFault reports whether the link to a server was faulty between two times, so that
// responses may not have reached the entries.
func (h *harness) hadLinkFault(server string, from, to time.Time) bool {
	var index int
	if _, err := fmt.Sscanf(server, serverIDFormat, &index, new(int)); err != nil {
		return false
	}
	for _, s := range h.linkFaultSpans[index] {
		if s.begin.Before(to) && s.end.After(from) {
			return true
		}
	}
	return false
}

// checkCrashes checks that entries stop sending a request that crashes servers.
func (h *harness) checkCrashes(runs []mimic.Run) (p Promise) {
	p.Name = "a request that has crashed three servers, or a part of prompts that has crashed five, is sent three times more at most"
	crashes, late := make(map[string][]mimic.Run), make(map[string]int)
	for _, r := range runs {
		address, known := h.crashAttempts[r.Attempt]
		if !known || !r.Crashed {
			continue
		}
		p.Checked++
		request, threshold := r.Attempt[:strings.LastIndexByte(r.Attempt, '-')], crashThreshold
		if strings.HasPrefix(request, crashingPart) {
			threshold = partCrashThreshold
		}
		crashes[request] = append(crashes[request], r)
		if n := len(crashes[request]); n > threshold && r.At.Sub(crashes[request][threshold-1].At) > settleTime && !h.hadEntryFault(address, r.At) {
			late[request]++
		}
	}
	for request, n := range late {
		if n > maxLaterCrashes {
			p.addViolation("%s crashed %d servers, %d of them after the limit", request, len(crashes[request]), n)
		}
	}
	return p
}

// checkPauses checks that an entry sends no calls to a server that has asked for a pause
// with Retry-After. From half a second on, at most two are tolerated.
func (h *harness) checkPauses(records []*record, runs []mimic.Run) (p Promise) {
	p.Name = "a server that wants no calls for a while gets none"
	entries := make(map[string]netip.AddrPort, len(records))
	for _, r := range records {
		entries[r.Attempt] = r.entry
	}
	type pair struct {
		server string
		entry  netip.AddrPort
	}
	rejections := make(map[pair][]time.Time)
	for _, r := range runs {
		if entry, known := entries[r.Attempt]; known && r.Rejected {
			rejections[pair{r.Server, entry}] = append(rejections[pair{r.Server, entry}], r.At)
		}
	}
	for key, times := range rejections {
		for i, at := range times {
			p.Checked++
			until, after := at.Add(mimic.PauseTime), 0
			for _, other := range times[i+1:] {
				if other.After(at.Add(500*time.Millisecond)) && other.Before(until) {
					after++
				}
			}
			if after > 2 && !h.hadEntryFault(key.entry, until) && !h.hadLinkFault(key.server, at, until) {
				p.addViolation("%s received %d calls from %s during a pause", key.server, after, key.entry)
			}
		}
	}
	return p
}
