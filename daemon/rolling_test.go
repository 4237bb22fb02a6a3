package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/daemon"
	"github.com/banyanplank/banyanplank/state/loader"
	"github.com/banyanplank/banyanplank/transport/receiver"
)

const (
	// rollingCallers call without a pause while every daemon is restarted.
	rollingCallers = 40
	// rollingBeats events, one every rollingBeat, make an answer of 2 s.
	rollingBeats = 40
	rollingBeat  = 50 * time.Millisecond
	// settleTime is how long the fleet runs between two restarts.
	settleTime = 3 * time.Second
)

// serveBeats answers every call with the same number of events.
func serveBeats(w http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/admin/") {
		_, _ = io.WriteString(w, `{"boot":"1","capacity":1048576}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	ticker := time.NewTicker(rollingBeat)
	defer ticker.Stop()
	for i := range rollingBeats {
		_, _ = fmt.Fprintf(w, "data: w%d\n\n", i)
		if control.Flush() != nil {
			return
		}
		<-ticker.C
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// process is one daemon that can be stopped as planned and started again.
type process struct {
	settings loader.Settings
	path     *path
	stop     context.CancelFunc
	done     chan error
}

func (p *process) start(t testing.TB) {
	t.Helper()
	d, err := daemon.New(p.settings, daemon.WithStore(p.path.platform), daemon.WithInstances(p.path.platform))
	is.New(t).NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	p.stop, p.done = stop, make(chan error, 1)
	group := pool.New()
	group.Go(func() { p.done <- d.Run(ctx) })
}

func (p *process) restart(t testing.TB) {
	t.Helper()
	p.stop()
	is.New(t).NoErr(<-p.done)
	p.start(t)
}

// rollingFleet runs three agents and two entries.
func rollingFleet(t testing.TB) (p *path, processes []*process) {
	t.Helper()
	p = newPath(t, http.HandlerFunc(serveBeats))
	for i := range 3 {
		settings := p.agent
		settings.Name = banyanplank.DaemonID(fmt.Sprintf("agent-%d", i))
		settings.Listen = loader.Listen{Peer: freeAddress(t), Admin: freeAddress(t)}
		processes = append(processes, &process{settings: settings, path: p})
	}
	for i := range 2 {
		settings := p.entry
		settings.Name = banyanplank.DaemonID(fmt.Sprintf("entry-%d", i))
		settings.Listen = loader.Listen{Peer: freeAddress(t), Admin: freeAddress(t), Caller: freeAddress(t)}
		processes = append(processes, &process{settings: settings, path: p})
	}
	for _, s := range processes {
		s.settings.Instance = banyanplank.InstanceID(s.settings.Name)
		s.settings.Limits.Drain = banyanplank.Duration(30 * time.Second)
		s.start(t)
	}
	p.entry = processes[3].settings
	p.await(t)
	return p, processes
}

// rollingCaller uses the entries that the fleet names, as callers are asked to.
type rollingCaller struct {
	entries []string
	asked   time.Time
	keep    time.Duration
	next    int
}

// choose returns an entry, and asks for the list again once it is too old.
func (c *rollingCaller) choose(ctx context.Context) (entry string) {
	if time.Since(c.asked) >= c.keep {
		for _, entry := range c.entries {
			if c.ask(ctx, entry) {
				break
			}
		}
	}
	c.next++
	return c.entries[c.next%len(c.entries)]
}

func (c *rollingCaller) ask(ctx context.Context, entry string) (ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var list receiver.Entries
	if json.NewDecoder(response.Body).Decode(&list) != nil || len(list.Entries) == 0 {
		return false
	}
	var entries []string
	for _, e := range list.Entries {
		entries = append(entries, e.Address)
	}
	c.entries, c.asked, c.keep = entries, time.Now(), time.Duration(list.Keep*float64(time.Second))
	return true
}

// BenchmarkRollingRestart restarts every agent and every entry as planned, one
// after the other, under load, and counts what became of the answers. None may
// be cut.
func BenchmarkRollingRestart(b *testing.B) {
	p, processes := rollingFleet(b)
	var whole, cut, refused atomic.Int64
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	callers := pool.New()
	for range rollingCallers {
		callers.Go(func() {
			c := &rollingCaller{entries: []string{p.entry.Listen.Caller.String(), processes[4].settings.Listen.Caller.String()}}
			for ctx.Err() == nil {
				response, err := post(b, "http://"+c.choose(ctx), rollingBeats)
				if err != nil || response.StatusCode != http.StatusOK {
					refused.Add(1)
					continue
				}
				text, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") || strings.Count(string(text), "data: w") != rollingBeats {
					cut.Add(1)
					continue
				}
				whole.Add(1)
			}
		})
	}
	for _, s := range processes {
		wait(settleTime)
		s.restart(b)
	}
	wait(settleTime)
	cancel()
	callers.Wait()
	for _, s := range processes {
		s.stop()
		is.New(b).NoErr(<-s.done)
	}
	b.ReportMetric(float64(whole.Load()), "whole")
	b.ReportMetric(float64(cut.Load()), "cut")
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(0, "ns/op")
	is.New(b).Equal(cut.Load(), int64(0))
}

func wait(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	<-timer.C
}
