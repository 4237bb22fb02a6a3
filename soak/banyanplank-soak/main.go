// Command banyanplank-soak injects seeded faults into real entry daemons and prints which
// promises they broke. It exits with 1 if one was broken or a run failed.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/banyanplank/banyanplank/soak"
)

type arguments struct {
	Entry   string `long:"entry" required:"true" value-name:"FILE" description:"program of the entry daemon"`
	Seed    uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds   int    `long:"seeds" default:"1" description:"number of seeds"`
	Entries int    `long:"entries" default:"3" description:"entries"`
	Callers int    `long:"callers" default:"24" description:"callers"`
	Rounds  int    `long:"rounds" default:"1" description:"series of faults in a run"`
	JSON    bool   `long:"json" description:"print the reports as JSON"`
	HTML    string `long:"html" value-name:"FILE" description:"write the last report as a page"`
}

func main() {
	passed, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if !passed {
		os.Exit(1)
	}
}

// run executes a run for each seed and reports whether all passed.
func run() (passed bool, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		return flags.WroteHelp(err), nil
	}
	passed = true
	for i := range args.Seeds {
		report, err := soak.Run(ctx, soak.WithEntry(args.Entry), soak.WithSeed(args.Seed+uint64(i)),
			soak.WithEntries(args.Entries), soak.WithCallers(args.Callers), soak.WithRounds(args.Rounds))
		if err != nil {
			return false, err
		}
		passed = passed && report.Passed()
		if err := args.write(report); err != nil {
			return false, err
		}
	}
	return passed, nil
}

// write prints a report, and writes it as a page if requested.
func (a *arguments) write(report *soak.Report) (err error) {
	if a.HTML != "" {
		file, err := os.Create(a.HTML)
		if err != nil {
			return err
		}
		if err := errors.CombineErrors(report.WriteHTML(file), file.Close()); err != nil {
			return err
		}
	}
	if a.JSON {
		return report.WriteJSON(os.Stdout)
	}
	_, err = io.WriteString(os.Stdout, report.Summary())
	return err
}
