package accepter

import (
	"context"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// Sweep deletes the shards and earlier roots that are no longer needed and
// returns the number of deleted objects.
//
// It is safe during concurrent submissions and does not depend on clocks. It
// reads the root, lists the objects, writes the same root again, and then deletes
// the unneeded objects that still have the listed versions. A submission that
// read the root before that write fails to write its own root and starts again.
// One that read the root after it also writes its shards after it, with versions
// that were not listed.
func (a *Accepter) Sweep(ctx context.Context) (deleted int, err error) {
	defer func() { err = errors.Wrap(err, "sweep the configuration") }()
	stored, objects, err := a.fenceSubmissions(ctx)
	if err != nil {
		return 0, err
	}
	needed := neededNames(stored.root, objects)
	deletes := pool.NewWithResults[int]().WithMaxGoroutines(maxParallelCalls).WithContext(ctx).WithFirstError()
	for _, object := range objects {
		if needed[object.Name] {
			continue
		}
		deletes.Go(func(ctx context.Context) (int, error) { return a.deleteUnchanged(ctx, object) })
	}
	counts, err := deletes.Wait()
	for _, count := range counts {
		deleted += count
	}
	return deleted, err
}

// sweepIfDue sweeps after every sweepEvery revisions. It ignores errors, since the
// next sweep deletes the remaining objects.
func (a *Accepter) sweepIfDue(ctx context.Context, revision banyanplank.Revision) {
	if a.sweepEvery == 0 || uint64(revision)%a.sweepEvery != 0 {
		return
	}
	_, _ = a.Sweep(ctx)
}

// fenceSubmissions reads the root, lists the objects and then writes the same
// root again, so that concurrent submissions start again. It returns no objects
// if there is no root.
func (a *Accepter) fenceSubmissions(ctx context.Context) (stored storedRoot, objects []banyanplank.Object, err error) {
	for {
		if stored, err = a.readRoot(ctx); err != nil || stored.version == 0 {
			return stored, nil, err
		}
		if objects, err = a.listObjects(ctx); err != nil {
			return storedRoot{}, nil, err
		}
		_, err = a.store.Put(ctx, RootName, stored.value, stored.version)
		if err == nil {
			return stored, objects, nil
		}
		if banyanplank.Sleep(ctx, minBackoff) != nil {
			return storedRoot{}, nil, err
		}
	}
}

// listObjects returns the objects of all shards and earlier roots.
func (a *Accepter) listObjects(ctx context.Context) (objects []banyanplank.Object, err error) {
	shards, err := a.store.List(ctx, ShardPrefix)
	if err != nil {
		return nil, err
	}
	past, err := a.store.List(ctx, PastPrefix)
	if err != nil {
		return nil, err
	}
	return append(shards, past...), nil
}

// neededNames returns the names of the objects that root and the latest
// keptPastRevisions earlier roots refer to.
func neededNames(root sharder.Root, objects []banyanplank.Object) (needed map[string]bool) {
	needed = map[string]bool{}
	values := make(map[sharder.Name][]byte, len(objects))
	for _, object := range objects {
		values[sharder.Name(strings.TrimPrefix(object.Name, ShardPrefix))] = object.Value
	}
	addShardNames(needed, root, values)
	for _, object := range objects {
		text, ok := strings.CutPrefix(object.Name, PastPrefix)
		if !ok {
			continue
		}
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil || revision+keptPastRevisions < uint64(root.Revision) {
			continue
		}
		needed[object.Name] = true
		if past, err := sharder.DecodeRoot(object.Value); err == nil {
			addShardNames(needed, past, values)
		}
	}
	return needed
}

// addShardNames adds the names of root's shard objects to needed.
func addShardNames(needed map[string]bool, root sharder.Root, values map[sharder.Name][]byte) {
	for _, name := range root.Names(values) {
		needed[ShardPrefix+string(name)] = true
	}
}

// deleteUnchanged deletes the object unless it was written since it was listed,
// and returns the number of deleted objects.
func (a *Accepter) deleteUnchanged(ctx context.Context, object banyanplank.Object) (deleted int, err error) {
	err = a.store.Delete(ctx, object.Name, object.Version)
	switch {
	case err == nil:
		return 1, nil
	case errors.Is(err, banyanplank.ErrConflict), errors.Is(err, banyanplank.ErrNotFound):
		return 0, nil
	default:
		return 0, errors.Wrapf(err, "delete %s", object.Name)
	}
}
