// Command banyanplankd runs the daemon in the role of an entry or of an agent.
package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank/daemon"
	"github.com/banyanplank/banyanplank/launcher"
	"github.com/banyanplank/banyanplank/state/loader"
)

func main() {
	os.Exit(launcher.Run(loader.Load, serve))
}

// serve runs the daemon until ctx is canceled.
func serve(ctx context.Context, _ string, settings loader.Settings) (err error) {
	d, err := daemon.New(settings, daemon.WithLog(os.Stderr))
	if err != nil {
		return errors.Wrap(err, "start")
	}
	return d.Run(ctx)
}
