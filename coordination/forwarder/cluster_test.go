package forwarder_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/claimer"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/standin/platform"
	"github.com/banyanplank/banyanplank/state/holder"
	"github.com/banyanplank/banyanplank/state/recorder"
)

// pauseTime is how long a paused process is stopped. It is longer than most
// deadlines.
const pauseTime = 3 * time.Minute

// silenceTimeout is how long a connection may be silent before it counts as
// failed.
const silenceTimeout = 2 * time.Second

// fault is a failure of one message.
type fault uint8

const (
	faultNone fault = iota
	// faultLoss drops the message; the receiver notices after silenceTimeout.
	faultLoss
	// faultDelay delivers it seconds late.
	faultDelay
	// faultLongDelay delivers it minutes late, long after the sender's timeout.
	faultLongDelay
	// faultDuplicate delivers it twice, the second time late.
	faultDuplicate
	// faultReorder delivers it after its successor.
	faultReorder
	// faultRefuse makes the receiver refuse it.
	faultRefuse
	// faultCrash crashes the receiver after it has received the message.
	faultCrash
	// faultPause suspends the process that sends or handles it for pauseTime. The
	// process then continues as if no time had passed.
	faultPause
	faultCount
)

type messageKind uint8

const (
	messagePick messageKind = iota
	messageIdentify
	messageGet
	messagePut
	messageOpen
	messageAdmit
	messageRun
	messageProduce
	messageAccepted
	messageHead
	messagePart
	messageEnd
)

// cluster is an in-memory cluster of agents and entries that injects faults into
// their messages.
type cluster struct {
	platform *platform.Platform
	agents   []*agent
	entries  []*forwarder.Forwarder

	mu         sync.Mutex
	faults     []fault
	scripted   map[messageKind][]fault
	messages   int
	nextAgent  int
	runs       map[string]int
	startedAt  map[string]time.Time
	background conc.WaitGroup
}

// agent is one agent with its current incarnation and the runners of earlier
// ones.
type agent struct {
	cluster *cluster
	id      banyanplank.DaemonID

	mu          sync.Mutex
	incarnation banyanplank.Incarnation
	records     *recorder.Recorder
	runner      *runner.Runner
	previous    []*runner.Runner
	running     context.Context
	cancel      context.CancelFunc
}

func newCluster(agents, entries int, faults []fault) *cluster {
	cl := &cluster{
		platform:  platform.New(),
		faults:    faults,
		runs:      make(map[string]int),
		startedAt: make(map[string]time.Time),
	}
	for i := range agents {
		a := &agent{cluster: cl, id: banyanplank.DaemonID(fmt.Sprintf("agent-%d", i))}
		a.restart(false)
		cl.agents = append(cl.agents, a)
	}
	for range entries {
		cl.entries = append(cl.entries, forwarder.New(&roundRobinPicker{cluster: cl}, cl,
			forwarder.WithClaimer(cl.claimer()),
			forwarder.WithLocator(cl.locate)))
	}
	return cl
}

// claimer returns a claimer on the faulty store, one for each entry.
func (cl *cluster) claimer() forwarder.Claimer {
	return claimer.New(faultyStore{cluster: cl, ObjectStore: cl.platform})
}

// severableOpener keeps its latest connection, so that a test can close it as if
// the entry had died.
type severableOpener struct {
	*cluster
	connection forwarder.Answer
}

func (o *severableOpener) Open(ctx context.Context, member banyanplank.Member, request *banyanplank.Request, fresh bool) (answer forwarder.Answer, err error) {
	o.connection, err = o.cluster.Open(ctx, member, request, fresh)
	return o.connection, err
}

// nextFault returns the fault of the next message. Faults scripted for its kind
// come before those for any kind.
func (cl *cluster) nextFault(kind messageKind) (f fault) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.messages++
	if scripted := cl.scripted[kind]; len(scripted) > 0 {
		f, cl.scripted[kind] = scripted[0], scripted[1:]
		return f
	}
	if len(cl.faults) == 0 {
		return faultNone
	}
	f, cl.faults = cl.faults[0], cl.faults[1:]
	return f
}

// close waits until all late messages have arrived and all sessions have ended.
func (cl *cluster) close() {
	cl.background.Wait()
	for _, a := range cl.agents {
		a.mu.Lock()
		runs := append([]*runner.Runner{a.runner}, a.previous...)
		a.mu.Unlock()
		for _, r := range runs {
			r.Wait()
		}
	}
}

func (cl *cluster) locate(id banyanplank.DaemonID) (member banyanplank.Member, ok bool) {
	for _, a := range cl.agents {
		if a.id == id {
			return banyanplank.Member{ID: id, Role: banyanplank.RoleAgent}, true
		}
	}
	return member, false
}

// restart starts a new incarnation of the agent. It inherits the records only if
// the restart is planned. Requests that the previous incarnation sent to its
// endpoint may run on there.
func (a *agent) restart(planned bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var handover recorder.Handover
	if planned {
		handover = a.records.Seal(time.Now())
	}
	if a.cancel != nil {
		a.cancel()
		a.runner.Stop()
		a.previous = append(a.previous, a.runner)
	}
	a.incarnation++
	a.records = recorder.New(a.id, a.incarnation)
	answers := holder.New(holder.WithDaemonBytes(64 << 10))
	a.records.Adopt(answers, handover)
	a.runner = runner.New(countingEndpoint{a.cluster}, faultyAdmitter{a.cluster}, a.records, runner.WithHolder(answers))
	a.running, a.cancel = context.WithCancel(context.Background())
}

