package main

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/declarer"
)

// declareSaddlewright declares the deployment of three companies with equal
// limits that share an assistant. Expert weights move only at night, from 20:00
// to 06:00 UTC.
func declareSaddlewright() *declarer.Declaration {
	return declarer.New(
		declarer.WithZone("steppe-1", "steppe"),
		declarer.WithZone("steppe-2", "steppe"),
		declarer.WithZone("steppe-3", "steppe"),
		declarer.WithService("drafts", banyanplank.ServiceModel,
			declarer.WithAvailability(0.999),
			declarer.WithLatency(0.95, 1600*time.Millisecond, 62*time.Millisecond),
		),
		declarer.WithService("orders", banyanplank.ServicePlain,
			declarer.WithOnce("/deposits", "/leather/reserve"),
			declarer.WithAvailability(0.9995),
		),
		declarer.WithGroup("drafts-1", "drafts",
			declarer.Shape{Ranks: 16, Layers: 60, Experts: 256, Slots: 20},
			declarer.WithSpan("steppe-1", "steppe-2", "steppe-3"),
			declarer.WithGain(0.01),
			declarer.WithQuiet(6*time.Hour, 20*time.Hour),
		),
		declareEqualAccounts("tapestry", "oxbow", "pommel"),
	)
}

// declareEqualAccounts declares accounts with equal limits and their own keys.
func declareEqualAccounts(names ...banyanplank.AccountID) declarer.Option {
	var options []declarer.Option
	for _, name := range names {
		digest := declarer.Digest("example key of " + string(name))
		options = append(options, declarer.WithAccount(name, digest,
			declarer.WithWeight(1), declarer.WithRate(80), declarer.WithConcurrent(300)))
	}
	return declarer.WithAll(options...)
}
