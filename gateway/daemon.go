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
	"github.com/banyanplank/banyanplank/coordination/stepper"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/state/follower"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// Daemon is an entry that calls endpoints itself.
type Daemon struct {
	settings  Settings
	member    banyanplank.Member
	discovery banyanplank.Discovery
	gateway   *Gateway
	view      atomic.Pointer[surveyor.Snapshot]
	balancer  *balancer.Balancer
	logger    *log.Logger
	loop      *banyanplank.Loop
	stepper   *stepper.Stepper
	follower  *follower.Follower
	relay     *relay
	beats     atomic.Uint64
	// told is what the heartbeats to other zones last said of the topics, and since
	// when. Only the goroutine that composes heartbeats uses it.
	told struct {
		at        time.Time
		revisions map[banyanplank.Topic]banyanplank.Version
	}
	slow      slowWords
	directory http.Handler
	ready     http.Handler
}

// New returns a daemon that has not started. Dialect is how the platform's
// callers and endpoints speak.
func New(settings Settings, discovery banyanplank.Discovery, dialect banyanplank.Dialect, ranks banyanplank.Ranks, logger *log.Logger) (d *Daemon) {
	d = &Daemon{
		settings:  settings,
		discovery: discovery,
		logger:    logger,
		member: banyanplank.Member{
			ID:          settings.Name,
			Incarnation: banyanplank.NewIncarnation(time.Now()),
			Role:        banyanplank.RoleEntry,
			Zone:        settings.Zone,
			Peer:        settings.Listen.Peer,
			Caller:      settings.Listen.Caller,
		},
	}
	limits := settings.Limits
	d.balancer = balancer.New(balancer.WithZone(settings.Zone), balancer.WithRepeats(limits.Share, limits.Slack, time.Duration(limits.Span)))
	model := surveyor.NewModel(d.member)
	d.view.Store(model.Snapshot())
	counters := newCounters()
	d.gateway = &Gateway{
		view:      &d.view,
		balancer:  d.balancer,
		requester: requester.New(dialect),
		witness:   suspecter.NewWitness(suspecter.WithNotes(noteWitness(logger, counters))),
		probes:    make(chan *banyanplank.Backend, maxProbes),
		dialect:   dialect,
		logger:    logger,
		counters:  counters,
		holder:    newHolder(settings.Limits),
	}
	d.gateway.gauge()
	d.stepper = stepper.New(ranks, d.fleet, stepper.WithNotes(d.noteStep), stepper.WithSlow(d.noteSlow),
		stepper.WithZone(settings.Zone), stepper.WithStanding(d.balancer.Stands))
	d.loop = banyanplank.NewLoop(model, executor{d}, banyanplank.WithTick(surveyor.TickInterval), banyanplank.WithAfter(d.publish),
		banyanplank.WithPanics(d.notePanic))
	d.relay = newRelay(d.view.Load)
	d.follower = follower.New(discovery,
		func(msg banyanplank.Msg) { d.loop.Send(context.Background(), msg) },
		follower.WithWatcher(func() bool { return d.view.Load().Watches }),
		follower.WithPeers(d.relay))
	d.directory, d.ready = http.NotFoundHandler(), http.NotFoundHandler()
	return d
}

// Serve sets the handlers of the directory and of the platform's checks.
func (d *Daemon) Serve(directory, ready http.Handler) { d.directory, d.ready = directory, ready }

// publish hands a new belief to the traffic.
func (d *Daemon) publish(model banyanplank.Model) {
	snapshot := model.(*surveyor.Model).Snapshot()
	old := d.view.Swap(snapshot)
	if old == snapshot {
		return
	}
	fleet := balancer.Fleet{Backends: snapshot.Backends, Out: snapshot.Out, Entries: snapshot.Alive, Sharers: snapshot.Known}
	if snapshot.Router != nil {
		table := snapshot.Router.Table()
		fleet.Pools, fleet.Gaps = table.Pools, make(map[banyanplank.ServiceName]time.Duration)
		for _, pool := range table.Pools {
			fleet.Gaps[pool.Name] = table.GapOf(pool.Name)
		}
	}
	d.balancer.Renew(time.Now(), fleet)
	d.gateway.witness.Listed(time.Now(), snapshot.Backends)
	known := make(map[banyanplank.BackendID]bool, len(snapshot.Backends))
	for _, b := range snapshot.Backends {
		known[b.ID] = true
	}
	d.gateway.requester.Forget(func(id banyanplank.BackendID) bool { return known[id] })
}

// executor carries out the commands of the control state.
type executor struct{ *Daemon }

// Execute implements banyanplank.Executor.
func (e executor) Execute(ctx context.Context, command banyanplank.Command) (msg banyanplank.Msg) {
	switch c := command.(type) {
	case surveyor.NoteCmd:
		e.note(c)
	case surveyor.RegisterCmd:
		revision, err := e.discovery.Register(ctx, c.Member)
		// Of two entries that start together, the one that registers last has to
		// see the other.
		e.follower.Hint(banyanplank.TopicMembers, revision)
		return surveyor.RegisteredMsg{Err: err}
	case surveyor.RemoveCmd:
		err := e.discovery.Remove(ctx, c.ID)
		e.note(surveyor.NoteCmd{Event: "remove member", Topic: banyanplank.TopicMembers, Key: string(c.ID), Err: err})
	}
	return nil
}

// note logs a change of belief.
func (d *Daemon) note(n surveyor.NoteCmd) {
	line := d.logger.Info()
	if n.Err != nil {
		line = d.logger.Warn().Err(n.Err)
	}
	line.Str("topic", string(n.Topic)).Str("key", n.Key).Str("value", n.Value).
		Uint64("revision", uint64(n.Revision)).Dur("age", n.Age).Msg(n.Event)
}

// notePanic logs and counts a message at which the control state panicked.
func (d *Daemon) notePanic(msg banyanplank.Msg, err error) {
	d.gateway.counters.set.GetOrCreateCounter("banyanplank_panics_total").Inc()
	d.logger.Error().Err(err).Str("type", fmt.Sprintf("%T", msg)).Msg("panic")
}

// fleet returns what the stepper needs to know.
func (d *Daemon) fleet() (table *banyanplank.RoutingTable, backends []banyanplank.Backend, duty stepper.Duty) {
	snapshot := d.view.Load()
	switch {
	case snapshot.Leads:
		duty = stepper.Lead
	case snapshot.Follows:
		duty = stepper.Standby
	default:
		return nil, nil, stepper.Idle
	}
	return snapshot.Router.Table(), slices.Clone(snapshot.Backends), duty
}

// noteStep logs a decision on expert maps.
func (d *Daemon) noteStep(n stepper.Note) {
	line := d.logger.Info()
	if n.Err != nil {
		line = d.logger.Warn().Err(n.Err)
	}
	line.Str("service", string(n.Service)).Uint64("epoch", n.Epoch).Uint64("map", uint64(n.Map)).Uint64("step", n.Step).
		Float64("before", n.Before).Float64("after", n.After).Dur("took", n.Took).Msg(n.Event)
}

// Advise returns the addresses that a caller in zone should use, and how long
// to keep them.
func (d *Daemon) Advise(zone banyanplank.Zone) (addresses []netip.AddrPort, keep time.Duration) {
	return advise(d.view.Load().Entries, zone), min(adviceKeep, time.Duration(d.settings.Limits.Keep))
}

// IsReady reports whether new callers are welcome.
func (d *Daemon) IsReady() bool { return d.view.Load().Ready }

// writeMetrics serves the counters as text.
func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	d.gateway.counters.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
