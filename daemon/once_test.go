package daemon_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank/transport/receiver"
)

// counted is an endpoint that answers with the number of its run.
type counted struct{ runs atomic.Int64 }

func (c *counted) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if strings.HasPrefix(request.URL.Path, "/admin/") {
		_, _ = io.WriteString(w, `{"boot":"1","capacity":1048576}`)
		return
	}
	_, _ = fmt.Fprintf(w, `{"run":%d}`, c.runs.Add(1))
}

// book makes one call that must not be repeated.
func book(t *testing.T, p *path, key string) (status int, body string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.url()+"/v1/chat/completions",
		strings.NewReader(`{"model":"guide","max_tokens":1,"messages":"book"}`))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(text)
}

// ticket fetches a key that needs no store.
func ticket(t *testing.T, p *path) (key string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.url()+"/v1/tickets/guide", nil)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	var fetched receiver.Ticket
	is.NoErr(json.NewDecoder(response.Body).Decode(&fetched))
	return fetched.Key
}

// startOnce runs an entry and an agent before endpoint.
func startOnce(t *testing.T, endpoint http.Handler) (p *path, agent *process) {
	t.Helper()
	p = newPath(t, endpoint)
	agent = &process{settings: p.agent, path: p}
	entry := &process{settings: p.entry, path: p}
	for _, s := range []*process{agent, entry} {
		s.start(t)
		t.Cleanup(func() {
			s.stop()
			is.New(t).NoErr(<-s.done)
		})
	}
	p.await(t)
	return p, agent
}

// TestOnce makes calls that must not be repeated through daemons on loopback:
// while the store is down, and before and after their agent is restarted as
// planned.
func TestOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("restarts daemons on the real clock")
	}
	endpoint := &counted{}
	p, agent := startOnce(t, endpoint)
	t.Run("store outage", func(t *testing.T) { bookInOutage(t, p, endpoint) })
	t.Run("planned restart", func(t *testing.T) { bookOverRestart(t, p, agent) })
}

// bookOverRestart repeats a key and a ticket after their agent was restarted.
func bookOverRestart(t *testing.T, p *path, agent *process) {
	is := is.New(t)
	keys := []string{"permit-1", ticket(t, p)}
	first := make(map[string]string)
	for _, key := range keys {
		status, body := book(t, p, key)
		is.Equal(status, http.StatusOK)
		first[key] = body
	}
	agent.restart(t)
	p.await(t)
	awaitRecords(t, p, keys[0], first[keys[0]])
	for _, key := range keys {
		status, body := book(t, p, key)
		is.Equal(status, http.StatusOK)
		is.Equal(body, first[key])
	}
}

// awaitRecords waits until the agent has taken over the records of its earlier
// run. Until then it tells the truth: the outcome is not known.
func awaitRecords(t *testing.T, p *path, key, answer string) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for range 500 {
		status, body := book(t, p, key)
		if status == http.StatusOK {
			is.New(t).Equal(body, answer)
			return
		}
		is.New(t).True(strings.Contains(body, "outcome unknown"))
		<-ticker.C
	}
	t.Fatal("the records were not taken over")
}

// bookInOutage books with a ticket while the store is down, and is refused
// without one.
func bookInOutage(t *testing.T, p *path, endpoint *counted) {
	is := is.New(t)
	p.platform.SetDown(true)
	defer p.platform.SetDown(false)
	before := endpoint.runs.Load()
	status, body := book(t, p, "permit-0")
	is.Equal(status, http.StatusBadGateway)
	is.True(strings.Contains(body, `"outcome":"outcome unknown"`))
	is.Equal(endpoint.runs.Load(), before)
	key := ticket(t, p)
	status, body = book(t, p, key)
	is.Equal(status, http.StatusOK)
	again, repeated := book(t, p, key)
	is.Equal(again, http.StatusOK)
	is.Equal(repeated, body)
	is.Equal(endpoint.runs.Load(), before+1)
}
