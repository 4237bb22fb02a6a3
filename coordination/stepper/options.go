package stepper

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Role is the role of an entry for the groups of ranks.
type Role uint8

// The roles of an entry.
const (
	// Idle entries do nothing.
	Idle Role = iota
	// Standby is the role of the next leader: it releases a pass that the leader has left
	// held.
	Standby
	// Leader is the role of the one entry that plans maps and switches to them.
	Leader
)

// FleetSource returns the routing table and endpoints as currently known, and the role of
// this entry. The table is nil when none is known.
type FleetSource func() (table *banyanplank.RoutingTable, backends []banyanplank.Backend, role Role)

// Event describes a decision of a [Stepper] for the log.
type Event struct {
	Name    string
	Service banyanplank.ServiceName
	Epoch   uint64
	Map     banyanplank.MapID
	Step    uint64
	// SkewBefore and SkewAfter are the skew of the map in use and of the planned one: the load of
	// the heaviest rank divided by the mean load, averaged over the layers.
	SkewBefore float64
	SkewAfter  float64
	Duration   time.Duration
	Err        error
}

// Option configures a [Stepper].
type Option func(*Stepper)

// WithInterval sets the time between two rounds. The default is [DefaultInterval].
func WithInterval(interval time.Duration) Option {
	return func(s *Stepper) { s.interval = interval }
}

// WithEventHandler calls handle for each event. By default events are discarded.
func WithEventHandler(handle func(event Event)) Option {
	return func(s *Stepper) { s.onEvent = handle }
}

// WithZone prefers the ranks of zone when counts are sampled. By default no zone is
// preferred.
func WithZone(zone banyanplank.Zone) Option {
	return func(s *Stepper) { s.zone = zone }
}

// WithSlowEndpointsHandler calls handle in each round with the endpoints that slow down
// their group. By default they are not reported.
func WithSlowEndpointsHandler(handle func(service banyanplank.ServiceName, endpoints []banyanplank.BackendID)) Option {
	return func(s *Stepper) { s.onSlow = handle }
}

// WithStallDetector sets the function that reports whether the streams of a service have
// made no progress for several passes. Set it where other entries may lead. By default no
// service counts as stalled.
func WithStallDetector(isStalled func(service banyanplank.ServiceName) bool) Option {
	return func(s *Stepper) { s.isStalled = isStalled }
}
