package surveyor

import "time"

const (
	// DefaultEndpointHeartbeat is the default time between two heartbeats of an endpoint.
	DefaultEndpointHeartbeat = 1200 * time.Millisecond
	// lapseHeartbeats is the number of heartbeats that the shortest outage prevents after
	// which an endpoint can have lapsed. Three must be missing, and the platform may fail just
	// before the first of them.
	lapseHeartbeats = 2
	// maxUpdateGap is the time between two updates from which on this process counts as
	// paused. It gets a tick at each [TickInterval].
	maxUpdateGap = 5 * TickInterval
	// reachedMaxAge is the age of the latest answer of the platform up to which it counts as
	// reached. Those that watch get one each second, and their heartbeats take 0.24 s at most.
	reachedMaxAge = 1300 * time.Millisecond
)

// outage tells from an outage of the platform whether endpoints can have lapsed meanwhile. A
// watch that is cut off, or calls that fail while others succeed, are no outage.
type outage struct {
	// minimum is the length of the shortest outage in which an endpoint can lapse.
	minimum time.Duration
	// reachedAt is when the platform was last known to answer this entry or another one.
	reachedAt time.Time
	// updatedAt is the time of the latest update.
	updatedAt time.Time
	// graceUntil is the time until which endpoints may return that are no longer listed.
	graceUntil time.Time
}

// recordUpdate records that this process runs. The time for which it was paused says nothing
// about the platform.
func (o *outage) recordUpdate(now time.Time) {
	if gap := now.Sub(o.updatedAt); !o.reachedAt.IsZero() && gap > maxUpdateGap {
		o.reachedAt = o.reachedAt.Add(gap)
	}
	o.updatedAt = now
}

// recordReached records that the platform answered at a time.
func (o *outage) recordReached(at time.Time) {
	if !at.After(o.reachedAt) {
		return
	}
	if !o.reachedAt.IsZero() && at.Sub(o.reachedAt) >= o.minimum {
		o.graceUntil = at.Add(reregisterGrace)
	}
	o.reachedAt = at
}

// grant gives endpoints that are no longer listed time to return.
func (o *outage) grant(now time.Time) { o.graceUntil = later(o.graceUntil, now.Add(reregisterGrace)) }

// isReached reports whether the platform answered this entry or a peer of late.
func (o *outage) isReached(now time.Time) bool { return now.Sub(o.reachedAt) <= reachedMaxAge }

// hasGrace reports whether an endpoint that is no longer listed may return.
func (o *outage) hasGrace(now time.Time) bool { return now.Before(o.graceUntil) }
