package main

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/declarer"
)

// declareHimal declares the deployment of a tour operator: an assistant for
// guides and trekkers, and a booking service whose payments and seat holds must
// not be repeated.
func declareHimal() *declarer.Declaration {
	return declarer.New(
		declarer.WithZone("langtang-a", "langtang"),
		declarer.WithZone("langtang-b", "langtang"),
		declarer.WithZone("langtang-c", "langtang"),
		declarer.WithService("guide", banyanplank.ServiceModel,
			declarer.WithFencing(),
			declarer.WithAvailability(0.999),
			declarer.WithLatency(0.95, 1600*time.Millisecond, 62*time.Millisecond),
		),
		declarer.WithService("booking", banyanplank.ServicePlain,
			declarer.WithOnce("/permits/pay", "/seats/hold"),
			declarer.WithAvailability(0.9995),
		),
		declarer.WithGroup("guide-1", "guide",
			declarer.Shape{Ranks: 16, Layers: 60, Experts: 256, Slots: 18},
			declarer.WithSpan("langtang-a", "langtang-b", "langtang-c"),
			declarer.WithBytes(8_000_000_000),
			declarer.WithGain(0.03),
		),
		// Example keys. In production only the digests of keys are declared, so that
		// the keys never enter this program.
		declarer.WithAccount("trek-app", declarer.Digest("example key of trek-app"),
			declarer.WithRate(200), declarer.WithConcurrent(800)),
		declarer.WithAccount("guides", declarer.Digest("example key of guides"),
			declarer.WithPriority(10), declarer.WithRate(50)),
	)
}
