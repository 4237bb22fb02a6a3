package banyanplank

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"
)

// Msg is an event that a [Model] handles. Each package defines its own typed
// messages, named ...Msg.
type Msg any

// Command describes a side effect that a [Model] requests. Each package
// defines its own typed commands, named ...Cmd.
type Command any

// Model holds control state and the logic that updates it. Update must be
// pure: it reads no clock, socket, global or random source, and either leaves
// the receiver unchanged or returns it as the only reference to the new state.
type Model interface {
	Update(now time.Time, msg Msg) (model Model, commands []Command)
}

// Executor executes commands outside the control goroutine. It returns the
// resulting message, or nil.
type Executor interface {
	Execute(ctx context.Context, command Command) (msg Msg)
}

// TickMsg is sent at a fixed interval. See [WithTick].
type TickMsg struct{}

// Loop runs one [Model] in one goroutine and its commands in others.
//
//	l := banyanplank.NewLoop(model, executor, banyanplank.WithTick(time.Second))
//	err := l.Run(ctx)
type Loop struct {
	model       Model
	executor    Executor
	inbox       chan Msg
	tick        time.Duration
	afterUpdate func(Model)
	onPanic     func(msg Msg, err error)
}

// inboxSize is the capacity of the queue of the control goroutine, in messages.
const inboxSize = 1024

// LoopOption configures a [Loop].
type LoopOption func(*Loop)

// WithTick sends a [TickMsg] at every interval. Use it for models that depend
// on time. The default is no tick.
func WithTick(interval time.Duration) LoopOption {
	return func(l *Loop) { l.tick = interval }
}

// WithUpdateHook calls afterUpdate with the new model after each update, in the
// control goroutine. Use it to publish an immutable snapshot. The default does
// nothing.
func WithUpdateHook(afterUpdate func(Model)) LoopOption {
	return func(l *Loop) { l.afterUpdate = afterUpdate }
}

// WithPanicHandler recovers a panic of an update, passes the message and the panic to
// onPanic and continues with the next message. Use it where one unexpected
// message must not end the process. The default does not recover.
func WithPanicHandler(onPanic func(msg Msg, err error)) LoopOption {
	return func(l *Loop) { l.onPanic = onPanic }
}

// NewLoop returns a loop that has not started.
func NewLoop(model Model, executor Executor, options ...LoopOption) *Loop {
	l := &Loop{
		model:       model,
		executor:    executor,
		inbox:       make(chan Msg, inboxSize),
		afterUpdate: func(Model) {},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Send queues msg for the model. It blocks while the queue is full and returns
// false if ctx ends first.
func (l *Loop) Send(ctx context.Context, msg Msg) (ok bool) {
	select {
	case l.inbox <- msg:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run processes messages until ctx ends, then waits for running commands.
func (l *Loop) Run(ctx context.Context) (err error) {
	running := pool.New()
	defer running.Wait()
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
		if l.onPanic == nil {
			l.step(ctx, running, msg)
		} else if caught := panics.Try(func() { l.step(ctx, running, msg) }); caught != nil {
			l.onPanic(msg, caught.AsError())
		}
	}
}

// step updates the model once and starts the commands that the update returns.
func (l *Loop) step(ctx context.Context, running *pool.Pool, msg Msg) {
	model, commands := l.model.Update(time.Now(), msg)
	l.model = model
	l.afterUpdate(model)
	for _, command := range commands {
		running.Go(func() { l.execute(ctx, command) })
	}
}

// execute runs one command and sends the resulting message to the model.
func (l *Loop) execute(ctx context.Context, command Command) {
	var msg Msg
	if caught := panics.Try(func() { msg = l.executor.Execute(ctx, command) }); caught != nil {
		msg = PanicMsg{Command: command, Err: caught.AsError()}
	}
	if msg != nil {
		l.Send(ctx, msg)
	}
}

// PanicMsg reports that the execution of a command panicked.
type PanicMsg struct {
	Command Command
	Err     error
}
