// Package tallier counts the calls of a daemon and their outcomes by service and
// client account, for the report on error budget burn.
//
//	t := tallier.New(member)
//	t.SetObjectives(configuration)
//	t.Record("chat", "himal", true, first, slowest)
//	tally := t.Snapshot(time.Now())
//
// A call is counted in a one-minute bucket. When that closes, its counts are added
// to a five-minute and a one-hour bucket. Memory is bounded for any number of
// client accounts: a bucket keeps the accounts with the most bad calls by name and
// aggregates the other accounts of a service. The sums of a service are exact.
package tallier

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Tallier counts the calls of one daemon. It is safe for concurrent use.
type Tallier struct {
	member     banyanplank.Member
	objectives atomic.Pointer[objectives]

	mu       sync.Mutex
	minutes  *tier
	coarse   []*tier
	restored bool
}

// objectives holds the objective of each service in the configuration.
type objectives map[banyanplank.ServiceName]banyanplank.Objective

// New returns a tallier for the daemon that member describes. It has no objectives
// until [Tallier.SetObjectives].
func New(member banyanplank.Member) *Tallier {
	t := &Tallier{
		member:  member,
		minutes: newTier(Minute, retainedMinutes),
		coarse:  []*tier{newTier(FiveMinutes, retainedFiveMinutes), newTier(Hour, retainedHours)},
	}
	t.objectives.Store(&objectives{})
	return t
}

// SetObjectives sets the objectives to those of a configuration. A call is measured
// against the objective that is set when the call ends.
func (t *Tallier) SetObjectives(configuration *banyanplank.Configuration) {
	updated := make(objectives, len(configuration.Services))
	for _, s := range configuration.Services {
		updated[s.Name] = s.Objective
	}
	t.objectives.Store(&updated)
}

// Record counts a call that ends now. The time to its first part is first, and the
// longest time between two consecutive parts is slowest.
func (t *Tallier) Record(service banyanplank.ServiceName, account banyanplank.AccountID, good bool, first, slowest time.Duration) {
	counts := Counts{Calls: 1}
	if !good {
		counts.Failed = 1
	} else if t.isSlow(service, first, slowest) {
		counts.Slow = 1
	}
	t.add(time.Now(), Pair{Service: service, Account: account}, counts)
}

// isSlow reports whether a call exceeded a latency bound of its objective.
func (t *Tallier) isSlow(service banyanplank.ServiceName, first, slowest time.Duration) (slow bool) {
	o := (*t.objectives.Load())[service]
	return exceeds(first, o.MaxFirstToken) || exceeds(slowest, o.MaxTokenInterval)
}

// exceeds reports whether measured is above bound. A zero bound means no limit.
func exceeds(measured time.Duration, bound banyanplank.Duration) (over bool) {
	return bound > 0 && measured > time.Duration(bound)
}

func (t *Tallier) add(now time.Time, pair Pair, counts Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll(now)
	t.minutes.add(pair, counts)
}

// roll closes the buckets that end at or before now. The counts of a closing minute
// bucket are added to the coarser buckets first.
func (t *Tallier) roll(now time.Time) {
	if !t.minutes.isDue(now) {
		return
	}
	for _, c := range t.coarse {
		for pair, counts := range t.minutes.open {
			c.add(pair, *counts)
		}
		if c.isDue(now) {
			c.roll(now)
		}
	}
	t.minutes.roll(now)
}

// Snapshot returns the counts up to now.
func (t *Tallier) Snapshot(now time.Time) (tally Tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll(now)
	tally = Tally{
		Daemon:          t.member.ID,
		Incarnation:     t.member.Incarnation,
		Zone:            t.member.Zone,
		At:              now,
		IncludesEarlier: t.restored,
		Buckets:         t.minutes.buckets(nil),
	}
	for _, c := range t.coarse {
		tally.Buckets = append(tally.Buckets, c.buckets(t.minutes.open)...)
	}
	return tally
}

// Restore adds the counts of earlier incarnations of the daemon. Only the first
// call has an effect. A daemon without earlier incarnations restores an empty
// tally, which sets IncludesEarlier in its snapshots.
func (t *Tallier) Restore(now time.Time, earlier Tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.restored {
		return
	}
	t.restored = true
	t.roll(now)
	for _, bucket := range earlier.Buckets {
		t.restoreBucket(now, bucket)
	}
}

// restoreBucket adds one earlier bucket unless it starts after now.
func (t *Tallier) restoreBucket(now time.Time, bucket Bucket) {
	for _, c := range append([]*tier{t.minutes}, t.coarse...) {
		if c.span == bucket.Span && !bucket.Start.After(now) {
			c.addClosed(bucket)
			c.dropExpired(now)
		}
	}
}
