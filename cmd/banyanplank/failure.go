package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
	"github.com/banyanplank/banyanplank/state/parser"
)

// The exit codes.
const (
	codeDone      = 0
	codeFailed    = 1
	codeInvalid   = 2
	codeConflict  = 3
	codeUncertain = 4
)

// usagef returns the refusal of one option or argument.
func usagef(field, value, allowed string) (err error) {
	return parser.Mistakes{{Field: field, Value: fmt.Sprintf("%q", value), Allowed: allowed}}
}

// conflictError is a change that another operator's change forbids.
type conflictError struct {
	text string
}

// Error implements error.
func (e *conflictError) Error() string {
	return e.text
}

// failure is the JSON form of an error.
type failure struct {
	Code     int               `json:"code"`
	Message  string            `json:"message"`
	Mistakes []parser.Mistake  `json:"mistakes,omitempty"`
	Current  uint64            `json:"current,omitempty"`
	Theirs   []accepter.Change `json:"theirs,omitempty"`
	Ours     []accepter.Change `json:"ours,omitempty"`
}

// finish writes an error and returns the exit code.
func (s *session) finish(stderr io.Writer, err error) (code int) {
	if err == nil {
		return codeDone
	}
	f := newFailure(err)
	if s.options.JSON {
		_ = json.NewEncoder(stderr).Encode(f)
		return f.Code
	}
	_, _ = fmt.Fprintln(stderr, f.Message)
	if errors.Is(err, banyanplank.ErrUncertain) {
		_, _ = fmt.Fprintln(stderr, "The change may be in force. Run the command again to learn the outcome.")
	}
	return f.Code
}

// newFailure classifies an error.
func newFailure(err error) (f failure) {
	f = failure{Code: codeOf(err), Message: err.Error()}
	var mistakes parser.Mistakes
	if errors.As(err, &mistakes) {
		f.Mistakes = mistakes
		f.Message = mistakes.Error()
	}
	if conflict, ok := accepter.AsConflict(err); ok {
		f.Current = uint64(conflict.Current)
		f.Theirs = conflict.Theirs
		f.Ours = conflict.Ours
	}
	return f
}

// codeOf returns the exit code of an error.
func codeOf(err error) (code int) {
	var mistakes parser.Mistakes
	var flagsError *flags.Error
	var conflict *conflictError
	_, raced := accepter.AsConflict(err)
	switch {
	case errors.As(err, &mistakes), errors.As(err, &flagsError), errors.Is(err, accepter.ErrInvalid):
		return codeInvalid
	case raced, errors.As(err, &conflict):
		return codeConflict
	case errors.Is(err, banyanplank.ErrUncertain), errors.Is(err, banyanplank.ErrUnavailable):
		return codeUncertain
	default:
		return codeFailed
	}
}
