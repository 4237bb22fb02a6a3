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

// Exit codes, as documented in the help.
const (
	exitOK        = 0
	exitFailed    = 1
	exitInvalid   = 2
	exitConflict  = 3
	exitUncertain = 4
)

// newUsageError returns an error for a rejected option or argument. The allowed
// text describes the values that are accepted.
func newUsageError(field, value, allowed string) (err error) {
	return parser.Mistakes{{Field: field, Value: fmt.Sprintf("%q", value), Allowed: allowed}}
}

// conflictError is returned when a change conflicts with the accepted
// configuration.
type conflictError struct {
	text string
}

// Error implements [error].
func (e *conflictError) Error() string {
	return e.text
}

// errorReport is the JSON form of an error. Current, Theirs and Ours are set for
// a conflict.
type errorReport struct {
	Code     int               `json:"code"`
	Message  string            `json:"message"`
	Mistakes []parser.Mistake  `json:"mistakes,omitempty"`
	Current  uint64            `json:"current,omitempty"`
	Theirs   []accepter.Change `json:"theirs,omitempty"`
	Ours     []accepter.Change `json:"ours,omitempty"`
}

// reportError writes an error, as text or as JSON, and returns its exit code.
func (s *session) reportError(stderr io.Writer, err error) (code int) {
	if err == nil {
		return exitOK
	}
	f := newErrorReport(err)
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

func newErrorReport(err error) (f errorReport) {
	f = errorReport{Code: exitCode(err), Message: err.Error()}
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

// exitCode maps an error to an exit code.
func exitCode(err error) (code int) {
	var mistakes parser.Mistakes
	var flagsError *flags.Error
	var conflict *conflictError
	_, isConflict := accepter.AsConflict(err)
	switch {
	case errors.As(err, &mistakes), errors.As(err, &flagsError), errors.Is(err, accepter.ErrInvalid):
		return exitInvalid
	case isConflict, errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, banyanplank.ErrUncertain), errors.Is(err, banyanplank.ErrUnavailable):
		return exitUncertain
	default:
		return exitFailed
	}
}
