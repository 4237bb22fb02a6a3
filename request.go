package banyanplank

import (
	"net/http"
	"time"
)

// RequestID names one request of one caller, unique in the fleet.
type RequestID string

// AttemptID names one try to run a request at one endpoint, unique in the
// fleet. A connection may break and be replaced within one attempt.
type AttemptID string

// Request is one call, as an entry hands it to an agent.
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
	// Once tells that the request must not be repeated.
	Once bool
	// Stream tells that the caller reads the answer as it is made.
	Stream bool
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Priority orders the requests of one account. Larger goes first.
	Priority int
	// Demand is what the request takes at the endpoint.
	Demand Demand
	// Offset is the number of answer parts that the caller has already.
	Offset uint64
	// Revision is the configuration that the entry worked from.
	Revision Revision
	// Binding names the one agent that may start a request with Once set.
	Binding Binding
	// Join asks only for an attempt that the agent knows, never for a new one.
	Join bool
	// Findings tell of deaths of endpoints that ran the same request.
	Findings []Finding
}

// Resumable reports whether another endpoint can go on with the answer at an
// offset, as model engines can with a stream of tokens.
func (r *Request) Resumable() bool {
	return r.Stream && r.Demand.Model != "" && !r.Once
}

// OnceKey digests what a request with Once set is remembered by: its key, or
// its own id when the caller gave no key.
func (r *Request) OnceKey() (key Digest) {
	if r.Key != "" {
		return NewKeyDigest(r.Account, r.Key)
	}
	return digest([]byte(r.Account), []byte("request"), []byte(r.ID))
}

// CallDigest digests what the request asks for.
func (r *Request) CallDigest() (call Digest) {
	return NewCallDigest(r.Service, r.Method, r.Path, r.Body)
}

// Demand is what a request takes at an endpoint.
type Demand struct {
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Longest is the largest number of tokens that the answer can have.
	Longest int
	// Prefix holds rolling hashes of the prompt, one per [PrefixBlock] tokens,
	// each covering the prompt from its start.
	Prefix []uint64
	// Model and Adapter name what the endpoint must have loaded.
	Model   string
	Adapter string
}

// PrefixBlock is the number of tokens between two prefix hashes.
const PrefixBlock = 64

// Tokens returns the most tokens that the request holds at its longest.
func (d Demand) Tokens() int {
	return d.Prompt + d.Longest
}
