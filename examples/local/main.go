// Command local runs the whole path in one process on loopback: a stand-in
// platform, two entries in two availability zones, and agents with stand-in
// engines. It streams an answer, then takes a zone out and in under load.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// limit bounds the whole run.
const limit = time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts the fleet, shows what it does and stops it as planned.
func run() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	f, err := startFleet(ctx)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.stop()) }()
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	if err := f.showAnswer(ctx); err != nil {
		return err
	}
	return f.showZone(ctx)
}
