package main

import (
	"fmt"

	"github.com/banyanplank/banyanplank"
)

// fileArgument is the configuration file of a command.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"configuration in TOML, or - for standard input"`
}

// checkCommand checks a file without reaching anything.
type checkCommand struct {
	session   *session
	Arguments fileArgument `positional-args:"yes" required:"yes"`
}

func checkHelp(s *session) (c command) {
	return command{
		name:  "check",
		short: "Check a configuration file",
		long: `Reads a configuration file and reports everything that is wrong with it, each
mistake with its field, its value and what is allowed. It reaches no platform,
so it fits a hook of your version control:

$ banyanplank check fleet.toml`,
		data: &checkCommand{session: s},
	}
}

// summary counts what a configuration declares.
type summary struct {
	Zones    int `json:"zones"`
	Services int `json:"services"`
	Groups   int `json:"groups"`
	Accounts int `json:"accounts"`
}

// summarize counts the items of a configuration.
func summarize(configuration *banyanplank.Configuration) (s summary) {
	return summary{
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
	counts := summarize(configuration)
	return c.session.write(counts, fmt.Sprintf("valid: zones=%d services=%d groups=%d accounts=%d\n",
		counts.Zones, counts.Services, counts.Groups, counts.Accounts))
}
