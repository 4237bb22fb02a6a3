package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/stepper"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/state/follower"
	"github.com/banyanplank/banyanplank/transport/requester"
	"github.com/banyanplank/banyanplank/transport/server"
)

// Daemon is an entry that calls endpoints directly.
type Daemon struct {
	settings          Settings
	self              banyanplank.Member
	discovery         banyanplank.Discovery
	findings          banyanplank.FindingStore
	gateway           *Gateway
	snapshot          atomic.Pointer[surveyor.Snapshot]
	balancer          *balancer.Balancer
	logger            *log.Logger
	loop              *banyanplank.Loop
	stepper           *stepper.Stepper
	follower          *follower.Follower
	relay             *relay
	beater            *beater.Beater
	heartbeatSequence atomic.Uint64
	heartbeatErrors   errorLog
	era               eraState
	// usage is nil unless requests are counted.
	usage *usage
	// urgentBeats is the number of next heartbeats that go to all availability zones.
	urgentBeats atomic.Int32
	// findingsChanged holds a token when findings may have changed since they were saved.
	findingsChanged chan struct{}
	// findingsLost is set while the store may lack the findings that were saved.
	findingsLost atomic.Bool
	// announced holds the topic positions that the heartbeats to other zones last
	// carried, and the time since which they carry them. Only the goroutine that
	// composes heartbeats uses it.
	announced struct {
		since     time.Time
		positions map[banyanplank.Topic]banyanplank.Position
	}
	slowReports slowReports
	directory   http.Handler
	ready       http.Handler
	limiter     *server.Limiter
	closed      closedConnections
	duties      *duties
}

// New returns a daemon that has not started. Findings keeps what is known of prompts that
// crash endpoints, and codec reads and writes the platform's header fields.
func New(settings Settings, discovery banyanplank.Discovery, findings banyanplank.FindingStore, codec banyanplank.HeaderCodec, ranks banyanplank.RankClient, logger *log.Logger) (d *Daemon) {
	d = &Daemon{
		settings:  settings,
		discovery: discovery,
		findings:  findings,
		logger:    logger,

		findingsChanged: make(chan struct{}, 1),

		self: banyanplank.Member{
			ID:            settings.Name,
			Incarnation:   banyanplank.NewIncarnation(time.Now()),
			Role:          banyanplank.RoleEntry,
			Zone:          settings.Zone,
			PeerAddress:   settings.Listen.Peer,
			CallerAddress: settings.Listen.Caller,
		},
	}
	limits := settings.Limits
	d.balancer = balancer.New(balancer.WithEntry(settings.Name), balancer.WithZone(settings.Zone), balancer.WithRetryBudget(limits.Share, limits.Slack, time.Duration(limits.Span)))
	var options []surveyor.Option
	if limits.Beat > 0 {
		options = append(options, surveyor.WithEndpointHeartbeat(time.Duration(limits.Beat)))
	}
	model := surveyor.NewModel(d.self, options...)
	d.snapshot.Store(model.Snapshot())
	counters := newCounters()
	d.limiter = d.newLimiter(counters)
	d.beater = beater.New(settings.Listen.Peer, d.composeHeartbeats, d.handleHeartbeat, d.logHeartbeatError)
	unanswered := newUnansweredCalls()
	d.gateway = &Gateway{
		snapshot:  &d.snapshot,
		balancer:  d.balancer,
		requester: requester.New(codec),
		crashTracker: suspecter.NewCrashTracker(suspecter.WithEventHandler(crashLogger(logger, counters)),
			suspecter.WithUrgentHandler(d.sendUrgently), suspecter.WithSuspectHandler(unanswered.markChanged)),
		unanswered: unanswered,
		calls:      newCallSet(),
		durations:  newCallDurations(),
		probeQueue: make(chan *banyanplank.Backend, maxQueuedProbes),
		codec:      codec,
		logger:     logger,
		counters:   counters,
		buffers:    newBufferBudget(settings.Limits),
		limiter:    d.limiter,
		admission:  newAdmission(d.balancer),
	}
	d.gateway.registerGauges()
	d.registerEraMetrics()
	d.stepper = stepper.New(ranks, d.stepperFleet, stepper.WithEventHandler(d.logStep), stepper.WithSlowEndpointsHandler(d.recordSlow),
		stepper.WithZone(settings.Zone), stepper.WithStallDetector(d.balancer.IsStalled))
	d.loop = banyanplank.NewLoop(model, executor{d}, banyanplank.WithTick(surveyor.TickInterval), banyanplank.WithUpdateHook(d.publish),
		banyanplank.WithPanicHandler(d.logPanic))
	d.relay = newRelay(d.snapshot.Load)
	d.follower = follower.New(discovery,
		func(msg banyanplank.Msg) { d.loop.Send(context.Background(), msg) },
		follower.WithWatcher(func() bool { return d.snapshot.Load().IsWatcher }),
		follower.WithPeers(d.relay))
	d.directory, d.ready = http.NotFoundHandler(), http.NotFoundHandler()
	return d
}

// SetHandlers sets the handlers of the directory and of the platform's readiness checks.
// Call it before [Daemon.Run].
func (d *Daemon) SetHandlers(directory, ready http.Handler) { d.directory, d.ready = directory, ready }

