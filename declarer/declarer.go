// Package declarer builds configurations in Go programs of operators and prints
// the TOML that the command line submits.
//
//	d := declarer.New(
//		declarer.WithZone("zone-a", "north"),
//		declarer.WithService("chat", banyanplank.ServiceModel,
//			declarer.WithAvailability(0.999),
//		),
//		declarer.WithAccount("himal", digest, declarer.WithRate(20)),
//	)
//	err := d.Write(os.Stdout)
//
// Keep the printed file under version control and submit it with
//
//	banyanplank apply configuration.toml
package declarer

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/parser"
)

// Declaration is a configuration under construction.
type Declaration struct {
	configuration banyanplank.Configuration
}

// Option adds to a [Declaration].
type Option func(*Declaration)

// New returns a declaration with the options applied. It does not check it:
// [Declaration.Configuration], [Declaration.Print] and [Declaration.Write] do.
func New(options ...Option) *Declaration {
	d := &Declaration{}
	WithAll(options...)(d)
	return d
}

// WithAll combines several options into one. Use it to return related options,
// such as the accounts of one organization, from a function. Without options it
// adds nothing.
func WithAll(options ...Option) Option {
	return func(d *Declaration) {
		for _, option := range options {
			option(d)
		}
	}
}

// Configuration returns the declared configuration, checked and sorted. The error
// is [parser.Mistakes] and lists all mistakes.
func (d *Declaration) Configuration() (configuration *banyanplank.Configuration, err error) {
	err = parser.Check(&d.configuration)
	if err != nil {
		return nil, err
	}
	return parser.Sort(&d.configuration), nil
}

// Print returns the configuration as TOML. Equal declarations give equal text. The
// error is [parser.Mistakes] and lists all mistakes.
func (d *Declaration) Print() (text []byte, err error) {
	return parser.Print(&d.configuration)
}

// Write writes the configuration as TOML to w. It writes nothing and returns
// [parser.Mistakes] if the declaration has mistakes.
func (d *Declaration) Write(w io.Writer) (err error) {
	text, err := d.Print()
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return errors.Wrap(err, "write configuration")
}