func (a *agent) current() (r *runner.Runner, incarnation banyanplank.Incarnation, running context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runner, a.incarnation, a.running
}

func (cl *cluster) agentByID(id banyanplank.DaemonID) *agent {
	for _, a := range cl.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

// roundRobinPicker picks the agents in rotation.
type roundRobinPicker struct{ cluster *cluster }

func (p *roundRobinPicker) Pick(_ time.Time, query banyanplank.Query) (choice banyanplank.Choice, err error) {
	if p.cluster.nextFault(messagePick) == faultRefuse {
		return choice, &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonNoEndpoint}
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	for range p.cluster.agents {
		p.cluster.nextAgent++
		a := p.cluster.agents[p.cluster.nextAgent%len(p.cluster.agents)]
		tried := false
		for _, id := range query.Tried {
			tried = tried || id == a.id
		}
		if !tried {
			return banyanplank.Choice{Member: banyanplank.Member{ID: a.id, Role: banyanplank.RoleAgent}}, nil
		}
	}
	return choice, &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonNoEndpoint}
}

func (p *roundRobinPicker) Finish(time.Time, banyanplank.Choice, banyanplank.Result) {}

func (p *roundRobinPicker) Observe(time.Time, banyanplank.LoadReport) {}

func (p *roundRobinPicker) Reconfigure(time.Time, []banyanplank.Member, *banyanplank.Configuration) {}

// faultyStore is an object store whose calls and replies may be lost or delayed.
type faultyStore struct {
	cluster *cluster
	banyanplank.ObjectStore
}

func (s faultyStore) Get(ctx context.Context, name string) (object banyanplank.Object, err error) {
	if f := s.cluster.nextFault(messageGet); f == faultLoss || f == faultCrash {
		return object, banyanplank.ErrUnavailable
	}
	return s.ObjectStore.Get(ctx, name)
}

func (s faultyStore) Put(ctx context.Context, name string, value []byte, expect banyanplank.Version) (position banyanplank.Position, err error) {
	switch s.cluster.nextFault(messagePut) {
	case faultLoss:
		return position, banyanplank.ErrUncertain
	case faultRefuse:
		return position, banyanplank.ErrUnavailable
	case faultCrash, faultReorder:
		_, _ = s.ObjectStore.Put(ctx, name, value, expect)
		return position, banyanplank.ErrUncertain
	case faultLongDelay, faultDelay:
		s.cluster.background.Go(func() {
			time.Sleep(time.Minute)
			_, _ = s.ObjectStore.Put(context.Background(), name, value, expect)
		})
		return position, banyanplank.ErrUncertain
	case faultPause:
		position, err = s.ObjectStore.Put(ctx, name, value, expect)
		time.Sleep(pauseTime)
		return position, err
	default:
		return s.ObjectStore.Put(ctx, name, value, expect)
	}
}

// faultyAdmitter admits every request, except for injected refusals and delays.
type faultyAdmitter struct{ cluster *cluster }

func (a faultyAdmitter) Admit(ctx context.Context, _ *banyanplank.Request) (grant banyanplank.Grant, err error) {
	switch a.cluster.nextFault(messageAdmit) {
	case faultRefuse:
		return nil, &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonOverload}
	case faultPause:
		time.Sleep(pauseTime)
	case faultDelay, faultLongDelay:
		select {
		case <-time.After(10 * time.Second):
		case <-ctx.Done():
			reason := banyanplank.ReasonCanceled
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				reason = banyanplank.ReasonDeadline
			}
			return nil, &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: reason}
		}
	}
	return noopGrant{}, nil
}

func (faultyAdmitter) Observe(banyanplank.EndpointReport) {}

func (faultyAdmitter) Load() (report banyanplank.LoadReport) { return report }

func (faultyAdmitter) Reconfigure(*banyanplank.Configuration) {}

func (faultyAdmitter) Close(banyanplank.Reason) {}

func (faultyAdmitter) Open() {}

type noopGrant struct{}

func (noopGrant) Progress(int) {}

func (noopGrant) Release(bool) {}

// lostError returns the refusal of an opener whose connection failed after data
// was sent.
func lostError(detail string) error {
	return &banyanplank.Refusal{Outcome: banyanplank.OutcomeUnknown, Reason: banyanplank.ReasonUnreachable, Detail: detail}
}

// unsentError returns the refusal of an opener that could not connect.
func unsentError(detail string) error {
	return &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonUnreachable, Detail: detail}
}

// Identify implements [forwarder.Opener].
func (cl *cluster) Identify(_ context.Context, member banyanplank.Member) (incarnation banyanplank.Incarnation, err error) {
	if cl.nextFault(messageIdentify) == faultLoss {
		return 0, unsentError("no answer")
	}
	_, incarnation, _ = cl.agentByID(member.ID).current()
	return incarnation, nil
}
