package main

import (
	"fmt"

	"github.com/banyanplank/banyanplank"
)

// fileArgument is the argument of commands that read a configuration file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"configuration in TOML, or - for standard input"`
}

// checkCommand checks a configuration file offline.
type checkCommand struct {
	session   *session
	Arguments fileArgument `positional-args:"yes" required:"yes"`
}

func newCheckCommand(s *session) (c command) {
	return command{
		name:  "check",
		short: "Check a configuration file",
		long: `Reads a configuration file and reports everything that is wrong with it, each
mistake with its field, its value and what is allowed. It does not contact the
platform, so it can run as a hook of your version control:

$ banyanplank check fleet.toml`,
		data: &checkCommand{session: s},
	}
}

// itemCounts is the number of items that a configuration declares.
type itemCounts struct {
	Zones    int `json:"zones"`
	Services int `json:"services"`
	Groups   int `json:"groups"`
	Accounts int `json:"accounts"`
}

func countItems(configuration *banyanplank.Configuration) (s itemCounts) {
	return itemCounts{
		Zones:    len(configuration.Zones),
		Services: len(configuration.Services),
		Groups:   len(configuration.Groups),
		Accounts: len(configuration.Accounts),
	}
}

// Execute implements [flags.Commander].
func (c *checkCommand) Execute([]string) (err error) {
	configuration, err := readConfiguration(c.Arguments.File)
	if err != nil {
		return err
	}
	counts := countItems(configuration)
	return c.session.writeResult(counts, fmt.Sprintf("valid: zones=%d services=%d groups=%d accounts=%d\n",
		counts.Zones, counts.Services, counts.Groups, counts.Accounts))
}
