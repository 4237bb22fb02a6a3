// Package launcher implements the command line that all daemons share: flags, signal
// handling and exit codes.
package launcher

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of [Run].
const (
	exitFailed  = 1
	exitInvalid = 2
)

// arguments defines the command-line flags.
type arguments struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"TOML file with the settings"`
	Check    bool   `long:"check" description:"check the settings and stop"`
}

// Run parses the command line, loads the settings file with load and calls serve. The
// context of serve is canceled on SIGTERM or SIGINT. With --check, Run only loads the
// settings. It returns the exit code of the process: 1 if serve fails, 2 if the command
// line or the settings are invalid, 0 otherwise.
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
