package banyanplank

import (
	"net/http"
	"time"
)

// CallInfo holds the values of the header fields of a caller's call.
type CallInfo struct {
	// Attempt is the id that the caller gave the call.
	Attempt string
	// Timeout is the caller's time limit for the answer. Zero means unknown.
	Timeout time.Duration
	// Key is the digest of the account's secret key, or empty.
	Key string
	// PromptTokens is the length of the prompt in tokens, MaxOutputTokens the maximum
	// length of the answer and OutputTokensHint the caller's estimate of it. Zero
	// means unknown.
	PromptTokens     int
	MaxOutputTokens  int
	OutputTokensHint int
	// SharedParts lists the parts of the prompt that other requests can share, in
	// order. The last part of a prompt is the request's own.
	SharedParts []PartID
	// LastEventID is the id of the last event that the caller received, or empty.
	LastEventID string
}

// SendInfo holds the values of the header fields of a call to an endpoint.
type SendInfo struct {
	Account AccountID
	Backend BackendID
	// Timeout is the time until the caller's deadline.
	Timeout time.Duration
	// LastEventID is the id of the event after which a stream resumes, or empty.
	LastEventID string
	// Priority orders calls at the endpoint; 0 goes first. It is not sent when
	// negative.
	Priority int
}

// BackendLoad is the load that an endpoint reports with an answer.
type BackendLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// ReplyInfo holds the values of the header fields of an endpoint's answer.
type ReplyInfo struct {
	// Attempt is the id of the call that the answer belongs to.
	Attempt string
	// Sealed reports whether the answer carries the endpoint's seal.
	Sealed bool
	// NotRun reports that the endpoint has not run the call and never will.
	NotRun bool
	// Misdirected reports that the address now belongs to another endpoint.
	Misdirected bool
	// FaultyEndpoint is the endpoint that failed the call, if it is not this one.
	FaultyEndpoint string
	Load           BackendLoad
	// ColdStartLeft is the remaining time of the endpoint's cold start.
	ColdStartLeft time.Duration
	// Leaving reports a planned shutdown: the endpoint accepts no new calls.
	Leaving bool
	// Pause is how long this entry must not send calls to the endpoint.
	Pause time.Duration
	// InvalidPause is the text of the pause that the endpoint sent, if out of bounds.
	InvalidPause string
	// IsRateLimited reports that the endpoint names RateLimit, the requests per second that
	// it accepts from all entries together. An answer that names none ends the limit.
	IsRateLimited bool
	RateLimit     float64
	// InvalidRateLimit is the text of a limit that the endpoint sent and that can't be read.
	InvalidRateLimit string
}

// BackendLimit is the rate limit that an incarnation of an endpoint named to an entry.
type BackendLimit struct {
	ID   BackendID
	Born time.Time
	// PerSecond is the number of requests per second from all entries together, or
	// negative if the endpoint names no limit any more.
	PerSecond float64
	// Age is the time since the endpoint said so. It has a resolution of 1 ms.
	Age time.Duration
}

// LeavingBackend is an incarnation of an endpoint that has announced its shutdown.
type LeavingBackend struct {
	ID   BackendID
	Born time.Time
}

// HeaderCodec reads and writes the platform's header fields.
type HeaderCodec interface {
	// ReadCall reads the header of a caller's call.
	ReadCall(header http.Header) (call CallInfo)
	// WriteCall writes the header fields for an endpoint and removes those that
	// must not reach it.
	WriteCall(header http.Header, send SendInfo)
	// ReadReply reads the header of an endpoint's answer.
	ReadReply(response *http.Response) (reply ReplyInfo)
	// WriteRetryAfter writes the delay after which the caller should retry. Zero writes
	// no delay.
	WriteRetryAfter(header http.Header, after time.Duration)
}
