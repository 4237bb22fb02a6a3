package switcher

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/orderer"
)

// Agent runs the [Gate] of one rank and serves the calls with orders for it. It is
// safe for concurrent use.
type Agent struct {
	group       banyanplank.GroupName
	recordStore *RecordStore
	endpoint    banyanplank.Endpoint
	loop        *banyanplank.Loop
	lastCall    atomic.Uint64
	// lastCoordinator is one plus the rank of the coordinator whose order or
	// query succeeded last, or zero if none has.
	lastCoordinator atomic.Int64
	mutex           sync.Mutex
	answersByCall   map[uint64]chan AnswerCmd
}

// NewAgent returns an agent for a rank of the group. Orders for which check
// returns an error are refused, see [WithCheck].
func NewAgent(
	group banyanplank.GroupName,
	store banyanplank.ObjectStore,
	endpoint banyanplank.Endpoint,
	check func(banyanplank.Order) error,
) *Agent {
	a := &Agent{group: group, recordStore: NewRecordStore(store, group), endpoint: endpoint, answersByCall: make(map[uint64]chan AnswerCmd)}
	a.loop = banyanplank.NewLoop(NewGate(WithCheck(check)), a)
	return a
}

// Run processes orders until ctx is done.
func (a *Agent) Run(ctx context.Context) (err error) { return a.loop.Run(ctx) }

// LastCoordinator returns the rank of the coordinator whose order or query succeeded last.
// It returns false if none has.
func (a *Agent) LastCoordinator() (rank int, ok bool) {
	coordinator := a.lastCoordinator.Load()
	return int(coordinator) - 1, coordinator > 0
}

// Give submits an order to the gate and waits for the answer. Refusals are part of
// the reply. Give returns an error if the request is invalid, is for another group
// or is not answered before ctx is done.
func (a *Agent) Give(ctx context.Context, request *orderer.GiveRequest) (reply *orderer.GiveReply, err error) {
	order, query, err := orderer.DecodeOrder(request)
	if err != nil {
		return nil, err
	}
	if request.Group != string(a.group) {
		return nil, errors.Newf("order is for group %q, agent belongs to group %q", request.Group, a.group)
	}
	call := a.lastCall.Add(1)
	answers := a.registerCall(call)
	defer a.unregisterCall(call)
	if !a.loop.Send(ctx, OrderMsg{Serial: request.Serial, Order: order, Query: query, Call: call}) {
		return nil, ctx.Err()
	}
	select {
	case answer := <-answers:
		if answer.Err == nil {
			a.lastCoordinator.Store(int64(request.Giver) + 1)
		}
		return FromAnswer(answer), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// registerCall returns the channel that receives the answer to a call.
func (a *Agent) registerCall(call uint64) (answers <-chan AnswerCmd) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	channel := make(chan AnswerCmd, 1)
	a.answersByCall[call] = channel
	return channel
}

// unregisterCall removes a call. A later answer to it is discarded.
func (a *Agent) unregisterCall(call uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.answersByCall, call)
}

// Execute implements [banyanplank.Executor] for the gate.
func (a *Agent) Execute(ctx context.Context, command banyanplank.Command) (msg banyanplank.Msg) {
	switch c := command.(type) {
	case ReadRecordCmd:
		return a.recordStore.ReadFence(ctx)
	case ForwardCmd:
		return a.forwardOrder(ctx, c)
	case AnswerCmd:
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if answers, ok := a.answersByCall[c.Call]; ok {
			answers <- c
		}
	}
	return nil
}

// forwardOrder sends the order to the endpoint, unless it is a query, and reads
// the status of the rank.
func (a *Agent) forwardOrder(ctx context.Context, command ForwardCmd) (msg EndpointResultMsg) {
	msg.Call = command.Call
	if !command.Query {
		if msg.Err = a.endpoint.Order(ctx, command.Order); msg.Err != nil {
			return msg
		}
	}
	report, err := a.endpoint.Report(ctx)
	switch {
	case err != nil:
		msg.Err = err
	case report.Rank == nil:
		msg.Err = errors.New("endpoint report contains no rank status")
	default:
		msg.Status = *report.Rank
	}
	return msg
}
