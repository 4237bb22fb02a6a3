package spreader

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Transport carries calls to the spreaders of other daemons.
type Transport interface {
	// Exchange sends a digest to the peer and returns the peer's digest.
	Exchange(ctx context.Context, to netip.AddrPort, digest Digest) (reply Digest, err error)
	// Fetch requests parts of the configuration from a peer.
	Fetch(ctx context.Context, from netip.AddrPort, request FetchRequest) (reply FetchReply, err error)
}

// ErrStopped means that the spreader is no longer running.
var ErrStopped = errors.New("spreader stopped")

// Spreader runs a [Model] and publishes its snapshots.
type Spreader struct {
	loop     *banyanplank.Loop
	snapshot atomic.Pointer[Snapshot]
	onChange func(*Snapshot)
}

// Option configures a [Spreader].
type Option func(*Spreader)

// WithOnChange calls onChange in the control goroutine whenever the members or
// the configuration differ from those of the previous call. Use it to refresh
// state derived from them; it must not block. The default does nothing.
func WithOnChange(onChange func(*Snapshot)) Option {
	return func(s *Spreader) { s.onChange = onChange }
}

// New returns a spreader that is not yet running.
//
//	model := spreader.NewModel(time.Now(), member, random, spreader.WithSeeds(seeds))
//	s := spreader.New(model, spreader.NewExecutor(transport, store, list))
//	err := s.Run(ctx)
func New(model *Model, executor banyanplank.Executor, options ...Option) (s *Spreader) {
	s = &Spreader{onChange: func(*Snapshot) {}}
	for _, option := range options {
		option(s)
	}
	s.snapshot.Store(model.Snapshot())
	s.loop = banyanplank.NewLoop(model, executor,
		banyanplank.WithTick(TickInterval), banyanplank.WithUpdateHook(s.publish))
	return s
}

// publish stores the model's snapshot for readers and reports changes.
func (s *Spreader) publish(model banyanplank.Model) {
	next := model.(*Model).Snapshot()
	last := s.snapshot.Swap(next)
	if next.differsFrom(last) {
		s.onChange(next)
	}
}

// differsFrom reports whether the members or the configuration differ from those
// of last.
func (s *Snapshot) differsFrom(last *Snapshot) (differs bool) {
	if s.Configuration != last.Configuration || s.Self != last.Self || len(s.records) != len(last.records) {
		return true
	}
	return len(s.records) > 0 && &s.records[0] != &last.records[0]
}

// Run runs the model until ctx ends.
func (s *Spreader) Run(ctx context.Context) (err error) { return s.loop.Run(ctx) }

// Snapshot returns the latest snapshot. It is safe for concurrent use.
func (s *Spreader) Snapshot() (snapshot *Snapshot) { return s.snapshot.Load() }

// Exchange merges a peer's digest and returns this daemon's digest. It returns
// [ErrStopped] if ctx ends first.
func (s *Spreader) Exchange(ctx context.Context, digest Digest) (reply Digest, err error) {
	answer := make(chan Digest, 1)
	if !s.loop.Send(ctx, DigestMsg{Digest: digest, Answer: answer}) {
		return Digest{}, errors.Mark(ctx.Err(), ErrStopped)
	}
	select {
	case reply = <-answer:
		return reply, nil
	case <-ctx.Done():
		return Digest{}, errors.Mark(ctx.Err(), ErrStopped)
	}
}

// Fetch answers a peer's request for parts of the configuration.
func (s *Spreader) Fetch(request FetchRequest) (reply FetchReply) {
	return s.Snapshot().Fetch(request)
}

// AddSeeds adds addresses at which peers may be reached.
func (s *Spreader) AddSeeds(ctx context.Context, addresses []netip.AddrPort) {
	s.loop.Send(ctx, SeedsMsg{Addresses: addresses})
}

// Leave announces to the peers that the daemon is leaving. It returns without
// waiting for them.
func (s *Spreader) Leave(ctx context.Context) {
	s.loop.Send(ctx, LeaveMsg{})
}

// NewRandom returns a random source for a [Model], seeded from the member's ID
// and incarnation.
func NewRandom(member banyanplank.Member) (random *rand.Rand) {
	return rand.New(rand.NewPCG(ringPosition(0, member.ID), uint64(member.Incarnation)))
}

// Timeouts of the commands.
const (
	exchangeTimeout = 900 * time.Millisecond
	fetchTimeout    = 3 * time.Second
	watchTimeout    = time.Minute
	readTimeout     = 2 * time.Second
	shardsTimeout   = 20 * time.Second
)
