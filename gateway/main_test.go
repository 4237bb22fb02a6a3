package gateway

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that runs are reproducible, unless the command line sets
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
