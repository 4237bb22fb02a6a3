package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Sizes of the buffers of calls.
const (
	// bufferMemoryShare is the fraction of the instance's memory that all buffered
	// bodies, responses and events may take unless the settings give a limit. The
	// heap may take heapShare.
	bufferMemoryShare = 0.25
	// minBufferGrowthBytes is the smallest number of bytes by which a body buffer
	// grows.
	minBufferGrowthBytes = 16 << 10
	// scarceBufferShare is the fraction of the limit from which on slow bodies have to
	// make room for others.
	scarceBufferShare = 0.75
)

// errBufferLimit means that the calls of the entry have reached the limit on buffered
// bytes.
var errBufferLimit = errors.New("buffered bytes have reached the limit of this entry")

// bufferBudget bounds the bytes that all calls buffer together.
type bufferBudget struct {
	limitBytes int64
	usedBytes  atomic.Int64
}

// newBufferBudget returns a budget with the limit of the settings, or with a fraction
// of the memory.
func newBufferBudget(limits Limits) *bufferBudget {
	if limits.Held > 0 {
		return &bufferBudget{limitBytes: limits.Held}
	}
	return &bufferBudget{limitBytes: int64(bufferMemoryShare * float64(limits.Memory))}
}

// isScarce reports whether less than a quarter of the budget is left.
func (b *bufferBudget) isScarce() bool {
	return float64(b.usedBytes.Load()) > scarceBufferShare*float64(b.limitBytes)
}

// bufferShare counts the bytes that one call has reserved from the budget.
type bufferShare struct {
	budget *bufferBudget
	bytes  int64
}

// reserve adds bytes to the share, or returns errBufferLimit.
func (s *bufferShare) reserve(bytes int64) (err error) {
	if s.budget.usedBytes.Add(bytes) > s.budget.limitBytes {
		s.budget.usedBytes.Add(-bytes)
		return errBufferLimit
	}
	s.bytes += bytes
	return nil
}

// release returns all bytes of the call to the budget.
func (s *bufferShare) release() {
	s.budget.usedBytes.Add(-s.bytes)
	s.bytes = 0
}

// readAll reads a whole body of at most limit bytes and reserves the memory for it.
func (s *bufferShare) readAll(body io.Reader, limit int64) (data []byte, err error) {
	for {
		if len(data) == cap(data) {
			grown := max(minBufferGrowthBytes, int64(cap(data))*2)
			if err := s.reserve(grown - int64(cap(data))); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, errors.Newf("body is over %d bytes", limit)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
