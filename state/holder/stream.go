package holder

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The errors of a stream.
var (
	// ErrTrimmed means that a reader asked for parts that were given up.
	ErrTrimmed = errors.New("answer part no longer held")
	// ErrDropped means that the stream was dropped.
	ErrDropped = errors.New("answer no longer held")
	// ErrTooLarge means that a part alone is larger than the budgets allow.
	ErrTooLarge = errors.New("answer part larger than the budget")
)

// Stream is one answer. One producer appends to it; any number of readers
// follow it, each at its own pace.
type Stream struct {
	holder  *Holder
	id      banyanplank.AccountID
	account *account

	// The fields below are guarded by the holder's mutex.
	head    *banyanplank.Head
	blocks  []*block
	last    []byte
	next    uint64
	acked   uint64
	held    int
	ended   bool
	failure error
	dropped bool
	spill   bool
	// changed is closed and replaced when there is news for waiting readers.
	changed chan struct{}
	waiting int
}

// Begin sets the head of the answer.
func (s *Stream) Begin(head banyanplank.Head) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	s.head = &head
	s.notify()
}

// Append adds the next part. It waits while a budget is used up.
func (s *Stream) Append(ctx context.Context, data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "hold answer part") }()
	h := s.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		if s.dropped {
			return ErrDropped
		}
		if len(data) > h.largest() {
			return ErrTooLarge
		}
		if h.reserve(s, s.cost(data)) || s.overflow() && h.reserve(s, s.cost(data)) {
			s.add(data)
			s.notify()
			return nil
		}
		if err := s.park(ctx); err != nil {
			return err
		}
	}
}

// Spill tells whether the producer is too important to wait: over a budget the
// stream then gives up its own unread parts. Use it for a request that must
// finish although no one reads its answer now.
func (s *Stream) Spill(spill bool) {
	h := s.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	s.spill = spill
	if spill && h.parked > 0 {
		close(h.room)
		h.room = make(chan struct{})
	}
}

// overflow gives up all parts of a stream that may spill.
func (s *Stream) overflow() (ok bool) {
	if s.spill {
		s.acked = s.next
		s.trim()
	}
	return s.spill
}

// park waits, with the mutex released, until some bytes were given up.
func (s *Stream) park(ctx context.Context) (err error) {
	h := s.holder
	room := h.room
	h.parked++
	h.mu.Unlock()
	select {
	case <-room:
	case <-ctx.Done():
		err = ctx.Err()
	}
	h.mu.Lock()
	h.parked--
	return err
}

// cost bounds what adding data will be charged.
func (s *Stream) cost(data []byte) (bytes int) {
	bytes = max(len(data)-cap(s.last), 0)
	b := s.open()
	if b == nil {
		return bytes + max(firstBytes, len(data)+lengthBytes)
	}
	if len(b.data)+len(data)+lengthBytes <= cap(b.data) {
		return bytes
	}
	return bytes + max(cap(b.data), len(data)+lengthBytes)
}

// open returns the block that takes the next part, or nil for a new one.
func (s *Stream) open() (b *block) {
	if len(s.blocks) == 0 {
		return nil
	}
	b = s.blocks[len(s.blocks)-1]
	if b.full() {
		return nil
	}
	return b
}

// add encodes data into the last block and charges what it takes.
func (s *Stream) add(data []byte) {
	b, last := s.open(), s.last
	if b == nil {
		b, last = &block{first: s.next}, nil
		s.blocks = append(s.blocks, b)
	}
	d := compare(last, data)
	s.grow(b, d.size())
	b.data = d.appendTo(b.data)
	b.parts++
	s.remember(data)
	s.next++
}

// grow makes room for bytes more in b and charges it.
func (s *Stream) grow(b *block, bytes int) {
	size := cap(b.data)
	need := len(b.data) + bytes
	if need <= size {
		return
	}
	larger := make([]byte, len(b.data), max(need, 2*size, firstBytes))
	copy(larger, b.data)
	b.data = larger
	s.holder.charge(s, cap(larger)-size)
}

