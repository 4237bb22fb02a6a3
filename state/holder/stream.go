package holder

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The errors of a stream.
var (
	// ErrTrimmed means that a reader requested a part that was discarded.
	ErrTrimmed = errors.New("response part is no longer buffered")
	// ErrDropped means that the stream was dropped.
	ErrDropped = errors.New("response is no longer buffered")
	// ErrTooLarge means that a single part exceeds the budgets.
	ErrTooLarge = errors.New("response part exceeds the memory budget")
)

// Stream buffers one response. One producer appends to it, and any number of
// readers read it, each at its own speed.
type Stream struct {
	holder  *Holder
	id      banyanplank.AccountID
	account *account

	// The mutex of the holder guards the fields below.
	head          *banyanplank.Head
	blocks        []*block
	lastPart      []byte
	nextOffset    uint64
	ackedOffset   uint64
	heldBytes     int
	ended         bool
	failure       error
	dropped       bool
	discardUnread bool
	// changed is closed and replaced to wake waiting readers.
	changed        chan struct{}
	waitingReaders int
}

// SetHead sets the head of the response.
func (s *Stream) SetHead(head banyanplank.Head) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	s.head = &head
	s.notifyReaders()
}

// Append adds the next part. It waits while a budget is exhausted. The error
// wraps [ErrDropped], [ErrTooLarge] or the error of ctx.
func (s *Stream) Append(ctx context.Context, data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "buffer response part") }()
	h := s.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		if s.dropped {
			return ErrDropped
		}
		if len(data) > h.maxPartBytes() {
			return ErrTooLarge
		}
		if h.makeSpace(s, s.maxCharge(data)) || s.discardUnreadParts() && h.makeSpace(s, s.maxCharge(data)) {
			s.addPart(data)
			s.notifyReaders()
			return nil
		}
		if err := s.waitForSpace(ctx); err != nil {
			return err
		}
	}
}

// SetDiscardUnread sets whether the stream discards its own parts, unread ones included,
// when a budget is exhausted, so that its producer does not wait. Use it for a
// request that must finish although nobody reads its response at present.
func (s *Stream) SetDiscardUnread(discardUnread bool) {
	h := s.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	s.discardUnread = discardUnread
	if discardUnread && h.waitingProducers > 0 {
		close(h.freed)
		h.freed = make(chan struct{})
	}
}

// discardUnreadParts discards all parts if the stream may discard unread ones, and
// reports whether it may.
func (s *Stream) discardUnreadParts() (ok bool) {
	if s.discardUnread {
		s.ackedOffset = s.nextOffset
		s.trim()
	}
	return s.discardUnread
}

// waitForSpace waits, with the mutex unlocked, until bytes of any stream are
// released.
func (s *Stream) waitForSpace(ctx context.Context) (err error) {
	h := s.holder
	freed := h.freed
	h.waitingProducers++
	h.mu.Unlock()
	select {
	case <-freed:
	case <-ctx.Done():
		err = ctx.Err()
	}
	h.mu.Lock()
	h.waitingProducers--
	return err
}

// maxCharge returns an upper bound of the bytes charged for appending data.
func (s *Stream) maxCharge(data []byte) (bytes int) {
	bytes = max(len(data)-cap(s.lastPart), 0)
	b := s.currentBlock()
	if b == nil {
		return bytes + max(initialBlockBytes, len(data)+maxLengthsBytes)
	}
	if len(b.data)+len(data)+maxLengthsBytes <= cap(b.data) {
		return bytes
	}
	return bytes + max(cap(b.data), len(data)+maxLengthsBytes)
}

// currentBlock returns the block for the next part, or nil if the part needs a new
// one.
func (s *Stream) currentBlock() (b *block) {
	if len(s.blocks) == 0 {
		return nil
	}
	b = s.blocks[len(s.blocks)-1]
	if b.isFull() {
		return nil
	}
	return b
}

// addPart encodes data into the last block and charges its size.
func (s *Stream) addPart(data []byte) {
	b, previous := s.currentBlock(), s.lastPart
	if b == nil {
		b, previous = &block{firstOffset: s.nextOffset}, nil
		s.blocks = append(s.blocks, b)
	}
	d := newDelta(previous, data)
	s.growBlock(b, d.maxSize())
	b.data = d.appendTo(b.data)
	b.partCount++
	s.setLastPart(data)
	s.nextOffset++
}

