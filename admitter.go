package banyanplank

import (
	"context"
)

// Admitter controls which requests an agent's endpoint may run now. It is the
// only place that enforces the endpoint's limits. Its methods are safe for
// concurrent use.
type Admitter interface {
	// Admit waits until the endpoint has room for the request. The error is a
	// [*Refusal] with [NotRun].
	Admit(ctx context.Context, request *Request) (grant Grant, err error)
	// Observe records a status report of the endpoint.
	Observe(report EndpointReport)
	// Load returns the load report that is sent to entries.
	Load() (report LoadReport)
	// Reconfigure replaces the configuration.
	Reconfigure(configuration *Configuration)
	// Close refuses all new requests from now on, with the given reason.
	Close(reason Reason)
	// Open admits requests again, with the limits of a cold start.
	Open()
}

// Grant is the permission to run one request at the endpoint.
type Grant interface {
	// Progress reports that the answer has grown by tokens.
	Progress(tokens int)
	// Release frees what the request held. Healthy reports whether the endpoint
	// is still up after the request. Only the first call has an effect.
	Release(healthy bool)
}
