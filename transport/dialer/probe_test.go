package dialer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"

	"github.com/banyanplank/banyanplank/protocol/carrier"
	"github.com/banyanplank/banyanplank/transport/prober"
)

// slowStream records what is sent; nothing arrives until its context ends.
type slowStream struct {
	drpc.Stream
	ctx  context.Context
	sent []*carrier.Up
}

func (s *slowStream) Context() (ctx context.Context) { return s.ctx }

func (s *slowStream) Close() (err error) { return nil }

func (s *slowStream) Send(up *carrier.Up) (err error) {
	s.sent = append(s.sent, up)
	return nil
}

func (s *slowStream) Recv() (down *carrier.Down, err error) {
	<-s.ctx.Done()
	return nil, s.ctx.Err()
}

// TestNoProbeBeforeTheRequest holds an entry up, as a busy machine does, before
// it sends the request. A probe that went first would be refused.
func TestNoProbeBeforeTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner, cancel := context.WithCancelCause(t.Context())
		stream := &slowStream{ctx: inner}
		c := newCall(inner, cancel, New(), stream)
		time.Sleep(2 * prober.DefaultInterval)
		synctest.Wait()
		is.Equal(len(stream.sent), 0)
		is.NoErr(c.request(&carrier.Open{}))
		time.Sleep(prober.DefaultInterval)
		synctest.Wait()
		is.True(len(stream.sent) > 1)
		is.True(stream.sent[0].GetOpen() != nil)
		is.True(stream.sent[1].GetPing() != nil)
		c.cancel(context.Canceled)
		c.stopProbe()
		c.group.Wait()
	})
}
