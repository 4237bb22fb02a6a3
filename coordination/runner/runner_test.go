package runner_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/state/holder"
	"github.com/banyanplank/banyanplank/state/recorder"
)

// slow is an endpoint that makes a part of the given size every second, and
// tells when it is free again.
type slow struct {
	banyanplank.Endpoint
	parts int
	size  int
	free  chan time.Time
}

func (e *slow) Run(ctx context.Context, _ *banyanplank.Request) (answer banyanplank.Answer, err error) {
	return &slowAnswer{ctx: ctx, endpoint: e}, nil
}

type slowAnswer struct {
	ctx      context.Context
	endpoint *slow
	next     int
}

func (a *slowAnswer) Head() (head banyanplank.Head) { return banyanplank.Head{Status: 200} }

func (a *slowAnswer) Next() (part banyanplank.Part, err error) {
	if a.next == a.endpoint.parts {
		return part, io.EOF
	}
	select {
	case <-time.After(time.Second):
	case <-a.ctx.Done():
		return part, a.ctx.Err()
	}
	part = banyanplank.Part{Offset: uint64(a.next), Data: bytes.Repeat([]byte{byte(a.next)}, a.endpoint.size)}
	a.next++
	return part, nil
}

func (a *slowAnswer) Close() (err error) {
	a.endpoint.free <- time.Now()
	return nil
}

// open admits everything.
type open struct{ banyanplank.Admitter }

func (open) Admit(context.Context, *banyanplank.Request) (grant banyanplank.Grant, err error) {
	return grants{}, nil
}

type grants struct{}

func (grants) Progress(int) {}

func (grants) Release(bool) {}

// reader is a sink that takes so many parts and then ends its context.
type reader struct {
	take  int
	end   func()
	got   int
	ack   func(offset uint64)
	heads int
}

func (r *reader) Accepted(context.Context) (err error) { return nil }

func (r *reader) Head(context.Context, banyanplank.Head) (err error) {
	r.heads++
	return nil
}

func (r *reader) Part(ctx context.Context, part banyanplank.Part) (err error) {
	if r.got == r.take {
		r.end()
		return context.Cause(ctx)
	}
	r.got++
	r.ack(part.Offset + 1)
	return nil
}

func (r *reader) Follow(ack func(offset uint64)) { r.ack = ack }

func newRunner(endpoint banyanplank.Endpoint) *runner.Runner {
	held := holder.New(holder.WithStreamBytes(8 << 10))
	return runner.New(endpoint, open{}, recorder.New("agent", 1), runner.WithHolder(held))
}

func newRequest(once bool) *banyanplank.Request {
	request := &banyanplank.Request{ID: "r", Attempt: "r.0", Account: "himal", Once: once, Deadline: time.Now().Add(time.Hour)}
	if once {
		request.Key = "k"
		request.Binding = banyanplank.Binding{
			Daemon: "agent", Incarnation: 1, Generation: 1,
			Call: request.CallDigest(), Until: time.Now().Add(time.Hour),
		}
	}
	return request
}

var errPath = errors.New("path lost")

// TestEndpointIsFreed takes two parts of ten and goes away. The time is that
// from then on until the endpoint is free.
func TestEndpointIsFreed(t *testing.T) {
	tests := map[string]struct {
		once  bool
		cause error
		after time.Duration
	}{
		"caller gone":            {cause: runner.ErrCallerGone},
		"path lost":              {cause: errPath, after: runner.DefaultGrace},
		"caller gone, key":       {once: true, cause: runner.ErrCallerGone, after: 17 * time.Second},
		"path lost, key":         {once: true, cause: errPath, after: 17 * time.Second},
		"agent stops":            {},
		"agent stops, key's run": {once: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				endpoint := &slow{parts: 20, size: 1, free: make(chan time.Time, 1)}
				r := newRunner(endpoint)
				ctx, cancel := context.WithCancelCause(t.Context())
				var gone time.Time
				sink := &reader{take: 2, end: func() {
					gone = time.Now()
					if test.cause == nil {
						r.Stop()
					}
					cancel(test.cause)
				}}
				_, err := r.Run(ctx, newRequest(test.once), sink)
				is.True(err != nil)
				is.Equal((<-endpoint.free).Sub(gone), test.after)
				r.Wait()
				is.Equal(r.Running(), 0)
			})
		})
	}
}

// TestUnreadAnswer lets the endpoint make more than the budget of a stream.
// One that may be repeated waits for a reader; one that may not finishes, and
// its answer is given up.
func TestUnreadAnswer(t *testing.T) {
	for name, once := range map[string]bool{"repeatable": false, "key": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				endpoint := &slow{parts: 30, size: 1000, free: make(chan time.Time, 1)}
				r := newRunner(endpoint)
				ctx, cancel := context.WithCancelCause(t.Context())
				started := time.Now()
				_, err := r.Run(ctx, newRequest(once), &reader{end: func() { cancel(errPath) }})
				is.True(err != nil)
				freed := (<-endpoint.free).Sub(started)
				is.Equal(freed == 30*time.Second, once)
				r.Wait()
				again := &reader{take: 30}
				_, err = r.Run(t.Context(), newRequest(once), again)
				var refusal *banyanplank.Refusal
				is.True(errors.As(err, &refusal))
				if once {
					is.Equal(refusal.Outcome, banyanplank.Ran)
				}
			})
		})
	}
}

// TestFollowersShareOneRun joins an attempt twice and reads it whole both times.
func TestFollowersShareOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		endpoint := &slow{parts: 5, size: 10, free: make(chan time.Time, 2)}
		r := newRunner(endpoint)
		for range 2 {
			sink := &reader{take: 5}
			end, err := r.Run(t.Context(), newRequest(false), sink)
			is.NoErr(err)
			is.Equal(end.Parts, uint64(5))
			is.Equal(sink.got, 5)
		}
		is.Equal(len(endpoint.free), 1)
		time.Sleep(time.Hour)
		joined := newRequest(false)
		joined.Join = true
		_, err := r.Run(t.Context(), joined, &reader{})
		var refusal *banyanplank.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, banyanplank.ReasonStale)
	})
}

// TestOtherAccountCannotJoin asks for another account's attempt.
func TestOtherAccountCannotJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(&slow{parts: 1, size: 1, free: make(chan time.Time, 1)})
		_, err := r.Run(t.Context(), newRequest(false), &reader{take: 1})
		is.NoErr(err)
		foreign := newRequest(false)
		foreign.Account, foreign.Join = "saddle", true
		sink := &reader{take: 1}
		_, err = r.Run(t.Context(), foreign, sink)
		is.True(err != nil)
		is.Equal(sink.heads+sink.got, 0)
	})
}
