// Package fencer decides at an agent which placement orders reach its endpoint:
// those that load a model or an adapter, or change the endpoint's role.
//
// An order with an old fencing number is refused here, so that it holds for
// endpoints that ignore fencing numbers, too. Loads are spaced out because the
// weight store is rate-limited, and each order puts the endpoint in cold start.
//
//	f := fencer.New(endpoint, admitter)
//	f.Learn(fence) // the number of the placement lease, read from its record
//	err := f.Order(ctx, order)
//
// Orders about expert maps pass through; their own gate stands before them.
package fencer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The errors of [Fencer.Order]. Nothing was sent to the endpoint.
var (
	// ErrLearning means that the agent knows no fencing number yet.
	ErrLearning = errors.New("no fencing number known yet")
	// ErrOldFence means that a later placement lease has been heard of.
	ErrOldFence = errors.New("old fencing number")
	// ErrBusy means that an earlier order is under way.
	ErrBusy = errors.New("another order is under way")
	// ErrLimited means that the weight store was used too short a time ago.
	ErrLimited = errors.New("weight loads come too fast")
)

// defaultInterval is the shortest time between two loads of weights.
const defaultInterval = 30 * time.Second

// Admitter learns what orders change.
type Admitter interface {
	// Fail puts the endpoint in cold start.
	Fail()
	// Loaded tells which models and adapters the endpoint has loaded, and puts
	// it in cold start.
	Loaded(models, adapters []string)
}

// Fencer is an endpoint whose placement orders are checked. Its methods may be
// called from many goroutines.
type Fencer struct {
	banyanplank.Endpoint
	admitter Admitter
	interval time.Duration

	mu       sync.Mutex
	learned  bool
	fence    uint64
	busy     bool
	loaded   time.Time
	models   []string
	adapters []string
}

// Option configures a [Fencer].
type Option func(*Fencer)

// WithInterval sets the shortest time between two loads of weights. Use the
// weight store's rate over the number of agents. The default is 30 s.
func WithInterval(interval time.Duration) Option {
	return func(f *Fencer) { f.interval = interval }
}

// New returns a fencer before endpoint that passes no placement order yet.
func New(endpoint banyanplank.Endpoint, admitter Admitter, options ...Option) *Fencer {
	f := &Fencer{Endpoint: endpoint, admitter: admitter, interval: defaultInterval}
	for _, option := range options {
		option(f)
	}
	return f
}

// Learn takes note of a fencing number that was read from the placement
// lease's record.
func (f *Fencer) Learn(fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learned = true
	f.fence = max(f.fence, fence)
}

// Order implements [banyanplank.Endpoint].
func (f *Fencer) Order(ctx context.Context, order banyanplank.Order) (err error) {
	if !isPlacement(order.Kind) {
		return f.Endpoint.Order(ctx, order)
	}
	defer func() { err = errors.Wrapf(err, "order %s %s", order.Kind, order.Name) }()
	if err := f.begin(time.Now(), order); err != nil {
		return err
	}
	// The endpoint is cold from the moment at which it may have the order.
	f.admitter.Fail()
	err = f.Endpoint.Order(ctx, order)
	f.end(order, err)
	return err
}

// isPlacement reports whether an order loads weights or changes the role.
func isPlacement(kind banyanplank.OrderKind) bool {
	return isLoad(kind) || kind == banyanplank.OrderRole
}

// isLoad reports whether an order uses the weight store.
func isLoad(kind banyanplank.OrderKind) bool {
	return kind == banyanplank.OrderLoad || kind == banyanplank.OrderAdapter
}

// begin checks an order and takes note of it.
func (f *Fencer) begin(now time.Time, order banyanplank.Order) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.learned:
		return ErrLearning
	case order.Fence < f.fence:
		return errors.Wrapf(ErrOldFence, "order of %d, now %d", order.Fence, f.fence)
	case f.busy:
		return ErrBusy
	case isLoad(order.Kind) && !f.loaded.IsZero() && now.Sub(f.loaded) < f.interval:
		return errors.Wrapf(ErrLimited, "%v to wait", f.interval-now.Sub(f.loaded))
	}
	f.fence = order.Fence
	f.busy = true
	if isLoad(order.Kind) {
		f.loaded = now
	}
	return nil
}

// end takes note of how an order turned out. After an error nobody knows what
// is loaded, so the endpoint counts as able to serve what it served before.
func (f *Fencer) end(order banyanplank.Order, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy = false
	if err != nil || !isLoad(order.Kind) {
		return
	}
	if order.Kind == banyanplank.OrderLoad {
		// Adapters belong to the model that they were loaded for.
		f.models, f.adapters = []string{order.Name}, nil
	} else if !slices.Contains(f.adapters, order.Name) {
		f.adapters = append(slices.Clone(f.adapters), order.Name)
	}
	f.admitter.Loaded(f.models, f.adapters)
}
