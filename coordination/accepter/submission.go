package accepter

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// submission is one call of [Accepter.Accept].
type submission struct {
	accepter      *Accepter
	id            sharder.Name
	base          banyanplank.Revision
	configuration *banyanplank.Configuration
	// uncertain reports whether a write of the root with unknown outcome may
	// still take effect. That write succeeds only on expectedVersion.
	uncertain       bool
	expectedVersion banyanplank.Version
}

// run repeats attempts, with backoff, until one has a final outcome, the store rejects the
// key, or ctx ends.
func (s *submission) run(ctx context.Context) (revision banyanplank.Revision, err error) {
	var last error
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		revision, final, err := s.attempt(ctx)
		if final {
			return revision, err
		}
		if errors.Is(err, banyanplank.ErrDenied) {
			return 0, s.interruptedError(err)
		}
		last = latestReply(ctx, last, err)
		if banyanplank.Sleep(ctx, backoff) != nil {
			return 0, s.interruptedError(last)
		}
	}
}

// interruptedError returns the error of a submission that ended without a result, marked
// as [banyanplank.ErrUncertain] if a write may still take effect.
func (s *submission) interruptedError(cause error) (err error) {
	if !s.uncertain {
		return cause
	}
	return errors.Mark(errors.Wrap(cause, "the submission may have been accepted"), banyanplank.ErrUncertain)
}

// attempt reads the root and, unless that decides the outcome, writes the
// successor. Final reports whether the outcome is decided; otherwise the attempt
// may be repeated.
func (s *submission) attempt(ctx context.Context) (revision banyanplank.Revision, final bool, err error) {
	stored, err := s.accepter.readRoot(ctx)
	if err != nil {
		return 0, false, err
	}
	if stored.version > s.expectedVersion {
		s.uncertain = false
	}
	if revision, ok := stored.root.AcceptedRevision(s.id); ok {
		return revision, true, nil
	}
	if stored.root.Revision < s.base {
		return 0, false, errors.Newf("the store has revision %d, which is before the base %d", stored.root.Revision, s.base)
	}
	root, shards, err := sharder.Split(s.configuration, stored.root)
	if err != nil {
		return 0, true, err
	}
	if stored.root.Revision > 0 && root.EqualContent(stored.root) {
		return stored.root.Revision, true, nil
	}
	if stored.root.Revision != s.base {
		return 0, true, s.accepter.conflictError(ctx, s.base, stored.root, s.configuration)
	}
	next := root.SuccessorOf(stored.root, s.id)
	if err = s.write(ctx, stored, next, shards); err != nil {
		return 0, false, err
	}
	return next.Revision, true, nil
}

// write stores the shards that the stored root lacks, copies that root to its
// past object and then replaces it by next.
func (s *submission) write(ctx context.Context, stored storedRoot, next sharder.Root, shards []sharder.Shard) (err error) {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	if err = s.accepter.putShards(ctx, stored.root, shards); err != nil {
		return err
	}
	if stored.root.Revision > 0 {
		if err = s.accepter.overwrite(ctx, pastName(stored.root.Revision), stored.value); err != nil {
			return err
		}
	}
	s.expectedVersion = stored.version
	_, err = s.accepter.store.Put(ctx, RootName, value, stored.version)
	if err != nil && !errors.Is(err, banyanplank.ErrConflict) && !errors.Is(err, banyanplank.ErrUnavailable) {
		s.uncertain = true
	}
	return errors.Wrap(err, "write the root")
}

// putShards writes each shard that root does not name. A shard that already
// exists is rewritten too: its new version prevents a sweep that started earlier
// from deleting it.
func (a *Accepter) putShards(ctx context.Context, root sharder.Root, shards []sharder.Shard) (err error) {
	names, err := a.shardNames(ctx, root)
	if err != nil {
		return err
	}
	present := make(map[sharder.Name]bool, len(names))
	for _, name := range names {
		present[name] = true
	}
	writers := pool.New().WithMaxGoroutines(maxParallelCalls).WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, shard := range shards {
		if present[shard.Name] {
			continue
		}
		present[shard.Name] = true
		writers.Go(func(ctx context.Context) error {
			return a.overwrite(ctx, ShardPrefix+string(shard.Name), shard.Value)
		})
	}
	return writers.Wait()
}

// shardNames returns the names of the shards of root.
func (a *Accepter) shardNames(ctx context.Context, root sharder.Root) (shardNames []sharder.Name, err error) {
	if root.Revision == 0 {
		return nil, nil
	}
	object, err := a.get(ctx, ShardPrefix+string(root.Index))
	if err != nil {
		return nil, err
	}
	return root.Names(map[sharder.Name][]byte{root.Index: object.Value}), nil
}

// overwrite creates or replaces the named object, with retries until ctx ends.
// All writers of one name write the same value, so their order does not matter.
func (a *Accepter) overwrite(ctx context.Context, name string, value []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "put %s", name) }()
	var expect banyanplank.Version
	var last error
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err = a.store.Put(ctx, name, value, expect)
		if err == nil {
			return nil
		}
		last = latestReply(ctx, last, err)
		if !errors.Is(err, banyanplank.ErrConflict) && banyanplank.Sleep(ctx, backoff) != nil {
			return last
		}
		if expect, err = a.currentVersion(ctx, name); err != nil {
			return latestReply(ctx, last, err)
		}
	}
}

// currentVersion returns the version of the named object, or zero if it does not
// exist.
func (a *Accepter) currentVersion(ctx context.Context, name string) (currentVersion banyanplank.Version, err error) {
	object, err := a.get(ctx, name)
	if errors.Is(err, banyanplank.ErrNotFound) {
		return 0, nil
	}
	return object.Version, err
}
