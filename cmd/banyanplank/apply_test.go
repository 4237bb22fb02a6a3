package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// failing is an accepted configuration whose submissions fail.
type failing struct {
	revision banyanplank.Revision
	err      error
}

func (f failing) Current(context.Context) (configuration *banyanplank.Configuration, err error) {
	return &banyanplank.Configuration{Revision: f.revision}, nil
}

func (f failing) Accept(context.Context, banyanplank.Revision, *banyanplank.Configuration) (revision banyanplank.Revision, err error) {
	return 0, f.err
}

func TestFailedSubmissionTellsWhatIsKnown(t *testing.T) {
	cases := map[string]struct {
		err     error
		code    int
		unknown bool
	}{
		"uncertain":    {errors.Wrap(banyanplank.ErrUncertain, "put"), codeUncertain, true},
		"unavailable":  {errors.Wrap(banyanplank.ErrUnavailable, "put"), codeUncertain, false},
		"conflict":     {&conflictError{text: "raced"}, codeConflict, false},
		"invalid":      {usagef("zones", "", "one"), codeInvalid, false},
		"other":        {errors.New("broken"), codeFailed, false},
		"both unclear": {errors.Mark(errors.Wrap(banyanplank.ErrUnavailable, "get"), banyanplank.ErrUncertain), codeUncertain, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			command := &applyCommand{}
			_, err := command.submit(t.Context(), failing{revision: 7, err: c.err}, &banyanplank.Configuration{})
			var stderr bytes.Buffer
			s := &session{}
			is.Equal(s.finish(&stderr, err), c.code)
			is.Equal(strings.Contains(stderr.String(), "may be in force"), c.unknown)
			is.Equal(strings.Contains(stderr.String(), "--base 7"), c.unknown)
		})
	}
}
