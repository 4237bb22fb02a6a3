// Package follower follows the topics of the platform's service discovery: it
// lists a topic once, waits for changes, and lists it again when changes were
// missed. It retries with backoff through outages of the platform.
//
//	f := follower.New(discovery, func(msg banyanplank.Msg) { loop.Send(ctx, msg) })
//	f.Follow(ctx, banyanplank.TopicBackends)
//
// A waiting call counts against the platform's limits. So only some daemons
// watch; the others fetch changes when a hint from a peer reports that there
// are some. A daemon that watches confirms in its heartbeats that there are no
// others. Without such confirmations, a daemon asks the platform itself.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The defaults of a [Follower].
const (
	// DefaultWatchTimeout is the maximum time between two replies of a platform without
	// changes, which confirm that there are none.
	DefaultWatchTimeout = time.Second
	// maxUnconfirmed is the time without a confirmation by the platform, to this daemon or to
	// a peer, after which this daemon asks the platform itself. Peers that watch confirm each
	// [DefaultWatchTimeout], and their heartbeats take up to 0.12 s more, or 0.24 s if one is
	// lost.
	maxUnconfirmed = 1400 * time.Millisecond
	// DefaultMaxBackoff is the maximum backoff after a failed call; the minimum is
	// half of it. A daemon that the platform rejects makes four to eight calls per
	// second and topic.
	DefaultMaxBackoff = 250 * time.Millisecond
	// DefaultPollInterval is the maximum time between calls of a daemon that doesn't watch.
	DefaultPollInterval = 10 * time.Second
	// idleMaxBackoff is the maximum backoff after a failed call of a daemon that doesn't
	// watch: those that do report when the platform is back.
	idleMaxBackoff = 2 * time.Second
	// hintDelay is the mean delay after a hint, since changes come in bursts.
	hintDelay = 60 * time.Millisecond
	// batchDelay is how long a watching daemon waits after changes, which mostly come in
	// bursts, before it watches again.
	batchDelay = 100 * time.Millisecond
	// maxRecoveryWait is the maximum time that a lost topic waits for another one to detect
	// that the platform is back.
	maxRecoveryWait = 2 * time.Second
	// newEraDelay is the maximum delay before a topic is listed again after the store has
	// returned from an older copy, which all daemons that watch detect at the same time.
	newEraDelay = 100 * time.Millisecond
	// newEraWait is how long a daemon that doesn't watch waits for its peers to report a new era
	// that the store has shown to itself. With [maxUnconfirmed], it leaves time to list a topic
	// within two seconds of the store's return.
	newEraWait = 250 * time.Millisecond
	// peerAttempts is how often a daemon that doesn't watch asks its peers for a topic of a
	// new era before it lists the topic itself. Peers answer a few requests at a time.
	peerAttempts = 4
	// watchCheckInterval is how often a daemon checks whether it has to watch.
	watchCheckInterval = 200 * time.Millisecond
)

// TopicMsg reports new entries or changes of a topic.
type TopicMsg struct {
	Topic    banyanplank.Topic
	Entries  []banyanplank.DiscoveryItem
	Position banyanplank.Position
	// IsFullList reports that Entries is the full list, not only the changed entries.
	IsFullList bool
	// Resumed reports that the preceding calls to the platform failed.
	Resumed bool
	// Relayed reports that the entries come from a peer, since the platform can't be reached.
	Relayed bool
	// RequestedAt is when the call that returned the entries was made.
	RequestedAt time.Time
	// ConfirmedAt is a time up to which the platform has no changes beyond Position. It is
	// zero if the reply may be stale.
	ConfirmedAt time.Time
}

// LostMsg reports that a topic can't be followed at the moment.
type LostMsg struct {
	Topic banyanplank.Topic
	Err   error
}

// Peers are the other daemons that follow the same topics.
type Peers interface {
	// FetchTopic returns all entries of a topic as known to a peer, and their position.
	FetchTopic(ctx context.Context, topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error)
}

// WithPeers sets the peers to catch up from while the platform can't be reached or has
// compacted its history. The default is none.
func WithPeers(peers Peers) Option {
	return func(f *Follower) { f.peers = peers }
}

// Option configures a [Follower].
type Option func(*Follower)

