package banyanplank

import (
	"context"
)

// Admitter decides at an agent which requests its endpoint may run now. It is
// the only place that enforces the endpoint's limits. Its methods may be
// called from many goroutines.
type Admitter interface {
	// Admit waits until the endpoint can carry the request. The error is a
	// [*Refusal] with [NotRun].
	Admit(ctx context.Context, request *Request) (grant Grant, err error)
	// Observe takes in what the endpoint says of itself.
	Observe(report EndpointReport)
	// Load returns what entries should know.
	Load() (report LoadReport)
	// Renew replaces the configuration.
	Renew(configuration *Configuration)
	// Close refuses all new requests from now on, with the given reason.
	Close(reason Reason)
	// Open admits requests again, as in cold start.
	Open()
}

// Grant is the right to run one request at the endpoint.
type Grant interface {
	// Progress tells that the answer has grown by tokens.
	Progress(tokens int)
	// Release returns what the request held. Healthy tells that the endpoint
	// survived it. Only the first call counts.
	Release(healthy bool)
}
