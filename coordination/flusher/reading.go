package flusher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// StoredTallies returns all stored tallies with one call to the store. Damaged is the
// number of objects that cannot be decoded.
func StoredTallies(ctx context.Context, store banyanplank.ObjectStore) (tallies []tallier.Tally, damaged int, err error) {
	defer func() { err = errors.Wrap(err, "read stored tallies") }()
	objects, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, 0, err
	}
	for _, object := range objects {
		tally, decodeErr := decodeTally(object.Value)
		if decodeErr != nil {
			damaged++
			continue
		}
		tallies = append(tallies, tally)
	}
	return tallies, damaged, nil
}

// Sweep deletes the objects that are damaged or too old for any report. An
// object that is written again in the meantime is kept.
func Sweep(ctx context.Context, store banyanplank.ObjectStore, now time.Time) (err error) {
	defer func() { err = errors.Wrap(err, "sweep stored tallies") }()
	objects, err := store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	for _, object := range objects {
		tally, decodeErr := decodeTally(object.Value)
		if decodeErr == nil && now.Sub(tally.At) < unusedRetention {
			continue
		}
		deleteErr := store.Delete(ctx, object.Name, object.Version)
		if deleteErr != nil && !errors.Is(deleteErr, banyanplank.ErrConflict) && !errors.Is(deleteErr, banyanplank.ErrNotFound) {
			return deleteErr
		}
	}
	return nil
}
