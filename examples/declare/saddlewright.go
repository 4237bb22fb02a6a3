package main

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/declarer"
)

// saddlewright declares three houses of equal standing that share an
// assistant. Weights move at night only.
func saddlewright() *declarer.Declaration {
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
		houses("tapestry", "oxbow", "pommel"),
	)
}

// houses declares accounts that differ in nothing but their name and key.
func houses(names ...banyanplank.AccountID) declarer.Option {
	var options []declarer.Option
	for _, name := range names {
		digest := declarer.Digest("example key of " + string(name))
		options = append(options, declarer.WithAccount(name, digest,
			declarer.WithWeight(1), declarer.WithRate(80), declarer.WithConcurrent(300)))
	}
	return declarer.WithAll(options...)
}
