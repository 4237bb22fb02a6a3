package main

import (
	"fmt"
	"strings"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
)

// diffCommand compares a configuration file with the accepted configuration.
type diffCommand struct {
	session   *session
	Arguments fileArgument `positional-args:"yes" required:"yes"`
}

func newDiffCommand(s *session) (c command) {
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

// diffResult is the difference between the accepted configuration and a file.
type diffResult struct {
	Revision banyanplank.Revision `json:"revision"`
	Changes  []accepter.Change    `json:"changes"`
}

// text lists the changes, one per line.
func (c diffResult) text() (text string) {
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
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	current, err := c.session.currentConfiguration(ctx)
	if err != nil {
		return err
	}
	result := diffResult{Revision: current.Revision, Changes: accepter.Diff(current, configuration)}
	return c.session.writeResult(result, result.text())
}
