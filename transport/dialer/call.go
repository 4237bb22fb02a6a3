package dialer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/carrier"
)

// call is the answer of one open call.
type call struct {
	stream carrier.DRPCCarrier_CallClient
	cancel context.CancelFunc
	report func(banyanplank.LoadReport)
	head   banyanplank.Head
}

// accept waits for the agent's word and the head of the answer.
func (c *call) accept() (err error) {
	for {
		down, err := c.receive()
		if err != nil {
			return err
		}
		switch body := down.GetBody().(type) {
		case *carrier.Down_Head:
			c.head = banyanplank.Head{Status: int(body.Head.GetStatus()), Type: body.Head.GetType()}
			return nil
		case *carrier.Down_Refused:
			return body.Refused.Refusal()
		}
	}
}

// receive returns the next message and reports its load.
func (c *call) receive() (down *carrier.Down, err error) {
	down, err = c.stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if load := down.GetLoad(); load != nil {
		c.report(load.Report())
	}
	return down, nil
}

// Head implements [banyanplank.Answer].
func (c *call) Head() (head banyanplank.Head) { return c.head }

// Next implements [banyanplank.Answer]. Any error but [io.EOF] is a
// [*banyanplank.Refusal].
func (c *call) Next() (part banyanplank.Part, err error) {
	for {
		down, err := c.receive()
		if err != nil {
			return part, refuse(err)
		}
		switch body := down.GetBody().(type) {
		case *carrier.Down_Part:
			return banyanplank.Part{Offset: body.Part.GetOffset(), Data: body.Part.GetData()}, nil
		case *carrier.Down_End:
			return part, io.EOF
		case *carrier.Down_Refused:
			return part, body.Refused.Refusal()
		}
	}
}

// Close ends the call. Before the end of the answer it cancels the attempt.
func (c *call) Close() (err error) {
	c.cancel()
	return c.stream.Close()
}
