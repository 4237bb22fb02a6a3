package declarer

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Shape describes how a group of ranks shards its model.
type Shape struct {
	// Ranks is the number of ranks, which run in lockstep.
	Ranks int
	// Layers is the number of layers with experts.
	Layers int
	// Experts is the number of experts per layer.
	Experts int
	// Slots is the number of expert replicas that a rank holds per layer.
	Slots int
}

// GroupOption configures a group of ranks.
type GroupOption func(*banyanplank.GroupSpec)

// WithGroup declares a group of ranks that serves a model service. Use it once
// for each group. Without options the group spans no zones, and experts move
// whenever the gain exceeds the cost.
func WithGroup(name banyanplank.GroupName, service banyanplank.ServiceName, shape Shape, options ...GroupOption) Option {
	spec := banyanplank.GroupSpec{
		Name:    name,
		Service: service,
		Ranks:   shape.Ranks,
		Layers:  shape.Layers,
		Experts: shape.Experts,
		Slots:   shape.Slots,
	}
	for _, option := range options {
		option(&spec)
	}
	return func(d *Declaration) {
		d.configuration.Groups = append(d.configuration.Groups, spec)
	}
}

// WithSpan adds availability zones that the group spans. Each group needs at least
// one. The default is none.
func WithSpan(zones ...banyanplank.Zone) GroupOption {
	return func(g *banyanplank.GroupSpec) { g.Zones = append(g.Zones, zones...) }
}

// WithBytes limits the weights that are moved per minute, in bytes. Use it where
// the weight store also serves other clients. The default is no limit.
func WithBytes(perMinute int64) GroupOption {
	return func(g *banyanplank.GroupSpec) { g.MaxBytesPerMinute = perMinute }
}

// WithGain sets the minimum relative gain in step time for which experts are
// moved, such as 0.05. Use a larger one for a more stable placement. The default
// is 0.
func WithGain(gain float64) GroupOption {
	return func(g *banyanplank.GroupSpec) { g.MinGain = gain }
}

// WithPaused pauses rebalancing. Use it during an incident. The default is not
// paused.
func WithPaused() GroupOption {
	return func(g *banyanplank.GroupSpec) { g.Paused = true }
}

// WithQuiet adds a daily time span in which no weights are moved. The bounds are
// times since midnight UTC; a span that ends before it starts runs past midnight.
// The default is none.
func WithQuiet(from, until time.Duration) GroupOption {
	return func(g *banyanplank.GroupSpec) {
		span := banyanplank.QuietSpan{From: banyanplank.Duration(from), Until: banyanplank.Duration(until)}
		g.QuietSpans = append(g.QuietSpans, span)
	}
}
