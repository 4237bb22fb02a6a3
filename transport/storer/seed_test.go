package storer_test

import (
	"flag"
)

// The seed is fixed, so that every run draws the same. The command line's
// -rapid.seed goes before it.
func init() {
	if err := flag.Set("rapid.seed", "5"); err != nil {
		panic(err)
	}
}
