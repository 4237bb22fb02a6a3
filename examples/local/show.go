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
	// readyInterval is the time between two looks at a daemon's readiness.
	readyInterval = 20 * time.Millisecond
	// callers is the number of callers at a time.
	callers = 8
	// settle is how long each state of the zones is watched.
	settle = 3 * time.Second
)

// awaitReady waits until every daemon knows the configuration.
func (f *fleet) awaitReady(ctx context.Context) (err error) {
	for _, admin := range f.admins {
		for !isReady(ctx, admin, len(f.admins)) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyInterval):
			}
		}
	}
	fmt.Printf("ready: %d daemons\n", len(f.admins))
	return nil
}

// isReady reports whether the daemon may take work and knows count daemons.
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

// post sends one streamed chat call to the entry in zone.
func (f *fleet) post(ctx context.Context, zone banyanplank.Zone, tokens int) (response *http.Response, err error) {
	body := fmt.Sprintf(`{"model":"guide","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Where do marmots dig?"}]}`, tokens)
	url := "http://" + f.entries[zone].String() + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	return http.DefaultClient.Do(request)
}

// showAnswer streams one answer to the terminal.
func (f *fleet) showAnswer(ctx context.Context) (err error) {
	began := time.Now()
	response, err := f.post(ctx, zones[0], 8)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			fmt.Printf("%6d ms  %s\n", time.Since(began).Milliseconds(), data)
		}
	}
	return lines.Err()
}

// tally is what the callers of one phase saw.
type tally struct {
	mutex  sync.Mutex
	whole  int
	failed int
	firsts []time.Duration
}

func (t *tally) add(first time.Duration, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err != nil {
		t.failed++
		return
	}
	t.whole++
	t.firsts = append(t.firsts, first)
}

// quantile returns the time to the first token that a share of calls met.
func (t *tally) quantile(share float64) (first time.Duration) {
	if len(t.firsts) == 0 {
		return 0
	}
	slices.Sort(t.firsts)
	return t.firsts[int(share*float64(len(t.firsts)-1))]
}

// showZone watches the service with all zones in, with one out, and with it
// back in.
func (f *fleet) showZone(ctx context.Context) (err error) {
	out := zones[1]
	phases := []struct {
		name string
		out  []banyanplank.Zone
	}{
		{name: "all zones in"},
		{name: string(out) + " out", out: []banyanplank.Zone{out}},
		{name: string(out) + " in again"},
	}
	for _, phase := range phases {
		if err := f.configure(ctx, phase.out); err != nil {
			return err
		}
		if err := f.load(ctx, phase.name); err != nil {
			return err
		}
	}
	return nil
}

// began counts the requests that the engines of zone were given.
func (f *fleet) began(zone banyanplank.Zone) (requests int) {
	for _, e := range f.engines[zone] {
		requests += e.Began()
	}
	return requests
}

// load calls the entry of the first zone for a while and prints what came of
// it.
func (f *fleet) load(ctx context.Context, name string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	before := make(map[banyanplank.Zone]int)
	for _, zone := range zones {
		before[zone] = f.began(zone)
	}
	var seen tally
	group := pool.New()
	for range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				seen.add(f.call(context.WithoutCancel(ctx)))
			}
		})
	}
	group.Wait()
	fmt.Printf("%-16s whole=%d failed=%d first_p50=%v first_p95=%v", name, seen.whole, seen.failed,
		seen.quantile(0.50).Round(time.Millisecond), seen.quantile(0.95).Round(time.Millisecond))
	for _, zone := range zones {
		fmt.Printf(" %s=%d", zone, f.began(zone)-before[zone])
	}
	fmt.Println()
	if seen.failed > 0 {
		return errors.Newf("%d calls failed while %s", seen.failed, name)
	}
	return nil
}

// call makes one call and returns the time to its first token.
func (f *fleet) call(ctx context.Context) (first time.Duration, err error) {
	began := time.Now()
	response, err := f.post(ctx, zones[0], 16)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		return 0, err
	}
	first = time.Since(began)
	rest, err := io.ReadAll(reader)
	if err != nil {
		return 0, err
	}
	if !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		return 0, errors.New("the answer has no end")
	}
	return first, nil
}
