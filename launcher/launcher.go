// Package launcher starts a daemon from its command line, with the flags, signals and
// exit codes that all daemons share.
package launcher

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
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

// Run loads the settings file that the command line names, and serves until SIGTERM or
// SIGINT. It returns the exit code: 1 when serve failed, 2 for a mistake in the command
// line or the settings.
func Run[S any](load func(path string) (settings S, err error), serve func(ctx context.Context, path string, settings S) (err error)) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitInvalid
	}
	settings, err := load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	if args.Check {
		return 0
	}
	if err := serve(ctx, args.Settings, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
