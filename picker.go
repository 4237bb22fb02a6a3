package banyanplank

import "time"

// LoadReport is what an agent tells entries of its endpoint, carried back on
// answers and heartbeats.
type LoadReport struct {
	Daemon      DaemonID
	Incarnation Incarnation
	// Sequence orders the reports of one incarnation.
	Sequence uint64
	// Limit and Held are in tokens; Limit is lower in cold start.
	Limit int
	Held  int
	// Queued is the prefill work ahead of a new request, in tokens.
	Queued int
	// Waiting counts the requests in the agent's queue.
	Waiting int
	// Prefill is the endpoint's pace in tokens a second.
	Prefill float64
	// Step is the time of one decoding step.
	Step time.Duration
	// Cold tells that the endpoint is in cold start.
	Cold bool
	// Closed tells that the agent admits nothing: it leaves, or its zone is out.
	Closed bool
	// Models and Adapters are what the endpoint has loaded. Empty means any.
	Models   []string
	Adapters []string
	// Findings are the agent's newest of requests that crash endpoints.
	Findings []Finding
}

// Query is what a [Picker] is asked.
type Query struct {
	Service ServiceName
	Account AccountID
	// Zone is where the asking entry is.
	Zone   Zone
	Demand Demand
	// Fingerprint knows the request again. Zero means none.
	Fingerprint Fingerprint
	// Avoid lists daemons that this request has already tried.
	Avoid []DaemonID
}

// Choice is the endpoint that a [Picker] chose. Return it with
// [Picker.Finish] exactly once.
type Choice struct {
	Member Member
	Demand Demand
	// Start is the predicted time to the first token.
	Start time.Duration
	// At is when the endpoint was chosen.
	At time.Time
}

// Result tells a [Picker] how a choice turned out.
type Result struct {
	// Reached tells that the agent answered at all.
	Reached bool
	// Started tells that the endpoint began the request.
	Started bool
	// First is the time to the first token. Zero means that none came.
	First time.Duration
}

// Picker chooses the endpoint for a request at an entry. Its methods may be
// called from many goroutines.
type Picker interface {
	// Pick chooses an endpoint and counts the request in. The error is a
	// [*Refusal] with [NotRun].
	Pick(now time.Time, query Query) (choice Choice, err error)
	// Finish counts the request out.
	Finish(now time.Time, choice Choice, result Result)
	// Observe takes in a report. Old and doubled reports do no harm.
	Observe(now time.Time, report LoadReport)
	// Renew replaces the members and the configuration to choose from.
	Renew(now time.Time, members []Member, configuration *Configuration)
}
