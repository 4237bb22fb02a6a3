package invoker

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// chunkBytes is the largest part of a body that is not an event stream.
const chunkBytes = 16 << 10

// maxEventLineBytes is the longest line of an event stream.
const maxEventLineBytes = 1 << 20

// DoneEvent is the data of the event that marks a complete event stream.
const DoneEvent = "[DONE]"

// bodyAnswer is an answer whose parts are chunks of the body.
type bodyAnswer struct {
	head   banyanplank.Head
	body   io.ReadCloser
	offset uint64
}

func (b *bodyAnswer) Head() (head banyanplank.Head) { return b.head }

func (b *bodyAnswer) Close() (err error) { return b.body.Close() }

// Next returns the data received so far, up to chunkBytes. For a truncated body
// the error is [io.ErrUnexpectedEOF] from net/http.
func (b *bodyAnswer) Next() (part banyanplank.Part, err error) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := b.body.Read(buffer)
		if n > 0 {
			part = banyanplank.Part{Offset: b.offset, Data: buffer[:n:n]}
			b.offset++
			return part, nil
		}
		if err != nil {
			return part, err
		}
	}
}

// eventAnswer is an answer whose parts are the data of server-sent events.
type eventAnswer struct {
	head    banyanplank.Head
	body    io.ReadCloser
	scanner *bufio.Scanner
	offset  uint64
}

func newEventAnswer(head banyanplank.Head, body io.ReadCloser, offset uint64) *eventAnswer {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventLineBytes)
	return &eventAnswer{head: head, body: body, scanner: scanner, offset: offset}
}

func (e *eventAnswer) Head() (head banyanplank.Head) { return e.head }

func (e *eventAnswer) Close() (err error) { return e.body.Close() }

// Next returns the data of the next event. If the stream ends without
// [DoneEvent], it was truncated and the error is [io.ErrUnexpectedEOF].
func (e *eventAnswer) Next() (part banyanplank.Part, err error) {
	var data []byte
	for e.scanner.Scan() {
		line := e.scanner.Bytes()
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = appendLine(data, bytes.TrimPrefix(value, []byte(" ")))
			continue
		}
		if len(line) > 0 || data == nil {
			continue
		}
		if string(data) == DoneEvent {
			return part, io.EOF
		}
		part = banyanplank.Part{Offset: e.offset, Data: data}
		e.offset++
		return part, nil
	}
	if err := e.scanner.Err(); err != nil {
		return part, errors.Wrap(err, "read event stream")
	}
	return part, io.ErrUnexpectedEOF
}

// appendLine appends a data line of an event. The lines are joined with
// newlines.
func appendLine(data, line []byte) []byte {
	if data != nil {
		data = append(data, '\n')
	}
	return append(data, line...)
}
