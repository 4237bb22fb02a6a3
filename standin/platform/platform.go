// Package platform is an in-memory fake of the platform's object API and
// instance list. It counts calls and injects faults on request. Its only clock
// is that of package time, so it works in a testing/synctest bubble if it is
// created there.
//
//	p := platform.New()
//	version, err := p.Put(ctx, "a", []byte("value"), 0)
//	p.SetDown(true)
//	_, err = p.Get(ctx, "a") // banyanplank.ErrUnavailable
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

var (
	_ banyanplank.ObjectStore  = (*Platform)(nil)
	_ banyanplank.InstanceList = (*Platform)(nil)
)

const defaultWatchTimeout = 30 * time.Second

// Platform is one client of the fake platform. All clients share its objects and
// instances; faults and call counts belong to one client. Its methods are safe
// for concurrent use.
type Platform struct {
	shared       *sharedState
	watchTimeout time.Duration
	bearerKey    string
	faults       faults
	callCounts   CallCounts
	onEra        func(banyanplank.Era)
}

// Option configures a [Platform].
type Option func(*Platform)

// WithWatchTimeout sets the maximum duration of a watch. Use it to test watches that the
// store ends before the caller expects. The default is 30 s.
func WithWatchTimeout(timeout time.Duration) Option {
	return func(p *Platform) { p.watchTimeout = timeout }
}

// WithKey makes the HTTP handler reject calls without this bearer key. Use it to
// test authentication. By default all calls are accepted.
func WithKey(key string) Option {
	return func(p *Platform) { p.bearerKey = key }
}

// WithEra sets the era of the store. The default is zero, as of a store that names none.
func WithEra(era banyanplank.Era) Option {
	return func(p *Platform) { p.shared.setEra(era) }
}

// New returns an empty platform without faults.
func New(options ...Option) *Platform {
	p := &Platform{shared: newSharedState(), watchTimeout: defaultWatchTimeout, onEra: func(banyanplank.Era) {}}
	for _, option := range options {
		option(p)
	}
	return p
}

// Client returns another client of the same objects and instances, with its own
// faults and call counts. Use it to disconnect one daemon while others still
// reach the platform.
func (p *Platform) Client() (client *Platform) {
	return &Platform{shared: p.shared, watchTimeout: p.watchTimeout, bearerKey: p.bearerKey, onEra: func(banyanplank.Era) {}}
}

// SetEraHandler calls notify with the era of each response to this client, before the call returns.
// Call it before other methods. The default does nothing.
func (p *Platform) SetEraHandler(notify func(era banyanplank.Era)) { p.onEra = notify }

// Get implements [banyanplank.ObjectStore].
func (p *Platform) Get(ctx context.Context, name string) (object banyanplank.Object, err error) {
	err = p.beginRead(ctx, MethodGet)
	if err != nil {
		return banyanplank.Object{}, err
	}
	object, ok := p.shared.get(name, p.readTime())
	err = p.finishRead(ctx)
	if err != nil {
		return banyanplank.Object{}, err
	}
	p.onEra(object.Era)
	if !ok {
		return object, banyanplank.ErrNotFound
	}
	return object, nil
}

// List implements [banyanplank.ObjectStore].
func (p *Platform) List(ctx context.Context, prefix string) (objects []banyanplank.Object, err error) {
	err = p.beginRead(ctx, MethodList)
	if err != nil {
		return nil, err
	}
	objects, era := p.shared.list(prefix, 0, p.readTime()), p.shared.era(p.readTime())
	if err = p.finishRead(ctx); err != nil {
		return nil, err
	}
	p.onEra(era)
	return objects, nil
}

// Put implements [banyanplank.ObjectStore]. If ctx ends while the request is
// delayed, the write still takes effect after the delay.
func (p *Platform) Put(ctx context.Context, name string, value []byte, expect banyanplank.Version) (position banyanplank.Position, err error) {
	if len(value) > banyanplank.MaxValueBytes {
		return position, errors.Wrapf(banyanplank.ErrTooLarge, "%d bytes", len(value))
	}
	value = append([]byte(nil), value...)
	return p.write(ctx, MethodPut, func() (banyanplank.Position, error) {
		return p.shared.put(name, value, expect)
	})
}

// Delete implements [banyanplank.ObjectStore].
func (p *Platform) Delete(ctx context.Context, name string, expect banyanplank.Version) (err error) {
	_, err = p.write(ctx, MethodDelete, func() (banyanplank.Position, error) {
		return banyanplank.Position{}, p.shared.remove(name, expect)
	})
	return err
}

