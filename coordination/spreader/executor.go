package spreader

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// Executor carries out the commands of a [Model]. It implements
// [banyanplank.Executor].
type Executor struct {
	transport Transport
	store     banyanplank.ObjectStore
	list      banyanplank.InstanceList
}

// NewExecutor returns an executor that reaches peers over transport.
func NewExecutor(transport Transport, store banyanplank.ObjectStore, list banyanplank.InstanceList) (e *Executor) {
	return &Executor{transport: transport, store: store, list: list}
}

// Execute implements [banyanplank.Executor].
func (e *Executor) Execute(ctx context.Context, command banyanplank.Command) (msg banyanplank.Msg) {
	switch c := command.(type) {
	case AnswerCmd:
		c.Answer <- c.Digest
		return nil
	case ExchangeCmd:
		return e.exchange(ctx, c)
	case FetchCmd:
		return e.fetch(ctx, c)
	case WatchCmd:
		return e.watch(ctx, c)
	case ReadCmd:
		return e.read(ctx)
	case ShardsCmd:
		return e.shards(ctx, c)
	case InstancesCmd:
		return e.instances(ctx)
	default:
		return nil
	}
}

func (e *Executor) exchange(ctx context.Context, c ExchangeCmd) (msg ReplyMsg) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := e.transport.Exchange(ctx, c.To, c.Digest)
	return ReplyMsg{Command: c, Sent: sent, Digest: reply, Err: err}
}

func (e *Executor) fetch(ctx context.Context, c FetchCmd) (msg FetchedMsg) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := e.transport.Fetch(ctx, c.From, c.Request)
	return FetchedMsg{Command: c, Reply: reply, Err: err}
}

func (e *Executor) watch(ctx context.Context, c WatchCmd) (msg RootMsg) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	msg = RootMsg{Watch: true, Sent: time.Now()}
	objects, err := e.store.Watch(ctx, accepter.RootName, c.After)
	msg.Err = err
	for _, object := range objects {
		if object.Name == accepter.RootName {
			msg.Version, msg.Value = object.Version, object.Value
		}
	}
	return msg
}

func (e *Executor) read(ctx context.Context) (msg RootMsg) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	msg.Sent = time.Now()
	object, err := e.store.Get(ctx, accepter.RootName)
	if errors.Is(err, banyanplank.ErrNotFound) {
		return msg
	}
	msg.Version, msg.Value, msg.Err = object.Version, object.Value, err
	return msg
}

// manyShards is the number of shards from which on one list is cheaper than
// many reads.
const manyShards = 16

func (e *Executor) shards(ctx context.Context, c ShardsCmd) (msg ShardsMsg) {
	ctx, cancel := context.WithTimeout(ctx, shardsTimeout)
	defer cancel()
	if len(c.Names) >= manyShards {
		return e.allShards(ctx)
	}
	for _, name := range c.Names {
		object, err := e.store.Get(ctx, accepter.ShardPrefix+string(name))
		if err != nil {
			msg.Err = err
			return msg
		}
		msg.Shards = append(msg.Shards, sharder.Shard{Name: name, Value: object.Value})
	}
	return msg
}

func (e *Executor) allShards(ctx context.Context) (msg ShardsMsg) {
	objects, err := e.store.List(ctx, accepter.ShardPrefix)
	msg.Err = err
	for _, object := range objects {
		name := strings.TrimPrefix(object.Name, accepter.ShardPrefix)
		msg.Shards = append(msg.Shards, sharder.Shard{Name: sharder.Name(name), Value: object.Value})
	}
	return msg
}

func (e *Executor) instances(ctx context.Context) (msg InstancesMsg) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	msg.Instances, msg.Err = e.list.Instances(ctx)
	return msg
}
