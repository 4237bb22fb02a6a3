package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
)

// applyCommand submits a configuration file.
type applyCommand struct {
	session   *session
	Base      *uint64      `long:"base" value-name:"REVISION" description:"refuse unless this revision is in force; the default is the one that the command finds"`
	Zones     bool         `long:"zones" description:"also take zones out or bring them back as the file says"`
	Arguments fileArgument `positional-args:"yes" required:"yes"`
}

func newApplyCommand(s *session) (c command) {
	return command{
		name:  "apply",
		short: "Submit a configuration file",
		long: `Makes a configuration file the accepted configuration, as a whole or not at
all, and prints its revision and what changed. Daemons have it in force some
seconds later; "banyanplank status --revision N" shows when.

If another operator's change comes first, nothing is written and the exit code
is 3. With --base the command also fails if the configuration changed since
the revision that you compared with:

$ banyanplank diff fleet.toml              # revision 41, 2 changes
$ banyanplank apply --base 41 fleet.toml   # revision 42

A file that would take a zone out or bring one back is refused unless you pass
--zones, so that an old file does not undo "banyanplank zone out".

If the exit code is 4, the outcome may be uncertain. Run the same command
again with the --base that the message names: it reports whether the first
one took effect.`,
		data: &applyCommand{session: s},
	}
}

// applyResult is the JSON form of an accepted submission.
type applyResult struct {
	Revision banyanplank.Revision `json:"revision"`
	Changes  []accepter.Change    `json:"changes"`
}

// Execute implements [flags.Commander].
func (c *applyCommand) Execute([]string) (err error) {
	configuration, err := readConfiguration(c.Arguments.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	store, err := c.session.configurationStore()
	if err != nil {
		return err
	}
	result, err := c.submit(ctx, store, configuration)
	if err != nil {
		return err
	}
	return c.session.writeResult(result, diffResult(result).text())
}

// submit replaces the accepted configuration. An uncertain outcome is wrapped
// with the base to run the command with again.
func (c *applyCommand) submit(ctx context.Context, store configurationStore, configuration *banyanplank.Configuration) (result applyResult, err error) {
	current, err := store.Current(ctx)
	if err != nil {
		return applyResult{}, err
	}
	if !c.Zones {
		err = rejectZoneChanges(current, configuration)
		if err != nil {
			return applyResult{}, err
		}
	}
	base := current.Revision
	if c.Base != nil {
		base = banyanplank.Revision(*c.Base)
	}
	revision, err := store.Accept(ctx, base, configuration)
	if errors.Is(err, banyanplank.ErrUncertain) {
		// Without the base, a second run could overwrite a change made in between.
		err = errors.Wrapf(err, "run again with --base %d to learn the outcome", base)
	}
	if err != nil {
		return applyResult{}, err
	}
	return applyResult{Revision: revision, Changes: accepter.Diff(current, configuration)}, nil
}

// rejectZoneChanges returns a conflict if a zone that is declared in both
// configurations is out in only one of them.
func rejectZoneChanges(current, next *banyanplank.Configuration) (err error) {
	var conflicts []string
	for _, before := range current.Zones {
		for _, after := range next.Zones {
			if before.Name == after.Name && before.Out != after.Out {
				conflicts = append(conflicts, fmt.Sprintf("zones[%s].out: %t in force, %t in the file", before.Name, before.Out, after.Out))
			}
		}
	}
	if len(conflicts) == 0 {
		return nil
	}
	conflicts = append(conflicts, "Change the file, or pass --zones to change the zones as it states.")
	return &conflictError{text: strings.Join(conflicts, "\n")}
}
