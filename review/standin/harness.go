package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/platform/mimic"
	"github.com/banyanplank/banyanplank/standin/loopback"
)

const (
	// gracePeriod is the time from SIGTERM to SIGKILL, as in the users' small deployments.
	gracePeriod = 8 * time.Second
	zoneName    = "zone-a"
)

// harness holds what all cases share: the store, the processes and the record.
type harness struct {
	args      arguments
	dir       string
	startedAt time.Time
	mutex     sync.Mutex
	record    *os.File
	store     *mimic.Store
	storeAt   netip.AddrPort
	servers   []*http.Server
	processes []*process
	work      conc.WaitGroup
	random    *rand.Rand
	attempts  int
}

func newHarness(args arguments) (h *harness, err error) {
	h = &harness{args: args, startedAt: time.Now(), store: mimic.NewStore(), random: rand.New(rand.NewPCG(args.Seed, 2))}
	if h.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if h.record, err = os.Create(args.Record); err != nil {
		return nil, err
	}
	if h.storeAt, err = h.serve(h.store); err != nil {
		return nil, err
	}
	h.recordf("case %s, disruption: %v, seed %d", args.Case, !args.Calm, args.Seed)
	return h, nil
}

// recordf appends a line with the time since the start to the record.
func (h *harness) recordf(format string, values ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, _ = fmt.Fprintf(h.record, "%8.3f %s\n", time.Since(h.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// float returns a random number in [0, 1).
func (h *harness) float() float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.random.Float64()
}

// nextAttempt returns a new attempt id.
func (h *harness) nextAttempt() (id string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.attempts++
	return fmt.Sprintf("%08x%08x", h.random.Uint32(), h.attempts)
}

// serve serves a handler at a new loopback address.
func (h *harness) serve(handler http.Handler) (address netip.AddrPort, err error) {
	if address, err = loopback.Address(); err != nil {
		return address, err
	}
	return address, h.serveAt(address, handler)
}

func (h *harness) serveAt(address netip.AddrPort, handler http.Handler) (err error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	h.servers = append(h.servers, server)
	h.work.Go(func() { _ = server.Serve(listener) })
	return nil
}

// process is one of the project's own programs.
type process struct {
	name      string
	zone      string
	cmd       *exec.Cmd
	exited    chan struct{}
	caller    netip.AddrPort
	directory netip.AddrPort
	ready     netip.AddrPort
}

// signal sends a signal to the process that this case started.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// processorTime returns the processor time that the process has taken so far.
func (p *process) processorTime() (total time.Duration) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// The fields behind the name, which is in parentheses: utime and stime, in 10 ms, are the
	// 12th and 13th.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	for _, field := range fields[11:13] {
		if ticks, err := strconv.Atoi(field); err == nil {
			total += time.Duration(ticks) * 10 * time.Millisecond
		}
	}
	return total
}

// start starts a program of the project. Its output goes to a file in the temporary folder.
func (h *harness) start(name string, words ...string) (p *process, err error) {
	output, err := os.Create(filepath.Join(h.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close()
	p = &process{name: name, exited: make(chan struct{}), cmd: exec.Command(words[0], words[1:]...)}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	h.processes = append(h.processes, p)
	h.recordf("start %s as process %d", name, p.cmd.Process.Pid)
	h.work.Go(func() {
		defer close(p.exited)
		err := p.cmd.Wait()
		h.recordf("%s has ended: %v", name, err)
	})
	return p, nil
}

// startEntry starts an entry with settings like those of deploy/entry.toml.tmpl.
func (h *harness) startEntry(name string, agentPort uint16) (p *process, err error) {
	return h.startEntryIn(name, zoneName, agentPort)
}

// startEntryIn starts an entry in an availability zone.
func (h *harness) startEntryIn(name, zone string, agentPort uint16) (p *process, err error) {
	var caller, directory, ready, peer netip.AddrPort
	for _, address := range []*netip.AddrPort{&caller, &directory, &ready, &peer} {
		if *address, err = loopback.Address(); err != nil {
			return nil, err
		}
	}
	settings := fmt.Sprintf(`name = %q
zone = %q
region = "review"
platform = %q
[listen]
caller = %q
directory = %q
ready = %q
peer = %q
agent = %d
[limits]
memory = 284000000
share = 0.2
slack = 90
span = "10s"
grace = "%ds"
keep = "5s"
`, name, zone, h.storeAt, caller, directory, ready, peer, agentPort, int(gracePeriod.Seconds()))
	path := filepath.Join(h.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if p, err = h.start(name, filepath.Join(h.args.Target, "banyanplank-entry"), "--settings", path); err != nil {
		return nil, err
	}
	p.zone, p.caller, p.directory, p.ready = zone, caller, directory, ready
	return p, nil
}

// awaitReady waits until an entry answers the readiness check with 200.
func (h *harness) awaitReady(ctx context.Context, p *process) (err error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for banyanplank.Sleep(ctx, 50*time.Millisecond) == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.ready.String()+"/ready", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("%s is not ready", p.name)
}

// putConfig writes the configuration of the small deployment with a version and the keys of
// its one tenant.
func (h *harness) putConfig(version int, engine bool, keys ...string) {
	var config map[string]any
	text, err := json.Marshal(wire.Config)
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	if err != nil {
		panic(err)
	}
	config["version"] = version
	if engine {
		config["services"].([]any)[0].(map[string]any)["engine"] = wire.Engine
	}
	tenant := config["tenants"].([]any)[0].(map[string]any)
	for name, value := range tenant {
		if _, isList := value.([]any); isList {
			tenant[name] = append([]string{}, keys...)
		}
	}
	h.store.Put("config", "main", config)
	h.recordf("config version %d is acknowledged, keys: %v", version, keys)
}

// register keeps a server registered until ctx ends.
func (h *harness) register(ctx context.Context, id string, object map[string]any) {
	object["zone"], object["born"], object["version"] = zoneName, time.Now().UnixMilli(), "v1"
	if object["state"] == nil {
		object["state"] = "ready"
	}
	h.work.Go(func() {
		for sequence := 1; ; sequence++ {
			object["sequence"] = sequence
			h.store.Put("servers", id, object)
			if banyanplank.Sleep(ctx, 1200*time.Millisecond) != nil {
				return
			}
		}
	})
}

// close ends all that the case has started and removes its temporary folder. With
// KEEP=1 the folder stays.
func (h *harness) close() (err error) {
	for _, p := range h.processes {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.work.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept", h.dir)
		return h.record.Close()
	}
	return errors.CombineErrors(h.record.Close(), os.RemoveAll(h.dir))
}
