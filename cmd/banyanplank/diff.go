package main

import (
	"fmt"
	"strings"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
)

// diffCommand shows what a file would change.
type diffCommand struct {
	session   *session
	Arguments fileArgument `positional-args:"yes" required:"yes"`
}

func diffHelp(s *session) (c command) {
	return command{
		name:  "diff",
		short: "Show what a configuration file would change",
		long: `Compares a configuration file with the accepted configuration, field by field.
A leading + marks a new item and - one that goes away. The exit code is 0
whether or not there are changes; scripts read them with --json:

$ banyanplank diff fleet.toml
$ banyanplank diff --json fleet.toml | jq .changes`,
		data: &diffCommand{session: s},
	}
}

// changes is the difference between the accepted configuration and a file.
type changes struct {
	Revision banyanplank.Revision `json:"revision"`
	Changes  []accepter.Change    `json:"changes"`
}

// text lists the changes, one a line.
func (c changes) text() (text string) {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d, %d changes\n", c.Revision, len(c.Changes))
	for _, change := range c.Changes {
		fmt.Fprintln(&b, change)
	}
	return b.String()
}

// Execute implements [flags.Commander].
func (c *diffCommand) Execute([]string) (err error) {
	configuration, err := readConfiguration(c.Arguments.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.session.deadline()
	defer cancel()
	current, err := c.session.current(ctx)
	if err != nil {
		return err
	}
	result := changes{Revision: current.Revision, Changes: accepter.Diff(current, configuration)}
	return c.session.write(result, result.text())
}
