package soak

import (
	"fmt"
	"net"
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

	"github.com/banyanplank/banyanplank/platform/mimic"
	"github.com/banyanplank/banyanplank/standin/loopback"
)

// The limits of an entry.
const (
	// gracePeriod is the limit from SIGTERM to the exit. The longest call takes less.
	gracePeriod = 5 * time.Second
	// memoryLimit is the limit of an entry's resident memory in bytes: what the two-year
	// sizing allows for the control plane, and as much again for the traffic of the run.
	memoryLimit = 64 << 20
)

// entry is a process of the real entry daemon.
type entry struct {
	name             string
	zone             string
	program          string
	dir              string
	callerAddress    netip.AddrPort
	directoryAddress netip.AddrPort
	peerAddress      netip.AddrPort
	readyAddress     netip.AddrPort
	// store is the proxy between the entry and the platform's store.
	store *proxy

	mutex  sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopRequested is set once the process was sent SIGTERM or SIGKILL, and unexpectedExits
	// counts the processes that exited without either.
	stopRequested   bool
	unexpectedExits int
	// starts lists when processes were started.
	starts []time.Time
	// peakMemory is the highest resident memory sampled, in bytes.
	peakMemory int64
	// faultMutex is held by the fault or operation that controls the process.
	faultMutex sync.Mutex
	group      conc.WaitGroup
}

// newEntry reserves the addresses of an entry and writes its settings.
func newEntry(name, zone, program, dir string, store netip.AddrPort) (e *entry, err error) {
	defer func() { err = errors.Wrapf(err, "prepare %s", name) }()
	e = &entry{name: name, zone: zone, program: program, dir: dir}
	if e.store, err = newProxy(store); err != nil {
		return nil, err
	}
	for _, address := range []*netip.AddrPort{&e.callerAddress, &e.directoryAddress, &e.readyAddress, &e.peerAddress} {
		if *address, err = loopback.Address(); err != nil {
			return nil, err
		}
	}
	settings := fmt.Sprintf(`name = %q
zone = %q
region = "soak"
platform = %q
[listen]
caller = %q
directory = %q
ready = %q
peer = %q
[limits]
memory = 256000000
share = 0.2
slack = 60
span = "10s"
grace = %q
keep = "2s"
`, name, zone, e.store.address(), e.callerAddress, e.directoryAddress, e.readyAddress, e.peerAddress, gracePeriod)
	return e, os.WriteFile(e.path("toml"), []byte(settings), 0o600)
}

func (e *entry) path(ext string) (path string) { return filepath.Join(e.dir, e.name+"."+ext) }

// start starts the process. Its output is appended to a file.
func (e *entry) start() (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", e.name) }()
	logFile, err := os.OpenFile(e.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(e.program, "--settings", e.path("toml"))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cmd, e.exited, e.stopRequested = cmd, make(chan struct{}), false
	e.starts = append(e.starts, time.Now())
	exited := e.exited
	e.group.Go(func() {
		defer close(exited)
		// The exit code of a killed process is meaningless.
		_ = cmd.Wait()
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if !e.stopRequested {
			e.unexpectedExits++
		}
	})
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stopRequested = e.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	if e.cmd == nil {
		return // The process was never started.
	}
	// An error means that the process has exited.
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) waitForExit() {
	e.mutex.Lock()
	exited := e.exited
	e.mutex.Unlock()
	<-exited
}

// sampleMemory updates peakMemory from the current resident memory of the process.
func (e *entry) sampleMemory() {
	e.mutex.Lock()
	pid := e.cmd.Process.Pid
	e.mutex.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return // The process has just exited.
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err == nil {
				e.mutex.Lock()
				e.peakMemory = max(e.peakMemory, kb<<10)
				e.mutex.Unlock()
			}
		}
	}
}

// serverIDFormat is the format of a server's ID: the index of its slot and its incarnation.
const serverIDFormat = "i-%02d-%d"

// serverSlot runs the successive incarnations of a server at one address.
type serverSlot struct {
	service       string
	zone          string
	proxy         *proxy
	listenAddress netip.AddrPort
	incarnations  int
	server        *mimic.Server
	// faultMutex is held by the fault or operation that controls the server.
	faultMutex sync.Mutex
}

// newServerSlot reserves an address for the server and starts the proxy in front of it.
func newServerSlot(service, zone string) (s *serverSlot, err error) {
	s = &serverSlot{service: service, zone: zone}
	if s.listenAddress, err = loopback.Address(); err != nil {
		return nil, err
	}
	s.proxy, err = newProxy(s.listenAddress)
	return s, err
}

// start starts the server with a new ID at the same address.
func (s *serverSlot) start(index int, store *mimic.Store, runLog *mimic.RunLog) (err error) {
	listener, err := net.Listen("tcp", s.listenAddress.String())
	if err != nil {
		return err
	}
	s.incarnations++
	s.server = &mimic.Server{
		ID: fmt.Sprintf(serverIDFormat, index, s.incarnations), Service: s.service, Zone: s.zone, Address: s.proxy.address(),
	}
	mimic.StartServer(s.server, listener, store, runLog)
	return nil
}
