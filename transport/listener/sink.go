package listener

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/protocol/carrier"
	"github.com/banyanplank/banyanplank/transport/prober"
)

// windowBytes bounds the data of the parts that the entry has not acknowledged.
// A single part may exceed it.
const windowBytes = 4 << 10

// sink sends the answer of one attempt to the entry.
type sink struct {
	stream carrier.DRPCCarrier_CallStream
	runner Runner

	mu            sync.Mutex
	unacked       []sentPart
	inFlightBytes int
	onAck         func(offset uint64)
	// acked is closed and replaced at each acknowledgment.
	acked chan struct{}
}

// sentPart is a part that the entry has not acknowledged.
type sentPart struct {
	offset uint64
	bytes  int
}

func newSink(stream carrier.DRPCCarrier_CallStream, runner Runner) *sink {
	return &sink{stream: stream, runner: runner, onAck: func(uint64) {}, acked: make(chan struct{})}
}

// receive handles the messages of the entry until the stream ends or the caller
// cancels, and returns the reason.
func (s *sink) receive(prober *prober.Prober) (err error) {
	for {
		up, err := s.stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive from entry")
		}
		prober.RecordReceived(time.Now())
		switch body := up.GetBody().(type) {
		case *carrier.Up_Cancel:
			return runner.ErrCallerGone
		case *carrier.Up_Ack:
			s.acknowledge(body.Ack.GetOffset())
		case *carrier.Up_Ping:
			pong := &carrier.Pong{Number: body.Ping.GetNumber()}
			if err := s.send(&carrier.Down{Body: &carrier.Down_Pong{Pong: pong}}); err != nil {
				return errors.Wrap(err, "answer probe")
			}
		}
	}
}

// acknowledge removes the parts before offset from the window.
func (s *sink) acknowledge(offset uint64) {
	s.mu.Lock()
	for len(s.unacked) > 0 && s.unacked[0].offset < offset {
		s.inFlightBytes -= s.unacked[0].bytes
		s.unacked = s.unacked[1:]
	}
	close(s.acked)
	s.acked = make(chan struct{})
	onAck := s.onAck
	s.mu.Unlock()
	onAck(offset)
}

// awaitWindow waits until the window has room for part and adds it. The error is
// the cause of the end of ctx.
func (s *sink) awaitWindow(ctx context.Context, part banyanplank.Part) (err error) {
	for {
		s.mu.Lock()
		if s.inFlightBytes == 0 || s.inFlightBytes+len(part.Data) <= windowBytes {
			s.inFlightBytes += len(part.Data)
			s.unacked = append(s.unacked, sentPart{offset: part.Offset, bytes: len(part.Data)})
			s.mu.Unlock()
			return nil
		}
		acked := s.acked
		s.mu.Unlock()
		select {
		case <-acked:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (s *sink) send(down *carrier.Down) (err error) {
	return s.stream.Send(down)
}

// HandleAcks implements [runner.Sink].
func (s *sink) HandleAcks(onAck func(offset uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onAck = onAck
}

// Accepted implements [runner.Sink].
func (s *sink) Accepted(ctx context.Context) (err error) {
	_, incarnation := s.runner.Identity()
	accepted := &carrier.Accepted{Incarnation: uint64(incarnation)}
	return s.deliver(ctx, &carrier.Down{Body: &carrier.Down_Accepted{Accepted: accepted}})
}

// Head implements [runner.Sink]. The message includes the load report.
func (s *sink) Head(ctx context.Context, head banyanplank.Head) (err error) {
	return s.deliver(ctx, &carrier.Down{
		Body: &carrier.Down_Head{Head: &carrier.Head{Status: int32(head.Status), Type: head.Type}},
		Load: carrier.NewLoad(s.runner.Load()),
	})
}

// Part implements [runner.Sink].
func (s *sink) Part(ctx context.Context, part banyanplank.Part) (err error) {
	if err := s.awaitWindow(ctx, part); err != nil {
		return err
	}
	return s.deliver(ctx, &carrier.Down{Body: &carrier.Down_Part{Part: &carrier.Part{Offset: part.Offset, Data: part.Data}}})
}

// deliver sends a message. If that fails, it waits for the end of ctx, which
// follows within the probe timeout, and returns its cause, since that shows
// whether the caller has gone.
func (s *sink) deliver(ctx context.Context, down *carrier.Down) (err error) {
	sendErr := s.send(down)
	if sendErr == nil {
		return nil
	}
	timer := time.NewTimer(prober.DefaultTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return sendErr
	}
}

// sendRefusal sends the refusal in err together with the load report. It returns
// any other error unchanged.
func (s *sink) sendRefusal(err error) error {
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	sendErr := s.send(&carrier.Down{
		Body: &carrier.Down_Refused{Refused: carrier.NewRefused(refusal)},
		Load: carrier.NewLoad(s.runner.Load()),
	})
	if sendErr != nil {
		return sendErr
	}
	return s.stream.Close()
}
