package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/daemon"
	"github.com/banyanplank/banyanplank/standin/engine"
	"github.com/banyanplank/banyanplank/state/loader"
)

// brittle is an endpoint that dies of a prompt with the word "crash" in it.
type brittle struct {
	boot atomic.Int64
}

// ServeHTTP implements [http.Handler].
func (b *brittle) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/admin/") {
		_, _ = fmt.Fprintf(w, `{"boot":"%d","capacity":1048576}`, b.boot.Load())
		return
	}
	body, _ := io.ReadAll(request.Body)
	if bytes.Contains(body, []byte("crash")) {
		b.boot.Add(1)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "data: {}\n\ndata: [DONE]\n\n")
}

// TestCrashingRequestIsStopped sends a request that kills its endpoint again
// and again through an entry before five agents, then through another entry.
func TestCrashingRequestIsStopped(t *testing.T) {
	is := is.New(t)
	p := newPath(t, http.NotFoundHandler())
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New().WithContext(ctx).WithFirstError()
	run := func(settings loader.Settings) {
		d, err := daemon.New(settings, daemon.WithStore(p.platform), daemon.WithInstances(p.platform))
		is.NoErr(err)
		group.Go(d.Run)
	}
	var endpoints []*brittle
	for i := range 5 {
		endpoint := &brittle{}
		endpoints = append(endpoints, endpoint)
		server := httptest.NewServer(endpoint)
		t.Cleanup(server.Close)
		settings := newSettings(t, banyanplank.RoleAgent)
		settings.Name = banyanplank.DaemonID("agent-" + strconv.Itoa(i))
		settings.Endpoint = loader.Endpoint{Address: server.URL, Service: "guide", Capacity: 1 << 20}
		run(settings)
	}
	run(p.entry)
	other := newSettings(t, banyanplank.RoleEntry)
	other.Name, other.Listen.Caller = "other", freeAddress(t)
	run(other)
	t.Cleanup(func() {
		cancel()
		is.NoErr(group.Wait())
	})
	p.await(t)
	(&path{entry: other}).await(t)
	p.awaitMembers(t, other, 7)
	p.awaitMembers(t, p.entry, 7)
	heard := findings("other").Get()
	// The entry tries it elsewhere itself, so the second death comes at once.
	status, _ := p.ask(t, "crash")
	is.True(status != http.StatusOK)
	await(t, func() bool { return findings("other").Get() >= heard+2 })
	for _, entry := range []loader.Settings{p.entry, other} {
		status, text := (&path{entry: entry}).ask(t, "crash")
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(text, string(banyanplank.ReasonSuspect)))
		status, _ = (&path{entry: entry}).ask(t, "burrows")
		is.Equal(status, http.StatusOK)
	}
	crashes := int64(0)
	for _, endpoint := range endpoints {
		crashes += endpoint.boot.Load()
	}
	is.Equal(crashes, int64(2))
}

// TestColdEnginesSurviveOverload sends far more at once than two cold engines
// carry. Each call gets a whole answer or a refusal that says "not run".
func TestColdEnginesSurviveOverload(t *testing.T) {
	is := is.New(t)
	p := newPath(t, http.NotFoundHandler())
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New().WithContext(ctx).WithFirstError()
	run := func(settings loader.Settings) {
		d, err := daemon.New(settings, daemon.WithStore(p.platform), daemon.WithInstances(p.platform))
		is.NoErr(err)
		group.Go(d.Run)
	}
	var engines []*engine.Engine
	for i := range 2 {
		e := engine.New(engine.WithWarmup(time.Hour))
		engines = append(engines, e)
		group.Go(func(ctx context.Context) error { e.Run(ctx); return nil })
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		settings := newSettings(t, banyanplank.RoleAgent)
		settings.Name = banyanplank.DaemonID("engine-" + strconv.Itoa(i))
		settings.Endpoint = loader.Endpoint{Address: server.URL, Service: "guide", Capacity: 20_000}
		run(settings)
	}
	run(p.entry)
	t.Cleanup(func() {
		cancel()
		is.NoErr(group.Wait())
	})
	p.await(t)
	var whole, refused atomic.Int64
	var callers conc.WaitGroup
	for range 200 {
		callers.Go(func() {
			status, text := p.ask(t, strings.Repeat("where are the burrows? ", 40))
			switch {
			case status == http.StatusOK && strings.HasSuffix(text, "[DONE]\n\n"):
				whole.Add(1)
			case strings.Contains(text, string(banyanplank.NotRun)):
				refused.Add(1)
			default:
				t.Errorf("status %d: %s", status, text)
			}
		})
	}
	callers.Wait()
	is.True(whole.Load() > 0)
	is.Equal(whole.Load()+refused.Load(), int64(200))
	for _, e := range engines {
		is.Equal(e.Crashes(), 0)
	}
}

// awaitMembers waits until an entry knows as many members.
func (p *path) awaitMembers(t *testing.T, entry loader.Settings, count int) {
	t.Helper()
	await(t, func() bool {
		response, err := http.Get("http://" + entry.Listen.Admin.String() + "/v1/status")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var status daemon.Status
		return json.NewDecoder(response.Body).Decode(&status) == nil && len(status.Members) == count
	})
}

// findings returns the counter of what an entry has heard of.
func findings(entry string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("banyanplank_findings_total{daemon=%q}", entry))
}

// await waits until done, at most ten seconds.
func await(t *testing.T, done func() bool) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for range 500 {
		if done() {
			return
		}
		<-ticker.C
	}
	t.Fatal("it does not come about")
}

// ask sends one streamed chat call and returns the answer.
func (p *path) ask(t *testing.T, prompt string) (status int, text string) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"model":"guide","stream":true,"max_tokens":4,"messages":%q}`, prompt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url()+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}
