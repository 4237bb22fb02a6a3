package accepter

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// ConflictError means that another revision followed the base of a submission.
// No part of the submission was accepted.
type ConflictError struct {
	// Base is the revision on which the submission is based.
	Base banyanplank.Revision
	// Current is the accepted revision.
	Current banyanplank.Revision
	// Theirs lists the changes from Base to Current.
	Theirs []Change
	// Ours lists the changes from Base to the submission.
	Ours []Change
	// BaseDiscarded reports that Base is no longer stored. Theirs is then empty,
	// and Ours lists the changes from Current to the submission.
	BaseDiscarded bool
}

// Error returns a text that lists the changes of both sides.
func (e *ConflictError) Error() (text string) {
	if e.BaseDiscarded {
		return fmt.Sprintf("revision %d is in force and the base %d is no longer kept; ours from the revision in force: %s",
			e.Current, e.Base, formatChanges(e.Ours))
	}
	return fmt.Sprintf("revision %d followed the base %d; theirs: %s; ours: %s",
		e.Current, e.Base, formatChanges(e.Theirs), formatChanges(e.Ours))
}

// maxDescribedChanges is the largest number of changes that an error text lists
// for each side.
const maxDescribedChanges = 10

// formatChanges returns the changes as one line of text.
func formatChanges(changes []Change) (text string) {
	if len(changes) == 0 {
		return "none"
	}
	var parts []string
	for _, c := range changes[:min(len(changes), maxDescribedChanges)] {
		parts = append(parts, c.String())
	}
	if more := len(changes) - maxDescribedChanges; more > 0 {
		parts = append(parts, fmt.Sprintf("%d more", more))
	}
	return strings.Join(parts, ", ")
}

// AsConflict returns the [*ConflictError] that err wraps, if there is one.
func AsConflict(err error) (conflict *ConflictError, ok bool) {
	ok = errors.As(err, &conflict)
	return conflict, ok
}

// conflictError returns the [*ConflictError] of a submission on base while root is
// accepted, or another error if one of the two revisions cannot be read.
func (a *Accepter) conflictError(ctx context.Context, base banyanplank.Revision, root sharder.Root, ours *banyanplank.Configuration) (err error) {
	current, err := a.load(ctx, root)
	if err != nil {
		return errors.Wrap(err, "read the conflicting revision")
	}
	conflict := &ConflictError{Base: base, Current: root.Revision}
	before, err := a.Past(ctx, base)
	switch {
	case errors.Is(err, banyanplank.ErrNotFound):
		conflict.BaseDiscarded = true
		conflict.Ours = Diff(current, ours)
	case err != nil:
		return errors.Wrapf(err, "the configuration is at revision %d, not %d", root.Revision, base)
	default:
		conflict.Theirs = Diff(before, current)
		conflict.Ours = Diff(before, ours)
	}
	return conflict
}

// Past returns the configuration of an earlier revision. The error is
// [banyanplank.ErrNotFound] if the revision is no longer stored or has not been
// replaced yet.
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
