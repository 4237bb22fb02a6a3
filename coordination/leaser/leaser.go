package leaser

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// ObjectPrefix is the prefix of the object names of leases.
const ObjectPrefix = "leases/"

const (
	// tickInterval is the time between two ticks of the model.
	tickInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the object API.
	callTimeout = 3 * time.Second
)

// Leaser acquires and renews one lease while it runs.
type Leaser struct {
	loop   *banyanplank.Loop
	lease  atomic.Pointer[Lease]
	frozen func() time.Duration
	// notCandidate is set while the daemon does not compete for the lease.
	notCandidate atomic.Bool
}

// New returns a leaser for the lease with the given name. [Leaser.Run] starts
// it. Only a few daemons should compete for one lease, as each calls the object
// API every [RenewInterval]. See [IsCandidate].
//
//	l := leaser.New(store, "group/langtang", member)
//	if lease := l.Lease(); lease.IsHeld(time.Now()) {
//		sendOrder(Order{Fence: lease.Fence})
//	}
func New(store banyanplank.ObjectStore, name string, member banyanplank.Member) (l *Leaser) {
	return newLeaser(NewModel(member), executor{store: store, name: ObjectPrefix + name, timeout: callTimeout, frozen: func() time.Duration { return 0 }}, tickInterval)
}

// newLeaser returns a leaser that runs a model.
func newLeaser(model *Model, calls executor, tick time.Duration) (l *Leaser) {
	l = &Leaser{frozen: calls.frozen}
	l.lease.Store(&Lease{})
	calls.participates = l.participates
	l.loop = banyanplank.NewLoop(model, calls,
		banyanplank.WithTick(tick),
		banyanplank.WithUpdateHook(func(model banyanplank.Model) {
			lease := model.(*Model).Lease()
			l.lease.Store(&lease)
		}))
	return l
}

// SetCandidate sets whether the daemon competes for the lease. A daemon that holds the
// lease renews it in either case. The default is true.
func (l *Leaser) SetCandidate(candidate bool) { l.notCandidate.Store(!candidate) }

// participates reports whether the daemon competes for the lease or holds it.
func (l *Leaser) participates() (participates bool) {
	return !l.notCandidate.Load() || l.Lease().IsHeld(time.Now())
}

// Run acquires and renews the lease until ctx ends.
func (l *Leaser) Run(ctx context.Context) (err error) { return l.loop.Run(ctx) }

// Lease returns the current state of the lease. It is safe for concurrent use.
func (l *Leaser) Lease() (lease Lease) { return *l.lease.Load() }

// Release gives up the lease so that the next candidate need not wait for it to
// expire. Call it in a planned stop, after the last order.
func (l *Leaser) Release(ctx context.Context) {
	l.loop.Send(ctx, ReleaseMsg{})
}

// executor executes the commands of a [Model].
type executor struct {
	store   banyanplank.ObjectStore
	name    string
	timeout time.Duration
	// frozen returns for how long the machine has been frozen in total.
	frozen func() time.Duration
	// participates reports whether the daemon competes for the lease or holds
	// it.
	participates func() bool
}

// errNotCandidate is the result of a read that was skipped.
var errNotCandidate = errors.New("not a candidate for the lease")

// Execute implements [banyanplank.Executor].
func (e executor) Execute(ctx context.Context, command banyanplank.Command) (msg banyanplank.Msg) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	switch c := command.(type) {
	case ReadCmd:
		if !e.participates() {
			return ReadResultMsg{Err: errNotCandidate}
		}
		object, err := e.store.Get(ctx, e.name)
		if errors.Is(err, banyanplank.ErrNotFound) {
			return ReadResultMsg{Object: banyanplank.Object{Era: object.Era}}
		}
		return ReadResultMsg{Object: object, Err: err}
	case WriteCmd:
		frozen, sentAt := e.frozen(), time.Now()
		position, err := e.store.Put(ctx, e.name, c.Value, c.Expect)
		return WriteResultMsg{Command: c, Sent: sentAt, Frozen: frozen, Position: position, Err: err}
	default:
		return nil
	}
}
