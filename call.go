package banyanplank

import (
	"net/http"
	"time"
)

// CallInfo is what a caller says of its call in header fields.
type CallInfo struct {
	// Attempt is the caller's own id of the call.
	Attempt string
	// Patience is how long the caller will wait. Zero means unknown.
	Patience time.Duration
	// Key is the digest of the account's key, or empty.
	Key string
	// Prompt and Longest are the tokens of the prompt and of the longest
	// answer, Hint the caller's guess of the answer. Zero means unknown.
	Prompt  int
	Longest int
	Hint    int
	// Seen is the id of the last event that the caller has, or empty.
	Seen string
}

// SendInfo is what an endpoint is told with a call.
type SendInfo struct {
	Account AccountID
	Backend BackendID
	// Left is how long the caller will still wait.
	Left time.Duration
	// Seen is the id of the event after which a stream goes on, or empty.
	Seen string
	// Urgency orders calls at the endpoint; 0 goes first. Below zero says nothing.
	Urgency int
}

// BackendLoad is how busy an endpoint says it is.
type BackendLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// ReplyInfo is what an endpoint says with its answer.
type ReplyInfo struct {
	// Attempt is the id of the call that the answer belongs to.
	Attempt string
	// Sealed tells that the endpoint vouches for the answer.
	Sealed bool
	// NotRun tells that the endpoint has not run the call and never will.
	NotRun bool
	// Misdirected tells that another endpoint has the address.
	Misdirected bool
	// Faulty names the endpoint at fault, if another one failed the call.
	Faulty string
	Load   BackendLoad
	// Cold is how long the endpoint stays in cold start.
	Cold time.Duration
	// Leaving tells that the endpoint will end as planned and wants no new calls.
	Leaving bool
	// Pause is for how long the endpoint wants no calls from this entry.
	Pause time.Duration
	// Odd is what the endpoint said of its pause, if that was out of bounds.
	Odd string
}

// Leaver is an incarnation of an endpoint that said that it leaves.
type Leaver struct {
	ID   BackendID
	Born time.Time
}

// Dialect reads and writes the header fields of a platform.
type Dialect interface {
	// Call reads what a caller says.
	Call(header http.Header) (call CallInfo)
	// Address writes what an endpoint is told, and takes out what it must not see.
	Address(header http.Header, send SendInfo)
	// Reply reads what an endpoint says with its answer.
	Reply(response *http.Response) (reply ReplyInfo)
	// Refuse writes when the caller should come back. Zero gives no advice.
	Refuse(header http.Header, after time.Duration)
}
