package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
)

// applyCommand submits a file.
type applyCommand struct {
	session   *session
	Base      *uint64      `long:"base" value-name:"REVISION" description:"refuse unless this revision is in force; the default is the one that the command finds"`
	Zones     bool         `long:"zones" description:"also take zones out or bring them back as the file says"`
	Arguments fileArgument `positional-args:"yes" required:"yes"`
}

func applyHelp(s *session) (c command) {
	return command{
		name:  "apply",
		short: "Submit a configuration file",
		long: `Makes a configuration file the accepted configuration, as a whole or not at
all, and prints its revision and what changed. Daemons have it in force some
seconds later; "banyanplank status --revision N" tells when.

If another operator's change comes first, nothing is written and the exit code
is 3. With --base you also refuse changes that came after you looked:

$ banyanplank diff fleet.toml              # revision 41, 2 changes
$ banyanplank apply --base 41 fleet.toml   # revision 42

A file that would take a zone out or bring one back is refused unless you say
--zones, so that an old file does not undo "banyanplank zone out".

If the exit code is 4, the outcome may be uncertain. Run the same command
again with the --base that the message names: it tells whether the first one
took effect.`,
		data: &applyCommand{session: s},
	}
}

// application is the result of a submission.
type application struct {
	Revision banyanplank.Revision `json:"revision"`
	Changes  []accepter.Change    `json:"changes"`
}

// Execute implements [flags.Commander].
func (c *applyCommand) Execute([]string) (err error) {
	configuration, err := readConfiguration(c.Arguments.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.session.deadline()
	defer cancel()
	a, err := c.session.accepted()
	if err != nil {
		return err
	}
	result, err := c.submit(ctx, a, configuration)
	if err != nil {
		return err
	}
	return c.session.write(result, changes(result).text())
}

// submit makes the configuration the accepted one.
func (c *applyCommand) submit(ctx context.Context, a accepted, configuration *banyanplank.Configuration) (result application, err error) {
	current, err := a.Current(ctx)
	if err != nil {
		return application{}, err
	}
	if !c.Zones {
		err = refuseZoneMoves(current, configuration)
		if err != nil {
			return application{}, err
		}
	}
	base := current.Revision
	if c.Base != nil {
		base = banyanplank.Revision(*c.Base)
	}
	revision, err := a.Accept(ctx, base, configuration)
	if errors.Is(err, banyanplank.ErrUncertain) {
		// Without the base, a second run could replace what came in between.
		err = errors.Wrapf(err, "run again with --base %d to learn the outcome", base)
	}
	if err != nil {
		return application{}, err
	}
	return application{Revision: revision, Changes: accepter.Diff(current, configuration)}, nil
}

// refuseZoneMoves refuses a configuration in which a zone that stays declared
// is out when it was in, or the other way round.
func refuseZoneMoves(current, next *banyanplank.Configuration) (err error) {
	var moves []string
	for _, before := range current.Zones {
		for _, after := range next.Zones {
			if before.Name == after.Name && before.Out != after.Out {
				moves = append(moves, fmt.Sprintf("zones[%s].out: %t in force, %t in the file", before.Name, before.Out, after.Out))
			}
		}
	}
	if len(moves) == 0 {
		return nil
	}
	moves = append(moves, "Change the file, or pass --zones to move the zones as it says.")
	return &conflictError{text: strings.Join(moves, "\n")}
}
