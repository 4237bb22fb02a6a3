package holder

import (
	"context"

	"github.com/banyanplank/banyanplank"
)

// Reader reads a stream from an offset while it grows. It is not safe for
// concurrent use.
type Reader struct {
	stream     *Stream
	nextOffset uint64
	block      *block
	partIndex  int
	position   int
	previous   []byte
}

// Reader returns a reader whose first part is the one at offset.
func (s *Stream) Reader(offset uint64) (reader *Reader) {
	return &Reader{stream: s, nextOffset: offset}
}

// Head waits for the head of the response. It returns the error of ctx,
// [ErrDropped], or the producer's failure if the stream ended without a head
// ([io.EOF] if it ended without a failure).
func (r *Reader) Head(ctx context.Context) (head banyanplank.Head, err error) {
	s := r.stream
	err = r.waitUntil(ctx, func() (done bool, err error) {
		if s.head != nil {
			head = *s.head
			return true, nil
		}
		return false, s.terminalError()
	})
	return head, err
}

// Next waits for the next part. The caller must not modify its data. It returns
// [io.EOF] at the end of a complete response, the producer's failure at the end
// of a failed one, [ErrTrimmed] if the part was discarded, [ErrDropped], or the
// error of ctx.
func (r *Reader) Next(ctx context.Context) (part banyanplank.Part, err error) {
	s := r.stream
	err = r.waitUntil(ctx, func() (done bool, err error) {
		if !s.dropped && r.nextOffset < s.nextOffset {
			part, err = r.read()
			return true, err
		}
		return false, s.terminalError()
	})
	return part, err
}

// waitUntil calls condition, with the mutex held, on every change of the stream
// until it reports done or fails, or ctx is done.
func (r *Reader) waitUntil(ctx context.Context, condition func() (done bool, err error)) (err error) {
	h := r.stream.holder
	for {
		h.mu.Lock()
		done, err := condition()
		changed := r.stream.changed
		if !done && err == nil {
			r.stream.waitingReaders++
		}
		h.mu.Unlock()
		if done || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// read decodes the part at r.nextOffset, which must have been appended already.
func (r *Reader) read() (part banyanplank.Part, err error) {
	if r.block == nil || r.partIndex >= r.block.partCount {
		if err := r.seekBlock(); err != nil {
			return part, err
		}
	}
	var data []byte
	for {
		data, r.position = r.decodeNext()
		offset := r.block.firstOffset + uint64(r.partIndex)
		r.partIndex++
		r.previous = data
		if offset == r.nextOffset {
			r.nextOffset++
			return banyanplank.Part{Offset: offset, Data: data}, nil
		}
	}
}

// decodeNext returns the part at r.position and the position of the one after it.
func (r *Reader) decodeNext() (data []byte, nextPosition int) {
	var previous []byte
	if r.partIndex > 0 {
		previous = r.previous
	}
	data, rest := decodePart(r.block.data[r.position:], previous)
	return data, len(r.block.data) - len(rest)
}

// seekBlock moves to the start of the block that holds the part at r.nextOffset.
// It returns [ErrTrimmed] if that block was discarded.
func (r *Reader) seekBlock() (err error) {
	for _, b := range r.stream.blocks {
		if r.nextOffset >= b.firstOffset && r.nextOffset < b.firstOffset+uint64(b.partCount) {
			r.block, r.partIndex, r.position, r.previous = b, 0, 0, nil
			return nil
		}
	}
	return ErrTrimmed
}
