package main

import (
	"bytes"
	"fmt"
	"text/tabwriter"

	"github.com/banyanplank/banyanplank/transport/receiver"
)

// entriesCommand shows the list of entries that callers receive.
type entriesCommand struct {
	session *session
	Entry   []string `long:"entry" value-name:"ADDRESS" description:"callers' address of an entry; may be given several times, and the first that answers counts"`
	Key     string   `long:"key" value-name:"FILE" description:"file with the secret key of a client account"`
}

func newEntriesCommand(s *session) (c command) {
	return command{
		name:  "entries",
		short: "Show which entries callers are told to use",
		long: `Asks an entry, as a caller does, which entries to use and for how long, and
prints the answer. The secret key of a client account is read from a file, so
that it does not show up in process listings.

$ banyanplank entries --entry 10.0.0.1:8080 --key himal.key`,
		data: &entriesCommand{session: s},
	}
}

// Execute implements [flags.Commander].
func (c *entriesCommand) Execute([]string) (err error) {
	addresses, err := parseAddresses("--entry", c.Entry)
	if err != nil {
		return err
	}
	if c.Key == "" {
		return newUsageError("--key", "", "a file with the secret key of a client account")
	}
	key, err := readKey("--key", c.Key)
	if err != nil {
		return err
	}
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	for _, address := range addresses {
		var answer receiver.Entries
		err = fetch(ctx, "http://"+address.String()+"/v1/entries", key, &answer)
		if err == nil {
			return c.session.writeResult(answer, formatEntries(answer))
		}
	}
	return err
}

// formatEntries formats the answer as a table.
func formatEntries(answer receiver.Entries) (text string) {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ENTRY\tZONE")
	for _, e := range answer.Entries {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", e.Address, e.Zone)
	}
	_ = w.Flush()
	fmt.Fprintf(&b, "keep for %gs\n", answer.Keep)
	return b.String()
}
