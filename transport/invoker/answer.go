package invoker

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// pieceSize bounds one part of a body that is not an event stream, in bytes.
const pieceSize = 16 << 10

// eventLimit bounds one line of an event stream, in bytes.
const eventLimit = 1 << 20

// Done is the data of the event that ends a whole event stream.
const Done = "[DONE]"

// pieces is an answer whose parts are pieces of the body.
type pieces struct {
	head   banyanplank.Head
	body   io.ReadCloser
	offset uint64
}

func (p *pieces) Head() (head banyanplank.Head) { return p.head }

func (p *pieces) Close() (err error) { return p.body.Close() }

// Next reads what has arrived, up to one piece. net/http reports a body that
// was cut as [io.ErrUnexpectedEOF].
func (p *pieces) Next() (part banyanplank.Part, err error) {
	buffer := make([]byte, pieceSize)
	for {
		n, err := p.body.Read(buffer)
		if n > 0 {
			part = banyanplank.Part{Offset: p.offset, Data: buffer[:n:n]}
			p.offset++
			return part, nil
		}
		if err != nil {
			return part, err
		}
	}
}

// events is an answer whose parts are the data of server-sent events.
type events struct {
	head   banyanplank.Head
	body   io.ReadCloser
	lines  *bufio.Scanner
	offset uint64
}

func newEvents(head banyanplank.Head, body io.ReadCloser, offset uint64) *events {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, eventLimit)
	return &events{head: head, body: body, lines: lines, offset: offset}
}

func (e *events) Head() (head banyanplank.Head) { return e.head }

func (e *events) Close() (err error) { return e.body.Close() }

// Next returns the data of the next event. A stream that closes without the
// [Done] event was cut: the error is [io.ErrUnexpectedEOF].
func (e *events) Next() (part banyanplank.Part, err error) {
	var data []byte
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = appendLine(data, bytes.TrimPrefix(value, []byte(" ")))
			continue
		}
		if len(line) > 0 || data == nil {
			continue
		}
		if string(data) == Done {
			return part, io.EOF
		}
		part = banyanplank.Part{Offset: e.offset, Data: data}
		e.offset++
		return part, nil
	}
	if err := e.lines.Err(); err != nil {
		return part, errors.Wrap(err, "read event stream")
	}
	return part, io.ErrUnexpectedEOF
}

// appendLine joins the data lines of one event with newlines.
func appendLine(data, line []byte) []byte {
	if data != nil {
		data = append(data, '\n')
	}
	return append(data, line...)
}
