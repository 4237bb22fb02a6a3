// Package holder buffers responses for callers that read slowly or reconnect.
// Parts are delta-encoded, and budgets limit the bytes per stream, per client
// account and per daemon, so that an endpoint can finish a response long before
// its caller has read it.
//
// When a budget is exhausted, parts that the caller has acknowledged are
// discarded first. If that frees too little, the producer waits until the caller
// acknowledges more. Unread parts are never discarded, except from a stream
// whose producer must not wait, see [Stream.SetDiscardUnread].
package holder

import (
	"sync"

	"github.com/banyanplank/banyanplank"
)

// The default budgets, in bytes.
const (
	DefaultStreamBytes  = 256 << 10
	DefaultAccountBytes = 8 << 20
	DefaultDaemonBytes  = 64 << 20
	// DefaultFloorBytes is what every account may hold even when others have
	// exhausted the shared part of the daemon's budget.
	DefaultFloorBytes = 64 << 10
)

// reservedDivisor sets the share of the daemon's budget that is reserved for
// accounts below their floor: one eighth.
const reservedDivisor = 8

// streamOverheadBytes is charged for the internal state of one stream.
const streamOverheadBytes = 512

// Holder holds the streams of one daemon. It is safe for concurrent use.
type Holder struct {
	maxStreamBytes  int
	maxAccountBytes int
	maxDaemonBytes  int
	floorBytes      int

	mu               sync.Mutex
	heldBytes        int
	waitingProducers int
	accounts         map[banyanplank.AccountID]*account
	// freed is closed and replaced whenever bytes are released.
	freed chan struct{}
}

// account holds the streams of one client account.
type account struct {
	heldBytes int
	streams   map[*Stream]struct{}
}

// Option configures a [Holder].
type Option func(*Holder)

// WithStreamBytes sets the budget of one stream, in bytes. Raise it for long
// responses. The default is [DefaultStreamBytes].
func WithStreamBytes(limit int) Option {
	return func(h *Holder) { h.maxStreamBytes = limit }
}

// WithAccountBytes sets the budget of all streams of one client account, in
// bytes. The default is [DefaultAccountBytes].
func WithAccountBytes(limit int) Option {
	return func(h *Holder) { h.maxAccountBytes = limit }
}

// WithDaemonBytes sets the budget of all streams together, in bytes. Set it
// according to the memory that the instance can spare. The default is
// [DefaultDaemonBytes].
func WithDaemonBytes(limit int) Option {
	return func(h *Holder) { h.maxDaemonBytes = limit }
}

// WithFloorBytes sets the bytes that every account may hold even when others
// have exhausted the shared part of the daemon's budget. The default is
// [DefaultFloorBytes].
func WithFloorBytes(limit int) Option {
	return func(h *Holder) { h.floorBytes = limit }
}

// New returns an empty holder.
func New(options ...Option) *Holder {
	h := &Holder{
		maxStreamBytes:  DefaultStreamBytes,
		maxAccountBytes: DefaultAccountBytes,
		maxDaemonBytes:  DefaultDaemonBytes,
		floorBytes:      DefaultFloorBytes,
		accounts:        make(map[banyanplank.AccountID]*account),
		freed:           make(chan struct{}),
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Usage is the memory use of a [Holder].
type Usage struct {
	// Bytes is the size of the data and the internal state.
	Bytes int
	// Streams counts the streams not yet dropped.
	Streams int
	// WaitingProducers counts the producers that wait for free budget.
	WaitingProducers int
}

// Usage returns the present memory use.
func (h *Holder) Usage() (usage Usage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usage = Usage{Bytes: h.heldBytes, WaitingProducers: h.waitingProducers}
	for _, a := range h.accounts {
		usage.Streams += len(a.streams)
	}
	return usage
}

// AccountBytes returns the bytes charged to the streams and reservations of an
// account.
func (h *Holder) AccountBytes(id banyanplank.AccountID) (bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.accounts[id]; ok {
		return a.heldBytes
	}
	return 0
}

// Open returns a new empty stream of the account. The caller must call
// [Stream.Drop] to release it.
func (h *Holder) Open(id banyanplank.AccountID) (stream *Stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.accounts[id]
	if !ok {
		a = &account{streams: make(map[*Stream]struct{})}
		h.accounts[id] = a
	}
	s := &Stream{holder: h, id: id, account: a, changed: make(chan struct{})}
	a.streams[s] = struct{}{}
	h.charge(s, streamOverheadBytes)
	return s
}

// charge adds bytes, which may be negative, to every budget of the stream.
func (h *Holder) charge(s *Stream, bytes int) {
	s.heldBytes += bytes
	s.account.heldBytes += bytes
	h.heldBytes += bytes
	if bytes < 0 && h.waitingProducers > 0 {
		close(h.freed)
		h.freed = make(chan struct{})
	}
}

// makeSpace discards acknowledged parts if the stream cannot grow by bytes within
// all budgets, and reports whether it can then. It does not charge the bytes.
func (h *Holder) makeSpace(s *Stream, bytes int) bool {
	if !h.fitsStream(s, bytes) {
		s.trim()
	}
	return h.fitsStream(s, bytes) && h.makeSharedSpace(s, bytes)
}

// makeSharedSpace is makeSpace for the budgets of the account and the daemon only.
func (h *Holder) makeSharedSpace(s *Stream, bytes int) bool {
	if !h.fitsAccount(s, bytes) {
		s.account.trim()
	}
	if !h.fitsDaemon(s, bytes) {
		for _, a := range h.accounts {
			a.trim()
		}
	}
	return h.fitsAccount(s, bytes) && h.fitsDaemon(s, bytes)
}

// maxPartBytes returns the size of the largest part that a stream accepts.
func (h *Holder) maxPartBytes() (bytes int) {
	shared := h.maxDaemonBytes - h.maxDaemonBytes/reservedDivisor
	return min(h.maxAccountBytes, shared)/2 - streamOverheadBytes - initialBlockBytes
}

// fitsStream reports whether bytes fit the budget of the stream. An empty stream
// accepts any one part, so that a part larger than the budget does not wait
// forever.
func (h *Holder) fitsStream(s *Stream, bytes int) bool {
	return s.heldBytes+bytes <= h.maxStreamBytes || len(s.blocks) == 0
}

// fitsAccount reports whether bytes fit the budget of the stream's account.
func (h *Holder) fitsAccount(s *Stream, bytes int) bool {
	return s.account.heldBytes+bytes <= h.maxAccountBytes
}

// fitsDaemon reports whether bytes fit the budget of the daemon, of which a share
// is reserved for accounts below their floor.
func (h *Holder) fitsDaemon(s *Stream, bytes int) bool {
	limit := h.maxDaemonBytes
	if s.account.heldBytes+bytes > h.floorBytes {
		limit -= h.maxDaemonBytes / reservedDivisor
	}
	return h.heldBytes+bytes <= limit
}

// trim discards the acknowledged parts of all streams of the account.
func (a *account) trim() {
	for s := range a.streams {
		s.trim()
	}
}
