package holder

import (
	"sync"

	"github.com/banyanplank/banyanplank"
)

// Reservation is room for bytes that are held elsewhere, such as the body of a
// request, under the budgets of its account and the daemon.
type Reservation struct {
	stream *Stream
	once   sync.Once
}

// Reserve returns an empty reservation of the account.
func (h *Holder) Reserve(id banyanplank.AccountID) (r *Reservation) {
	return &Reservation{stream: h.Open(id)}
}

// Grow takes room for bytes more, at the cost of acknowledged parts if need
// be. It reports false at once when there is none.
func (r *Reservation) Grow(bytes int) (ok bool) {
	s := r.stream
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	if s.dropped || !s.holder.reserveShared(s, bytes) {
		return false
	}
	s.holder.charge(s, bytes)
	return true
}

// Release gives the room back. Only the first call counts.
func (r *Reservation) Release() {
	r.once.Do(r.stream.Drop)
}
