package banyanplank

import (
	"context"
	"io"
	"time"
)

// Endpoint is the back end beside an agent: a model engine or an application
// server. Only its own agent sends it requests.
type Endpoint interface {
	// Run sends the request and returns the answer as it is generated. A
	// [*Refusal] with [NotRun] means that the endpoint never started the
	// request; after any other error the outcome is unknown.
	Run(ctx context.Context, request *Request) (answer Answer, err error)
	// Cancel ends the attempt and frees its resources.
	Cancel(ctx context.Context, attempt AttemptID) (err error)
	// Report returns the load that the endpoint measured, which lags.
	Report(ctx context.Context) (report EndpointReport, err error)
	// Order makes the endpoint change its loaded models, its role or its map.
	Order(ctx context.Context, order Order) (err error)
}

// Answer is a stream of the parts of an answer as they are generated.
type Answer interface {
	// Head returns the status and content type of the answer.
	Head() (head Head)
	// Next returns the next part, or [io.EOF] after the last one.
	Next() (part Part, err error)
	io.Closer
}

// EndpointReport is the status report of an endpoint.
type EndpointReport struct {
	// Boot changes whenever the endpoint restarts.
	Boot string `json:"boot"`
	// Cold reports whether the endpoint is in cold start.
	Cold bool `json:"cold"`
	// Capacity is the size of the KV cache and Held its used part, in tokens.
	Capacity int `json:"capacity"`
	Held     int `json:"held"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Step is the duration of the latest decoding step.
	Step time.Duration `json:"step"`
	// Attempts lists the attempts that the endpoint still runs.
	Attempts []AttemptID `json:"attempts,omitempty"`
	// Rank is the status of the endpoint's rank, or nil outside of a group.
	Rank *RankStatus `json:"rank,omitempty"`
}

// OrderKind is what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
	OrderPrepare OrderKind = "prepare"
	OrderSwitch  OrderKind = "switch"
	OrderAbort   OrderKind = "abort"
)

// Order is a change that a coordinator requests from an endpoint.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	// Name is the model, adapter or role.
	Name string `json:"name,omitempty"`
	// Map is the expert map to use and Step the first step that uses it.
	Map  uint64 `json:"map,omitempty"`
	Step uint64 `json:"step,omitempty"`
	// Payload is the body of the order, such as an encoded map.
	Payload []byte `json:"payload,omitempty"`
}
