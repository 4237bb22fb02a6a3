package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/banyanplank/banyanplank"
)

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
	// asksPeers is set if peers pass on the topic.
	asksPeers bool
	// needsConfirmation is set if changes must be known soon after they are made.
	needsConfirmation bool
	position          banyanplank.Position
	calledAt          time.Time
	// hadChanges is set if the last watch returned changes.
	hadChanges bool
	// caughtUpAt is when a peer last had a new era of the store.
	caughtUpAt time.Time
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
	hinted := c.hintedPosition(c.hint)
	switch {
	case !c.isListed:
		msg.Entries, msg.Position, err = c.discovery.List(ctx, c.topic)
		wait = 0
	case !watches:
		msg.Entries, msg.Position, isCurrent, err = c.fetchCurrent(ctx)
	default:
		msg.Entries, msg.Position, err = c.discovery.Changes(ctx, c.topic, c.position, wait)
	}
	if err != nil {
		return err
	}
	if msg.Position.Era < c.position.Era {
		return errors.Wrapf(banyanplank.ErrUnavailable, "response at %s is older than %s", msg.Position, c.position)
	}
	if isCurrent {
		c.refuteHint(hinted, msg.Position)
		msg.ConfirmedAt = confirmationTime(c.calledAt, wait)
		c.confirm(msg.ConfirmedAt)
	}
	c.hadChanges = watches && len(msg.Entries) > 0
	c.position, c.isListed, c.isLost = msg.Position, true, false
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
// of late that there are no other changes. Right after a peer had a new era, its confirmation is
// under way.
func (c *cursor) isUnconfirmed() (unconfirmed bool) {
	if !c.needsConfirmation || c.unconfirmedFor() < maxUnconfirmed || time.Since(c.caughtUpAt) < newEraWait {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.peerConfirmation) >= maxUnconfirmed
}

// fetchCurrent returns the changes at least up to the position that peers are known to
// have, and whether they are all changes at the time of the call. Without a confirmation of
// late, or after failed calls, the cheap call shows first whether the platform answers at all.
// It makes no call if a peer knows a later era.
func (c *cursor) fetchCurrent(ctx context.Context) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, isCurrent bool, err error) {
	unconfirmed := c.isUnconfirmed()
	hinted := c.hintedPosition(c.hint)
	if hinted.Era > c.position.Era {
		return nil, banyanplank.Position{}, false, errors.Mark(banyanplank.ErrNewEra, banyanplank.ErrCompacted)
	}
	entries, position, err = c.discovery.Peek(ctx, c.topic, c.position)
	if err == nil && !unconfirmed && !position.IsBefore(c.position.Later(hinted)) {
		return entries, position, false, nil
	}
	if err != nil && (unconfirmed || c.isLost || errors.Is(err, banyanplank.ErrCompacted)) {
		return nil, banyanplank.Position{}, false, err
	}
	entries, position, err = c.discovery.Changes(ctx, c.topic, c.position, 0)
	return entries, position, err == nil, err
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

// refuteHint forgets a hint that lies behind the position which the platform had afterwards. Peers
// repeat it if it is true.
func (c *cursor) refuteHint(hinted, current banyanplank.Position) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if current.IsBefore(hinted) && c.hint.position == hinted {
		c.hint.position = current
	}
}

// isBehindHint reports whether a peer knows changes that this daemon doesn't.
func (c *cursor) isBehindHint() (behind bool) { return c.position.IsBefore(c.hintedPosition(c.hint)) }

// awaitHint waits until there are changes to fetch, a call is due, or this daemon has to watch.
func (c *cursor) awaitHint(ctx context.Context) {
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	for !c.isBehindHint() && !c.isDue() && !c.isWatcher() {
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
	if errors.Is(err, banyanplank.ErrNewEra) {
		c.isListed = c.catchUpWithEra(ctx)
		return
	}
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
	hinted := c.hintedPosition(c.hint)
	maxBackoff := c.maxBackoff
	if c.isListed && !c.isWatcher() {
		maxBackoff = idleMaxBackoff
	} else if recovered := c.markLost(c); recovered != nil {
		c.awaitNewEra(ctx, recovered, hinted, maxRecoveryWait/2+rand.N(maxRecoveryWait/2))
		return
	}
	c.awaitNewEra(ctx, nil, hinted, maxBackoff/2+rand.N(maxBackoff/2))
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

// awaitNewEra waits until another topic reaches the platform, or a peer reports a later era of the
// store than that of hinted, but no longer than limit. The caller checks ctx.
func (c *cursor) awaitNewEra(ctx context.Context, recovered <-chan struct{}, hinted banyanplank.Position, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for c.hintedPosition(c.hint).Era <= hinted.Era {
		select {
		case <-ctx.Done():
			return
		case <-recovered:
			return
		case <-timer.C:
			return
		case <-c.hint.updated:
		}
	}
}

// catchUpIfBehind catches up from a peer if hints report newer changes.
func (c *cursor) catchUpIfBehind(ctx context.Context) {
	if c.isBehindHint() {
		c.catchUp(ctx)
	}
}

// catchUpWithEra reports whether this daemon has caught up with a new era of the store from a peer.
// It waits for up to [newEraWait] until one reports it, also if nobody confirms its state: after an
// absence of the store that holds for all daemons at once. One that watches has to list the topic,
// after a random part of [newEraDelay].
func (c *cursor) catchUpWithEra(ctx context.Context) (caughtUp bool) {
	era := c.position.Era
	if !c.asksPeers {
		// The loop in run checks ctx.
		_ = banyanplank.Sleep(ctx, rand.N(c.pollInterval/4))
		return false
	}
	if !c.isWatcher() {
		c.awaitNewEra(ctx, nil, c.position, newEraWait)
	}
	for range peerAttempts {
		if banyanplank.Sleep(ctx, rand.N(newEraDelay)) != nil || c.isWatcher() || c.hintedPosition(c.hint).Era <= era {
			return false
		}
		if err := c.fetchFromPeer(ctx); err == nil && c.position.Era > era && !c.isBehindHint() {
			c.caughtUpAt = time.Now()
			return true
		}
	}
	return false
}

// catchUp fetches a topic from a peer and reports whether this daemon now knows it up to
// the hinted position.
func (c *cursor) catchUp(ctx context.Context) (caughtUp bool) {
	if c.peers == nil || !c.asksPeers {
		return false
	}
	if err := c.fetchFromPeer(ctx); err != nil {
		c.send(LostMsg{Topic: c.topic, Err: err})
		return false
	}
	return !c.isBehindHint()
}

// errNoPeers means that there are no peers to ask.
var errNoPeers = errors.New("no peers")

// fetchFromPeer fetches a topic from a peer, and sends it if the peer is ahead.
func (c *cursor) fetchFromPeer(ctx context.Context) (err error) {
	if c.peers == nil || !c.asksPeers {
		return errNoPeers
	}
	calledAt := time.Now()
	entries, position, err := c.peers.FetchTopic(ctx, c.topic)
	if err != nil || !c.position.IsBefore(position) {
		return err
	}
	c.position, c.isListed = position, true
	c.send(TopicMsg{Topic: c.topic, Entries: entries, Position: position, IsFullList: true, Relayed: true, RequestedAt: calledAt})
	return nil
}
