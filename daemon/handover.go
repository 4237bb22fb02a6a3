package daemon

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/recorder"
)

// recordPrefix is the name prefix of the objects in which agents store their
// records of non-repeatable requests for their next run.
const recordPrefix = "records/"

const (
	// handoverTimeout bounds the store calls of one handover.
	handoverTimeout = 5 * time.Second
	// maxHandoverBytes bounds a compressed handover by the maximum size of an
	// object.
	maxHandoverBytes = 1 << 20
)

// handOverRecords seals the agent's records and stores them for its next run. It
// has its own timeout, so that it also runs after ctx is canceled.
func (a *agent) handOverRecords(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "hand over records") }()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	value, err := encodeHandover(a.records.Seal(time.Now()))
	if err != nil {
		return err
	}
	name := recordPrefix + string(a.daemon.member.ID)
	stored, err := a.daemon.store.Get(ctx, name)
	if err != nil && !errors.Is(err, banyanplank.ErrNotFound) {
		return err
	}
	_, err = a.daemon.store.Put(ctx, name, value, stored.Version)
	return err
}

// takeOverRecords adopts the records that earlier runs of the agent stored, if
// there are any.
func (a *agent) takeOverRecords(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "take over records") }()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	object, err := a.daemon.store.Get(ctx, recordPrefix+string(a.daemon.member.ID))
	if errors.Is(err, banyanplank.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	handover, err := decodeHandover(object.Value)
	if err != nil {
		return err
	}
	a.records.Adopt(a.heldAnswers, handover)
	a.daemon.logger.Info().Int("keys", len(handover.Keys)).Msg("records_taken_over")
	return nil
}

// encodeHandover encodes and compresses a handover. If the result is too large, it
// omits the answers, and fails if the keys alone are too large as well.
func encodeHandover(handover recorder.Handover) (value []byte, err error) {
	value, err = compress(handover)
	if err != nil || len(value) <= maxHandoverBytes {
		return value, err
	}
	for i := range handover.Keys {
		handover.Keys[i].Answer = nil
	}
	value, err = compress(handover)
	if err == nil && len(value) > maxHandoverBytes {
		err = errors.Newf("%d keys take %d bytes, more than %d", len(handover.Keys), len(value), maxHandoverBytes)
	}
	return value, err
}

func compress(handover recorder.Handover) (value []byte, err error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(handover); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func decodeHandover(compressed []byte) (handover recorder.Handover, err error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return handover, err
	}
	err = json.NewDecoder(reader).Decode(&handover)
	return handover, err
}
