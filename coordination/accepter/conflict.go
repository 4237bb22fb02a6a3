package accepter

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// ConflictError tells that another revision followed the base of a submission.
// Nothing of the submission was accepted.
type ConflictError struct {
	// Base is the revision that the submission was made on.
	Base banyanplank.Revision
	// Current is the accepted revision.
	Current banyanplank.Revision
	// Theirs is what changed from Base to Current.
	Theirs []Change
	// Ours is what the submission changes from Base.
	Ours []Change
	// Forgotten tells that Base is no longer kept. Theirs is then empty, and
	// Ours is what the submission changes from Current.
	Forgotten bool
}

// Error names both changes.
func (e *ConflictError) Error() (text string) {
	if e.Forgotten {
		return fmt.Sprintf("revision %d is in force and the base %d is no longer kept; ours from the revision in force: %s",
			e.Current, e.Base, describe(e.Ours))
	}
	return fmt.Sprintf("revision %d followed the base %d; theirs: %s; ours: %s",
		e.Current, e.Base, describe(e.Theirs), describe(e.Ours))
}

// describedChanges bounds the changes that an error's text lists.
const describedChanges = 10

// describe lists the changes in one line.
func describe(changes []Change) (text string) {
	if len(changes) == 0 {
		return "none"
	}
	var parts []string
	for _, c := range changes[:min(len(changes), describedChanges)] {
		parts = append(parts, c.String())
	}
	if more := len(changes) - describedChanges; more > 0 {
		parts = append(parts, fmt.Sprintf("%d more", more))
	}
	return strings.Join(parts, ", ")
}

// AsConflict returns the conflict that err wraps.
func AsConflict(err error) (conflict *ConflictError, ok bool) {
	ok = errors.As(err, &conflict)
	return conflict, ok
}

// conflict returns the error of a submission on base while root is accepted.
func (a *Accepter) conflict(ctx context.Context, base banyanplank.Revision, root sharder.Root, ours *banyanplank.Configuration) (err error) {
	current, err := a.load(ctx, root)
	if err != nil {
		return errors.Wrap(err, "read the revision that conflicts")
	}
	conflict := &ConflictError{Base: base, Current: root.Revision}
	before, err := a.Past(ctx, base)
	if err != nil {
		conflict.Forgotten = true
		conflict.Ours = Diff(current, ours)
		return conflict
	}
	conflict.Theirs = Diff(before, current)
	conflict.Ours = Diff(before, ours)
	return conflict
}

// Past returns an earlier revision. The error is [banyanplank.ErrNotFound] when
// the revision is no longer kept or was not replaced yet.
func (a *Accepter) Past(ctx context.Context, revision banyanplank.Revision) (configuration *banyanplank.Configuration, err error) {
	defer func() { err = errors.Wrapf(err, "read revision %d", revision) }()
	if revision == 0 {
		return &banyanplank.Configuration{}, nil
	}
	object, err := a.get(ctx, pastName(revision))
	if err != nil {
		return nil, err
	}
	root, err := sharder.DecodeRoot(object.Value)
	if err != nil {
		return nil, err
	}
	return a.load(ctx, root)
}
