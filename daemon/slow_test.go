package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/loader"
)

const (
	// slowTokens is the length of an answer, and slowBatch how many of them the
	// endpoint makes every slowBeat: an answer takes 10 s.
	slowTokens = 2000
	slowBatch  = 20
	slowBeat   = 100 * time.Millisecond
	// slowLimit bounds the wait for the endpoint to finish while no one reads.
	slowLimit = 30 * time.Second
	// slowTimeout is the deadline of a call.
	slowTimeout = 5 * time.Minute
)

// paced is an endpoint that makes answers at a steady pace and notes how long
// each one held it.
type paced struct {
	mu   sync.Mutex
	held []time.Duration
}

func (p *paced) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/admin/report" {
		_, _ = fmt.Fprint(w, `{"boot":"1","capacity":1000000000}`)
		return
	}
	began := time.Now()
	body, _ := io.ReadAll(request.Body)
	tokens := slowTokens
	if strings.Contains(string(body), `"max_tokens":1,`) {
		tokens = 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	beat := time.NewTicker(slowBeat)
	defer beat.Stop()
	for i := range tokens {
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-7f3a\",\"object\":\"chat.completion.chunk\",\"created\":1764800000,\"model\":\"guide\","+
			"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" w%d\"},\"finish_reason\":null}]}\n\n", i)
		if i%slowBatch == slowBatch-1 {
			if control.Flush() != nil {
				return
			}
			<-beat.C
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	_ = control.Flush()
	if tokens > 1 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.held = append(p.held, time.Since(began))
	}
}

func (p *paced) finished() (answers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

// quantile returns the time for which a share of the answers held the endpoint.
func (p *paced) quantile(share float64) (held time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.Sort(p.held)
	return p.held[int(share*float64(len(p.held)-1))]
}

// child starts the test binary as another process until the test ends.
func child(t testing.TB, environment ...string) (process int) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), environment...)
	command.Stderr = io.Discard
	is.New(t).NoErr(command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command.Process.Pid
}

// startProcesses runs both daemons as processes of their own.
func (p *path) startProcesses(t testing.TB) (processes []int) {
	t.Helper()
	is := is.New(t)
	server := httptest.NewServer(p.platform.Handler())
	t.Cleanup(server.Close)
	for _, settings := range []loader.Settings{p.agent, p.entry} {
		settings.Platform.Address = server.URL
		settings.Limits.Held = 256 << 20
		settings.Limits.Timeout = banyanplank.Duration(slowTimeout)
		text, err := toml.Marshal(settings)
		is.NoErr(err)
		file := filepath.Join(t.TempDir(), "settings.toml")
		is.NoErr(os.WriteFile(file, text, 0o600))
		processes = append(processes, child(t, childSettings+"="+file))
	}
	p.await(t)
	return processes
}

// resident returns the resident size of the processes in bytes.
func resident(t testing.TB, processes []int) (size int) {
	t.Helper()
	for _, process := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process))
		is.New(t).NoErr(err)
		pages, err := strconv.Atoi(strings.Fields(string(text))[1])
		is.New(t).NoErr(err)
		size += pages * os.Getpagesize()
	}
	return size
}

// kernelBytes returns what the kernel holds for all TCP connections.
func kernelBytes(t testing.TB) (size int) {
	t.Helper()
	text, err := os.ReadFile("/proc/net/sockstat")
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); fields[0] == "TCP:" {
			pages, err := strconv.Atoi(fields[len(fields)-1])
			is.New(t).NoErr(err)
			return pages * os.Getpagesize()
		}
	}
	return 0
}

// heldBytes returns what the agent says that it holds.
func (p *path) heldBytes(t testing.TB) (held float64) {
	t.Helper()
	is := is.New(t)
	response, err := http.Get("http://" + p.agent.Listen.Admin.String() + "/metrics")
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "banyanplank_held_bytes") {
			held, err = strconv.ParseFloat(strings.Fields(line)[1], 64)
			is.NoErr(err)
		}
	}
	return held
}

// ask sends one call and reads nothing of its answer.
func ask(t testing.TB, address netip.AddrPort) (conn net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	is.New(t).NoErr(err)
	is.New(t).NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	body := fmt.Sprintf(`{"model":"guide","stream":true,"max_tokens":%d,"messages":"where"}`, slowTokens)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", secret, len(body), body)
	is.New(t).NoErr(err)
	return conn
}

// readAll reads the answers at full speed and counts the whole ones.
func readAll(conns []net.Conn) (whole int) {
	group := pool.NewWithResults[int]()
	for _, conn := range conns {
		group.Go(func() int {
			defer conn.Close()
			text, err := io.ReadAll(conn)
			if err == nil && bytes.Contains(text, []byte("data: [DONE]")) && bytes.Contains(text, fmt.Appendf(nil, "w%d\"", slowTokens-1)) {
				return 1
			}
			return 0
		})
	}
	for _, count := range group.Wait() {
		whole += count
	}
	return whole
}

// BenchmarkSlowReaders lets callers ask and read nothing until the endpoint
// has finished or 30 s have passed, in processes of their own: through an entry
// and an agent that hold the answers, and through one process that copies them
// in the plain way. Then all read, and every answer must be whole. Sizes are
// per stream and beyond the idle processes.
func BenchmarkSlowReaders(b *testing.B) {
	for _, readers := range []int{100, 1000} {
		b.Run(fmt.Sprintf("held/%d", readers), func(b *testing.B) {
			endpoint := &paced{}
			p := newPath(b, endpoint)
			p.agent.Endpoint.Capacity = 1 << 30
			measureSlow(b, p, endpoint, p.startProcesses(b), readers)
		})
		b.Run(fmt.Sprintf("plain/%d", readers), func(b *testing.B) {
			endpoint := &paced{}
			server := httptest.NewServer(endpoint)
			b.Cleanup(server.Close)
			address := freeAddress(b)
			process := child(b, childPlain+"="+address.String(), childTarget+"="+server.URL)
			p := &path{}
			p.entry.Listen.Caller = address
			p.await(b)
			measureSlow(b, p, endpoint, []int{process}, readers)
		})
	}
}

func measureSlow(b *testing.B, p *path, endpoint *paced, processes []int, readers int) {
	idle, kernel := resident(b, processes), kernelBytes(b)
	conns := make([]net.Conn, readers)
	for i := range conns {
		conns[i] = ask(b, p.entry.Listen.Caller)
	}
	ticker := time.NewTicker(slowBeat)
	defer ticker.Stop()
	deadline := time.Now().Add(slowLimit)
	for endpoint.finished() < readers && time.Now().Before(deadline) {
		<-ticker.C
	}
	free := endpoint.finished()
	b.ReportMetric(float64(resident(b, processes)-idle)/float64(readers), "resident-B/stream")
	b.ReportMetric(float64(kernelBytes(b)-kernel)/float64(readers), "kernel-B/stream")
	if p.agent.Listen.Admin.IsValid() {
		b.ReportMetric(p.heldBytes(b)/float64(readers), "held-B/stream")
	}
	whole := readAll(conns)
	is.New(b).Equal(whole, readers)
	b.ReportMetric(float64(free), "finished-unread")
	b.ReportMetric(endpoint.quantile(0.5).Seconds(), "engine-p50-s")
	b.ReportMetric(endpoint.quantile(0.99).Seconds(), "engine-p99-s")
	b.ReportMetric(0, "ns/op")
}
