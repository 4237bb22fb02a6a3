package banyanplank

import "time"

// Configuration holds the operators' settings. A value is immutable once
// accepted.
type Configuration struct {
	Revision Revision      `toml:"-"`
	Zones    []ZoneSpec    `toml:"zones"`
	Services []ServiceSpec `toml:"services"`
	Groups   []GroupSpec   `toml:"groups"`
	Accounts []AccountSpec `toml:"accounts"`
}

// ZoneSpec declares an availability zone.
type ZoneSpec struct {
	Name   Zone   `toml:"name"`
	Region Region `toml:"region"`
	// Out takes the zone out of service: it gets no new requests.
	Out bool `toml:"out,omitempty"`
}

// ServiceKind is the kind of calls that a service accepts.
type ServiceKind string

// The kinds of services.
const (
	// ServiceModel accepts chat and completion calls and streams tokens.
	ServiceModel ServiceKind = "model"
	// ServicePlain accepts any HTTP call.
	ServicePlain ServiceKind = "plain"
)

// ServiceSpec declares a service that callers address by name.
type ServiceSpec struct {
	Name ServiceName `toml:"name"`
	Kind ServiceKind `toml:"kind"`
	// Fencing reports whether the service's endpoints refuse orders with an
	// outdated fencing number.
	Fencing bool `toml:"fencing,omitempty"`
	// AtMostOncePaths lists the path prefixes whose calls must not be repeated.
	AtMostOncePaths []string  `toml:"once,omitempty"`
	Objective       Objective `toml:"objective"`
}

// Objective holds the service level objectives that the burn report measures.
type Objective struct {
	// Availability is the fraction of calls that must succeed, between 0 and 1.
	Availability float64 `toml:"availability,omitempty"`
	// LatencyShare is the fraction of answers that must meet MaxFirstToken and
	// MaxTokenInterval.
	LatencyShare float64 `toml:"share,omitempty"`
	// MaxFirstToken is the maximum time from a call to its first token.
	MaxFirstToken Duration `toml:"first,omitempty"`
	// MaxTokenInterval is the maximum time from one token to the next.
	MaxTokenInterval Duration `toml:"between,omitempty"`
}

// GroupSpec declares a group of ranks that run one model in lockstep.
type GroupSpec struct {
	Name    GroupName   `toml:"name"`
	Service ServiceName `toml:"service"`
	Zones   []Zone      `toml:"zones"`
	Ranks   int         `toml:"ranks"`
	Layers  int         `toml:"layers"`
	Experts int         `toml:"experts"`
	// Slots is the number of expert replicas that one rank holds in a layer.
	Slots int `toml:"slots"`
	// MaxBytesPerMinute is the maximum number of bytes of weights moved in a minute.
	MaxBytesPerMinute int64 `toml:"bytes,omitempty"`
	// MinGain is the minimum relative reduction of the step time that justifies a
	// move.
	MinGain float64 `toml:"gain,omitempty"`
	// ExpertBytes is the size of one expert's weights in one layer, in bytes.
	ExpertBytes int64 `toml:"weight,omitempty"`
	// BaseStepTime is the part of the step time that does not depend on the expert
	// map, and TokenTime the time that one token of one expert adds to a rank's
	// step.
	BaseStepTime Duration `toml:"step,omitempty"`
	TokenTime    Duration `toml:"token,omitempty"`
	// Paused stops rebalancing.
	Paused bool `toml:"paused,omitempty"`
	// QuietSpans lists the daily spans in which no weights are moved.
	QuietSpans []QuietSpan `toml:"quiet,omitempty"`
}

// QuietSpan is a daily span in UTC, given as times since midnight. A span
// whose Until is before its From runs past midnight.
type QuietSpan struct {
	From  Duration `toml:"from"`
	Until Duration `toml:"until"`
}

// AccountSpec declares a client account.
type AccountSpec struct {
	Name AccountID `toml:"name"`
	// KeyDigest is the hexadecimal SHA-256 digest of the account's secret key.
	KeyDigest string `json:"Key" toml:"key"`
	// Weight is the account's relative share of a contended endpoint. Zero
	// means 1.
	Weight int `toml:"weight,omitempty"`
	// Priority breaks ties between accounts in weighted fair queueing. Larger
	// goes first. In a [RoutingTable], it replaces [RouteSpec.Priority] instead: 0
	// goes first, and a negative value stands for the route's.
	Priority int `toml:"priority,omitempty"`
	// MaxRate is the maximum number of requests per second. Zero means no limit.
	MaxRate float64 `json:"Rate" toml:"rate,omitempty"`
	// MaxConcurrent is the maximum number of requests in flight. Zero means no
	// limit.
	MaxConcurrent int `json:"Concurrent" toml:"concurrent,omitempty"`
}

// Duration is a [time.Duration] written in TOML as text such as "1.6s".
type Duration time.Duration

// MarshalText formats the duration like [time.Duration.String].
func (d Duration) MarshalText() (text []byte, err error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses text with [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) (err error) {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// FindService returns the declaration of the service with the given name.
func (c *Configuration) FindService(name ServiceName) (spec ServiceSpec, ok bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return ServiceSpec{}, false
}

// IsZoneOut reports whether zone is out of service. An undeclared zone counts
// as out.
func (c *Configuration) IsZoneOut(zone Zone) bool {
	for _, z := range c.Zones {
		if z.Name == zone {
			return z.Out
		}
	}
	return true
}
