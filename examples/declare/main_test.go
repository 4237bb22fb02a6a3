package main

import (
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank/declarer"
)

func TestDeploymentsPassTheChecks(t *testing.T) {
	cases := map[string]func() *declarer.Declaration{
		"himal":        himal,
		"saddlewright": saddlewright,
	}
	for name, declare := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			configuration, err := declare().Configuration()
			is.NoErr(err)
			is.Equal(len(configuration.Zones), 3)
		})
	}
}
