// Command review-standin plays one case of the review: it starts the project's own programs
// as separate processes on loopback addresses, and stands in for the store, the servers and
// the clients. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

//go:embed wire.json
var wireText []byte

// wireNames holds the names of the platform's wire that the stand-ins use, and the
// configuration of the small deployment.
type wireNames struct {
	Attempt     string         `json:"attempt"`
	Deadline    string         `json:"deadline"`
	Instance    string         `json:"instance"`
	Tenant      string         `json:"tenant"`
	Seal        string         `json:"seal"`
	NotExecuted string         `json:"not_executed"`
	Load        string         `json:"load"`
	Limit       string         `json:"limit"`
	Resolve     string         `json:"resolve"`
	Lifetime    string         `json:"lifetime"`
	Picked      string         `json:"picked"`
	Order       string         `json:"order"`
	Host        string         `json:"host"`
	Config      map[string]any `json:"config"`
	Engine      map[string]any `json:"engine"`
}

var wire wireNames

type arguments struct {
	Case   string `long:"case" required:"true" description:"the case to play"`
	Target string `long:"target" required:"true" value-name:"DIR" description:"directory with the project's programs"`
	Record string `long:"record" required:"true" value-name:"FILE" description:"file for what was sent, answered and run"`
	Calm   bool   `long:"calm" description:"leave out the disruption"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of all random choices"`
}

// playCase plays a case and returns the number of times that the rule was broken.
type playCase func(ctx context.Context, h *harness, calm bool) (broken int, err error)

// cases holds the cases by name. Each file of a case adds its own.
var cases = make(map[string]playCase)

func main() { os.Exit(run()) }

func run() (code int) {
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		return exitFailed
	}
	play := cases[args.Case]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", args.Case)
		return exitFailed
	}
	if err := json.Unmarshal(wireText, &wire); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	broken, err := playWithin(ctx, args, play)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case broken > 0:
		return exitBroken
	default:
		return exitHeld
	}
}

// playWithin sets a case up, plays it and ends all that it started.
func playWithin(ctx context.Context, args arguments, play playCase) (broken int, err error) {
	h, err := newHarness(args)
	if err != nil {
		return 0, errors.Wrap(err, "set up")
	}
	defer func() { err = errors.CombineErrors(err, h.close()) }()
	broken, err = play(ctx, h, args.Calm)
	h.recordf("end: %d times broken, error: %v", broken, err)
	return broken, err
}
