package listener

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/protocol/carrier"
	"github.com/banyanplank/banyanplank/transport/prober"
)

// Runner executes requests at the agent.
type Runner interface {
	// Run executes request and sends its answer to sink. The error is a
	// [*banyanplank.Refusal].
	Run(ctx context.Context, request *banyanplank.Request, sink runner.Sink) (end banyanplank.End, err error)
	// Load returns the agent's latest load report.
	Load() (report banyanplank.LoadReport)
	// Identity returns the id and the incarnation of the agent.
	Identity() (daemon banyanplank.DaemonID, incarnation banyanplank.Incarnation)
}

// callServer implements [carrier.DRPCCarrierServer].
type callServer struct {
	runner Runner
}

// Call serves one call. A returned error closes the connection, so refusals are
// sent as messages.
func (c *callServer) Call(stream carrier.DRPCCarrier_CallStream) (err error) {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	open := up.GetOpen()
	if open == nil {
		return errors.New("first message is not Open")
	}
	// Only receive and the prober may cancel ctx before the request is done, so
	// that the cause shows whether the caller has gone.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(stream.Context()))
	down := newSink(stream, c.runner)
	prober := prober.New(time.Now())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() { cancel(down.receive(prober)) })
	defer prober.Start(func() error { return nil }, cancel)()
	end, err := c.runner.Run(ctx, open.Request(time.Now()), down)
	if err != nil {
		return down.sendRefusal(err)
	}
	if err := down.send(&carrier.Down{Body: &carrier.Down_End{End: &carrier.End{Parts: end.Parts}}}); err != nil {
		return err
	}
	return stream.Close()
}

// Identify returns the id and the incarnation of the agent.
func (c *callServer) Identify(context.Context, *carrier.IdentifyRequest) (reply *carrier.IdentifyReply, err error) {
	daemon, incarnation := c.runner.Identity()
	return &carrier.IdentifyReply{Daemon: string(daemon), Incarnation: uint64(incarnation)}, nil
}