// WithWatchTimeout sets how long one call waits for changes. The default is
// [DefaultWatchTimeout].
func WithWatchTimeout(timeout time.Duration) Option {
	return func(f *Follower) { f.watchTimeout = timeout }
}

// WithMaxBackoff sets the maximum backoff after a failed call. The default is
// [DefaultMaxBackoff].
func WithMaxBackoff(backoff time.Duration) Option {
	return func(f *Follower) { f.maxBackoff = backoff }
}

// WithWatcher sets the function that reports whether this daemon watches. By
// default it always does.
func WithWatcher(watches func() bool) Option {
	return func(f *Follower) { f.isWatcher = watches }
}

// Follower follows topics. Its methods are safe for concurrent use.
type Follower struct {
	discovery    banyanplank.Discovery
	send         func(msg banyanplank.Msg)
	watchTimeout time.Duration
	maxBackoff   time.Duration
	isWatcher    func() bool
	peers        Peers
	mutex        sync.Mutex
	hints        map[banyanplank.Topic]*hint
	// confirmations holds when the platform last confirmed to this daemon that it knew all
	// changes of a topic, for each topic that it follows. peerConfirmation is the latest
	// time at which it confirmed that for all topics to a peer.
	confirmations    map[banyanplank.Topic]time.Time
	peerConfirmation time.Time
	// prober is the topic that keeps calling the platform during an outage, or nil.
	// recovered is closed when a call succeeds.
	prober    *cursor
	recovered chan struct{}
}

// hint is the latest position of a topic that peers are known to have.
type hint struct {
	position banyanplank.Position
	updated  chan struct{}
}

// New returns a follower that passes its messages to send.
func New(discovery banyanplank.Discovery, send func(msg banyanplank.Msg), options ...Option) *Follower {
	f := &Follower{
		discovery:    discovery,
		send:         send,
		watchTimeout: DefaultWatchTimeout,
		maxBackoff:   DefaultMaxBackoff,
		isWatcher:    func() bool { return true },
		hints:        make(map[banyanplank.Topic]*hint),

		confirmations: make(map[banyanplank.Topic]time.Time),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// RecordHint reports that a peer knows a topic up to a position.
func (f *Follower) RecordHint(topic banyanplank.Topic, position banyanplank.Position) {
	h := f.hintOf(topic)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !h.position.IsBefore(position) {
		return
	}
	h.position = position
	select {
	case h.updated <- struct{}{}:
	default:
	}
}

// RecordConfirmation reports that a peer knew all changes of all topics at a time. The hints
// of that peer are to be recorded before.
func (f *Follower) RecordConfirmation(confirmedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if confirmedAt.After(f.peerConfirmation) {
		f.peerConfirmation = confirmedAt
	}
}

// ConfirmedAt returns when the platform last confirmed to this daemon itself that it knew all
// changes of the topics that it follows. It is zero if one was never confirmed.
func (f *Follower) ConfirmedAt() (confirmedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	first := true
	for _, at := range f.confirmations {
		if first || at.Before(confirmedAt) {
			confirmedAt, first = at, false
		}
	}
	return confirmedAt
}

// hintOf returns the hint of a topic and creates it if needed.
func (f *Follower) hintOf(topic banyanplank.Topic) (h *hint) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.hints[topic] == nil {
		f.hints[topic] = &hint{updated: make(chan struct{}, 1)}
	}
	return f.hints[topic]
}

// hintedPosition returns the latest position that peers are known to have.
func (f *Follower) hintedPosition(h *hint) (position banyanplank.Position) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return h.position
}

// Poll fetches the changes of a topic at every interval, without watching it, until
// ctx ends. Use it for topics that may be known late, and that peers don't pass on. A hint of a new
// era has the topic listed within a quarter of the interval.
func (f *Follower) Poll(ctx context.Context, topic banyanplank.Topic, interval time.Duration) {
	c := cursor{Follower: f, topic: topic, hint: f.hintOf(topic), pollInterval: interval, isWatcher: func() bool { return false }}
	c.run(ctx)
}

// Follow follows a topic until ctx ends.
func (f *Follower) Follow(ctx context.Context, topic banyanplank.Topic) {
	c := cursor{Follower: f, topic: topic, hint: f.hintOf(topic), pollInterval: DefaultPollInterval, isWatcher: f.isWatcher, asksPeers: true, needsConfirmation: true}
	c.confirm(time.Time{})
	c.run(ctx)
}
