// Command banyanplank-soak plays seeded series of faults against real entry daemons
// and says which promises they kept. It exits with 1 when one was broken.
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

// arguments is the command line.
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
	kept, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if !kept {
		os.Exit(1)
	}
}

// run plays the seeds.
func run() (kept bool, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		return flags.WroteHelp(err), nil
	}
	kept = true
	for i := range args.Seeds {
		report, err := soak.Run(ctx, soak.WithEntry(args.Entry), soak.WithSeed(args.Seed+uint64(i)),
			soak.WithEntries(args.Entries), soak.WithCallers(args.Callers), soak.WithRounds(args.Rounds))
		if err != nil {
			return false, err
		}
		kept = kept && report.Kept()
		if err := args.write(report); err != nil {
			return false, err
		}
	}
	return kept, nil
}

// write prints a report.
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
