// Package follower keeps up with the topics of the platform's service
// discovery: it lists a topic once, waits for changes, and lists again when
// changes were missed. It goes on through outages of the platform.
//
//	f := follower.New(discovery, func(msg banyanplank.Msg) { loop.Send(ctx, msg) })
//	f.Follow(ctx, banyanplank.TopicBackends)
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The defaults of a Follower.
const (
	// DefaultWait is how long one call waits for changes. A connection that
	// has gone silent is noticed after it.
	DefaultWait = 2500 * time.Millisecond
	// DefaultPause is the longest pause after a failed call. It bounds the
	// calls of a daemon that the platform turns away to four a second and topic.
	DefaultPause = 250 * time.Millisecond
)

// TopicMsg tells what is new in a topic.
type TopicMsg struct {
	Topic    banyanplank.Topic
	Entries  []banyanplank.Listed
	Revision banyanplank.Version
	// Whole tells that Entries are all entries, not only the changed ones.
	Whole bool
	// Resumed tells that the platform had been out of reach before.
	Resumed bool
	// Sent is when the call was made that brought this.
	Sent time.Time
}

// LostMsg tells that a topic can't be followed at the moment.
type LostMsg struct {
	Topic banyanplank.Topic
	Err   error
}

// Option configures a [Follower].
type Option func(*Follower)

// WithWait sets how long one call waits for changes. The default is
// [DefaultWait].
func WithWait(wait time.Duration) Option {
	return func(f *Follower) { f.wait = wait }
}

// WithPause sets the longest pause after a failed call. The default is
// [DefaultPause].
func WithPause(pause time.Duration) Option {
	return func(f *Follower) { f.pause = pause }
}

// Follower follows topics. Its methods may be called from many goroutines.
type Follower struct {
	discovery banyanplank.Discovery
	send      func(msg banyanplank.Msg)
	wait      time.Duration
	pause     time.Duration
}

// New returns a follower that hands its messages to send.
func New(discovery banyanplank.Discovery, send func(msg banyanplank.Msg), options ...Option) *Follower {
	f := &Follower{discovery: discovery, send: send, wait: DefaultWait, pause: DefaultPause}
	for _, option := range options {
		option(f)
	}
	return f
}

// Follow follows a topic until ctx ends.
func (f *Follower) Follow(ctx context.Context, topic banyanplank.Topic) {
	c := cursor{Follower: f, topic: topic}
	for ctx.Err() == nil {
		if err := c.advance(ctx); err != nil {
			c.fail(ctx, err)
		}
	}
}

// cursor is how far one topic has been followed.
type cursor struct {
	*Follower
	topic    banyanplank.Topic
	revision banyanplank.Version
	listed   bool
	lost     bool
}

// advance makes one call and passes on what it brought.
func (c *cursor) advance(ctx context.Context) (err error) {
	msg := TopicMsg{Topic: c.topic, Whole: !c.listed, Resumed: c.lost, Sent: time.Now()}
	if c.listed {
		msg.Entries, msg.Revision, err = c.discovery.Changes(ctx, c.topic, c.revision, c.wait)
	} else {
		msg.Entries, msg.Revision, err = c.discovery.List(ctx, c.topic)
	}
	if err != nil {
		return err
	}
	c.revision, c.listed, c.lost = msg.Revision, true, false
	c.send(msg)
	return nil
}

// fail notes an error and pauses. Lost history needs a new list, but no pause.
func (c *cursor) fail(ctx context.Context, err error) {
	if errors.Is(err, banyanplank.ErrCompacted) {
		c.listed = false
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !c.lost {
		c.send(LostMsg{Topic: c.topic, Err: err})
	}
	c.lost = true
	pause := c.pause/2 + rand.N(c.pause/2)
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
