package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/stepper"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/state/follower"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// The use of memory and connections.
const (
	// heapShare is the part of the instance's memory that the heap may take
	// before the collector works harder. The rest is for buffers of the system.
	heapShare = 0.6
	// heapGrowth is how far the heap grows between two collections, in percent.
	// Memory is cheap here and processor time is not.
	heapGrowth = 400
	// headerTimeout bounds the time to read a header.
	headerTimeout = 30 * time.Second
	// idleTimeout is longer than operators let callers keep an unused
	// connection, so that an entry never closes one that is about to be used.
	idleTimeout = 2 * time.Minute
)

// memberPoll is the time between two looks at the platform's list of entries. An
// entry that starts reads the list and sends heartbeats to all, so the list only
// has to be tidied.
const memberPoll = 20 * time.Second

// slowNews is how long this entry repeats which endpoints are slow. It is shorter
// than the time between the rounds that find it out when these can't be made.
const slowNews = 1500 * time.Millisecond

// farEvery is how many heartbeats go to the own zone for each that crosses to
// another one. Bytes between zones cost the operators.
const farEvery = 6

// The stop of an entry.
const (
	// drainShare is the part of the grace during which a stopping entry takes
	// new calls, because callers still hold the directory's last answer.
	drainShare = 0.5
	// lastShare is the part of the grace by which all calls must be done.
	lastShare = 0.95
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
	slow      atomic.Pointer[slowWord]
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
	d.gateway = &Gateway{
		view:      &d.view,
		balancer:  d.balancer,
		requester: requester.New(dialect),
		dialect:   dialect,
		logger:    logger,
		counters:  newCounters(),
	}
	d.stepper = stepper.New(ranks, d.fleet, stepper.WithNotes(d.noteStep), stepper.WithSlow(d.noteSlow),
		stepper.WithZone(settings.Zone), stepper.WithStanding(d.balancer.Stands))
	d.loop = banyanplank.NewLoop(model, executor{d}, banyanplank.WithTick(surveyor.TickInterval), banyanplank.WithAfter(d.publish))
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
	fleet := balancer.Fleet{Backends: snapshot.Backends, Out: snapshot.Out, Entries: snapshot.Alive}
	if snapshot.Router != nil {
		fleet.Pools = snapshot.Router.Table().Pools
	}
	d.balancer.Renew(time.Now(), fleet)
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

// slowWord is which endpoints hold up their group of ranks, and since when that
// is known.
type slowWord struct {
	at        time.Time
	endpoints []banyanplank.BackendID
}

// noteSlow takes in which endpoints hold up their group of ranks.
func (d *Daemon) noteSlow(service banyanplank.ServiceName, endpoints []banyanplank.BackendID) {
	old := d.slow.Swap(&slowWord{at: time.Now(), endpoints: endpoints})
	d.balancer.Slow(time.Now(), endpoints)
	if old == nil || !slices.Equal(old.endpoints, endpoints) {
		d.logger.Info().Str("service", string(service)).Strs("endpoints", names(endpoints)).Msg("slow ranks")
	}
}

// slowNow returns the endpoints that hold up their group, while that is news.
func (d *Daemon) slowNow() (endpoints []banyanplank.BackendID) {
	if word := d.slow.Load(); word != nil && time.Since(word.at) < slowNews {
		return word.endpoints
	}
	return nil
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

// Run serves until ctx ends, then stops as planned.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run entry") }()
	debug.SetMemoryLimit(int64(heapShare * float64(d.settings.Limits.Memory)))
	debug.SetGCPercent(heapGrowth)
	d.logger.Info().Str("name", string(d.member.ID)).Str("zone", string(d.member.Zone)).
		Stringer("caller", d.settings.Listen.Caller).Uint64("incarnation", uint64(d.member.Incarnation)).Msg("start")
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	work := pool.New().WithErrors().WithContext(inner).WithCancelOnError()
	servers, err := d.listen(work)
	if err != nil {
		return err
	}
	d.start(work)
	work.Go(func(inner context.Context) error {
		select {
		case <-inner.Done():
			return nil
		case <-ctx.Done():
		}
		d.drain(inner, servers)
		cancel()
		return nil
	})
	err = work.Wait()
	d.logger.Info().Err(err).Msg("stop")
	return err
}

// start begins the control loop, the heartbeats and the following of topics.
func (d *Daemon) start(work *pool.ContextPool) {
	work.Go(d.loop.Run)
	work.Go(d.stepper.Run)
	b := beater.New(d.settings.Listen.Peer, d.compose, d.hear, d.failBeat)
	work.Go(b.Run)
	work.Go(func(ctx context.Context) error {
		d.follower.Poll(ctx, banyanplank.TopicMembers, memberPoll)
		return nil
	})
	for _, topic := range []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicBackends, banyanplank.TopicZonesOut} {
		work.Go(func(ctx context.Context) error {
			d.follower.Follow(ctx, topic)
			return nil
		})
	}
}

