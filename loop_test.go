package banyanplank_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// counter counts ticks and asks for one command on the third.
type counter struct {
	ticks int
	done  chan<- banyanplank.Msg
}

type thirdCmd struct{ fail bool }

func (c counter) Update(_ time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	switch msg.(type) {
	case banyanplank.TickMsg:
		c.ticks++
		if c.ticks == 3 {
			return c, []banyanplank.Command{thirdCmd{fail: true}}
		}
		return c, nil
	default:
		c.done <- msg
		return c, nil
	}
}

type panicking struct{}

func (panicking) Execute(_ context.Context, command banyanplank.Command) (msg banyanplank.Msg) {
	if command.(thirdCmd).fail {
		panic("effect failed")
	}
	return nil
}

func TestLoopReportsPanicOfEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		done := make(chan banyanplank.Msg, 1)
		loop := banyanplank.NewLoop(counter{done: done}, panicking{}, banyanplank.WithTick(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() { is.NoErr(loop.Run(ctx)) })
		started := time.Now()
		msg, ok := (<-done).(banyanplank.PanicMsg)
		is.True(ok)
		is.Equal(msg.Command, thirdCmd{fail: true})
		is.Equal(time.Since(started), 3*time.Second)
		cancel()
		group.Wait()
	})
}
