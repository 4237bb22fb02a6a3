// Command local runs a complete deployment in one process on loopback: a fake
// platform, and in each of two availability zones an entry and agents with
// simulated engines. It streams a response, then takes a zone out of service and
// back in under load.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const runTimeout = time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts the fleet, prints a response and the results of each phase, and
// drains the fleet.
func run() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	f, err := startFleet(ctx)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.stop()) }()
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	if err := f.printAnswer(ctx); err != nil {
		return err
	}
	return f.runZonePhases(ctx)
}
