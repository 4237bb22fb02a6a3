package banyanplank

import (
	"context"
	"io"
	"time"
)

// Endpoint is the back end beside an agent, a model engine or an application
// server. Only its own agent talks to it.
type Endpoint interface {
	// Run sends the request and returns the answer as it is made. A
	// [*Refusal] with [NotRun] tells that the endpoint never started it; any
	// other error leaves the outcome unknown.
	Run(ctx context.Context, request *Request) (answer Answer, err error)
	// Cancel ends the attempt and frees what it holds.
	Cancel(ctx context.Context, attempt AttemptID) (err error)
	// Report returns the endpoint's view of its load, which lags.
	Report(ctx context.Context) (report EndpointReport, err error)
	// Order tells the endpoint to change what it has loaded or does.
	Order(ctx context.Context, order Order) (err error)
}

// Answer is an answer while it is being made.
type Answer interface {
	// Head returns the status line's part of the answer.
	Head() (head Head)
	// Next returns the next part, or [io.EOF] after the last one.
	Next() (part Part, err error)
	io.Closer
}

// EndpointReport is what an endpoint says of itself.
type EndpointReport struct {
	// Boot changes whenever the endpoint restarts.
	Boot string `json:"boot"`
	// Cold tells that the endpoint is in cold start.
	Cold bool `json:"cold"`
	// Capacity and Held are in tokens of KV cache.
	Capacity int `json:"capacity"`
	Held     int `json:"held"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Step is the time of the latest decoding step.
	Step time.Duration `json:"step"`
	// Attempts are the attempts that the endpoint still runs.
	Attempts []AttemptID `json:"attempts,omitempty"`
	// Rank is the place of the endpoint in its group of ranks, if it has one.
	Rank *RankStatus `json:"rank,omitempty"`
}

// OrderKind tells what an order changes.
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

// Order is a change that a coordinator asks of an endpoint.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fence is the fencing number of the lease under which it is given.
	Fence uint64 `json:"fence"`
	// Name is the model, adapter or role.
	Name string `json:"name,omitempty"`
	// Map and Step are for expert maps: which map, from which step on.
	Map  uint64 `json:"map,omitempty"`
	Step uint64 `json:"step,omitempty"`
	// Payload is the order's body, such as an encoded map.
	Payload []byte `json:"payload,omitempty"`
}
