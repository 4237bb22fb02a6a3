package switcher

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/orderer"
)

// Agent runs the [Gate] of one rank and serves orders for it. Its methods may
// be called from many goroutines.
type Agent struct {
	group    banyanplank.GroupName
	archive  *Archive
	endpoint banyanplank.Endpoint
	loop     *banyanplank.Loop
	calls    atomic.Uint64
	// giver is the rank of the coordinator whose order passed last, plus one.
	giver   atomic.Int64
	mutex   sync.Mutex
	waiting map[uint64]chan AnswerCmd
}

// NewAgent returns an agent for a rank of the group. Check refuses orders, see
// [WithCheck].
func NewAgent(
	group banyanplank.GroupName,
	store banyanplank.ObjectStore,
	endpoint banyanplank.Endpoint,
	check func(banyanplank.Order) error,
) *Agent {
	a := &Agent{group: group, archive: NewArchive(store, group), endpoint: endpoint, waiting: make(map[uint64]chan AnswerCmd)}
	a.loop = banyanplank.NewLoop(NewGate(WithCheck(check)), a)
	return a
}

// Run passes orders until ctx ends.
func (a *Agent) Run(ctx context.Context) (err error) { return a.loop.Run(ctx) }

// Giver returns the rank of the coordinator whose order passed last.
func (a *Agent) Giver() (rank int, ok bool) {
	giver := a.giver.Load()
	return int(giver) - 1, giver > 0
}

// Give passes an order through the gate and waits for the answer.
func (a *Agent) Give(ctx context.Context, request *orderer.GiveRequest) (reply *orderer.GiveReply, err error) {
	order, query, err := orderer.ToOrder(request)
	if err != nil {
		return nil, err
	}
	if request.Group != string(a.group) {
		return nil, errors.Newf("order for group %q at an agent of group %q", request.Group, a.group)
	}
	call := a.calls.Add(1)
	answers := a.await(call)
	defer a.forget(call)
	if !a.loop.Send(ctx, OrderMsg{Serial: request.Serial, Order: order, Query: query, Call: call}) {
		return nil, ctx.Err()
	}
	select {
	case answer := <-answers:
		if answer.Err == nil {
			a.giver.Store(int64(request.Giver) + 1)
		}
		return FromAnswer(answer), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// await returns where the answer to a call will come.
func (a *Agent) await(call uint64) (answers <-chan AnswerCmd) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	opened := make(chan AnswerCmd, 1)
	a.waiting[call] = opened
	return opened
}

// forget drops a call that nobody waits for any more.
func (a *Agent) forget(call uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.waiting, call)
}

// Execute implements [banyanplank.Executor] for the gate.
func (a *Agent) Execute(ctx context.Context, command banyanplank.Command) (msg banyanplank.Msg) {
	switch c := command.(type) {
	case ReadRecordCmd:
		return a.archive.ReadFence(ctx)
	case PassCmd:
		return a.pass(ctx, c)
	case AnswerCmd:
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if answers, ok := a.waiting[c.Call]; ok {
			answers <- c
		}
	}
	return nil
}

// pass gives the order to the endpoint and reads the rank's status.
func (a *Agent) pass(ctx context.Context, c PassCmd) (msg EndpointMsg) {
	msg.Call = c.Call
	if !c.Query {
		if msg.Err = a.endpoint.Order(ctx, c.Order); msg.Err != nil {
			return msg
		}
	}
	report, err := a.endpoint.Report(ctx)
	switch {
	case err != nil:
		msg.Err = err
	case report.Rank == nil:
		msg.Err = errors.New("the endpoint does not say which expert map it uses")
	default:
		msg.Status = *report.Rank
	}
	return msg
}
