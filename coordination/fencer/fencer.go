// Package fencer controls at an agent which orders reach its endpoint: those that
// load a model or an adapter, or change the role of the endpoint.
//
// The agent rejects orders with an outdated fencing number itself, because
// endpoints may ignore fencing numbers. It limits the rate of loads, because the
// weight store is rate-limited and each order puts the endpoint in cold start.
//
//	f := fencer.New(endpoint, admitter)
//	f.RecordFence(fence) // from the record of the placement lease
//	err := f.Order(ctx, order)
//
// Orders about expert maps pass unchecked. The gate of package switcher checks
// them before they arrive here.
package fencer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The errors of [Fencer.Order]. The order has not been sent to the endpoint.
var (
	// ErrUnknownFence means that the agent does not know a fencing number yet.
	ErrUnknownFence = errors.New("fencing number not known yet")
	// ErrOldFence means that the agent knows a later fencing number.
	ErrOldFence = errors.New("old fencing number")
	// ErrBusy means that an earlier order is still in progress.
	ErrBusy = errors.New("another order is in progress")
	// ErrRateLimited means that the previous load of weights was too recent.
	ErrRateLimited = errors.New("weight loads are rate-limited")
)

// defaultLoadInterval is the minimum time between two loads of weights.
const defaultLoadInterval = 30 * time.Second

// Admitter receives the effects of orders.
type Admitter interface {
	// ResetToCold puts the endpoint in cold start.
	ResetToCold()
	// SetLoaded sets the models and adapters that the endpoint has loaded, and
	// puts it in cold start.
	SetLoaded(models, adapters []string)
}

// Fencer is an endpoint that checks orders before it forwards them. Its methods
// are safe for concurrent use.
type Fencer struct {
	banyanplank.Endpoint
	admitter     Admitter
	loadInterval time.Duration

	mu         sync.Mutex
	fenceKnown bool
	fence      uint64
	busy       bool
	lastLoadAt time.Time
	models     []string
	adapters   []string
}

// Option configures a [Fencer].
type Option func(*Fencer)

// WithLoadInterval sets the minimum time between two loads of weights. Set it
// to the number of agents divided by the rate limit of the weight store. The
// default is 30 s.
func WithLoadInterval(interval time.Duration) Option {
	return func(f *Fencer) { f.loadInterval = interval }
}

// New returns a fencer for the endpoint. It rejects all orders that load
// weights or change the role until [Fencer.RecordFence] is called.
func New(endpoint banyanplank.Endpoint, admitter Admitter, options ...Option) *Fencer {
	f := &Fencer{Endpoint: endpoint, admitter: admitter, loadInterval: defaultLoadInterval}
	for _, option := range options {
		option(f)
	}
	return f
}

// RecordFence records a fencing number that was read from the record of the
// placement lease.
func (f *Fencer) RecordFence(fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fenceKnown = true
	f.fence = max(f.fence, fence)
}

// Order implements [banyanplank.Endpoint].
func (f *Fencer) Order(ctx context.Context, order banyanplank.Order) (err error) {
	if !isPlacement(order.Kind) {
		return f.Endpoint.Order(ctx, order)
	}
	defer func() { err = errors.Wrapf(err, "order %s %s", order.Kind, order.Name) }()
	if err := f.beginOrder(time.Now(), order); err != nil {
		return err
	}
	// The endpoint may receive the order from now on, so it counts as cold.
	f.admitter.ResetToCold()
	err = f.Endpoint.Order(ctx, order)
	f.endOrder(order, err)
	return err
}

// isPlacement reports whether an order loads weights or changes the role.
func isPlacement(kind banyanplank.OrderKind) bool {
	return isLoad(kind) || kind == banyanplank.OrderRole
}

// isLoad reports whether an order loads weights from the weight store.
func isLoad(kind banyanplank.OrderKind) bool {
	return kind == banyanplank.OrderLoad || kind == banyanplank.OrderAdapter
}

// beginOrder checks an order and marks it as in progress.
func (f *Fencer) beginOrder(now time.Time, order banyanplank.Order) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.fenceKnown:
		return ErrUnknownFence
	case order.Fence < f.fence:
		return errors.Wrapf(ErrOldFence, "order has %d, latest is %d", order.Fence, f.fence)
	case f.busy:
		return ErrBusy
	case isLoad(order.Kind) && !f.lastLoadAt.IsZero() && now.Sub(f.lastLoadAt) < f.loadInterval:
		return errors.Wrapf(ErrRateLimited, "retry in %v", f.loadInterval-now.Sub(f.lastLoadAt))
	}
	f.fence = order.Fence
	f.busy = true
	if isLoad(order.Kind) {
		f.lastLoadAt = now
	}
	return nil
}

// endOrder records the result of an order. After an error the loaded weights
// are unknown, and the endpoint keeps the models and adapters recorded before.
func (f *Fencer) endOrder(order banyanplank.Order, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy = false
	if err != nil || !isLoad(order.Kind) {
		return
	}
	if order.Kind == banyanplank.OrderLoad {
		// A load of a model discards the adapters of the previous one.
		f.models, f.adapters = []string{order.Name}, nil
	} else if !slices.Contains(f.adapters, order.Name) {
		f.adapters = append(slices.Clone(f.adapters), order.Name)
	}
	f.admitter.SetLoaded(f.models, f.adapters)
}
