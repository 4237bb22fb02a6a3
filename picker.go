package banyanplank

import "time"

// LoadReport is an agent's report to entries on the load of its endpoint. It is
// sent with answers and heartbeats.
type LoadReport struct {
	Daemon      DaemonID
	Incarnation Incarnation
	// Sequence orders the reports of one incarnation.
	Sequence uint64
	// Limit is the admission limit and Held its used part, in tokens. Limit is
	// lower in cold start.
	Limit int
	Held  int
	// QueuedTokens is the prefill work ahead of a new request, in tokens.
	QueuedTokens int
	// Waiting is the number of requests in the agent's queue.
	Waiting int
	// PrefillRate is the endpoint's prefill rate in tokens per second.
	PrefillRate float64
	// StepTime is the duration of one decoding step.
	StepTime time.Duration
	// Cold reports whether the endpoint is in cold start.
	Cold bool
	// Closed reports that the agent admits no requests: it is leaving, or its
	// zone is out of service.
	Closed bool
	// Models and Adapters list what the endpoint has loaded. Empty means any.
	Models   []string
	Adapters []string
	// Findings lists the agent's most recent findings about requests that
	// crash endpoints.
	Findings []Finding
}

// Query holds the criteria by which a [Picker] chooses an endpoint.
type Query struct {
	Service ServiceName
	Account AccountID
	// Zone is the availability zone of the entry.
	Zone   Zone
	Demand Demand
	// Fingerprint identifies the request across repetitions. Zero means none.
	Fingerprint Fingerprint
	// Tried lists the daemons at which the request has already been tried.
	Tried []DaemonID
}

// Choice is the endpoint that a [Picker] chose. Pass it to [Picker.Finish]
// exactly once.
type Choice struct {
	Member Member
	Demand Demand
	// FirstTokenEstimate is the predicted time to the first token.
	FirstTokenEstimate time.Duration
	// ChosenAt is when the endpoint was chosen.
	ChosenAt time.Time
}

// Result is the result of a request at the endpoint that a [Picker] chose.
type Result struct {
	// Reached reports whether the agent responded.
	Reached bool
	// Started reports whether the endpoint started the request.
	Started bool
	// FirstTokenTime is the time to the first token. Zero means that no token arrived.
	FirstTokenTime time.Duration
}

// Picker chooses the endpoint for a request at an entry. Its methods are safe
// for concurrent use.
type Picker interface {
	// Pick chooses an endpoint and adds the request to its load. The error is a
	// [*Refusal] with [NotRun].
	Pick(now time.Time, query Query) (choice Choice, err error)
	// Finish removes the request from the load of its endpoint.
	Finish(now time.Time, choice Choice, result Result)
	// Observe records a report. Outdated and duplicate reports have no effect.
	Observe(now time.Time, report LoadReport)
	// Reconfigure replaces the members and the configuration to choose from.
	Reconfigure(now time.Time, members []Member, configuration *Configuration)
}
