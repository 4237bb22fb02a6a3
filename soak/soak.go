package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/platform/mimic"
)

// The size and timing of a run.
const (
	defaultEntries = 3
	defaultCallers = 24
	defaultRounds  = 1
	// deskServers and chatServers are the numbers of servers of the two services.
	deskServers = 6
	chatServers = 6
	// warmupTime is how long callers make calls before the first fault.
	warmupTime = 2 * time.Second
	// faultFreeTime is the length of the phase without faults at the end of each round: the
	// time allowed for recovery, and time for the calls that must be served after it.
	faultFreeTime = recoveryLimit + 3*time.Second
	// memoryInterval is the time between two samples of the entries' memory.
	memoryInterval = 500 * time.Millisecond
)

// zones are the availability zones of entries, servers and callers.
var zones = []string{"a", "b", "c"}

// The client accounts. The permanent account keeps its key. Each new configuration adds
// another account, and revokes the key of the one that its predecessor added.
const (
	permanentKey         = "kept"
	permanentAccount     = "resident"
	revokedAccountPrefix = "visitor"
)

// Option configures a run.
type Option func(*options)

type options struct {
	program string
	seed    uint64
	entries int
	callers int
	rounds  int
	dir     string
}

// WithEntry sets the path of the entry daemon's program. It is required.
func WithEntry(path string) Option { return func(o *options) { o.program = path } }

// WithSeed sets the seed from which all faults are drawn. The default is 1.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithEntries sets the number of entries. The default is 3.
func WithEntries(count int) Option { return func(o *options) { o.entries = count } }

// WithCallers sets the number of callers. The default is 24.
func WithCallers(count int) Option { return func(o *options) { o.callers = count } }

// WithRounds sets the number of rounds of faults. The default is 1.
func WithRounds(count int) Option { return func(o *options) { o.rounds = count } }

// WithDir sets the directory for the entries' settings and logs. The default is a
// temporary directory, which is removed after a run that passed.
func WithDir(dir string) Option { return func(o *options) { o.dir = dir } }

// harness holds the state of a run.
type harness struct {
	options
	startTime   time.Time
	store       *mimic.Store
	storeServer *http.Server
	storeGroup  conc.WaitGroup
	runLog      *mimic.RunLog
	// extraRandom draws the kinds of faults that were added later.
	extraRandom *rand.Rand
	// malformedRandom draws malformed responses.
	malformedRandom *rand.Rand
	// returnRandom draws returns of the store beside other faults, and loneRandom those in
	// calm.
	returnRandom *rand.Rand
	loneRandom   *rand.Rand
	entries      []*entry
	slots        []*serverSlot
	// faults, phaseStart and faultFreePhases are used only by the goroutine that runs the
	// faults.
	faults          []*Fault
	phaseStart      time.Time
	faultFreePhases []span
	// recoveries lists how long after the faults of each round the last unserved call began.
	recoveries []time.Duration

	mutex   sync.Mutex
	version int
	// config is the newest configuration, and zonesOut holds the zones out of service.
	config     mimic.Config
	zonesOut   map[string]bool
	acceptedAt map[string]time.Time
	// lossSpans lists when the store lacked what operators had written.
	lossSpans    []span
	exclusions   []exclusion
	faultSpans   []span
	plannedStops map[*entry][]span
	errs         []error
	// entryFaultSpans lists when faults affected an entry, by the address for its callers.
	entryFaultSpans map[netip.AddrPort][]span
	// linkFaultSpans lists when the link to a server was faulty, by the index of its slot.
	linkFaultSpans map[int][]span
	// crashAttempts maps the attempt ID of each crashing request to the address of the entry
	// that received it.
	crashAttempts map[string]netip.AddrPort
}

// Run executes a run and returns its report. It returns an error if the run could not be
// completed; broken promises are only listed in the report.
func Run(ctx context.Context, opts ...Option) (report *Report, err error) {
	defer func() { err = errors.Wrap(err, "soak") }()
	h := &harness{
		options:   options{seed: 1, entries: defaultEntries, callers: defaultCallers, rounds: defaultRounds},
		startTime: time.Now(), store: mimic.NewStore(), runLog: &mimic.RunLog{},
		zonesOut: make(map[string]bool), acceptedAt: make(map[string]time.Time), plannedStops: make(map[*entry][]span),
		entryFaultSpans: make(map[netip.AddrPort][]span), linkFaultSpans: make(map[int][]span),
		crashAttempts: make(map[string]netip.AddrPort),
	}
	for _, option := range opts {
		option(&h.options)
	}
	h.extraRandom = rand.New(rand.NewPCG(h.seed, 1))
	h.malformedRandom = rand.New(rand.NewPCG(h.seed, 2))
	h.returnRandom = rand.New(rand.NewPCG(h.seed, 3))
	h.loneRandom = rand.New(rand.NewPCG(h.seed, 4))
	if h.dir == "" {
		if h.dir, err = os.MkdirTemp("", "soak"); err != nil {
			return nil, err
		}
		defer func() {
			if err == nil && report.Passed() {
				err = os.RemoveAll(h.dir)
			}
		}()
	}
	defer h.close()
	if err := h.start(); err != nil {
		return nil, err
	}
	records := h.runRounds(ctx)
	if err := errors.Join(h.errs...); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return h.report(records), nil
}