// remember keeps data as what the next part is compared with.
func (s *Stream) remember(data []byte) {
	size := cap(s.last)
	if size < len(data) {
		s.last = make([]byte, 0, len(data))
		s.holder.charge(s, len(data)-size)
	}
	s.last = append(s.last[:0], data...)
}

// Finish tells that the answer is whole.
func (s *Stream) Finish() {
	s.close(nil)
}

// Fail tells that the answer was cut, for the reason in failure.
func (s *Stream) Fail(failure error) {
	s.close(failure)
}

// close ends the answer once and cuts its buffers to what they hold.
func (s *Stream) close(failure error) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	if s.ended || s.dropped {
		return
	}
	s.ended = true
	s.failure = failure
	s.holder.charge(s, -cap(s.last))
	s.last = nil
	if len(s.blocks) > 0 {
		b := s.blocks[len(s.blocks)-1]
		size := cap(b.data)
		b.data = append(make([]byte, 0, len(b.data)), b.data...)
		s.holder.charge(s, cap(b.data)-size)
	}
	s.notify()
}

// Ended reports whether the producer has finished or failed, and how.
func (s *Stream) Ended() (ended bool, failure error) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.ended, s.failure
}

// Next returns the number of parts appended so far.
func (s *Stream) Next() (offset uint64) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.next
}

// Ack tells that the caller has every part before offset. Such parts stay
// readable until their room is needed.
func (s *Stream) Ack(offset uint64) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	if offset <= s.acked {
		return
	}
	s.acked = offset
	if s.holder.parked > 0 {
		s.trim()
	}
}

// Acked returns the number of parts that the caller has.
func (s *Stream) Acked() (offset uint64) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.acked
}

// trim gives up the blocks whose parts are all acknowledged.
func (s *Stream) trim() {
	for len(s.blocks) > 0 {
		b := s.blocks[0]
		if b.first+uint64(b.parts) > s.acked {
			return
		}
		s.blocks[0] = nil
		s.blocks = s.blocks[1:]
		s.holder.charge(s, -cap(b.data))
	}
}

// Account returns the client account of the stream.
func (s *Stream) Account() (id banyanplank.AccountID) { return s.id }

// Whole returns the head and all parts of a whole answer. It fails when some
// parts were given up.
func (s *Stream) Whole() (head banyanplank.Head, parts [][]byte, err error) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	reader := s.Reader(0)
	head, err = reader.Head(ended)
	for err == nil {
		var part banyanplank.Part
		part, err = reader.Next(ended)
		if err == nil {
			parts = append(parts, part.Data)
		}
	}
	if errors.Is(err, io.EOF) {
		return head, parts, nil
	}
	return head, nil, err
}

// Held returns the bytes that the stream is charged for.
func (s *Stream) Held() (bytes int) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.held
}

// Drop gives up the whole stream. Its readers and its producer get
// [ErrDropped]. Only the first call counts.
func (s *Stream) Drop() {
	h := s.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.dropped {
		return
	}
	s.dropped = true
	s.blocks = nil
	s.last = nil
	delete(s.account.streams, s)
	h.charge(s, -s.held)
	if len(s.account.streams) == 0 {
		delete(h.accounts, s.id)
	}
	s.notify()
}

// notify wakes the readers.
func (s *Stream) notify() {
	if s.waiting == 0 {
		return
	}
	s.waiting = 0
	close(s.changed)
	s.changed = make(chan struct{})
}

// broken returns why nothing more will come, or nil while something may.
func (s *Stream) broken() (err error) {
	switch {
	case s.dropped:
		return ErrDropped
	case s.ended && s.failure != nil:
		return s.failure
	case s.ended:
		return io.EOF
	default:
		return nil
	}
}
