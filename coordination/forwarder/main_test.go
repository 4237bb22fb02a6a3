package forwarder_test

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// checks is how many worlds rapid draws.
var checks = fullChecks

// TestMain fixes the seed of rapid, and how many worlds it draws, unless the
// command line gives others.
func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		checks = shortChecks
	}
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if given["rapid.checks"] {
		checks, _ = strconv.Atoi(flag.Lookup("rapid.checks").Value.String())
	}
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks)} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
