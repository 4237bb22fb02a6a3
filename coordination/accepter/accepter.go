// Package accepter commits submitted configurations as revisions.
//
// A revision is accepted when the conditional write of the root object, which
// names the revision's shards, takes effect in the platform's object API. From
// then on every later revision follows it, and no other revision has its number.
// Which revision a daemon has in force is independent of that and is part of the
// daemon's status.
package accepter

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// Names of the objects that hold the configuration.
const (
	// RootName is the object that holds the accepted [sharder.Root].
	RootName = "configuration/root"
	// ShardPrefix is the prefix of the names of shard objects.
	ShardPrefix = "configuration/shards/"
	// PastPrefix is the prefix of the names of objects that hold earlier roots.
	PastPrefix = "configuration/past/"
)

const (
	// keptPastRevisions is the number of earlier revisions that a sweep keeps, to
	// report the changes of a conflict.
	keptPastRevisions = 16
	// maxParallelCalls limits the store calls in flight of one operation.
	maxParallelCalls = 8
	// minBackoff and maxBackoff limit the exponential backoff of store calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Accepter reads and replaces the accepted configuration. It is safe for
// concurrent use.
type Accepter struct {
	store      banyanplank.ObjectStore
	check      func(*banyanplank.Configuration) error
	sweepEvery uint64

	mu           sync.Mutex
	joiner       sharder.Joiner
	cachedShards map[sharder.Name][]byte
}

// Option configures an [Accepter].
type Option func(*Accepter)

// WithCheck sets the function that validates a submission before anything is
// written. Use it for rules beyond those of the default, [Check].
func WithCheck(check func(*banyanplank.Configuration) error) Option {
	return func(a *Accepter) { a.check = check }
}

// WithSweep sets the number of accepted revisions between two sweeps. Zero turns
// them off; call [Accepter.Sweep] instead. The default is 64.
func WithSweep(revisions uint64) Option {
	return func(a *Accepter) { a.sweepEvery = revisions }
}

// New returns an accepter that stores the configuration in store.
//
//	revision, err := accepter.New(store).Accept(ctx, base, configuration)
//	if conflict, ok := accepter.AsConflict(err); ok {
//		fmt.Println(conflict.Theirs, conflict.Ours)
//	}
func New(store banyanplank.ObjectStore, options ...Option) (a *Accepter) {
	a = &Accepter{store: store, check: Check, sweepEvery: keptPastRevisions * 4}
	for _, option := range options {
		option(a)
	}
	return a
}

// storedRoot is the root object as read from the store. Its version is zero if
// there is none.
type storedRoot struct {
	version banyanplank.Version
	value   []byte
	root    sharder.Root
}

// Current returns the accepted configuration, which has revision zero if none
// was accepted yet. It retries failed reads until ctx ends.
func (a *Accepter) Current(ctx context.Context) (configuration *banyanplank.Configuration, err error) {
	defer func() { err = errors.Wrap(err, "read the accepted configuration") }()
	for {
		stored, err := a.readRoot(ctx)
		if err != nil {
			return nil, err
		}
		configuration, err = a.load(ctx, stored.root)
		if !errors.Is(err, banyanplank.ErrNotFound) || ctx.Err() != nil {
			return configuration, err
		}
		// A sweep deleted a shard because a newer root replaced this one.
		if err = banyanplank.Sleep(ctx, minBackoff); err != nil {
			return nil, err
		}
	}
}

// Accept makes the configuration the successor of revision base and returns
// its revision. It retries failed calls until ctx ends; give ctx a deadline.
//
// A submission that equals the accepted configuration, or that was accepted by
// an earlier call whose reply was lost, is not written again. The error is
// [ErrInvalid] if the default check fails, and a [*ConflictError] if another
// revision followed base. It is [banyanplank.ErrUncertain] if ctx ended before
// the outcome was known; repeat the same call to learn it.
func (a *Accepter) Accept(ctx context.Context, base banyanplank.Revision, configuration *banyanplank.Configuration) (revision banyanplank.Revision, err error) {
	defer func() { err = errors.Wrap(err, "accept the configuration") }()
	if err = a.check(configuration); err != nil {
		return 0, err
	}
	id, err := sharder.SubmissionID(configuration, base)
	if err != nil {
		return 0, err
	}
	s := submission{accepter: a, id: id, base: base, configuration: configuration}
	if revision, err = s.run(ctx); err != nil {
		return 0, err
	}
	a.sweepIfDue(ctx, revision)
	return revision, nil
}

// readRoot reads the root object, with retries until ctx ends.
func (a *Accepter) readRoot(ctx context.Context) (stored storedRoot, err error) {
	object, err := a.get(ctx, RootName)
	if errors.Is(err, banyanplank.ErrNotFound) {
		return storedRoot{}, nil
	}
	if err != nil {
		return storedRoot{}, err
	}
	root, err := sharder.DecodeRoot(object.Value)
	return storedRoot{version: object.Version, value: object.Value, root: root}, err
}

// load returns the configuration of root. It reads the shards that are not
// cached.
func (a *Accepter) load(ctx context.Context, root sharder.Root) (configuration *banyanplank.Configuration, err error) {
	if root.Revision == 0 {
		return &banyanplank.Configuration{}, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	values, err := a.loadValues(ctx, root)
	if err != nil {
		return nil, err
	}
	return a.joiner.Join(root, values)
}

// loadValues returns the values of the shards of root and replaces the cache by
// them. The caller holds the mutex.
func (a *Accepter) loadValues(ctx context.Context, root sharder.Root) (values map[sharder.Name][]byte, err error) {
	values = make(map[sharder.Name][]byte, root.Shards)
	for {
		missing := sharder.Missing(root, values)
		if len(missing) == 0 {
			a.cachedShards = values
			return values, nil
		}
		if err = a.loadShards(ctx, missing, values); err != nil {
			return nil, err
		}
	}
}

// loadShards adds the named shards to values, from the cache or the store.
func (a *Accepter) loadShards(ctx context.Context, names []sharder.Name, values map[sharder.Name][]byte) (err error) {
	var mu sync.Mutex
	uncached := slices.DeleteFunc(slices.Clone(names), func(name sharder.Name) bool {
		value, ok := a.cachedShards[name]
		if ok {
			values[name] = value
		}
		return ok
	})
	readers := pool.New().WithMaxGoroutines(maxParallelCalls).WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, name := range uncached {
		readers.Go(func(ctx context.Context) error {
			object, err := a.get(ctx, ShardPrefix+string(name))
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			values[name] = object.Value
			return nil
		})
	}
	return readers.Wait()
}

// get reads one object. It retries, except when the object does not exist, until
// ctx ends.
func (a *Accepter) get(ctx context.Context, name string) (object banyanplank.Object, err error) {
	defer func() { err = errors.Wrapf(err, "get %s", name) }()
	var last error
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		object, err = a.store.Get(ctx, name)
		if err == nil || errors.IsAny(err, banyanplank.ErrNotFound, banyanplank.ErrDenied) {
			return object, err
		}
		last = latestReply(ctx, last, err)
		if banyanplank.Sleep(ctx, backoff) != nil {
			return banyanplank.Object{}, last
		}
	}
}

// latestReply returns the error of the latest of two calls that the store replied to. A
// call that was cut off by the end of ctx says nothing about the store, so the error
// before it, if there is one, tells the operator more.
func latestReply(ctx context.Context, previous, latest error) (err error) {
	if cause := ctx.Err(); previous != nil && cause != nil && errors.Is(latest, cause) {
		return previous
	}
	return latest
}

// pastName returns the name of the object that holds the root of a replaced
// revision.
func pastName(revision banyanplank.Revision) (name string) {
	return PastPrefix + strconv.FormatUint(uint64(revision), 10)
}
