package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank/state/parser"
)

// getCommand prints the accepted configuration.
type getCommand struct {
	session *session
}

func newGetCommand(s *session) (c command) {
	return command{
		name:  "get",
		short: "Print the accepted configuration",
		long: `Prints the accepted configuration in the form that the declarer library
writes, with its revision in a comment, so that it can be compared and applied
again:

$ banyanplank get > fleet.toml`,
		data: &getCommand{session: s},
	}
}

// Execute implements [flags.Commander].
func (c *getCommand) Execute([]string) (err error) {
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	current, err := c.session.currentConfiguration(ctx)
	if err != nil {
		return err
	}
	text, err := parser.Print(current)
	if err != nil {
		return errors.Newf("revision %d does not pass this program's checks, which may be older: %v", current.Revision, err)
	}
	// The JSON output has the same keys as the TOML text.
	document := map[string]any{}
	err = toml.Unmarshal(text, &document)
	if err != nil {
		return errors.Wrap(err, "read back the configuration")
	}
	document["revision"] = current.Revision
	return c.session.writeResult(document, fmt.Sprintf("# revision %d\n%s", current.Revision, text))
}
