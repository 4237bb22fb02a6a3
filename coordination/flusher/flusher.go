// Package flusher stores a daemon's tally in the platform's object API, so that
// the burn report covers three days although instances have no durable storage.
//
// Each entry overwrites one object of its own at every flush. The interval
// grows with the number of entries, so that the whole fleet stays within a
// budget of writes per minute.
package flusher

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// Prefix is the prefix of the names of objects that hold tallies.
const Prefix = "tallies/"

const (
	defaultWritesPerMinute = 12
	// minInterval is the shortest time between two flushes of one daemon.
	minInterval = time.Minute
	// restoreRetryInterval is the time between two attempts to restore.
	restoreRetryInterval = 10 * time.Second
	// finalFlushTimeout is the time limit of the flush at a planned stop.
	finalFlushTimeout = 5 * time.Second
	// unusedRetention is how long an object is kept after its last write. It
	// exceeds the three days that a report covers.
	unusedRetention = 73 * time.Hour
	// sweepInterval is the time between two sweeps.
	sweepInterval = 24 * time.Hour
)

// ErrSuperseded means that a later incarnation of the daemon owns the object.
var ErrSuperseded = errors.New("superseded by a later incarnation of this daemon")

// Tally is the source of the stored tally.
type Tally interface {
	Snapshot(now time.Time) (tally tallier.Tally)
	Restore(now time.Time, earlier tallier.Tally)
}

// Fleet describes the other daemons that store tallies.
type Fleet struct {
	// Entries is the number of entries that store tallies, including this one.
	Entries int
	// IsSweeper reports whether this daemon deletes unused objects. One daemon
	// is enough; concurrent sweeps are safe.
	IsSweeper bool
}

// Flusher restores and stores the tally of one daemon.
type Flusher struct {
	store           banyanplank.ObjectStore
	daemon          banyanplank.DaemonID
	tally           Tally
	fleet           func() Fleet
	onError         func(err error)
	writesPerMinute int
	version         banyanplank.Version
	lastSweep       time.Time
}

// Option configures a [Flusher].
type Option func(*Flusher)

// WithWriteBudget limits the writes per minute of the whole fleet. Raise it to lose
// fewer counts when an entry dies, lower it to reduce the load on the store. The
// default is 12.
func WithWriteBudget(writesPerMinute int) Option {
	return func(f *Flusher) { f.writesPerMinute = writesPerMinute }
}

// WithFleet sets the function that describes the other daemons. Use it if there
// is more than one entry. The default is one entry, which sweeps.
func WithFleet(fleet func() Fleet) Option {
	return func(f *Flusher) { f.fleet = fleet }
}

// WithErrorHandler sets the function that receives each error, such as for a log. The
// default ignores errors; the next flush tries again.
func WithErrorHandler(handle func(err error)) Option {
	return func(f *Flusher) { f.onError = handle }
}

