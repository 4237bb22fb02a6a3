// Package claimer binds the idempotency key of a non-repeatable request to the
// only agent incarnation that may start it. A binding is an object in the
// platform's store, created by a conditional write, so that entries that do not
// communicate agree on it. A [Ticket] is a key that carries its binding and
// needs no store.
package claimer

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Defaults of a [Claimer].
const (
	// DefaultRetention is how long a key stays bound.
	DefaultRetention = 24 * time.Hour
	// DefaultTimeout is the time limit of one call to the store.
	DefaultTimeout = time.Second
	// DefaultPrefix is the prefix of the names of claim objects.
	DefaultPrefix = "claims/"
)

const (
	// storeRetryDelay is the delay suggested to a caller after a store failure.
	storeRetryDelay = 2 * time.Second
	// expiredRetention is how long an expired claim is kept, to tolerate clock
	// skew between daemons.
	expiredRetention = 2 * time.Hour
	// maxClockSkew is how far a caller's clock may run ahead of the local one.
	maxClockSkew = 5 * time.Minute
)

// Shards is the number of name prefixes over which claims are distributed.
const Shards = 4096

// Claimer creates and looks up bindings. It is safe for concurrent use.
type Claimer struct {
	store     banyanplank.ObjectStore
	retention time.Duration
	timeout   time.Duration
	prefix    string
}

// Option configures a [Claimer].
type Option func(*Claimer)

// WithRetention sets how long a key stays bound. Raise it if callers repeat
// calls after more than a day, at the cost of more objects in the store. The
// default is [DefaultRetention].
func WithRetention(retention time.Duration) Option {
	return func(c *Claimer) { c.retention = retention }
}

// WithTimeout sets the time limit of one call to the store. Raise it for a slow
// store. The default is [DefaultTimeout].
func WithTimeout(timeout time.Duration) Option {
	return func(c *Claimer) { c.timeout = timeout }
}

// WithPrefix sets the prefix of the names of claim objects. Use it to share a
// store. The default is [DefaultPrefix].
func WithPrefix(prefix string) Option {
	return func(c *Claimer) { c.prefix = prefix }
}

// New returns a claimer that stores its claims in store.
func New(store banyanplank.ObjectStore, options ...Option) *Claimer {
	c := &Claimer{
		store:     store,
		retention: DefaultRetention,
		timeout:   DefaultTimeout,
		prefix:    DefaultPrefix,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Key is the idempotency key of one client account.
type Key struct {
	Account banyanplank.AccountID
	Text    string
}

// Claim returns the binding of the key. A key without one is bound to the agent
// of the proposal until the retention ends, which counts from the time in a
// version 7 UUID or else from now. The error is a [*banyanplank.Refusal].
func (c *Claimer) Claim(ctx context.Context, now time.Time, key Key, proposal banyanplank.Binding) (binding banyanplank.Binding, err error) {
	proposal.StartDeadline = now.Add(c.retention).Round(0).UTC()
	if created, ok := uuidTime(key.Text); ok && !created.After(now.Add(maxClockSkew)) {
		proposal.StartDeadline = created.Add(c.retention).UTC()
		if now.After(proposal.StartDeadline) {
			return binding, expiredRefusal()
		}
	}
	return c.run(ctx, key, claim{proposal: proposal})
}

// Find returns the binding of the key, if there is one. The error is a
// [*banyanplank.Refusal].
func (c *Claimer) Find(ctx context.Context, key Key) (binding banyanplank.Binding, found bool, err error) {
	reply := c.get(ctx, c.name(key))
	if errors.Is(reply.err, banyanplank.ErrNotFound) {
		return binding, false, nil
	}
	if reply.err != nil {
		return binding, false, storeRefusal(reply.err)
	}
	binding, err = decodeClaim(reply.object)
	if err != nil {
		return binding, false, storeRefusal(err)
	}
	return binding, true, nil
}

// Rebind replaces the binding from by the proposal. Call it only after the agent
// of from has confirmed that it will never start the request under that
// generation. If from was replaced already, the result is the present binding.
// The error is a [*banyanplank.Refusal].
func (c *Claimer) Rebind(ctx context.Context, key Key, from, proposal banyanplank.Binding) (binding banyanplank.Binding, err error) {
	proposal.Call = from.Call
	proposal.StartDeadline = from.StartDeadline
	return c.run(ctx, key, claim{proposal: proposal, expect: banyanplank.Version(from.Generation)})
}

// run executes the commands of a claim until it ends.
func (c *Claimer) run(ctx context.Context, key Key, model claim) (binding banyanplank.Binding, err error) {
	name := c.name(key)
	model, command := model.start()
	for {
		switch cmd := command.(type) {
		case putCmd:
			model, command = model.update(c.put(ctx, name, cmd))
		case getCmd:
			model, command = model.update(c.get(ctx, name))
		case bindCmd:
			return cmd.binding, nil
		case refuseCmd:
			return binding, cmd.refusal
		}
	}
}

// put executes a putCmd.
func (c *Claimer) put(ctx context.Context, name string, cmd putCmd) (reply putMsg) {
	value, err := encodeClaim(cmd.binding)
	if err != nil {
		return putMsg{err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	position, err := c.store.Put(ctx, name, value, cmd.expect)
	return putMsg{version: position.Revision, err: err}
}

// get reads the named object for a getCmd.
func (c *Claimer) get(ctx context.Context, name string) (reply getMsg) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply.object, reply.err = c.store.Get(ctx, name)
	return reply
}

// name returns the name of the key's claim object.
func (c *Claimer) name(key Key) (name string) {
	return c.prefix + banyanplank.NewKeyDigest(key.Account, key.Text).String()
}

// Sweep deletes at most limit claims of one shard that expired so long ago that
// no agent would start them, and returns how many it deleted. Claims that
// cannot be decoded are deleted too. Shards are numbered from zero to
// [Shards]-1. Sweep makes one call to the store, and one for each deletion.
func (c *Claimer) Sweep(ctx context.Context, now time.Time, shard, limit int) (deleted int, err error) {
	defer func() { err = errors.Wrapf(err, "sweep claims of shard %d", shard) }()
	objects, err := c.store.List(ctx, fmt.Sprintf("%s%03x", c.prefix, shard))
	if err != nil {
		return 0, err
	}
	for _, object := range objects {
		if deleted == limit {
			break
		}
		binding, err := decodeClaim(object)
		if err == nil && now.Before(binding.StartDeadline.Add(expiredRetention)) {
			continue
		}
		if err := c.store.Delete(ctx, object.Name, object.Version); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
