package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/platform"
)

func TestPutChecksExpectedVersion(t *testing.T) {
	cases := map[string]struct {
		name   string
		expect banyanplank.Version
		want   error
	}{
		"create new":      {"b", 0, nil},
		"create existing": {"a", 0, banyanplank.ErrConflict},
		"update":          {"a", 1, nil},
		"update stale":    {"a", 9, banyanplank.ErrConflict},
		"update missing":  {"b", 1, banyanplank.ErrConflict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := platform.New()
			_, err := p.Put(t.Context(), "a", []byte("1"), 0)
			is.NoErr(err)
			position, err := p.Put(t.Context(), c.name, []byte("2"), c.expect)
			is.True(errors.Is(err, c.want))
			if c.want == nil {
				is.Equal(position.Revision, banyanplank.Version(2))
			}
		})
	}
}

func TestPutRejectsLargeValue(t *testing.T) {
	is := is.New(t)
	_, err := platform.New().Put(t.Context(), "a", make([]byte, banyanplank.MaxValueBytes+1), 0)
	is.True(errors.Is(err, banyanplank.ErrTooLarge))
}

// A version that is used again for a recreated object would let a conditional
// write based on the deleted object succeed.
func TestRecreatedObjectHasNewVersion(t *testing.T) {
	is := is.New(t)
	p := platform.New()
	first, err := p.Put(t.Context(), "a", nil, 0)
	is.NoErr(err)
	is.True(errors.Is(p.Delete(t.Context(), "a", 5), banyanplank.ErrConflict))
	is.NoErr(p.Delete(t.Context(), "a", first.Revision))
	is.True(errors.Is(p.Delete(t.Context(), "a", first.Revision), banyanplank.ErrNotFound))
	second, err := p.Put(t.Context(), "a", nil, 0)
	is.NoErr(err)
	is.True(first.IsBefore(second))
}

func TestWriteWithLostReplyTakesEffect(t *testing.T) {
	is := is.New(t)
	p := platform.New()
	p.LoseReplies(1)
	_, err := p.Put(t.Context(), "a", []byte("1"), 0)
	is.True(errors.Is(err, banyanplank.ErrUncertain))
	object, err := p.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(object.Value), "1")
}

func TestDelayedWriteTakesEffectAfterCallerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New()
		p.SetDelay(5*time.Second, 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.Put(ctx, "a", []byte("1"), 0)
		is.True(errors.Is(err, banyanplank.ErrUncertain))
		p.SetDelay(0, 0)
		_, err = p.Get(t.Context(), "a")
		is.True(errors.Is(err, banyanplank.ErrNotFound))
		time.Sleep(4 * time.Second)
		synctest.Wait()
		_, err = p.Get(t.Context(), "a")
		is.NoErr(err)
	})
}

func TestSetDownAffectsOneClient(t *testing.T) {
	is := is.New(t)
	p := platform.New()
	isolated := p.Client()
	isolated.SetDown(true)
	_, err := isolated.Put(t.Context(), "a", nil, 0)
	is.True(errors.Is(err, banyanplank.ErrUnavailable))
	_, err = p.Put(t.Context(), "a", nil, 0)
	is.NoErr(err)
	is.Equal(isolated.Calls().Writes(), 1)
	is.Equal(p.TotalCalls().Writes(), 2)
}

func TestReadLagReturnsOldValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New()
		position, err := p.Put(t.Context(), "a", []byte("old"), 0)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		_, err = p.Put(t.Context(), "a", []byte("new"), position.Revision)
		is.NoErr(err)
		p.SetReadLag(3 * time.Second)
		object, err := p.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(string(object.Value), "old")
		started := time.Now()
		objects, err := p.Watch(t.Context(), "a", position)
		is.NoErr(err)
		is.Equal(string(objects[0].Value), "new")
		is.Equal(time.Since(started), 3*time.Second)
	})
}

// TestReturnRestoresOlderCopy guards against a fake store that keeps what it should have lost, or
// that gives out positions twice.
func TestReturnRestoresOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(platform.WithEra(1))
		first, err := p.Put(t.Context(), "a", []byte("old"), 0)
		is.NoErr(err)
		is.Equal(first, banyanplank.Position{Era: 1, Revision: 1})
		time.Sleep(5 * time.Second)
		second, err := p.Put(t.Context(), "a", []byte("new"), first.Revision)
		is.NoErr(err)
		_, err = p.Put(t.Context(), "b", nil, 0)
		is.NoErr(err)
		p.Return(time.Second)
		found, err := p.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(found, banyanplank.Object{Name: "a", Version: first.Revision, Era: 2, Value: []byte("old")})
		found, err = p.Get(t.Context(), "b")
		is.True(errors.Is(err, banyanplank.ErrNotFound))
		is.Equal(found, banyanplank.Object{Era: 2})
		again, err := p.Put(t.Context(), "c", nil, 0)
		is.NoErr(err)
		is.Equal(again, banyanplank.Position{Era: 2, Revision: second.Revision})
		p.SetReadLag(time.Second)
		time.Sleep(500 * time.Millisecond)
		found, err = p.Get(t.Context(), "a") // a late response
		is.NoErr(err)
		is.Equal(found.Position(), first)
	})
}

func TestWatchWaitsForChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New()
		var group conc.WaitGroup
		group.Go(func() {
			time.Sleep(2 * time.Second)
			_, _ = p.Put(t.Context(), "other", nil, 0)
			_, _ = p.Put(t.Context(), "zone/a", nil, 0)
		})
		objects, err := p.Watch(t.Context(), "zone/", banyanplank.Position{})
		is.NoErr(err)
		is.Equal(len(objects), 1)
		is.Equal(objects[0].Name, "zone/a")
		is.Equal(p.Calls().Watch, 1)
		group.Wait()
	})
}

func TestWatchEndsOnTimeoutOutageOrCancellation(t *testing.T) {
	cases := map[string]struct {
		interrupt func(p *platform.Platform, cancel func())
		after     time.Duration
		want      error
	}{
		"timeout without a change": {func(*platform.Platform, func()) {}, 20 * time.Second, nil},
		"platform goes down":       {func(p *platform.Platform, _ func()) { p.SetDown(true) }, time.Second, banyanplank.ErrUnavailable},
		"context is canceled":      {func(_ *platform.Platform, cancel func()) { cancel() }, time.Second, banyanplank.ErrUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := platform.New(platform.WithWatchTimeout(20 * time.Second))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var group conc.WaitGroup
				group.Go(func() {
					time.Sleep(time.Second)
					c.interrupt(p, cancel)
				})
				started := time.Now()
				objects, err := p.Watch(ctx, "", banyanplank.Position{})
				is.True(errors.Is(err, c.want))
				is.Equal(len(objects), 0)
				is.Equal(time.Since(started), c.after)
				group.Wait()
			})
		})
	}
}

func TestInstanceLagReturnsOldList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New()
		p.SetInstanceLag(10 * time.Second)
		p.SetInstance(banyanplank.Instance{ID: "i1", Zone: "a", State: banyanplank.InstanceLive})
		instances, err := p.Instances(t.Context())
		is.NoErr(err)
		is.Equal(len(instances), 0)
		time.Sleep(10 * time.Second)
		p.RemoveInstance("i1")
		instances, err = p.Instances(t.Context())
		is.NoErr(err)
		is.Equal(len(instances), 1)
		time.Sleep(10 * time.Second)
		instances, err = p.Instances(t.Context())
		is.NoErr(err)
		is.Equal(len(instances), 0)
	})
}
