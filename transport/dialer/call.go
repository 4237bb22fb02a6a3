package dialer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/carrier"
	"github.com/banyanplank/banyanplank/transport/prober"
)

// ackIntervalBytes is how many bytes are passed on to the caller between two
// acknowledgments. It is a fraction of the send window of agents.
const ackIntervalBytes = 1 << 10

// closeTimeout limits the wait for the agent to close the stream after its last
// message.
const closeTimeout = time.Second

// call is the answer of one open call. A goroutine reads the stream all the
// time, so that replies to probes are processed however slowly the caller reads.
// The agent's send window bounds the queue.
type call struct {
	dialer           *Dialer
	stream           carrier.DRPCCarrier_CallClient
	ctx              context.Context
	cancel           context.CancelCauseFunc
	stopContextWatch func() bool
	// release returns the connection to the pool, or closes it if it is not
	// reusable.
	release    func(reusable bool)
	prober     *prober.Prober
	stopProbe  func()
	probesSent atomic.Uint64
	group      conc.WaitGroup
	closeOnce  sync.Once
	abortOnce  sync.Once
	// requestSent is set after the attempt to send the request.
	requestSent   atomic.Bool
	closedByAgent atomic.Bool
	// receiveDone is closed when the stream ends.
	receiveDone chan struct{}

	// Only the goroutine that calls Next uses end, delivered and unackedBytes.
	end          banyanplank.End
	delivered    uint64
	unackedBytes int

	// deliveredOffset is the number of parts that were passed on to the caller.
	deliveredOffset atomic.Uint64
	ended           atomic.Bool

	mu    sync.Mutex
	queue []*carrier.Down
	err   error
	// ready has a value when the queue or err may have changed.
	ready chan struct{}
}

func newCall(ctx context.Context, cancel context.CancelCauseFunc, d *Dialer, stream carrier.DRPCCarrier_CallClient) (c *call) {
	c = &call{
		dialer: d,
		stream: stream,
		ctx:    ctx,
		cancel: cancel,
		prober: prober.New(time.Now()),
		ready:  make(chan struct{}, 1),

		receiveDone: make(chan struct{}),
	}
	c.group.Go(c.receive)
	c.stopProbe = c.prober.Start(c.sendProbe, func(err error) { c.cancel(err) })
	return c
}

// receive queues messages until the stream ends.
func (c *call) receive() {
	defer close(c.receiveDone)
	for {
		down, err := c.stream.Recv()
		if err != nil {
			c.setError(err)
			return
		}
		c.prober.RecordReceived(time.Now())
		if load := down.GetLoad(); load != nil {
			c.dialer.onLoadReport(load.Report())
		}
		if _, ok := down.GetBody().(*carrier.Down_Pong); !ok {
			c.push(down)
		}
	}
}

// push queues a message for Next.
func (c *call) push(down *carrier.Down) {
	c.mu.Lock()
	c.queue = append(c.queue, down)
	c.mu.Unlock()
	c.wake()
}

// setError sets the error that follows the queued messages. If the stream was
// canceled, that is the cause of the cancellation, which is more specific.
func (c *call) setError(err error) {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if cause := context.Cause(c.ctx); cause != nil {
		err = cause
	}
	c.mu.Lock()
	c.err = err
	c.mu.Unlock()
	c.wake()
}

func (c *call) wake() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// pop waits for the next message. Once the queue is empty, it returns the error
// that ended the stream.
func (c *call) pop() (down *carrier.Down, err error) {
	for {
		c.mu.Lock()
		if len(c.queue) > 0 {
			down, c.queue[0] = c.queue[0], nil
			c.queue = c.queue[1:]
			c.mu.Unlock()
			return down, nil
		}
		err = c.err
		c.mu.Unlock()
		if err != nil {
			return nil, err
		}
		<-c.ready
	}
}

func (c *call) sendRequest(open *carrier.Open) (err error) {
	defer c.requestSent.Store(true)
	return c.stream.Send(&carrier.Up{Body: &carrier.Up_Open{Open: open}})
}

// sendProbe sends a ping, and an acknowledgment if parts were passed on. It
// sends nothing before the request, which must be the first message. An agent
// that has sent everything accepts no more probes, so send errors are ignored;
// receive detects a broken connection.
func (c *call) sendProbe() (err error) {
	if !c.requestSent.Load() {
		return nil
	}
	if offset := c.deliveredOffset.Load(); offset > 0 {
		_ = c.sendAck(offset)
	}
	_ = c.stream.Send(&carrier.Up{Body: &carrier.Up_Ping{Ping: &carrier.Ping{Number: c.probesSent.Add(1)}}})
	return nil
}