// growBlock extends the capacity of b for more bytes and charges the difference.
func (s *Stream) growBlock(b *block, bytes int) {
	size := cap(b.data)
	need := len(b.data) + bytes
	if need <= size {
		return
	}
	larger := make([]byte, len(b.data), max(need, 2*size, initialBlockBytes))
	copy(larger, b.data)
	b.data = larger
	s.holder.charge(s, cap(larger)-size)
}

// setLastPart stores data as the base of the next delta.
func (s *Stream) setLastPart(data []byte) {
	size := cap(s.lastPart)
	if size < len(data) {
		s.lastPart = make([]byte, 0, len(data))
		s.holder.charge(s, len(data)-size)
	}
	s.lastPart = append(s.lastPart[:0], data...)
}

// Finish marks the response as complete. It does nothing if the stream has ended.
func (s *Stream) Finish() {
	s.close(nil)
}

// Fail ends the response early. Readers get failure after the last part. It does
// nothing if the stream has ended.
func (s *Stream) Fail(failure error) {
	s.close(failure)
}

// close ends the stream and shrinks its buffers to their contents.
func (s *Stream) close(failure error) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	if s.ended || s.dropped {
		return
	}
	s.ended = true
	s.failure = failure
	s.holder.charge(s, -cap(s.lastPart))
	s.lastPart = nil
	if len(s.blocks) > 0 {
		b := s.blocks[len(s.blocks)-1]
		size := cap(b.data)
		b.data = append(make([]byte, 0, len(b.data)), b.data...)
		s.holder.charge(s, cap(b.data)-size)
	}
	s.notifyReaders()
}

// Ended reports whether the producer has finished or failed, and the failure.
func (s *Stream) Ended() (ended bool, failure error) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.ended, s.failure
}

// NextOffset returns the number of parts appended so far.
func (s *Stream) NextOffset() (offset uint64) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.nextOffset
}

// Ack records that the caller has received every part before offset. These parts
// stay readable until their space is needed.
func (s *Stream) Ack(offset uint64) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	if offset <= s.ackedOffset {
		return
	}
	s.ackedOffset = offset
	if s.holder.waitingProducers > 0 {
		s.trim()
	}
}

// Acked returns the number of parts that the caller has acknowledged.
func (s *Stream) Acked() (offset uint64) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.ackedOffset
}

// trim discards the blocks whose parts are all acknowledged.
func (s *Stream) trim() {
	for len(s.blocks) > 0 {
		b := s.blocks[0]
		if b.firstOffset+uint64(b.partCount) > s.ackedOffset {
			return
		}
		s.blocks[0] = nil
		s.blocks = s.blocks[1:]
		s.holder.charge(s, -cap(b.data))
	}
}

// Account returns the client account of the stream.
func (s *Stream) Account() (id banyanplank.AccountID) { return s.id }

// ReadAll returns the head and all parts of a complete response. It does not wait:
// it fails if the response is incomplete, failed, or has discarded parts.
func (s *Stream) ReadAll() (head banyanplank.Head, parts [][]byte, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reader := s.Reader(0)
	head, err = reader.Head(ctx)
	for err == nil {
		var part banyanplank.Part
		part, err = reader.Next(ctx)
		if err == nil {
			parts = append(parts, part.Data)
		}
	}
	if errors.Is(err, io.EOF) {
		return head, parts, nil
	}
	return head, nil, err
}

// HeldBytes returns the bytes charged to the stream.
func (s *Stream) HeldBytes() (bytes int) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.heldBytes
}

// Drop discards the stream and releases its bytes. Its readers and its producer
// get [ErrDropped]. Later calls do nothing.
func (s *Stream) Drop() {
	h := s.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.dropped {
		return
	}
	s.dropped = true
	s.blocks = nil
	s.lastPart = nil
	delete(s.account.streams, s)
	h.charge(s, -s.heldBytes)
	if len(s.account.streams) == 0 {
		delete(h.accounts, s.id)
	}
	s.notifyReaders()
}

// notifyReaders wakes the waiting readers.
func (s *Stream) notifyReaders() {
	if s.waitingReaders == 0 {
		return
	}
	s.waitingReaders = 0
	close(s.changed)
	s.changed = make(chan struct{})
}

// terminalError returns why no more parts will follow, or nil if some still may.
func (s *Stream) terminalError() (err error) {
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
