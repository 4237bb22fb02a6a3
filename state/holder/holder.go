// Package holder keeps answers for callers who read slowly or come back. Parts
// are kept without the framing that they share, under budgets for the stream,
// the client account and the daemon, so that an endpoint can finish an answer
// long before its caller has read it.
//
// Over a budget the least harm is done first: parts that the caller has
// acknowledged are given up, then the producer waits until the caller has read
// on. Nothing unread is ever given up.
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
	// filled the rest of the daemon's budget.
	DefaultFloorBytes = 64 << 10
)

// reserveShare is the part of the daemon's budget that only accounts below
// their floor may use.
const reserveShare = 8

// streamBytes is charged for the bookkeeping of one stream.
const streamBytes = 512

// Holder keeps the streams of one daemon. Its methods may be called from many
// goroutines.
type Holder struct {
	perStream  int
	perAccount int
	perDaemon  int
	floor      int

	mu       sync.Mutex
	held     int
	parked   int
	accounts map[banyanplank.AccountID]*account
	// room is closed and replaced whenever bytes are given up.
	room chan struct{}
}

// account is what one client account holds.
type account struct {
	held    int
	streams map[*Stream]struct{}
}

// Option configures a [Holder].
type Option func(*Holder)

// WithStreamBytes bounds what one stream holds. Raise it when answers are
// longer than usual. The default is [DefaultStreamBytes].
func WithStreamBytes(limit int) Option {
	return func(h *Holder) { h.perStream = limit }
}

// WithAccountBytes bounds what the streams of one client account hold
// together. The default is [DefaultAccountBytes].
func WithAccountBytes(limit int) Option {
	return func(h *Holder) { h.perAccount = limit }
}

// WithDaemonBytes bounds what all streams hold together. Set it from the
// memory that the instance can spare. The default is [DefaultDaemonBytes].
func WithDaemonBytes(limit int) Option {
	return func(h *Holder) { h.perDaemon = limit }
}

// WithFloorBytes sets what every account may hold even when others have filled
// the rest of the daemon's budget. The default is [DefaultFloorBytes].
func WithFloorBytes(limit int) Option {
	return func(h *Holder) { h.floor = limit }
}

// New returns an empty holder.
func New(options ...Option) *Holder {
	h := &Holder{
		perStream:  DefaultStreamBytes,
		perAccount: DefaultAccountBytes,
		perDaemon:  DefaultDaemonBytes,
		floor:      DefaultFloorBytes,
		accounts:   make(map[banyanplank.AccountID]*account),
		room:       make(chan struct{}),
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Usage is what a [Holder] holds.
type Usage struct {
	// Bytes counts the data and the bookkeeping.
	Bytes int
	// Streams counts the streams not yet dropped.
	Streams int
	// Parked counts the producers that wait for room.
	Parked int
}

// Usage returns what the holder holds now.
func (h *Holder) Usage() (usage Usage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usage = Usage{Bytes: h.held, Parked: h.parked}
	for _, a := range h.accounts {
		usage.Streams += len(a.streams)
	}
	return usage
}

// AccountBytes returns what the streams of id hold.
func (h *Holder) AccountBytes(id banyanplank.AccountID) (bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.accounts[id]; ok {
		return a.held
	}
	return 0
}

// Open returns a new empty stream of the account. The caller must drop it.
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
	h.charge(s, streamBytes)
	return s
}

// charge adds bytes, which may be negative, to every budget of the stream.
func (h *Holder) charge(s *Stream, bytes int) {
	s.held += bytes
	s.account.held += bytes
	h.held += bytes
	if bytes < 0 && h.parked > 0 {
		close(h.room)
		h.room = make(chan struct{})
	}
}

// reserve finds room for bytes more in the stream, at the cost of acknowledged
// parts if need be. It reports false when the producer must wait.
func (h *Holder) reserve(s *Stream, bytes int) bool {
	if !h.fitsStream(s, bytes) {
		s.trim()
	}
	return h.fitsStream(s, bytes) && h.reserveShared(s, bytes)
}

// reserveShared finds room in the budgets of the account and the daemon.
func (h *Holder) reserveShared(s *Stream, bytes int) bool {
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

// largest returns the size of the largest part that any stream can take.
func (h *Holder) largest() (bytes int) {
	shared := h.perDaemon - h.perDaemon/reserveShare
	return min(h.perAccount, shared)/2 - streamBytes - firstBytes
}

// fitsStream reports whether the stream has room. An empty stream takes any
// one part, so that a part larger than its budget does not wait forever.
func (h *Holder) fitsStream(s *Stream, bytes int) bool {
	return s.held+bytes <= h.perStream || len(s.blocks) == 0
}

// fitsAccount reports whether the stream's account has room.
func (h *Holder) fitsAccount(s *Stream, bytes int) bool {
	return s.account.held+bytes <= h.perAccount
}

// fitsDaemon reports whether the daemon has room. The last share of its budget
// is kept for accounts below their floor.
func (h *Holder) fitsDaemon(s *Stream, bytes int) bool {
	limit := h.perDaemon
	if s.account.held+bytes > h.floor {
		limit -= h.perDaemon / reserveShare
	}
	return h.held+bytes <= limit
}

// trim gives up the acknowledged parts of all streams of the account.
func (a *account) trim() {
	for s := range a.streams {
		s.trim()
	}
}
