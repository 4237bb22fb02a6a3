// Command banyanplankd is the daemon, as an entry or as an agent.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/banyanplank/banyanplank/daemon"
	"github.com/banyanplank/banyanplank/state/loader"
)

// The exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

// arguments is the command line.
type arguments struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"TOML file with the settings"`
	Check    bool   `long:"check" description:"check the settings and stop"`
}

func main() {
	os.Exit(run())
}

func run() (code int) {
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitInvalid
	}
	settings, err := loader.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	if args.Check {
		return 0
	}
	if err := serve(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// serve runs the daemon until SIGTERM or SIGINT.
func serve(settings loader.Settings) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(settings, daemon.WithLog(os.Stderr))
	if err != nil {
		return errors.Wrap(err, "start")
	}
	return d.Run(ctx)
}
