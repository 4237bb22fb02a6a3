package holder

import (
	"sync"

	"github.com/banyanplank/banyanplank"
)

// Reservation charges bytes that are held elsewhere, such as a request body, to
// the budgets of its account and the daemon.
type Reservation struct {
	stream *Stream
	once   sync.Once
}

// Reserve returns an empty reservation of the account. The caller must release
// it.
func (h *Holder) Reserve(id banyanplank.AccountID) (r *Reservation) {
	return &Reservation{stream: h.Open(id)}
}

// Grow charges more bytes, and discards acknowledged parts if that is needed to
// make space. It does not wait, and reports false if a budget is exhausted or
// the reservation was released.
func (r *Reservation) Grow(bytes int) (ok bool) {
	s := r.stream
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	if s.dropped || !s.holder.makeSharedSpace(s, bytes) {
		return false
	}
	s.holder.charge(s, bytes)
	return true
}

// Release returns all bytes to the budgets. Later calls do nothing.
func (r *Reservation) Release() {
	r.once.Do(r.stream.Drop)
}
