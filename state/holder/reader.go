package holder

import (
	"context"

	"github.com/banyanplank/banyanplank"
)

// Reader follows a stream from an offset. It is not safe for concurrent use.
type Reader struct {
	stream *Stream
	next   uint64
	block  *block
	index  int
	at     int
	last   []byte
}

// Reader returns a reader whose first part is the one at offset.
func (s *Stream) Reader(offset uint64) (reader *Reader) {
	return &Reader{stream: s, next: offset}
}

// Head waits for the head of the answer.
func (r *Reader) Head(ctx context.Context) (head banyanplank.Head, err error) {
	s := r.stream
	err = r.wait(ctx, func() (done bool, err error) {
		if s.head != nil {
			head = *s.head
			return true, nil
		}
		return false, s.broken()
	})
	return head, err
}

// Next waits for the next part, whose data must not be changed. It returns [io.EOF] at the end of a whole
// answer, and the producer's failure where the answer was cut.
func (r *Reader) Next(ctx context.Context) (part banyanplank.Part, err error) {
	s := r.stream
	err = r.wait(ctx, func() (done bool, err error) {
		if !s.dropped && r.next < s.next {
			part, err = r.read()
			return true, err
		}
		return false, s.broken()
	})
	return part, err
}

// wait calls ready under the mutex until it is done or fails.
func (r *Reader) wait(ctx context.Context, ready func() (done bool, err error)) (err error) {
	h := r.stream.holder
	for {
		h.mu.Lock()
		done, err := ready()
		changed := r.stream.changed
		if !done && err == nil {
			r.stream.waiting++
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

// read decodes the part at r.next, which the stream has had.
func (r *Reader) read() (part banyanplank.Part, err error) {
	if r.block == nil || r.index >= r.block.parts {
		if err := r.seek(); err != nil {
			return part, err
		}
	}
	var data []byte
	for {
		data, r.at = r.decode()
		offset := r.block.first + uint64(r.index)
		r.index++
		r.last = data
		if offset == r.next {
			r.next++
			return banyanplank.Part{Offset: offset, Data: data}, nil
		}
	}
}

// decode returns the part at r.at and where the next one begins.
func (r *Reader) decode() (data []byte, at int) {
	var last []byte
	if r.index > 0 {
		last = r.last
	}
	data, rest := decode(r.block.data[r.at:], last)
	return data, len(r.block.data) - len(rest)
}

// seek goes to the start of the block that holds the part at r.next.
func (r *Reader) seek() (err error) {
	for _, b := range r.stream.blocks {
		if r.next >= b.first && r.next < b.first+uint64(b.parts) {
			r.block, r.index, r.at, r.last = b, 0, 0, nil
			return nil
		}
	}
	return ErrTrimmed
}
