package banyanplank

import (
	"net/http"
	"time"
)

// RequestID identifies one request of one caller, unique in the fleet.
type RequestID string

// AttemptID identifies one attempt to run a request at one endpoint, unique in
// the fleet. A connection may break and be replaced within one attempt.
type AttemptID string

// Request is one call, as an entry sends it to an agent.
type Request struct {
	ID      RequestID
	Attempt AttemptID
	Account AccountID
	Service ServiceName
	Method  string
	// Path is the path and query at the endpoint.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's Idempotency-Key, or empty.
	Key string
	// AtMostOnce reports that the request must run at most once.
	AtMostOnce bool
	// Stream reports whether the caller reads the answer as it is generated.
	Stream bool
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Priority orders the requests of one account. Larger goes first.
	Priority int
	// Demand holds the resources that the request needs at the endpoint.
	Demand Demand
	// Offset is the number of answer parts that the caller has received.
	Offset uint64
	// Revision is the revision of the configuration that the entry used.
	Revision Revision
	// Binding names the only agent that may start a request with AtMostOnce set.
	Binding Binding
	// AttachOnly attaches to an attempt that the agent knows and never starts one.
	AttachOnly bool
	// Findings lists deaths of endpoints that ran the same request.
	Findings []Finding
}

// IsResumable reports whether another endpoint can continue the answer from an
// offset, as model engines can with a stream of tokens.
func (r *Request) IsResumable() bool {
	return r.Stream && r.Demand.Model != "" && !r.AtMostOnce
}

// RecordKey returns the digest that identifies a request with AtMostOnce set in
// stored records. It covers the idempotency key, or the request id if the caller
// gave no key.
func (r *Request) RecordKey() (key Digest) {
	if r.Key != "" {
		return NewKeyDigest(r.Account, r.Key)
	}
	return hashFields([]byte(r.Account), []byte("request"), []byte(r.ID))
}

// CallDigest returns the digest of the contents of the request.
func (r *Request) CallDigest() (call Digest) {
	return NewCallDigest(r.Service, r.Method, r.Path, r.Body)
}

// Demand holds the resources that a request needs at an endpoint.
type Demand struct {
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// MaxOutputTokens is the maximum length of the answer in tokens.
	MaxOutputTokens int
	// PrefixHashes holds rolling hashes of the prompt, one per [PrefixBlock] tokens,
	// each covering the prompt from its start.
	PrefixHashes []uint64
	// Model and Adapter must be loaded at the endpoint.
	Model   string
	Adapter string
}

// PrefixBlock is the number of tokens between two prefix hashes.
const PrefixBlock = 64

// MaxTokens returns the maximum number of tokens that the request can hold.
func (d Demand) MaxTokens() int {
	return d.PromptTokens + d.MaxOutputTokens
}
