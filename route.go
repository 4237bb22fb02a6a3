package banyanplank

import (
	"net/netip"
	"time"
)

// RouteKind tells what may be repeated of the calls of a route.
type RouteKind uint8

// The kinds of routes.
const (
	// RouteOnce takes calls that run at most once.
	RouteOnce RouteKind = iota
	// RouteRepeatable takes calls that may run more than once.
	RouteRepeatable
	// RouteStream takes calls that are answered with a stream of events.
	RouteStream
)

// String returns the lower-case name of the kind.
func (k RouteKind) String() string {
	switch k {
	case RouteOnce:
		return "once"
	case RouteRepeatable:
		return "repeatable"
	case RouteStream:
		return "stream"
	default:
		return "unknown"
	}
}

// Split is a weighted share of a route's calls.
type Split struct {
	Service ServiceName
	Weight  int
}

// RouteSpec declares which calls go to which service, and how.
type RouteSpec struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable tells that a broken stream may go on at another endpoint.
	Resumable bool
	// Anonymous routes take calls without a key.
	Anonymous bool
	Splits    []Split
	// Timeout is the longest time that a call may take.
	Timeout time.Duration
	// Goal is the time within which the first event or the answer is on time.
	Goal time.Duration
	// Gap is the longest time between two events that is on time.
	Gap time.Duration
	// Priority orders calls; 0 goes first.
	Priority int
	// Attempts is the number of endpoints that one call may be sent to.
	Attempts int
}

// Repeatable reports whether a call may run again once it may have run. A
// stream may only while its answer has not begun or where it can be resumed.
func (r *RouteSpec) Repeatable() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable)
}

// PoolSpec declares a service whose endpoints an entry calls itself.
type PoolSpec struct {
	Name ServiceName
	// HealthPath answers status checks.
	HealthPath string
	// Connections bounds the connections that one endpoint accepts.
	Connections int
	// ColdRate is the requests a second that an endpoint in cold start bears.
	// Zero means no bound.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Step is the time of a step without requests, and PerSequence what each
	// running request adds to it.
	Step        time.Duration
	PerSequence time.Duration
	// Stride is the number of steps in a pass.
	Stride int
	// ReadRate is the prompt tokens read in a second.
	ReadRate float64
	// Capacity is the KV cache of an engine in tokens.
	Capacity int
	// Layers, Experts and Places shape the expert maps of a group of ranks:
	// the layers that are mapped, the experts in each and the experts that a
	// rank can hold of each. Zero means no group.
	Layers  int
	Experts int
	Places  int
	// Spare bounds the experts of one layer that are new to a rank in one map.
	Spare int
	// ExpertShare is the part of a token's work that is done by experts.
	ExpertShare float64
	// Weight is the size of one expert's weights in bytes, and LinkRate the
	// bytes a second at which they are copied.
	Weight   float64
	LinkRate float64
}

// CallerLimits bounds what callers may send.
type CallerLimits struct {
	Header int
	Body   int64
	// HeaderTimeout bounds the time in which a caller sends a header, Idle the
	// time for which it may keep an unused connection.
	HeaderTimeout time.Duration
	Idle          time.Duration
}

// RoutingTable is what operators decide where the platform's store holds
// routes. A value is immutable.
type RoutingTable struct {
	// Version is the operators' own number. A later table has a larger one.
	Version  uint64
	Routes   []RouteSpec
	Pools    []PoolSpec
	Accounts []AccountSpec
	Limits   CallerLimits
}

// PoolNamed returns the declaration of the service called name, or nil.
func (t *RoutingTable) PoolNamed(name ServiceName) (spec *PoolSpec) {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// GapOf returns the shortest time between two events that some route to a
// service takes as on time, or zero.
func (t *RoutingTable) GapOf(service ServiceName) (gap time.Duration) {
	for _, r := range t.Routes {
		for _, s := range r.Splits {
			if s.Service == service && r.Gap > 0 && (gap == 0 || r.Gap < gap) {
				gap = r.Gap
			}
		}
	}
	return gap
}

// BackendID names one endpoint in the platform's service discovery.
type BackendID string

// Backend is an endpoint as the platform's service discovery lists it.
type Backend struct {
	ID      BackendID
	Service ServiceName
	Address netip.AddrPort
	Zone    Zone
	Slots   int
	// Leaving endpoints get no new work.
	Leaving bool
	// Cold is how long the endpoint stays in cold start, as of the listing.
	Cold time.Duration
	// Born is when the process at the endpoint started.
	Born time.Time
	// Group and Rank place the endpoint in a group of ranks.
	Group GroupName
	Rank  int
}

// Topic names a kind of entries in the platform's service discovery.
type Topic string

// The topics.
const (
	TopicRouting  Topic = "routing"
	TopicBackends Topic = "backends"
	TopicZonesOut Topic = "zonesout"
	TopicMembers  Topic = "members"
)

// Listed is one entry of a topic. Value is a [*RoutingTable], a [Backend], a
// [Zone] that is out of service or a [Member], by the topic. It is nil when the
// entry was removed or can't be read.
type Listed struct {
	Key   string
	Value any
}
