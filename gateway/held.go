package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The memory that calls hold.
const (
	// heldShare is the part of the instance's memory that all bodies, answers and
	// events that are held may take, where the settings don't say. The heap may take
	// heapShare.
	heldShare = 0.25
	// holdStep is the number of bytes that are asked for at a time.
	holdStep = 16 << 10
)

// errHeld means that the calls of the entry hold as much memory as they may.
var errHeld = errors.New("the entry holds as many bytes as it may")

// holder bounds the bytes that all calls hold together.
type holder struct {
	most int64
	used atomic.Int64
}

// newHolder returns a holder of at most so many bytes.
func newHolder(limits Limits) *holder {
	if limits.Held > 0 {
		return &holder{most: limits.Held}
	}
	return &holder{most: int64(heldShare * float64(limits.Memory))}
}

// share is what one call holds.
type share struct {
	holder *holder
	bytes  int64
}

// take adds bytes to the share, or reports errHeld.
func (s *share) take(bytes int64) (err error) {
	if s.holder.used.Add(bytes) > s.holder.most {
		s.holder.used.Add(-bytes)
		return errHeld
	}
	s.bytes += bytes
	return nil
}

// release gives back all that the call holds.
func (s *share) release() {
	s.holder.used.Add(-s.bytes)
	s.bytes = 0
}

// read reads a body of at most so many bytes.
func (s *share) read(body io.Reader, most int64) (text []byte, err error) {
	for {
		if len(text) == cap(text) {
			grown := max(holdStep, int64(cap(text))*2)
			if err := s.take(grown - int64(cap(text))); err != nil {
				return nil, err
			}
			text = append(make([]byte, 0, grown), text...)
		}
		n, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if int64(len(text)) > most {
			return nil, errors.Newf("over %d bytes", most)
		}
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