// listen opens the addresses and serves them.
func (d *Daemon) listen(work *pool.ContextPool) (servers []*http.Server, err error) {
	listening := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{d.settings.Listen.Caller, d.gateway},
		{d.settings.Listen.Directory, d.directory},
		{d.settings.Listen.Ready, d.ready},
		{d.settings.Listen.Peer, d.relay.handler()},
		{d.settings.Listen.Metrics, http.HandlerFunc(d.writeMetrics)},
	}
	for _, l := range listening {
		if !l.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		servers = append(servers, server)
		work.Go(func(context.Context) error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return servers, nil
}

// drain stops as planned: it takes itself out of the directory, serves on while
// callers still come, and lets what runs end.
func (d *Daemon) drain(ctx context.Context, servers []*http.Server) {
	began := time.Now()
	grace := time.Duration(d.settings.Limits.Grace)
	d.logger.Info().Int64("running", d.gateway.running.Load()).Dur("grace", grace).Msg("drain")
	d.gateway.draining.Store(true)
	d.loop.Send(ctx, surveyor.DrainMsg{})
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(drainShare * float64(grace))):
	}
	last, cancel := context.WithDeadline(ctx, began.Add(time.Duration(lastShare*float64(grace))))
	defer cancel()
	if err := servers[0].Shutdown(last); err != nil {
		d.logger.Warn().Err(err).Int64("running", d.gateway.running.Load()).Msg("calls cut by stop")
	}
	for _, s := range servers {
		if err := s.Close(); err != nil {
			d.logger.Warn().Err(err).Msg("close server")
		}
	}
}

// compose returns the next heartbeat for the own zone and for the other ones, and
// who gets them.
func (d *Daemon) compose() (near, far *beater.Beat, peers, others []netip.AddrPort) {
	snapshot := d.view.Load()
	sequence := d.beats.Add(1)
	near = d.beat(snapshot, sequence)
	for _, m := range snapshot.Peers {
		switch {
		case m.Zone == d.member.Zone:
			peers = append(peers, m.Peer)
		case sequence%farEvery == 0:
			others = append(others, m.Peer)
		}
	}
	if len(others) == 0 {
		return near, near, peers, nil
	}
	// What this entry has in flight in its own zone matters only there.
	crossing := *near
	crossing.InFlight = make(map[banyanplank.BackendID]int)
	for _, b := range snapshot.Backends {
		if n := near.InFlight[b.ID]; n > 0 && b.Zone != d.member.Zone {
			crossing.InFlight[b.ID] = n
		}
	}
	return near, &crossing, peers, others
}

// beat returns the heartbeat for the entries of the own zone.
func (d *Daemon) beat(snapshot *surveyor.Snapshot, sequence uint64) (beat *beater.Beat) {
	return &beater.Beat{
		From:        d.member.ID,
		Incarnation: d.member.Incarnation,
		Sequence:    sequence,
		Zone:        d.member.Zone,
		Peer:        d.member.Peer,
		Caller:      d.member.Caller,
		Ready:       snapshot.Ready,
		Blind:       snapshot.Blind,
		Watches:     snapshot.Watches,
		InFlight:    d.balancer.InFlight(),
		Slow:        d.slowNow(),
		Revisions:   snapshot.Revisions,
	}
}

// hear takes in the heartbeat of a peer.
func (d *Daemon) hear(beat *beater.Beat) {
	d.balancer.Hear(time.Now(), beat.From, beat.InFlight)
	d.balancer.Slow(time.Now(), beat.Slow)
	d.relay.hear(beat.Peer, beat.Revisions)
	for topic, revision := range beat.Revisions {
		// Peers tell of themselves in their heartbeats.
		if topic != banyanplank.TopicMembers {
			d.follower.Hint(topic, revision)
		}
	}
	d.loop.Send(context.Background(), surveyor.HeardMsg{Beat: beat})
}

// failBeat notes a heartbeat that could not be sent or read.
func (d *Daemon) failBeat(err error) {
	d.logger.Warn().Err(err).Msg("heartbeat failed")
}

// writeMetrics serves the counters as text.
func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	d.gateway.counters.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
