package listener

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/protocol/carrier"
)

// Runner runs requests at the agent.
type Runner interface {
	// Run runs request and sends its answer to sink. The error is a
	// [*banyanplank.Refusal].
	Run(ctx context.Context, request *banyanplank.Request, sink runner.Sink) (end banyanplank.End, err error)
	// Load returns the agent's newest load report.
	Load() (report banyanplank.LoadReport)
}

// calls serves [carrier.DRPCCarrierServer].
type calls struct {
	runner Runner
}

// Call serves one call. Its error closes the connection, so refusals go out as
// messages.
func (c *calls) Call(stream carrier.DRPCCarrier_CallStream) (err error) {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	open := up.GetOpen()
	if open == nil {
		return errors.New("the first message is no Open")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { listen(stream, cancel) })
	down := &sink{stream: stream, runner: c.runner}
	end, err := c.runner.Run(ctx, open.Request(time.Now()), down)
	if err != nil {
		return down.refuse(err)
	}
	if err := down.send(&carrier.Down{Body: &carrier.Down_End{End: &carrier.End{Parts: end.Parts}}}); err != nil {
		return err
	}
	return stream.Close()
}

// listen answers pings and cancels the attempt when the entry says so or goes
// away.
func listen(stream carrier.DRPCCarrier_CallStream, cancel context.CancelFunc) {
	defer cancel()
	for {
		up, err := stream.Recv()
		if err != nil {
			return
		}
		switch body := up.GetBody().(type) {
		case *carrier.Up_Cancel:
			return
		case *carrier.Up_Ping:
			pong := &carrier.Pong{Number: body.Ping.GetNumber()}
			if err := stream.Send(&carrier.Down{Body: &carrier.Down_Pong{Pong: pong}}); err != nil {
				return
			}
		}
	}
}

// sink sends what becomes of one attempt down its stream.
type sink struct {
	stream carrier.DRPCCarrier_CallStream
	runner Runner
}

func (s *sink) send(down *carrier.Down) (err error) {
	return s.stream.Send(down)
}

// Accepted implements [runner.Sink].
func (s *sink) Accepted() (err error) {
	accepted := &carrier.Accepted{Incarnation: uint64(s.runner.Load().Incarnation)}
	return s.send(&carrier.Down{Body: &carrier.Down_Accepted{Accepted: accepted}})
}

// Head implements [runner.Sink]. It carries the load report.
func (s *sink) Head(head banyanplank.Head) (err error) {
	return s.send(&carrier.Down{
		Body: &carrier.Down_Head{Head: &carrier.Head{Status: int32(head.Status), Type: head.Type}},
		Load: carrier.NewLoad(s.runner.Load()),
	})
}

// Part implements [runner.Sink].
func (s *sink) Part(part banyanplank.Part) (err error) {
	return s.send(&carrier.Down{Body: &carrier.Down_Part{Part: &carrier.Part{Offset: part.Offset, Data: part.Data}}})
}

// refuse sends the refusal, with the load report.
func (s *sink) refuse(err error) error {
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	sent := s.send(&carrier.Down{
		Body: &carrier.Down_Refused{Refused: carrier.NewRefused(refusal)},
		Load: carrier.NewLoad(s.runner.Load()),
	})
	if sent != nil {
		return sent
	}
	return s.stream.Close()
}
