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

// maxTally bounds a tally in JSON, in bytes.
const maxTally = 8 << 20

// writers holds idle compressors, which are large.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// encode returns a tally as JSON, compressed with gzip.
func encode(tally tallier.Tally) (value []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode tally") }()
	var buffer bytes.Buffer
	writer := writers.Get().(*gzip.Writer)
	defer writers.Put(writer)
	writer.Reset(&buffer)
	err = json.NewEncoder(writer).Encode(tally)
	if err != nil {
		return nil, err
	}
	err = writer.Close()
	return buffer.Bytes(), err
}

// decode reads what [encode] returns.
func decode(value []byte) (tally tallier.Tally, err error) {
	defer func() { err = errors.Wrap(err, "decode tally") }()
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return tallier.Tally{}, err
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxTally+1))
	if err != nil {
		return tallier.Tally{}, err
	}
	if len(text) > maxTally {
		return tallier.Tally{}, errors.Newf("tally is longer than %d bytes", maxTally)
	}
	err = json.Unmarshal(text, &tally)
	return tally, err
}