// start starts the store, the servers and the entries.
func (h *harness) start() (err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.storeServer = &http.Server{Handler: h.store, ReadHeaderTimeout: time.Second}
	h.storeGroup.Go(func() { _ = h.storeServer.Serve(listener) })
	h.putNextConfig()
	for i := range deskServers + chatServers {
		service := mimic.DeskService
		if i >= deskServers {
			service = mimic.ChatService
		}
		s, err := newServerSlot(service, zones[i%len(zones)])
		if err != nil {
			return err
		}
		h.slots = append(h.slots, s)
		if err := s.start(i, h.store, h.runLog); err != nil {
			return err
		}
	}
	for i := range h.options.entries {
		e, err := newEntry(fmt.Sprintf("entry-%d", i), zones[i%len(zones)], h.program, h.dir, netip.MustParseAddrPort(listener.Addr().String()))
		if err != nil {
			return err
		}
		h.entries = append(h.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// close stops what start has started.
func (h *harness) close() {
	for _, e := range h.entries {
		e.signal(syscall.SIGKILL)
		e.group.Wait()
		e.store.close()
	}
	for _, s := range h.slots {
		if s.server != nil {
			s.server.Crash()
		}
		s.proxy.close()
	}
	if h.storeServer != nil {
		_ = h.storeServer.Close()
		h.storeGroup.Wait()
	}
}

// runRounds runs all rounds while callers make calls.
func (h *harness) runRounds(ctx context.Context) (records []*record) {
	runCtx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	var callers []*caller
	for i := range h.callers {
		c := newCaller(h, i, h.seed)
		callers = append(callers, c)
		group.Go(func() { c.run(runCtx) })
	}
	group.Go(func() { h.sampleMemory(runCtx) })
	random := newRandom(h.seed)
	if banyanplank.Sleep(ctx, warmupTime) == nil {
		for range h.rounds {
			h.runFaults(ctx, h.drawFaults(random))
			lone, undo := h.drawLoneReturn()
			h.runFaults(ctx, lone)
			begin := time.Now()
			h.runFaults(ctx, append(append(h.drawOperations(random), undo...), &Fault{Kind: "calm", At: faultFreeTime, Harmless: true, inject: func(<-chan struct{}) {}}))
			h.faultFreePhases = append(h.faultFreePhases, span{begin, time.Now()})
		}
	}
	cancel()
	group.Wait()
	for _, c := range callers {
		records = append(records, c.records...)
	}
	return records
}

// newRandom returns the source from which the faults of a seed are drawn.
func newRandom(seed uint64) (random *rand.Rand) { return rand.New(rand.NewPCG(seed, 0)) }

// sampleMemory samples the memory of the entries until ctx ends.
func (h *harness) sampleMemory(ctx context.Context) {
	for banyanplank.Sleep(ctx, memoryInterval) == nil {
		for _, e := range h.entries {
			e.sampleMemory()
		}
	}
}

// putNextConfig writes the next configuration, which revokes the key of the previous one.
func (h *harness) putNextConfig() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.version++
	if h.version > 1 {
		h.exclusions = append(h.exclusions, exclusion{account: h.versionAccount(h.version - 1), from: time.Now().Add(propagationLimit)})
	}
	keys := map[string][]string{permanentAccount: {permanentKey}, h.versionAccount(h.version): {h.versionAccount(h.version)}}
	h.config = mimic.Config{Version: h.version, Keys: keys}
	h.config.Put(h.store)
	h.acceptedAt[fmt.Sprintf("v%d", h.version)] = time.Now()
}

// versionAccount returns the name of the account that only the given version contains. The
// name is also the key of the account.
func (h *harness) versionAccount(version int) (name string) {
	return fmt.Sprintf("%s-%d", revokedAccountPrefix, version)
}

// previousKey returns the key of the version before the newest.
func (h *harness) previousKey() (key string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.versionAccount(max(1, h.version-1))
}

// newestPath returns the path of the route that the newest version added.
func (h *harness) newestPath() (path string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return fmt.Sprintf("v%d", h.version)
}

// phaseTime returns the time at an offset from the start of the current phase.
func (h *harness) phaseTime(at time.Duration) (t time.Time) { return h.phaseStart.Add(at) }

func (h *harness) addPlannedStop(e *entry, s span) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.plannedStops[e] = append(h.plannedStops[e], s)
}

func (h *harness) addExclusion(e exclusion) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.exclusions = append(h.exclusions, e)
}

// addFaultSpan records that a fault was active.
func (h *harness) addFaultSpan(begin, end time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.faultSpans = append(h.faultSpans, span{begin, end})
}

// addError records an error of the harness itself. It ignores nil.
func (h *harness) addError(err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err != nil {
		h.errs = append(h.errs, err)
	}
}

// displayName returns the name of the server in reports.
func (s *serverSlot) displayName(index int) (name string) {
	return fmt.Sprintf("%s %d in %s", s.service, index, s.zone)
}
