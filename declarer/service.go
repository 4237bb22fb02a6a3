package declarer

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// ServiceOption configures a service.
type ServiceOption func(*banyanplank.ServiceSpec)

// WithService declares a service that callers address by name. Use it once for
// each model and each plain service. Without options the service has no objective,
// calls may be retried, and endpoints are not expected to check fencing numbers.
func WithService(name banyanplank.ServiceName, kind banyanplank.ServiceKind, options ...ServiceOption) Option {
	spec := banyanplank.ServiceSpec{Name: name, Kind: kind}
	for _, option := range options {
		option(&spec)
	}
	return func(d *Declaration) {
		d.configuration.Services = append(d.configuration.Services, spec)
	}
}

// WithFencing declares that the service's endpoints reject orders with an old
// fencing number. Use it only for endpoints that are known to check it. The default
// is that they do not.
func WithFencing() ServiceOption {
	return func(s *banyanplank.ServiceSpec) { s.Fencing = true }
}

// WithOnce adds path prefixes whose calls must run at most once. Use it for
// payments, bookings and the like. The default is none.
func WithOnce(prefixes ...string) ServiceOption {
	return func(s *banyanplank.ServiceSpec) { s.AtMostOncePaths = append(s.AtMostOncePaths, prefixes...) }
}

// WithAvailability sets the objective for the share of calls that succeed, such as
// 0.999. Use it for each service that the burn report should cover. The default is
// no objective.
func WithAvailability(share float64) ServiceOption {
	return func(s *banyanplank.ServiceSpec) { s.Objective.Availability = share }
}

// WithLatency sets the objective for the share of answers, such as 0.95, whose
// first token arrives within firstToken and whose following tokens arrive within
// tokenInterval of each other. A zero time sets no bound, and plain services have
// no token interval. The default is no objective.
func WithLatency(share float64, firstToken, tokenInterval time.Duration) ServiceOption {
	return func(s *banyanplank.ServiceSpec) {
		s.Objective.LatencyShare = share
		s.Objective.MaxFirstToken = banyanplank.Duration(firstToken)
		s.Objective.MaxTokenInterval = banyanplank.Duration(tokenInterval)
	}
}
