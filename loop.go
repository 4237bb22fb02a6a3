package banyanplank

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"
)

// Msg is something that happened. Each package defines its own typed
// messages, named ...Msg.
type Msg any

// Command is an effect that a [Model] asks for. Each package defines its own
// typed commands, named ...Cmd.
type Command any

// Model holds control state and decides. Update must be pure: it reads no
// clock, socket, global or random source, and leaves the receiver unchanged or
// returns it as the only reference to the new state.
type Model interface {
	Update(now time.Time, msg Msg) (model Model, commands []Command)
}

// Executor carries out commands. It runs outside the control goroutine and
// returns the message that the effect leads to, or nil.
type Executor interface {
	Execute(ctx context.Context, command Command) (msg Msg)
}

// TickMsg tells a model that time has passed. See [WithTick].
type TickMsg struct{}

// Loop runs one [Model] in one goroutine, and its commands in others.
//
//	l := banyanplank.NewLoop(model, executor, banyanplank.WithTick(time.Second))
//	err := l.Run(ctx)
type Loop struct {
	model    Model
	executor Executor
	inbox    chan Msg
	tick     time.Duration
	after    func(Model)
	panicked func(msg Msg, err error)
}

// inboxSize bounds the messages that wait for the control goroutine.
const inboxSize = 1024

// LoopOption configures a [Loop].
type LoopOption func(*Loop)

// WithTick sends a [TickMsg] at every interval. Use it for models that act on
// time. The default is no tick.
func WithTick(interval time.Duration) LoopOption {
	return func(l *Loop) { l.tick = interval }
}

// WithAfter calls after with the new model after each update, in the control
// goroutine. Use it to publish an immutable snapshot. The default does nothing.
func WithAfter(after func(Model)) LoopOption {
	return func(l *Loop) { l.after = after }
}

// WithPanics goes on with the next message when an update panics, and hands the message
// and the panic to panicked. Use it where one unexpected message must not end the process.
// The default lets the panic go on.
func WithPanics(panicked func(msg Msg, err error)) LoopOption {
	return func(l *Loop) { l.panicked = panicked }
}

// NewLoop returns a loop that has not started.
func NewLoop(model Model, executor Executor, options ...LoopOption) *Loop {
	l := &Loop{
		model:    model,
		executor: executor,
		inbox:    make(chan Msg, inboxSize),
		after:    func(Model) {},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Send hands msg to the model. It waits while the inbox is full and reports
// false when ctx ends first.
func (l *Loop) Send(ctx context.Context, msg Msg) (ok bool) {
	select {
	case l.inbox <- msg:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run updates the model until ctx ends, then waits for running commands.
func (l *Loop) Run(ctx context.Context) (err error) {
	effects := pool.New()
	defer effects.Wait()
	var ticks <-chan time.Time
	if l.tick > 0 {
		ticker := time.NewTicker(l.tick)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		var msg Msg
		select {
		case <-ctx.Done():
			return nil
		case msg = <-l.inbox:
		case <-ticks:
			msg = TickMsg{}
		}
		if l.panicked == nil {
			l.step(ctx, effects, msg)
		} else if caught := panics.Try(func() { l.step(ctx, effects, msg) }); caught != nil {
			l.panicked(msg, caught.AsError())
		}
	}
}

// step updates the model once and starts the commands that it returns.
func (l *Loop) step(ctx context.Context, effects *pool.Pool, msg Msg) {
	model, commands := l.model.Update(time.Now(), msg)
	l.model = model
	l.after(model)
	for _, command := range commands {
		effects.Go(func() { l.execute(ctx, command) })
	}
}

// execute runs one command and sends its message back.
func (l *Loop) execute(ctx context.Context, command Command) {
	var msg Msg
	if caught := panics.Try(func() { msg = l.executor.Execute(ctx, command) }); caught != nil {
		msg = PanicMsg{Command: command, Err: caught.AsError()}
	}
	if msg != nil {
		l.Send(ctx, msg)
	}
}

// PanicMsg tells a model that the effect of a command panicked.
type PanicMsg struct {
	Command Command
	Err     error
}
