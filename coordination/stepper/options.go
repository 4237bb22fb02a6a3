package stepper

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// Duty is what an entry does for the groups of ranks.
type Duty uint8

// The duties.
const (
	// Idle entries do nothing.
	Idle Duty = iota
	// Standby is the duty of the entry that leads next: it releases a pass that the
	// one that leads has left held.
	Standby
	// Lead is the duty of the one entry that plans.
	Lead
)

// Fleet returns the routes and endpoints as now known, and the duty of this entry.
// The table is nil when none is known.
type Fleet func() (table *banyanplank.RoutingTable, backends []banyanplank.Backend, duty Duty)

// Note is a decision of a stepper, for the log.
type Note struct {
	Event   string
	Service banyanplank.ServiceName
	Epoch   uint64
	Map     banyanplank.MapID
	Step    uint64
	// Before and After are the skew of the map in use and of the planned one.
	Before float64
	After  float64
	Took   time.Duration
	Err    error
}

// Option configures a [Stepper].
type Option func(*Stepper)

// WithInterval sets the time between two looks at the demand. The default is
// [DefaultInterval].
func WithInterval(interval time.Duration) Option {
	return func(s *Stepper) { s.interval = interval }
}

// WithNotes calls note for each decision. The default drops them.
func WithNotes(note func(n Note)) Option {
	return func(s *Stepper) { s.note = note }
}

// WithZone reads counts from the ranks of zone first. The default is none.
func WithZone(zone banyanplank.Zone) Option {
	return func(s *Stepper) { s.zone = zone }
}

// WithSlow calls slow in each round with the endpoints that hold up their group.
// The default does nothing.
func WithSlow(slow func(service banyanplank.ServiceName, endpoints []banyanplank.BackendID)) Option {
	return func(s *Stepper) { s.slow = slow }
}

// WithStanding asks standing whether the streams of a service have stood still for
// some passes. Use it where others may lead too. The default is that they never do.
func WithStanding(standing func(service banyanplank.ServiceName) bool) Option {
	return func(s *Stepper) { s.standing = standing }
}
