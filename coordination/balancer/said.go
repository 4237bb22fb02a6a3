package balancer

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The use of what endpoints say.
const (
	// saidAge is how long the word of an endpoint is kept that is no longer listed, in
	// case that the platform lists the same incarnation again.
	saidAge = 10 * time.Minute
	// mostSaid bounds the endpoints whose word is kept without being listed.
	mostSaid = 4096
	// resumeShare is the part of a pause over which entries spread their first calls
	// after it, and resumeMost the longest such time.
	resumeShare = 0.25
	resumeMost  = 500 * time.Millisecond
)

// said is what an endpoint has said of itself in one incarnation, and when. Unlike what
// the platform lists, it holds as long as the incarnation: an older listing, a reload or
// a new configuration don't change it.
type said struct {
	born time.Time
	// at is when the endpoint last answered this entry.
	at   time.Time
	load banyanplank.BackendLoad
	// leaving is when it was first known that the endpoint leaves. It never returns.
	leaving time.Time
	// paused is when the endpoint last asked for no calls, until resume.
	paused time.Time
	resume time.Time
	// cold is until when the endpoint is in cold start.
	cold time.Time
}

// saidBy returns what an incarnation has said. A later one has said nothing yet.
func (b *Balancer) saidBy(id banyanplank.BackendID, born time.Time) (word *said) {
	word = b.said[id]
	if word == nil || word.born.Before(born) {
		word = &said{born: born}
		b.said[id] = word
	}
	return word
}

// forgetSaid drops the word of endpoints that are long gone.
func (b *Balancer) forgetSaid(now time.Time, listed map[banyanplank.BackendID]bool) {
	unlisted := len(b.said) - len(listed)
	maps.DeleteFunc(b.said, func(id banyanplank.BackendID, word *said) bool {
		last := word.at
		if word.leaving.After(last) {
			last = word.leaving
		}
		return !listed[id] && (unlisted > mostSaid || now.Sub(last) > saidAge)
	})
}

// Heard takes in what the endpoint says with its answer. It reports whether it says for
// the first time that it leaves or wants no calls.
func (l *Lease) Heard(reply *banyanplank.ReplyInfo) (news bool) {
	b, now := l.pool.owner, time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	word := l.seat.said
	word.at = now
	if reply.Load.Known {
		word.load = reply.Load
	}
	if reply.Cold > 0 {
		l.seat.chill(now, reply.Cold)
	}
	if reply.Leaving && word.leaving.IsZero() {
		word.leaving, news = now, true
	}
	if reply.Pause > 0 && now.Add(reply.Pause).After(word.resume) {
		news = news || !now.Before(word.resume)
		spread := min(time.Duration(resumeShare*float64(reply.Pause)), resumeMost)
		word.paused, word.resume = now, now.Add(reply.Pause+time.Duration(b.random.Int64N(int64(spread)+1)))
		l.seat.ramp = 1
	}
	return news
}

// HearLeaving takes in which endpoints other entries know to leave. It returns those
// that were not known to.
func (b *Balancer) HearLeaving(now time.Time, leavers []banyanplank.Leaver) (news []banyanplank.Leaver) {
	if len(leavers) == 0 {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range leavers {
		known := b.said[l.ID]
		if known == nil && len(b.said) >= 2*mostSaid || known != nil && (known.born.After(l.Born) || known.born.Equal(l.Born) && !known.leaving.IsZero()) {
			continue
		}
		b.saidBy(l.ID, l.Born).leaving = now
		for _, p := range b.pools {
			if s := p.seats[l.ID]; s != nil {
				s.said = b.saidBy(l.ID, s.backend.Born)
			}
		}
		news = append(news, l)
	}
	return news
}

// Leavers returns the endpoints that said that they leave while the platform still lists
// them as ready.
func (b *Balancer) Leavers() (leavers []banyanplank.Leaver) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, p := range b.pools {
		for _, s := range p.order {
			if !s.said.leaving.IsZero() && !s.backend.Leaving {
				leavers = append(leavers, banyanplank.Leaver{ID: s.backend.ID, Born: s.said.born})
			}
		}
	}
	slices.SortFunc(leavers, func(a, b banyanplank.Leaver) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return leavers
}

// pauseLeft returns when the first of the endpoints that want no calls may get some
// again, if there is one.
func (p *pool) pauseLeft(now time.Time) (left time.Duration, paused bool) {
	for _, s := range p.order {
		until := s.said.resume.Sub(now)
		if s.barrier(now) == barPaused && (!paused || until < left) {
			left, paused = until, true
		}
	}
	return left, paused
}

// Barrier is why an endpoint gets no calls.
type Barrier uint8

// The barriers, in the order in which they are looked at.
const (
	barNone Barrier = iota
	barZone
	barLeaving
	barPaused
	barFailing
	barTrying
)

// String returns the barrier in words.
func (r Barrier) String() string {
	return [...]string{"none", "zone_out", "leaving", "paused", "failing", "tried"}[r]
}

// Barriers lists all barriers.
var Barriers = []Barrier{barZone, barLeaving, barPaused, barFailing, barTrying}

// barrier returns why the endpoint gets no calls, whether it has room or not.
func (s *seat) barrier(now time.Time) Barrier {
	switch {
	case s.out:
		return barZone
	case s.backend.Leaving, !s.said.leaving.IsZero():
		return barLeaving
	case now.Before(s.said.resume):
		return barPaused
	case now.Before(s.ejectedUntil):
		return barFailing
	case s.streak > 0 && s.trying:
		// After a time out, one call at a time shows whether it is well again.
		return barTrying
	}
	return barNone
}

// barred counts the endpoints that get no calls, by reason.
func (p *pool) barred(now time.Time) (counts map[Barrier]int) {
	counts = make(map[Barrier]int)
	for _, s := range p.order {
		if why := s.barrier(now); why != barNone {
			counts[why]++
		}
	}
	return counts
}

// formatBarred lists the reasons for a log line.
func formatBarred(counts map[Barrier]int) (text string) {
	for _, why := range slices.Sorted(maps.Keys(counts)) {
		text += " " + why.String() + "=" + strconv.Itoa(counts[why])
	}
	return text
}