func (c *call) sendAck(offset uint64) (err error) {
	return c.stream.Send(&carrier.Up{Body: &carrier.Up_Ack{Ack: &carrier.Ack{Offset: offset}}})
}

// awaitAcceptance waits until the agent accepts or refuses the request.
func (c *call) awaitAcceptance() (err error) {
	down, err := c.pop()
	if err != nil {
		return err
	}
	switch body := down.GetBody().(type) {
	case *carrier.Down_Accepted:
		return nil
	case *carrier.Down_Refused:
		c.ended.Store(true)
		return body.Refused.Refusal()
	default:
		return errors.Newf("received message %T instead of Accepted", body)
	}
}

// ReadHead implements [forwarder.Answer].
func (c *call) ReadHead() (head banyanplank.Head, err error) {
	defer func() { err = toRefusal(err) }()
	down, err := c.pop()
	if err != nil {
		return head, err
	}
	switch body := down.GetBody().(type) {
	case *carrier.Down_Head:
		return banyanplank.Head{Status: int(body.Head.GetStatus()), Type: body.Head.GetType()}, nil
	case *carrier.Down_Refused:
		c.ended.Store(true)
		return head, body.Refused.Refusal()
	default:
		return head, errors.Newf("received message %T instead of Head", body)
	}
}

// Next implements [forwarder.Answer]. Any error but [io.EOF] is a
// [*banyanplank.Refusal].
func (c *call) Next() (part banyanplank.Part, err error) {
	c.acknowledge()
	down, err := c.pop()
	if err != nil {
		return part, toRefusal(err)
	}
	switch body := down.GetBody().(type) {
	case *carrier.Down_Part:
		part = banyanplank.Part{Offset: body.Part.GetOffset(), Data: body.Part.GetData()}
		c.delivered = part.Offset + 1
		c.unackedBytes += len(part.Data)
		return part, nil
	case *carrier.Down_End:
		c.ended.Store(true)
		c.end = banyanplank.End{Parts: body.End.GetParts()}
		return part, io.EOF
	case *carrier.Down_Refused:
		c.ended.Store(true)
		return part, body.Refused.Refusal()
	default:
		return part, toRefusal(errors.Newf("received message %T instead of Part", body))
	}
}

// acknowledge counts the latest part as passed on to the caller and sends an
// acknowledgment if enough bytes have accumulated. An agent that has sent
// everything accepts no more of them, so send errors are ignored; receive
// detects a broken connection.
func (c *call) acknowledge() {
	c.deliveredOffset.Store(c.delivered)
	if c.unackedBytes >= ackIntervalBytes {
		c.unackedBytes = 0
		_ = c.sendAck(c.delivered)
		c.prober.RecordSent(time.Now())
	}
}

// End implements [forwarder.Answer].
func (c *call) End() (end banyanplank.End) { return c.end }

// abort cancels the request at the agent and ends the stream. It waits for the
// agent to close the stream, since ending it earlier could overtake the Cancel
// message. If the call has ended or the dialer is detached, no Cancel is sent.
func (c *call) abort() {
	c.abortOnce.Do(func() {
		if !c.ended.Load() && !c.dialer.detached.Load() {
			_ = c.stream.Send(&carrier.Up{Body: &carrier.Up_Cancel{Cancel: &carrier.Cancel{}}})
			c.awaitClose()
		}
		c.cancel(context.Canceled)
	})
}

// Close implements [forwarder.Answer].
func (c *call) Close() (err error) {
	c.closeOnce.Do(func() {
		c.stopContextWatch()
		if c.ended.Load() {
			c.awaitClose()
		}
		c.abort()
		c.cleanUp()
	})
	return nil
}

// Detach implements [forwarder.Answer].
func (c *call) Detach() {
	c.closeOnce.Do(func() {
		c.stopContextWatch()
		if c.ended.Load() {
			c.awaitClose()
		}
		c.cancel(context.Canceled)
		c.cleanUp()
	})
}

// cleanUp stops the goroutines of the call and releases its connection. The
// connection is reusable only if the agent closed the stream.
func (c *call) cleanUp() {
	c.stopProbe()
	c.group.Wait()
	_ = c.stream.Close()
	c.release(c.closedByAgent.Load())
}

// awaitClose waits for the agent to close the stream, which follows its last
// message.
func (c *call) awaitClose() {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-c.receiveDone:
		c.closedByAgent.Store(context.Cause(c.ctx) == nil)
	case <-timer.C:
	}
}
