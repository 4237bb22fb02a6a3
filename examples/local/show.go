package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/daemon"
)

const (
	readyPollInterval = 20 * time.Millisecond
	// callerCount is the number of concurrent callers.
	callerCount = 8
	// phaseDuration is how long the load runs in each phase.
	phaseDuration = 3 * time.Second
)

// waitReady waits until every daemon is ready and lists all daemons as members.
func (f *fleet) waitReady(ctx context.Context) (err error) {
	for _, admin := range f.admins {
		for !isReady(ctx, admin, len(f.admins)) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPollInterval):
			}
		}
	}
	fmt.Printf("ready: %d daemons\n", len(f.admins))
	return nil
}

// isReady reports whether the daemon is ready and lists count members.
func isReady(ctx context.Context, admin netip.AddrPort, count int) (ready bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/v1/status", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status daemon.Status
	err = json.NewDecoder(response.Body).Decode(&status)
	return err == nil && status.Ready && len(status.Members) == count
}

// sendChat sends a streaming chat completion call to the entry of a zone.
func (f *fleet) sendChat(ctx context.Context, zone banyanplank.Zone, tokens int) (response *http.Response, err error) {
	body := fmt.Sprintf(`{"model":"guide","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Where do marmots dig?"}]}`, tokens)
	url := "http://" + f.entries[zone].String() + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	return http.DefaultClient.Do(request)
}

// printAnswer prints the events of one streamed response with their times.
func (f *fleet) printAnswer(ctx context.Context) (err error) {
	start := time.Now()
	response, err := f.sendChat(ctx, zones[0], 8)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			fmt.Printf("%6d ms  %s\n", time.Since(start).Milliseconds(), data)
		}
	}
	return lines.Err()
}

// callStats collects the results of the calls of one phase.
type callStats struct {
	mutex       sync.Mutex
	completed   int
	failed      int
	firstTokens []time.Duration
}

func (s *callStats) record(first time.Duration, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.failed++
		return
	}
	s.completed++
	s.firstTokens = append(s.firstTokens, first)
}

// quantile returns the given quantile, from 0 to 1, of the time to the first
// token.
func (s *callStats) quantile(share float64) (first time.Duration) {
	if len(s.firstTokens) == 0 {
		return 0
	}
	slices.Sort(s.firstTokens)
	return s.firstTokens[int(share*float64(len(s.firstTokens)-1))]
}

// runZonePhases runs one phase with all zones in service, one with a zone out of
// service, and one with that zone back in service.
func (f *fleet) runZonePhases(ctx context.Context) (err error) {
	disabled := zones[1]
	phases := []struct {
		name     string
		disabled []banyanplank.Zone
	}{
		{name: "all zones in"},
		{name: string(disabled) + " out", disabled: []banyanplank.Zone{disabled}},
		{name: string(disabled) + " in again"},
	}
	for _, phase := range phases {
		if err := f.configure(ctx, phase.disabled); err != nil {
			return err
		}
		if err := f.runPhase(ctx, phase.name); err != nil {
			return err
		}
	}
	return nil
}

// countRequests returns the number of requests submitted to the engines of a
// zone.
func (f *fleet) countRequests(zone banyanplank.Zone) (requests int) {
	for _, e := range f.engines[zone] {
		requests += e.RequestCount()
	}
	return requests
}

// runPhase sends calls to the entry of the first zone for [phaseDuration] and
// prints the results, with the number of requests per zone.
func (f *fleet) runPhase(ctx context.Context, name string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, phaseDuration)
	defer cancel()
	before := make(map[banyanplank.Zone]int)
	for _, zone := range zones {
		before[zone] = f.countRequests(zone)
	}
	var stats callStats
	group := pool.New()
	for range callerCount {
		group.Go(func() {
			for ctx.Err() == nil {
				stats.record(f.measureCall(context.WithoutCancel(ctx)))
			}
		})
	}
	group.Wait()
	fmt.Printf("%-16s whole=%d failed=%d first_p50=%v first_p95=%v", name, stats.completed, stats.failed,
		stats.quantile(0.50).Round(time.Millisecond), stats.quantile(0.95).Round(time.Millisecond))
	for _, zone := range zones {
		fmt.Printf(" %s=%d", zone, f.countRequests(zone)-before[zone])
	}
	fmt.Println()
	if stats.failed > 0 {
		return errors.Newf("%d calls failed in phase: %s", stats.failed, name)
	}
	return nil
}

// measureCall sends one call, reads its whole response and returns the time to
// the first token.
func (f *fleet) measureCall(ctx context.Context) (first time.Duration, err error) {
	start := time.Now()
	response, err := f.sendChat(ctx, zones[0], 16)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		return 0, err
	}
	first = time.Since(start)
	rest, err := io.ReadAll(reader)
	if err != nil {
		return 0, err
	}
	if !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		return 0, errors.New("response does not end with a [DONE] event")
	}
	return first, nil
}
