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
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"

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
	// watchCheckInterval is how often a daemon checks whether it has to watch.
	watchCheckInterval = 200 * time.Millisecond
)

// TopicMsg reports new entries or changes of a topic.
type TopicMsg struct {
	Topic    banyanplank.Topic
	Entries  []banyanplank.DiscoveryItem
	Revision banyanplank.Version
	// IsFullList reports that Entries is the full list, not only the changed entries.
	IsFullList bool
	// Resumed reports that the preceding calls to the platform failed.
	Resumed bool
	// Relayed reports that the entries come from a peer, since the platform can't be reached.
	Relayed bool
	// RequestedAt is when the call that returned the entries was made.
	RequestedAt time.Time
	// ConfirmedAt is a time up to which the platform has no changes beyond Revision. It is
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
	// FetchTopic returns all entries of a topic as known to a peer, and their revision.
	FetchTopic(ctx context.Context, topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem, revision banyanplank.Version, err error)
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

// hint is the highest revision of a topic that peers are known to have.
type hint struct {
	revision banyanplank.Version
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

// RecordHint reports that a peer knows a topic up to revision.
func (f *Follower) RecordHint(topic banyanplank.Topic, revision banyanplank.Version) {
	h := f.hintOf(topic)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision <= h.revision {
		return
	}
	h.revision = revision
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

// hintedRevision returns the highest revision that peers are known to have.
func (f *Follower) hintedRevision(h *hint) (revision banyanplank.Version) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return h.revision
}

// Poll fetches the changes of a topic at every interval, without watching it, until
// ctx ends. Use it for topics that may be known late.
func (f *Follower) Poll(ctx context.Context, topic banyanplank.Topic, interval time.Duration) {
	c := cursor{Follower: f, topic: topic, hint: f.hintOf(topic), pollInterval: interval, isWatcher: func() bool { return false }}
	c.run(ctx)
}

// Follow follows a topic until ctx ends.
func (f *Follower) Follow(ctx context.Context, topic banyanplank.Topic) {
	c := cursor{Follower: f, topic: topic, hint: f.hintOf(topic), pollInterval: DefaultPollInterval, isWatcher: f.isWatcher, needsConfirmation: true}
	c.confirm(time.Time{})
	c.run(ctx)
}

// run calls the platform until ctx ends.
func (c *cursor) run(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		// A panic, for example on an unexpected reply, fails only this call.
		if caught := panics.Try(func() { err = c.fetch(ctx) }); caught != nil {
			err = errors.Wrap(caught.AsError(), "follow topic")
		}
		if err != nil {
			c.handleError(ctx, err)
		}
	}
}

// cursor is the position in one topic.
type cursor struct {
	*Follower
	topic        banyanplank.Topic
	hint         *hint
	pollInterval time.Duration
	isWatcher    func() bool
	// needsConfirmation is set if changes must be known soon after they are made.
	needsConfirmation bool
	revision          banyanplank.Version
	calledAt          time.Time
	// hadChanges is set if the last watch returned changes.
	hadChanges bool
	isListed   bool
	isLost     bool
}

// fetch makes one call and sends its result.
func (c *cursor) fetch(ctx context.Context) (err error) {
	watches := c.isWatcher()
	if c.isListed && !watches {
		c.awaitHint(ctx)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	if c.hadChanges {
		c.hadChanges = false
		if err := banyanplank.Sleep(ctx, batchDelay); err != nil {
			return err
		}
	}
	c.calledAt = time.Now()
	wait := time.Duration(0)
	if watches {
		wait = max(0, c.watchTimeout-c.unconfirmedFor())
	}
	msg := TopicMsg{Topic: c.topic, IsFullList: !c.isListed, Resumed: c.isLost, RequestedAt: time.Now()}
	isCurrent := true
	switch {
	case !c.isListed:
		msg.Entries, msg.Revision, err = c.discovery.List(ctx, c.topic)
		wait = 0
	case !watches:
		msg.Entries, msg.Revision, isCurrent, err = c.fetchCurrent(ctx)
	default:
		msg.Entries, msg.Revision, err = c.discovery.Changes(ctx, c.topic, c.revision, wait)
	}
	if err != nil {
		return err
	}
	if isCurrent {
		msg.ConfirmedAt = confirmationTime(c.calledAt, wait)
		c.confirm(msg.ConfirmedAt)
	}
	c.hadChanges = watches && len(msg.Entries) > 0
	c.revision, c.isListed, c.isLost = msg.Revision, true, false
	c.markRecovered()
	c.send(msg)
	return nil
}

// confirmationTime returns a time at which a reply that has just arrived was current. A call
// that waits for changes is answered with the state at the end of its wait at the latest.
func confirmationTime(calledAt time.Time, wait time.Duration) (confirmedAt time.Time) {
	if now := time.Now(); now.Before(calledAt.Add(wait)) {
		return now
	}
	return calledAt.Add(wait)
}

// confirm records that the platform had no changes of the topic at a time beyond those known.
func (c *cursor) confirm(confirmedAt time.Time) {
	if !c.needsConfirmation {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.confirmations[c.topic] = confirmedAt
}

// unconfirmedFor returns the time since the platform last confirmed to this daemon itself
// that there were no other changes.
func (c *cursor) unconfirmedFor() (age time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.confirmations[c.topic])
}

// isUnconfirmed reports whether neither this daemon nor a peer has heard from the platform
// of late that there are no other changes.
func (c *cursor) isUnconfirmed() (unconfirmed bool) {
	if !c.needsConfirmation || c.unconfirmedFor() < maxUnconfirmed {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.peerConfirmation) >= maxUnconfirmed
}

// fetchCurrent returns the changes at least up to the revision that peers are known to
// have, and whether they are all changes at the time of the call. Without a confirmation of
// late, or after failed calls, the cheap call shows first whether the platform answers at all.
func (c *cursor) fetchCurrent(ctx context.Context) (entries []banyanplank.DiscoveryItem, revision banyanplank.Version, isCurrent bool, err error) {
	unconfirmed := c.isUnconfirmed()
	entries, revision, err = c.discovery.Peek(ctx, c.topic, c.revision)
	if err == nil && !unconfirmed && revision >= max(c.revision, c.hintedRevision(c.hint)) {
		return entries, revision, false, nil
	}
	if err != nil && (unconfirmed || c.isLost || errors.Is(err, banyanplank.ErrCompacted)) {
		return nil, 0, false, err
	}
	entries, revision, err = c.discovery.Changes(ctx, c.topic, c.revision, 0)
	return entries, revision, err == nil, err
}

// isDue reports whether to call the platform without a hint: at each poll interval, after a
// backoff if the topic is lost, and when nobody confirms that there are no changes.
func (c *cursor) isDue() (due bool) {
	interval := c.pollInterval
	if c.isLost {
		interval = idleMaxBackoff / 2
	}
	return time.Since(c.calledAt) >= interval || c.isUnconfirmed()
}

// awaitHint waits until there are changes to fetch, a call is due, or this daemon has to watch.
func (c *cursor) awaitHint(ctx context.Context) {
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	for c.hintedRevision(c.hint) <= c.revision && !c.isDue() && !c.isWatcher() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.hint.updated:
			// The loop checks ctx.
			_ = banyanplank.Sleep(ctx, hintDelay/2+rand.N(hintDelay))
		}
	}
}