// write counts a write and applies it with the faults of this client.
func (p *Platform) write(ctx context.Context, method Method, apply func() (banyanplank.Position, error)) (position banyanplank.Position, err error) {
	p.countCall(method)
	if p.faults.isDown() {
		return position, banyanplank.ErrUnavailable
	}
	arrival := time.Now().Add(p.faults.requestDelay())
	if banyanplank.Sleep(ctx, p.faults.requestDelay()) != nil {
		time.AfterFunc(time.Until(arrival), func() { _, _ = apply() })
		return position, uncertainError(ctx)
	}
	position, err = apply()
	era := p.shared.era(time.Now())
	if err == nil && p.faults.consumeLostReply() {
		return banyanplank.Position{}, errors.Wrap(banyanplank.ErrUncertain, "injected fault: reply lost")
	}
	if banyanplank.Sleep(ctx, p.faults.replyDelay()) != nil {
		return banyanplank.Position{}, uncertainError(ctx)
	}
	p.onEra(era)
	return position, err
}

// Watch implements [banyanplank.ObjectStore]. [Platform.SetDown] ends a pending
// watch with [banyanplank.ErrUnavailable].
func (p *Platform) Watch(ctx context.Context, prefix string, after banyanplank.Position) (objects []banyanplank.Object, err error) {
	return p.watch(ctx, prefix, after, p.watchTimeout)
}

// watch is [Platform.Watch] with wait as its maximum duration.
func (p *Platform) watch(ctx context.Context, prefix string, after banyanplank.Position, wait time.Duration) (objects []banyanplank.Object, err error) {
	err = p.beginRead(ctx, MethodWatch)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) {
		changed := p.shared.nextChange()
		if p.faults.isDown() {
			return nil, banyanplank.ErrUnavailable
		}
		if era := p.shared.era(p.readTime()); era > after.Era {
			return nil, errors.Mark(errors.Wrapf(banyanplank.ErrNewEra, "era %d", era), banyanplank.ErrCompacted)
		}
		objects = p.shared.list(prefix, after.Revision, p.readTime())
		if len(objects) > 0 {
			return objects, p.finishRead(ctx)
		}
		err = p.waitForChange(ctx, changed, deadline)
		if err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// waitForChange waits for a change, for a change to become visible despite the
// read lag, or for deadline.
func (p *Platform) waitForChange(ctx context.Context, changed <-chan struct{}, deadline time.Time) (err error) {
	wait := time.Until(deadline)
	if lag := p.faults.readLag(); lag > 0 {
		wait = min(wait, lag)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unavailableError(ctx)
	}
}

// Instances implements [banyanplank.InstanceList].
func (p *Platform) Instances(ctx context.Context) (instances []banyanplank.Instance, err error) {
	err = p.beginRead(ctx, MethodInstances)
	if err != nil {
		return nil, err
	}
	instances = p.shared.listInstances(time.Now().Add(-p.faults.instanceLag()))
	return instances, p.finishRead(ctx)
}

// Return makes the store continue from the copy of its objects from age ago, at most two minutes,
// in the next era. Versions given out since are given out again.
func (p *Platform) Return(age time.Duration) { p.shared.returnFrom(time.Now().Add(-age)) }

// SetInstance adds an instance or replaces the one with the same ID.
func (p *Platform) SetInstance(instance banyanplank.Instance) {
	p.shared.setInstance(instance, true)
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id banyanplank.InstanceID) {
	p.shared.setInstance(banyanplank.Instance{ID: id}, false)
}

// beginRead counts a read, and fails or delays it as the faults require.
func (p *Platform) beginRead(ctx context.Context, method Method) (err error) {
	p.countCall(method)
	if p.faults.isDown() {
		return banyanplank.ErrUnavailable
	}
	if banyanplank.Sleep(ctx, p.faults.requestDelay()) != nil {
		return unavailableError(ctx)
	}
	return nil
}

// finishRead delays the reply of a read.
func (p *Platform) finishRead(ctx context.Context) (err error) {
	if banyanplank.Sleep(ctx, p.faults.replyDelay()) != nil {
		return unavailableError(ctx)
	}
	return nil
}

// readTime returns the time whose state is visible to reads.
func (p *Platform) readTime() (at time.Time) {
	return time.Now().Add(-p.faults.readLag())
}

// unavailableError returns the error of a read whose context ended.
func unavailableError(ctx context.Context) (err error) {
	return errors.Wrap(banyanplank.ErrUnavailable, context.Cause(ctx).Error())
}

// uncertainError returns the error of a write whose context ended.
func uncertainError(ctx context.Context) (err error) {
	return errors.Wrap(banyanplank.ErrUncertain, context.Cause(ctx).Error())
}
