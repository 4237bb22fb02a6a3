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

// recordPrefix begins the names of the objects in which agents leave their
// records of non-repeatable requests to their next run.
const recordPrefix = "records/"

const (
	// handoverTimeout bounds the calls to the store for one handover.
	handoverTimeout = 5 * time.Second
	// handoverLimit bounds one handover, in bytes. It is what an object holds.
	handoverLimit = 1 << 20
)

// handOver leaves the agent's records to its next run.
func (a *agent) handOver(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "hand records over") }()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	value, err := encodeHandover(a.records.Seal(time.Now()))
	if err != nil {
		return err
	}
	name := recordPrefix + string(a.daemon.member.ID)
	held, err := a.daemon.store.Get(ctx, name)
	if err != nil && !errors.Is(err, banyanplank.ErrNotFound) {
		return err
	}
	_, err = a.daemon.store.Put(ctx, name, value, held.Version)
	return err
}

// takeOver reads what earlier runs of the agent have left.
func (a *agent) takeOver(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "take records over") }()
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
	a.records.Adopt(a.held, handover)
	a.daemon.logger.Info().Int("keys", len(handover.Keys)).Msg("records_taken_over")
	return nil
}

// encodeHandover compresses a handover. One that is too large goes without its
// answers.
func encodeHandover(handover recorder.Handover) (value []byte, err error) {
	value, err = compress(handover)
	if err != nil || len(value) <= handoverLimit {
		return value, err
	}
	for i := range handover.Keys {
		handover.Keys[i].Answer = nil
	}
	value, err = compress(handover)
	if err == nil && len(value) > handoverLimit {
		err = errors.Newf("%d keys take %d bytes, more than %d", len(handover.Keys), len(value), handoverLimit)
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

func decodeHandover(value []byte) (handover recorder.Handover, err error) {
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return handover, err
	}
	err = json.NewDecoder(reader).Decode(&handover)
	return handover, err
}