// handleError reports an error and backs off. Compacted history needs a new list, unless
// a peer that confirms its state has the missing changes, and no backoff.
func (c *cursor) handleError(ctx context.Context, err error) {
	if errors.Is(err, banyanplank.ErrCompacted) {
		c.isListed = !c.isWatcher() && !c.isUnconfirmed() && c.catchUp(ctx)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !c.isLost {
		c.send(LostMsg{Topic: c.topic, Err: err})
	}
	c.isLost = true
	c.catchUpIfBehind(ctx)
	maxBackoff := c.maxBackoff
	if c.isListed && !c.isWatcher() {
		maxBackoff = idleMaxBackoff
	} else if recovered := c.markLost(c); recovered != nil {
		c.awaitRecovery(ctx, recovered)
		return
	}
	// The loop in run checks ctx.
	_ = banyanplank.Sleep(ctx, maxBackoff/2+rand.N(maxBackoff/2))
}

// markLost records that a topic is lost. It returns nil if c is the topic that probes
// for recovery, and otherwise a channel that is closed on recovery.
func (f *Follower) markLost(c *cursor) (recovered <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.prober == nil {
		f.prober, f.recovered = c, make(chan struct{})
	}
	if f.prober == c {
		return nil
	}
	return f.recovered
}

// markRecovered ends an outage. The other lost topics retry at once.
func (f *Follower) markRecovered() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.prober != nil {
		close(f.recovered)
		f.prober, f.recovered = nil, nil
	}
}

// awaitRecovery waits until another topic reaches the platform, but no longer than
// [maxRecoveryWait].
func (c *cursor) awaitRecovery(ctx context.Context, recovered <-chan struct{}) {
	timer := time.NewTimer(maxRecoveryWait/2 + rand.N(maxRecoveryWait/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-timer.C:
	}
}

// catchUpIfBehind catches up from a peer if hints report newer changes.
func (c *cursor) catchUpIfBehind(ctx context.Context) {
	if c.hintedRevision(c.hint) <= c.revision {
		return
	}
	c.catchUp(ctx)
}

// catchUp fetches a topic from a peer and reports whether this daemon now knows it up to
// the hinted revision.
func (c *cursor) catchUp(ctx context.Context) (caughtUp bool) {
	if c.peers == nil {
		return false
	}
	calledAt := time.Now()
	entries, revision, err := c.peers.FetchTopic(ctx, c.topic)
	switch {
	case err != nil:
		c.send(LostMsg{Topic: c.topic, Err: err})
		return false
	case revision > c.revision:
		c.revision, c.isListed = revision, true
		c.send(TopicMsg{Topic: c.topic, Entries: entries, Revision: revision, IsFullList: true, Relayed: true, RequestedAt: calledAt})
	}
	return c.hintedRevision(c.hint) <= c.revision
}
