package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank/coordination/flusher"
	"github.com/banyanplank/banyanplank/coordination/reporter"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// burnCommand reports how fast services burn their error budgets.
type burnCommand struct {
	session *session
	Daemons []string `long:"daemon" value-name:"ADDRESS" description:"operators' address of an entry; may be given several times"`
	Format  string   `long:"format" value-name:"FORM" default:"text" description:"text, json or html; --json goes before it"`
	Output  string   `long:"output" value-name:"FILE" description:"write there instead of to standard output"`
}

func newBurnCommand(s *session) (c command) {
	return command{
		name:  "burn",
		short: "Report on service-level burn",
		long: `Merges the counts of the entries into a report: for each service and objective,
how much of the error budget of three days is left, how fast it burns over 5
minutes, 1 hour, 6 hours and 3 days, and whether a page is due, by availability
zone and client account.

The objectives come from the accepted configuration. Counts come from the
entries that you name and, for all others, from what they stored last, so the
report is complete even if you name none:

$ banyanplank burn
$ banyanplank burn --daemon 10.0.0.1:9000 --daemon 10.0.1.1:9000
$ banyanplank burn --format html --output burn.html

A burn of 1 spends just the budget. The exit code is 1 if an entry that you
name does not answer; the report then lists it as a problem and uses the counts
that it stored last.`,
		data: &burnCommand{session: s},
	}
}

// Execute implements [flags.Commander].
func (c *burnCommand) Execute([]string) (err error) {
	write, err := c.reportWriter()
	if err != nil {
		return err
	}
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	report, err := c.buildReport(ctx)
	if err != nil {
		return err
	}
	err = c.writeOutput(func(out io.Writer) error { return write(report, out) })
	if err == nil && len(report.Problems) > 0 {
		err = errIncomplete
	}
	return err
}

// reportWriter returns the function that writes the requested format.
func (c *burnCommand) reportWriter() (write func(reporter.Report, io.Writer) error, err error) {
	format := c.Format
	if c.session.options.JSON {
		format = "json"
	}
	switch format {
	case "text":
		return reporter.Report.WriteText, nil
	case "html":
		return reporter.Report.WriteHTML, nil
	case "json":
		return writeJSON, nil
	default:
		return nil, newUsageError("--format", format, "text, json or html")
	}
}

func writeJSON(report reporter.Report, out io.Writer) (err error) {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// buildReport merges the tallies fetched from entries with the stored ones.
func (c *burnCommand) buildReport(ctx context.Context) (report reporter.Report, err error) {
	store, err := c.session.objectStore()
	if err != nil {
		return reporter.Report{}, err
	}
	fetched, problems, err := c.fetchTallies(ctx)
	if err != nil {
		return reporter.Report{}, err
	}
	configuration, err := c.session.currentConfiguration(ctx)
	if err != nil {
		return reporter.Report{}, err
	}
	stored, damaged, err := flusher.StoredTallies(ctx, store)
	if err != nil {
		return reporter.Report{}, err
	}
	if damaged > 0 {
		problems = append(problems, fmt.Sprintf("%d stored tallies cannot be decoded and are left out", damaged))
	}
	merged, idle := reporter.Merge(fetched, stored)
	report = reporter.Join(time.Now(), configuration, merged)
	report.Stored = idle
	report.Problems = problems
	return report, nil
}

// fetchTallies fetches the tallies of the named entries, within half of the
// command's timeout. Entries that fail are returned as problems.
func (c *burnCommand) fetchTallies(ctx context.Context) (fetched []tallier.Tally, problems []string, err error) {
	if len(c.Daemons) == 0 {
		return nil, nil, nil
	}
	addresses, err := parseAddresses("--daemon", c.Daemons)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.session.options.Timeout/2)
	defer cancel()
	for _, f := range fetchAll[tallier.Tally](ctx, addresses, "/v1/tally", "") {
		if f.err != nil {
			problems = append(problems, fmt.Sprintf("%s did not answer: %v", f.address, f.err))
			continue
		}
		fetched = append(fetched, f.reply)
	}
	return fetched, problems, nil
}

// writeOutput calls write with the output file, or with standard output if none
// is named.
func (c *burnCommand) writeOutput(write func(io.Writer) error) (err error) {
	if c.Output == "" {
		return write(c.session.stdout)
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return newUsageError("--output", c.Output, "a file that can be written: "+err.Error())
	}
	defer func() {
		closeErr := file.Close()
		err = errors.CombineErrors(err, closeErr)
	}()
	return write(file)
}