// New returns a flusher for the daemon. Call [Flusher.Run] to start it.
func New(store banyanplank.ObjectStore, daemon banyanplank.DaemonID, tally Tally, options ...Option) *Flusher {
	f := &Flusher{
		store:           store,
		daemon:          daemon,
		tally:           tally,
		fleet:           func() Fleet { return Fleet{Entries: 1, IsSweeper: true} },
		onError:         func(error) {},
		writesPerMinute: defaultWritesPerMinute,
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Interval returns the present time between two flushes of one daemon.
func (f *Flusher) Interval() (interval time.Duration) {
	entries := max(f.fleet().Entries, 1)
	return max(minInterval, time.Duration(entries)*time.Minute/time.Duration(f.writesPerMinute))
}

// Run restores the tally that earlier incarnations stored, then flushes at every
// interval until ctx ends, and once more at the end. It returns early when a
// later incarnation owns the object.
func (f *Flusher) Run(ctx context.Context) {
	if !f.restoreWithRetries(ctx) {
		return
	}
	f.lastSweep = time.Now()
	wait := f.initialDelay()
	for banyanplank.Sleep(ctx, wait) == nil {
		if errors.Is(f.Flush(ctx), ErrSuperseded) {
			return
		}
		f.sweepIfDue(ctx)
		wait = f.Interval()
	}
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	_ = f.Flush(finalCtx)
}

// initialDelay returns the delay of the first flush, which a hash of the
// daemon's ID distributes over the interval.
func (f *Flusher) initialDelay() (wait time.Duration) {
	return time.Duration(xxhash.Sum64String(string(f.daemon)) % uint64(f.Interval()))
}

// restoreWithRetries restores until it succeeds, since a flush before that would
// overwrite the counts of earlier incarnations. It returns false when ctx ends
// first or a later incarnation owns the object.
func (f *Flusher) restoreWithRetries(ctx context.Context) (ok bool) {
	for {
		err := f.restore(ctx)
		if err == nil {
			return true
		}
		f.onError(err)
		if errors.Is(err, ErrSuperseded) || banyanplank.Sleep(ctx, restoreRetryInterval) != nil {
			return false
		}
	}
}

// restore reads the stored tally and takes ownership of the object by writing it
// under this incarnation. The write fails if the read was stale.
func (f *Flusher) restore(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "restore tally") }()
	earlier, version, err := f.readStored(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	merged := f.tally.Snapshot(now)
	if earlier.Incarnation > merged.Incarnation {
		return ErrSuperseded
	}
	merged.Buckets = earlier.Buckets
	value, err := encodeTally(merged)
	if err != nil {
		return err
	}
	position, err := f.store.Put(ctx, f.name(), value, version)
	if err != nil {
		return err
	}
	f.version = position.Revision
	f.tally.Restore(now, earlier)
	return nil
}

// readStored returns the stored tally and its version, which is zero without an
// object. A value that cannot be decoded is reported and read as empty.
func (f *Flusher) readStored(ctx context.Context) (stored tallier.Tally, version banyanplank.Version, err error) {
	object, err := f.store.Get(ctx, f.name())
	if errors.Is(err, banyanplank.ErrNotFound) {
		return tallier.Tally{}, 0, nil
	}
	if err != nil {
		return tallier.Tally{}, 0, err
	}
	stored, err = decodeTally(object.Value)
	if err != nil {
		f.onError(err)
	}
	return stored, object.Version, nil
}

func (f *Flusher) name() (name string) {
	return Prefix + string(f.daemon)
}

// Flush stores the tally now. It passes an error to the handler of [WithErrorHandler]
// before it returns it.
func (f *Flusher) Flush(ctx context.Context) (err error) {
	err = f.write(ctx)
	if err != nil {
		f.onError(err)
	}
	return err
}

// write stores the tally. A conflict means that a reply was lost or another
// incarnation owns the object; overwrite reads the object to distinguish them.
func (f *Flusher) write(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "store tally") }()
	tally := f.tally.Snapshot(time.Now())
	value, err := encodeTally(tally)
	if err != nil {
		return err
	}
	position, err := f.store.Put(ctx, f.name(), value, f.version)
	if errors.Is(err, banyanplank.ErrConflict) {
		position, err = f.overwrite(ctx, value, tally.Incarnation)
	}
	if err != nil {
		return err
	}
	f.version = position.Revision
	return nil
}

// overwrite replaces the object if this incarnation or an earlier one wrote it.
// Otherwise the error is [ErrSuperseded].
func (f *Flusher) overwrite(ctx context.Context, value []byte, incarnation banyanplank.Incarnation) (position banyanplank.Position, err error) {
	stored, version, err := f.readStored(ctx)
	if err != nil {
		return position, err
	}
	if stored.Incarnation > incarnation {
		return position, ErrSuperseded
	}
	return f.store.Put(ctx, f.name(), value, version)
}

// sweepIfDue deletes unused objects once per sweepInterval.
func (f *Flusher) sweepIfDue(ctx context.Context) {
	now := time.Now()
	if !f.fleet().IsSweeper || now.Sub(f.lastSweep) < sweepInterval {
		return
	}
	f.lastSweep = now
	if err := Sweep(ctx, f.store, now); err != nil {
		f.onError(err)
	}
}
