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
	transport    Transport
	store        banyanplank.ObjectStore
	instanceList banyanplank.InstanceList
}

// NewExecutor returns an executor that reaches peers over transport, the object
// API over store and the platform's instances over instanceList.
func NewExecutor(transport Transport, store banyanplank.ObjectStore, instanceList banyanplank.InstanceList) (e *Executor) {
	return &Executor{transport: transport, store: store, instanceList: instanceList}
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
	case WatchRootCmd:
		return e.watchRoot(ctx, c)
	case ReadRootCmd:
		return e.readRoot(ctx)
	case ReadShardsCmd:
		return e.readShards(ctx, c)
	case ListInstancesCmd:
		return e.listInstances(ctx)
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

func (e *Executor) watchRoot(ctx context.Context, c WatchRootCmd) (msg RootMsg) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	msg = RootMsg{FromWatch: true, Sent: time.Now()}
	objects, err := e.store.Watch(ctx, accepter.RootName, banyanplank.Position{Revision: c.After})
	msg.Err = err
	for _, object := range objects {
		if object.Name == accepter.RootName {
			msg.Version, msg.Value = object.Version, object.Value
		}
	}
	return msg
}

func (e *Executor) readRoot(ctx context.Context) (msg RootMsg) {
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

// minShardsToList is the number of shards from which one list call costs less
// than a read for each shard.
const minShardsToList = 16

func (e *Executor) readShards(ctx context.Context, c ReadShardsCmd) (msg ShardsMsg) {
	ctx, cancel := context.WithTimeout(ctx, shardsTimeout)
	defer cancel()
	if len(c.Names) >= minShardsToList {
		return e.listShards(ctx)
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

func (e *Executor) listShards(ctx context.Context) (msg ShardsMsg) {
	objects, err := e.store.List(ctx, accepter.ShardPrefix)
	msg.Err = err
	for _, object := range objects {
		name := strings.TrimPrefix(object.Name, accepter.ShardPrefix)
		msg.Shards = append(msg.Shards, sharder.Shard{Name: sharder.Name(name), Value: object.Value})
	}
	return msg
}

func (e *Executor) listInstances(ctx context.Context) (msg InstancesMsg) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	msg.Instances, msg.Err = e.instanceList.Instances(ctx)
	return msg
}