// publish logs the changes of an update, in their order, and passes a new snapshot of the
// control state to the balancer, the crash tracker and the requester.
func (d *Daemon) publish(model banyanplank.Model) {
	survey := model.(*surveyor.Model)
	for _, note := range survey.Notes() {
		d.logChange(note)
	}
	snapshot := survey.Snapshot()
	previous := d.snapshot.Swap(snapshot)
	if previous == snapshot {
		return
	}
	d.duties.updateCandidates(snapshot)
	// Entries of all zones that don't watch wait until a peer reports a new era.
	isNewEra := snapshot.IsWatcher && latestEra(snapshot.Positions) > latestEra(previous.Positions)
	if previous.Ready && !snapshot.Ready || isNewEra {
		d.announceUrgently()
	}
	fleet := balancer.Fleet{Backends: snapshot.Backends, ZonesOut: snapshot.ZonesOut, Entries: snapshot.AliveEntries, KnownEntries: snapshot.KnownEntries, EntryIDs: snapshot.AliveIDs, ZoneEntryIDs: zoneEntryIDs(snapshot.Entries, d.self.Zone)}
	if snapshot.Router != nil {
		table := snapshot.Router.Table()
		fleet.Pools, fleet.MaxGaps = table.Pools, make(map[banyanplank.ServiceName]time.Duration)
		for _, pool := range table.Pools {
			fleet.MaxGaps[pool.Name] = table.MinGap(pool.Name)
		}
	}
	d.balancer.UpdateFleet(time.Now(), fleet)
	d.gateway.admission.updateEntries(snapshot.KnownEntries, snapshot.AliveIDs, d.self.ID)
	d.gateway.crashTracker.UpdateBackends(time.Now(), snapshot.Backends)
	known := make(map[banyanplank.BackendID]bool, len(snapshot.Backends))
	for _, b := range snapshot.Backends {
		known[b.ID] = true
	}
	d.gateway.requester.CloseIdle(func(id banyanplank.BackendID) bool { return known[id] })
}

// executor runs the commands of the control state.
type executor struct{ *Daemon }

// Execute implements banyanplank.Executor.
func (e executor) Execute(ctx context.Context, command banyanplank.Command) (msg banyanplank.Msg) {
	switch c := command.(type) {
	case surveyor.RegisterCmd:
		position, err := e.discovery.Register(ctx, c.Member)
		// Of two entries that start together, the one that registers last has to see
		// the other.
		e.follower.RecordHint(banyanplank.TopicMembers, position)
		return surveyor.RegisteredMsg{Err: err}
	case surveyor.RemoveCmd:
		err := e.discovery.Remove(ctx, c.ID)
		e.logChange(surveyor.Note{Event: "remove member", Topic: banyanplank.TopicMembers, Key: string(c.ID), Err: err})
	}
	return nil
}

// logChange logs a change of the control state.
func (d *Daemon) logChange(note surveyor.Note) {
	line := d.logger.Info()
	if note.Err != nil {
		line = d.logger.Warn().Err(note.Err)
	}
	if note.Event == surveyor.EventIgnored {
		d.gateway.counters.set.GetOrCreateCounter(fmt.Sprintf("banyanplank_older_changes_ignored_total{topic=%q}", note.Topic)).Inc()
	}
	line.Str("topic", string(note.Topic)).Str("key", note.Key).Str("value", note.Value).
		Uint64("era", uint64(note.Position.Era)).Uint64("revision", uint64(note.Position.Revision)).Dur("age", note.Age).Dur("confirmed", note.Confirmed).Msg(note.Event)
}

// logPanic logs and counts a panic of the control state, with the type of the message
// that caused it.
func (d *Daemon) logPanic(msg banyanplank.Msg, err error) {
	d.gateway.counters.set.GetOrCreateCounter("banyanplank_panics_total").Inc()
	d.logger.Error().Err(err).Str("type", fmt.Sprintf("%T", msg)).Msg("panic")
}

// stepperFleet returns the routing table, the endpoints and the role of this entry. An
// idle entry gets no table.
func (d *Daemon) stepperFleet() (table *banyanplank.RoutingTable, backends []banyanplank.Backend, role stepper.Role) {
	snapshot := d.snapshot.Load()
	switch {
	case snapshot.IsLeader:
		role = stepper.Leader
	case snapshot.IsStandby:
		role = stepper.Standby
	default:
		return nil, nil, stepper.Idle
	}
	backends = slices.Clone(snapshot.Backends)
	d.balancer.AddLeaving(backends)
	return snapshot.Router.Table(), backends, role
}

// logStep logs a decision on expert placement.
func (d *Daemon) logStep(event stepper.Event) {
	line := d.logger.Info()
	if event.Err != nil {
		line = d.logger.Warn().Err(event.Err)
	}
	line.Str("service", string(event.Service)).Uint64("epoch", event.Epoch).Uint64("map", uint64(event.Map)).Uint64("step", event.Step).
		Float64("before", event.SkewBefore).Float64("after", event.SkewAfter).Dur("took", event.Duration).Msg(event.Name)
}

// ResolveEntries returns the addresses that a caller in zone should use, and how long the
// caller may cache them.
func (d *Daemon) ResolveEntries(zone banyanplank.Zone) (addresses []netip.AddrPort, keep time.Duration) {
	return selectAddresses(d.snapshot.Load().Entries, zone), min(maxDirectoryAge, time.Duration(d.settings.Limits.Keep))
}

// IsReady reports whether the entry accepts new callers.
func (d *Daemon) IsReady() bool { return d.snapshot.Load().Ready }

// writeMetrics writes the metrics in the Prometheus text format.
func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	d.gateway.counters.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
