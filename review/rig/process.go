package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/platform/mimic"
	"github.com/banyanplank/banyanplank/standin/loopback"
)

// readyTimeout bounds the time until an entry accepts callers.
const readyTimeout = 15 * time.Second

// process is a program of the project.
type process struct {
	rig       *rig
	name      string
	arguments []string
	cmd       *exec.Cmd
	group     conc.WaitGroup
}

// start starts the process. Its output goes to a file of the temporary folder.
func (p *process) start() (err error) {
	output, err := os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	p.cmd = exec.Command(p.arguments[0], p.arguments[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		return err
	}
	cmd := p.cmd
	// The exit code of a killed process means nothing.
	p.group.Go(func() { _ = cmd.Wait() })
	p.rig.log("%s starts", p.name)
	return nil
}

// signalKill sends SIGKILL.
func (p *process) signalKill() {
	if p.cmd != nil {
		// An error means that the process has ended.
		_ = p.cmd.Process.Kill()
	}
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signalKill()
	p.group.Wait()
	p.rig.log("%s is killed", p.name)
}

// entry is an entry of the system.
type entry struct {
	process
	caller, directory, ready netip.AddrPort
}

// startStore starts the stand-in of the platform's store.
func (r *rig) startStore() (store *mimic.Store, address netip.AddrPort, err error) {
	store = mimic.NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, address, err
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	r.onStop(func() {
		_ = server.Close()
		group.Wait()
	})
	return store, netip.MustParseAddrPort(listener.Addr().String()), nil
}

// startEntry starts an entry with settings as in the template of the deploy file. The agents
// listen on agentPort; zero means that there are none.
func (r *rig) startEntry(name, zone string, store netip.AddrPort, agentPort uint16) (e *entry, err error) {
	e = &entry{process: process{rig: r, name: name}}
	var peer netip.AddrPort
	for _, address := range []*netip.AddrPort{&e.caller, &e.directory, &e.ready, &peer} {
		if *address, err = loopback.Address(); err != nil {
			return nil, err
		}
	}
	agent := ""
	if agentPort != 0 {
		agent = fmt.Sprintf("agent = %d\n", agentPort)
	}
	settings := fmt.Sprintf(`name = %q
zone = %q
region = "rig"
platform = %q
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","pressure","platform","experts"]

[listen]
caller = %q
directory = %q
ready = %q
peer = %q
%s
[limits]
memory = 284000000
descriptors = 4100
share = 0.2
slack = 90
span = "10s"
grace = "8s"
beat = "1200ms"
keep = "5s"
`, name, zone, store, e.caller, e.directory, e.ready, peer, agent)
	file := filepath.Join(r.dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	e.arguments = []string{filepath.Join(r.program, "banyanplank-entry"), "--settings", file}
	if err := e.start(); err != nil {
		return nil, err
	}
	r.onStop(e.kill)
	return e, nil
}

// awaitReady waits until an entry accepts callers.
func (e *entry) awaitReady(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready.String()+"/ready", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				e.rig.log("%s is ready", e.name)
				return nil
			}
		}
		if err := banyanplank.Sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// mustJSON encodes a value that can be encoded.
func mustJSON(value any) (text []byte) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
