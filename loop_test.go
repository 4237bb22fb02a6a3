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

// picky panics at messages that are no ticks.
type picky struct{ ticks chan<- int }

func (p picky) Update(_ time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	if _, ok := msg.(banyanplank.TickMsg); !ok {
		panic("no such message")
	}
	p.ticks <- 1
	return p, nil
}

// TestLoopGoesOnAfterPanic has an update panic. The loop tells of it and goes on.
func TestLoopGoesOnAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ticks, told := make(chan int), make(chan banyanplank.Msg, 1)
		loop := banyanplank.NewLoop(picky{ticks}, panicking{}, banyanplank.WithTick(time.Second),
			banyanplank.WithPanics(func(msg banyanplank.Msg, err error) {
				is.True(err != nil)
				told <- msg
			}))
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() { is.NoErr(loop.Run(ctx)) })
		is.True(loop.Send(ctx, "malformed"))
		is.Equal(<-told, "malformed")
		<-ticks
		cancel()
		group.Wait()
	})
}
