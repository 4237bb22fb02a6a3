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

// Runner runs requests at the agent.
type Runner interface {
	// Run runs request and sends its answer to sink. The error is a
	// [*banyanplank.Refusal].
	Run(ctx context.Context, request *banyanplank.Request, sink runner.Sink) (end banyanplank.End, err error)
	// Load returns the agent's newest load report.
	Load() (report banyanplank.LoadReport)
	// Identity returns which run of which agent this is.
	Identity() (daemon banyanplank.DaemonID, incarnation banyanplank.Incarnation)
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
	// Only listen and the prober end ctx, so that its cause tells whether the
	// caller has gone.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(stream.Context()))
	down := newSink(stream, c.runner)
	prober := prober.New(time.Now())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() { cancel(down.listen(prober)) })
	defer prober.Start(func() error { return nil }, cancel)()
	end, err := c.runner.Run(ctx, open.Request(time.Now()), down)
	if err != nil {
		return down.refuse(err)
	}
	if err := down.send(&carrier.Down{Body: &carrier.Down_End{End: &carrier.End{Parts: end.Parts}}}); err != nil {
		return err
	}
	return stream.Close()
}

// Identify tells which run of the agent answers.
func (c *calls) Identify(context.Context, *carrier.IdentifyRequest) (reply *carrier.IdentifyReply, err error) {
	daemon, incarnation := c.runner.Identity()
	return &carrier.IdentifyReply{Daemon: string(daemon), Incarnation: uint64(incarnation)}, nil
}
