package rebalancer

import (
	"context"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/switcher"
	"github.com/banyanplank/banyanplank/protocol/orderer"
)

const (
	// storeTimeout bounds the object API calls of one command.
	storeTimeout = 3 * time.Second
	// orderTimeout bounds one order to an agent, including the reply of its
	// endpoint.
	orderTimeout = 5 * time.Second
)

// OrderSender sends orders to the agents of a group.
type OrderSender interface {
	// Give sends the request to the agent of the rank in it.
	Give(ctx context.Context, request *orderer.GiveRequest) (reply *orderer.GiveReply, err error)
}

// Executor executes the commands of a [Rebalancer].
type Executor struct {
	// Group is the group, Rank the rank of this agent in it.
	Group       banyanplank.GroupName
	Rank        int
	Archive     *switcher.RecordStore
	OrderSender OrderSender
	// Log handles the commands that only report: events, stalls and plans.
	Log func(command banyanplank.Command)
}

// Execute implements [banyanplank.Executor].
func (e Executor) Execute(ctx context.Context, command banyanplank.Command) (msg banyanplank.Msg) {
	switch c := command.(type) {
	case switcher.ReadRecordCmd:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return e.Archive.Read(ctx)
	case switcher.WriteRecordCmd:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return e.Archive.Write(ctx, c)
	case switcher.OrderCmd:
		return e.sendOrder(ctx, c)
	case switcher.StatusCmd:
		request := orderer.EncodeOrder(e.Group, c.Rank, c.Serial, banyanplank.Order{Fence: c.Fence})
		return e.sendRequest(ctx, c.Rank, request)
	case PlanCmd:
		return c.MakePlan()
	default:
		e.Log(command)
		return nil
	}
}

// sendOrder sends an order, with the changes of its map if the command has a map
// and its base.
func (e Executor) sendOrder(ctx context.Context, c switcher.OrderCmd) (msg switcher.ReplyMsg) {
	request := orderer.EncodeOrder(e.Group, c.Rank, c.Serial, c.Order)
	if c.Map != nil && c.Base != nil {
		change, err := orderer.EncodeChange(*c.Base, *c.Map)
		if err != nil {
			return switcher.ReplyMsg{Rank: c.Rank, Serial: c.Serial, Err: err}
		}
		request.Change = change
	}
	return e.sendRequest(ctx, c.Rank, request)
}

// sendRequest sends a request to the agent of a rank and returns its reply.
func (e Executor) sendRequest(ctx context.Context, rank int, request *orderer.GiveRequest) (msg switcher.ReplyMsg) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request.Giver = uint32(e.Rank)
	reply, err := e.OrderSender.Give(ctx, request)
	if err != nil {
		return switcher.ReplyMsg{Rank: rank, Serial: request.Serial, Err: err}
	}
	return switcher.ToReply(rank, request.Serial, reply)
}
