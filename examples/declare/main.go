// Command declare prints the configuration of one of two example deployments:
//
//	go run ./examples/declare himal > himal.toml
//	go run ./examples/declare saddlewright > saddlewright.toml
//	banyanplank check himal.toml
package main

import (
	"fmt"
	"os"

	"github.com/banyanplank/banyanplank/declarer"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run prints the deployment named by the only argument.
func run(args []string) (code int) {
	deployments := map[string]func() *declarer.Declaration{
		"himal":        declareHimal,
		"saddlewright": declareSaddlewright,
	}
	if len(args) != 1 || deployments[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: declare himal|saddlewright")
		return exitUsage
	}
	err := deployments[args[0]]().Write(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
