package banyanplank

import (
	"net/netip"
	"time"
)

// RouteKind is the repeatability of the calls of a route.
type RouteKind uint8

// The kinds of routes.
const (
	// RouteAtMostOnce is for calls that must run at most once.
	RouteAtMostOnce RouteKind = iota
	// RouteRepeatable is for calls that may run more than once.
	RouteRepeatable
	// RouteStream is for calls that are answered with a stream of events.
	RouteStream
)

// String returns the lower-case name of the kind.
func (k RouteKind) String() string {
	switch k {
	case RouteAtMostOnce:
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

// RouteSpec declares which calls are routed to which services, and how.
type RouteSpec struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable reports whether a broken stream may continue at another
	// endpoint.
	Resumable bool
	// Anonymous reports whether the route accepts calls without a key.
	Anonymous bool
	Splits    []Split
	// Timeout is the maximum duration of a call.
	Timeout time.Duration
	// FirstEventTarget is the target time to the first event or the answer.
	FirstEventTarget time.Duration `json:"Goal"`
	// EventGapTarget is the target maximum time between two events.
	EventGapTarget time.Duration `json:"Gap"`
	// Priority orders calls; 0 goes first.
	Priority int
	// MaxAttempts is the maximum number of endpoints that one call is sent to.
	MaxAttempts int `json:"Attempts"`
}

// IsRepeatable reports whether a call may run again after it may have run. A
// stream may run again only before its answer has begun or where it can be
// resumed.
func (r *RouteSpec) IsRepeatable() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable)
}

// PoolSpec declares a service whose endpoints an entry calls directly.
type PoolSpec struct {
	Name ServiceName
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections is the maximum number of connections to one endpoint.
	MaxConnections int `json:"Connections"`
	// ColdRate is the maximum number of requests per second to an endpoint in
	// cold start. Zero means no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *EngineSpec
	// Autoscale is nil for services whose number of endpoints is fixed.
	Autoscale *AutoscaleSpec `json:",omitempty"`
}

// AutoscaleSpec bounds the number of endpoints of a service that is scaled automatically.
type AutoscaleSpec struct {
	// Min and Max bound the number of endpoints in each availability zone.
	Min, Max int
	// BootTime is the time from an order to the start of a new endpoint.
	BootTime time.Duration
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// BaseStepTime is the duration of a step without requests, and SequenceTime the
	// time that each running request adds to it.
	BaseStepTime time.Duration `json:"Step"`
	SequenceTime time.Duration `json:"PerSequence"`
	// StepsPerPass is the number of steps in a pass.
	StepsPerPass int `json:"Stride"`
	// ReadRate is the number of prompt tokens read per second.
	ReadRate float64
	// Capacity is the size of an engine's KV cache in tokens.
	Capacity int
	// Layers, Experts and ExpertSlots are the dimensions of the expert maps of a
	// group of ranks: the number of mapped layers, the experts per layer and
	// the experts per layer that a rank can hold. Zero means no group.
	Layers      int
	Experts     int
	ExpertSlots int `json:"Places"`
	// MaxNewExperts is the maximum number of experts per layer that one map may add to
	// a rank.
	MaxNewExperts int `json:"Spare"`
	// ExpertShare is the fraction of a token's work that experts do.
	ExpertShare float64
	// ExpertBytes is the size of one expert's weights in bytes, and LinkRate the
	// rate at which they are copied in bytes per second.
	ExpertBytes float64 `json:"Weight"`
	LinkRate    float64
}

// PassTime returns the nominal duration of a pass with the given number of requests.
func (e *EngineSpec) PassTime(requests float64) (duration time.Duration) {
	step := e.BaseStepTime.Seconds() + requests*e.SequenceTime.Seconds()
	return time.Duration(float64(max(1, e.StepsPerPass)) * step * float64(time.Second))
}

// CallerLimits holds the limits on callers' requests and connections.
type CallerLimits struct {
	MaxHeaderBytes int   `json:"Header"`
	MaxBodyBytes   int64 `json:"Body"`
	// HeaderTimeout is the maximum time for sending a header, and IdleTimeout the
	// maximum time that an unused connection stays open.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration `json:"Idle"`
}

// RoutingTable holds the operators' settings on platforms whose store holds
// routes. A value is immutable.
type RoutingTable struct {
	// Version is the number that operators gave the table. A later table has a
	// larger one.
	Version  uint64
	Routes   []RouteSpec
	Pools    []PoolSpec
	Accounts []AccountSpec
	// NeedsKey reports whether calls need the key of an account even if no account has
	// one. It is also implied by Accounts.
	NeedsKey bool
	Limits   CallerLimits
}

// FindPool returns the declaration of the service with the given name, or nil.
func (t *RoutingTable) FindPool(name ServiceName) (spec *PoolSpec) {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// MinGap returns the smallest EventGapTarget of the routes to a service, or zero
// if none has one.
func (t *RoutingTable) MinGap(service ServiceName) (gap time.Duration) {
	for _, r := range t.Routes {
		for _, s := range r.Splits {
			if s.Service == service && r.EventGapTarget > 0 && (gap == 0 || r.EventGapTarget < gap) {
				gap = r.EventGapTarget
			}
		}
	}
	return gap
}

// BackendID identifies an endpoint in the platform's service discovery.
type BackendID string

// Backend is an endpoint in the platform's service discovery.
type Backend struct {
	ID      BackendID
	Service ServiceName
	Address netip.AddrPort
	Zone    Zone
	Slots   int
	// Leaving reports that the endpoint gets no new requests.
	Leaving bool
	// ColdStartLeft is the remaining time of the cold start when the endpoint was
	// listed.
	ColdStartLeft time.Duration `json:"Cold"`
	// Born is the start time of the endpoint's process.
	Born time.Time
	// Group and Rank locate the endpoint in a group of ranks.
	Group GroupName
	Rank  int
}

// Topic identifies a kind of entries in the platform's service discovery.
type Topic string

// The topics.
const (
	TopicRouting  Topic = "routing"
	TopicBackends Topic = "backends"
	TopicZonesOut Topic = "zonesout"
	TopicMembers  Topic = "members"
)

// DiscoveryItem is one entry of a topic. Depending on the topic, Value is a
// [*RoutingTable], a [Backend], a [Zone] that is out of service or a [Member].
// It is nil if the entry was removed or is unreadable.
type DiscoveryItem struct {
	Key   string
	Value any
	// IsHeld is set if the entry comes from a peer that holds it back for now: an older copy of
	// the store has it, but that peer knows a later state. A zone that the store doesn't list
	// has a Value.
	IsHeld bool
}
