package flusher

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank/state/tallier"
)

// maxTallyBytes is the largest size of a decompressed tally. It bounds the
// memory that a damaged object can take.
const maxTallyBytes = 8 << 20

// gzipWriters reuses compressors, since each holds large buffers.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// encodeTally returns the tally as JSON compressed with gzip.
func encodeTally(tally tallier.Tally) (value []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode tally") }()
	var buffer bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&buffer)
	err = json.NewEncoder(writer).Encode(tally)
	if err != nil {
		return nil, err
	}
	err = writer.Close()
	return buffer.Bytes(), err
}

// decodeTally reverses [encodeTally]. It fails if the value is damaged or
// decompresses to more than maxTallyBytes.
func decodeTally(value []byte) (tally tallier.Tally, err error) {
	defer func() { err = errors.Wrap(err, "decode tally") }()
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return tallier.Tally{}, err
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxTallyBytes+1))
	if err != nil {
		return tallier.Tally{}, err
	}
	if len(text) > maxTallyBytes {
		return tallier.Tally{}, errors.Newf("tally is longer than %d bytes", maxTallyBytes)
	}
	err = json.Unmarshal(text, &tally)
	return tally, err
}
