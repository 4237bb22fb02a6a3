package suspecter

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Limits on what is remembered of the parts of prompts.
const (
	// answeredPeriod is for how long an answer is remembered to have begun, at least. An
	// endpoint's software may change and crash on a part that it answered before.
	answeredPeriod = 10 * time.Minute
	// maxAnsweredParts bounds the answered parts remembered in each generation.
	maxAnsweredParts = 8192
	// maxPartDeaths bounds the deaths, maxPromptsPerDeath the prompts of each and
	// maxPartsPerPrompt the parts of these.
	maxPartDeaths      = 128
	maxPromptsPerDeath = 32
	maxPartsPerPrompt  = 32
	maxConvictions     = 64
)

// partDeath is one death of an endpoint, with the parts of the prompts that it had begun
// no answer to.
type partDeath struct {
	id    banyanplank.DeathID
	at    time.Time
	parts []banyanplank.PartID
	// prompts lists the parts of each prompt.
	prompts [][]banyanplank.PartID
	// own is set if this entry had a prompt there.
	own bool
}

// suspectPrompt is what is suspect of a prompt that ran at a death.
type suspectPrompt struct {
	death  banyanplank.DeathID
	diedAt time.Time
	parts  []banyanplank.PartID
	// unlikely is set if another part at the death was also at more deaths than these.
	unlikely bool
}

// holds reports whether all parts of a set were at the death.
func (d *partDeath) holds(parts []banyanplank.PartID) bool { return containsAll(d.parts, parts) }

// partTracker finds the parts of prompts that crash the endpoints that begin to answer
// them. A death counts against the parts of all prompts that had no answer yet, and an
// answer that begins clears the parts of its prompt, whoever sent it: no client account can
// have a part refused that another one uses with success. It does no I/O, reads no clock,
// and is not safe for concurrent use.
type partTracker struct {
	deaths map[banyanplank.DeathID]*partDeath
	// answered holds when parts were last answered at this entry. Cleared holds the same
	// of any entry, for the parts of known deaths and convictions.
	answered    recency[banyanplank.PartID]
	cleared     map[banyanplank.PartID]time.Time
	convictions []*partConviction
	// suspects holds the parts that may have caused a death, and how many requests with
	// them this entry has refused. Prompts holds the suspects of each prompt at a death,
	// the earliest death first.
	suspects map[banyanplank.PartID]int
	prompts  []suspectPrompt
}

// newPartTracker returns a tracker without suspects.
func newPartTracker() *partTracker {
	return &partTracker{
		deaths:   make(map[banyanplank.DeathID]*partDeath),
		answered: newRecency[banyanplank.PartID](answeredPeriod, maxAnsweredParts),
		cleared:  make(map[banyanplank.PartID]time.Time),
		suspects: make(map[banyanplank.PartID]int),
	}
}

// isEmpty reports whether no death and no conviction is known.
func (t *partTracker) isEmpty() bool { return len(t.deaths) == 0 && len(t.convictions) == 0 }

// verdict returns the verdict on a prompt with the given parts. VerdictRefused holds for
// the time left. A prompt that holds all that is suspect of one at a death is held back.
// One that holds some of it may be tried at once, since that tells the parts apart, and so
// may one that is unlikely to have caused the death. It counts the prompts that it holds
// back.
func (t *partTracker) verdict(now time.Time, parts []banyanplank.PartID) (verdict Verdict, left time.Duration) {
	for _, c := range t.convictions {
		switch {
		case containsAll(parts, c.parts) && now.Before(c.until):
			return VerdictRefused, c.until.Sub(now)
		case containsAny(parts, c.parts):
			verdict = VerdictAlone
		}
	}
	for _, p := range t.prompts {
		switch {
		case containsAll(parts, p.parts) && !p.unlikely:
			verdict, left = VerdictAlone, max(left, t.holdTime(now, p))
		case containsAny(parts, p.parts):
			verdict = VerdictAlone
		}
	}
	if left <= 0 {
		return verdict, 0
	}
	for _, part := range parts {
		if n, suspected := t.suspects[part]; suspected {
			t.suspects[part] = n + 1
		}
	}
	return VerdictRefused, left
}

// holdTime returns for how much longer prompts with all suspect parts of one at a death are
// held back.
func (t *partTracker) holdTime(now time.Time, p suspectPrompt) (left time.Duration) {
	for _, part := range p.parts {
		if t.suspects[part] >= maxHeldRequests {
			return 0
		}
	}
	return p.diedAt.Add(trialDelay).Sub(now)
}

// addDeath adds the parts of a prompt that had no answer when an endpoint died. It reports
// whether they were new.
func (t *partTracker) addDeath(id banyanplank.DeathID, at time.Time, parts []banyanplank.PartID) (changed bool) {
	d := t.deaths[id]
	switch {
	case len(parts) == 0:
		return false
	case d == nil && !t.makeRoom(at):
		return false
	case d == nil:
		d = &partDeath{id: id, at: at}
		t.deaths[id] = d
	}
	if at.Before(d.at) {
		d.at = at
	}
	if len(d.prompts) == maxPromptsPerDeath || slices.ContainsFunc(d.prompts, func(p []banyanplank.PartID) bool { return containsAll(p, parts) }) {
		return false
	}
	parts = parts[:min(len(parts), maxPartsPerPrompt)]
	d.prompts = append(d.prompts, parts)
	for _, part := range parts {
		if slices.Contains(d.parts, part) {
			continue
		}
		d.parts = append(d.parts, part)
		if answeredAt, known := t.answered.last(part); known {
			t.recordCleared(answeredAt, part)
		}
	}
	t.assess()
	return true
}

// makeRoom makes room for a death at a time and drops the earliest one if there are too
// many. It returns false if the new one would be the earliest.
func (t *partTracker) makeRoom(at time.Time) (ok bool) {
	if len(t.deaths) < maxPartDeaths {
		return true
	}
	earliest := slices.MinFunc(slices.Collect(maps.Values(t.deaths)), func(a, b *partDeath) int { return a.at.Compare(b.at) })
	if !at.After(earliest.at) {
		return false
	}
	delete(t.deaths, earliest.id)
	return true
}

// isAnswered reports whether all parts of a prompt are remembered as answered.
func (t *partTracker) isAnswered(parts []banyanplank.PartID) bool {
	return !slices.ContainsFunc(parts, func(part banyanplank.PartID) bool { return !t.wasAnswered(part) })
}

// recordAnswered records that the answer to a prompt with the given parts has begun. It
// returns the parts that this clears.
func (t *partTracker) recordAnswered(now time.Time, parts []banyanplank.PartID) (cleared []banyanplank.PartID) {
	for _, part := range parts {
		t.answered.record(now, part)
		if t.isSuspect(part) {
			cleared = append(cleared, part)
		}
	}
	for _, part := range cleared {
		t.clear(now, part)
	}
	return cleared
}

// isSuspect reports whether a part is suspect or belongs to a conviction.
func (t *partTracker) isSuspect(part banyanplank.PartID) bool {
	if _, suspected := t.suspects[part]; suspected {
		return true
	}
	return slices.ContainsFunc(t.convictions, func(c *partConviction) bool { return slices.Contains(c.parts, part) })
}

// clear records that an entry began to receive an answer on a part at a time. It reports
// whether that cleared a suspect part.
func (t *partTracker) clear(at time.Time, part banyanplank.PartID) (changed bool) {
	suspect := t.isSuspect(part)
	if !t.isTracked(part) || !t.recordCleared(at, part) {
		return false
	}
	// The deaths tell whether the part is to be convicted nevertheless.
	for _, c := range t.convictions {
		c.parts = slices.DeleteFunc(c.parts, func(p banyanplank.PartID) bool { return p == part })
	}
	t.assess()
	return suspect && !t.isSuspect(part)
}

// lastAnswer returns when the latest answer on a part began at any entry, if one is known.
func (t *partTracker) lastAnswer(part banyanplank.PartID) (at time.Time, known bool) {
	at, known = t.answered.last(part)
	if clearedAt, cleared := t.cleared[part]; cleared && clearedAt.After(at) {
		at, known = clearedAt, true
	}
	return at, known
}

// wasAnswered reports whether an answer on a part is known to have begun at any entry.
func (t *partTracker) wasAnswered(part banyanplank.PartID) (answered bool) {
	_, answered = t.lastAnswer(part)
	return answered
}

// isTracked reports whether a part belongs to a known death or conviction.
func (t *partTracker) isTracked(part banyanplank.PartID) bool {
	for _, d := range t.deaths {
		if slices.Contains(d.parts, part) {
			return true
		}
	}
	return t.isSuspect(part)
}

// recordCleared records the time of an answer on a part. It reports whether it is the
// latest known one.
func (t *partTracker) recordCleared(at time.Time, part banyanplank.PartID) (latest bool) {
	if !at.After(t.cleared[part]) || len(t.cleared) >= maxRecords {
		return false
	}
	t.cleared[part] = at
	return true
}

// convict adds a conviction by another entry, whose latest death was at a time. It does not
// extend a conviction that rests on the same deaths. Of parts that were answered, the deaths
// that this entry knows of decide: the other one may not know of the answer.
func (t *partTracker) convict(now, lastDeath time.Time, parts []banyanplank.PartID, left time.Duration) (changed bool) {
	parts = slices.DeleteFunc(slices.Clone(parts), t.wasAnswered)
	left = min(left, maxConvictionTime)
	if len(parts) == 0 || left <= 0 {
		return false
	}
	for _, c := range t.convictions {
		if !containsAll(parts, c.parts) {
			continue
		}
		if !lastDeath.After(c.lastDeath.Add(simultaneousTime)) {
			return false
		}
		c.lastDeath, c.until, c.length = lastDeath, now.Add(left), max(c.length, left)
		return true
	}
	if len(t.convictions) >= maxConvictions {
		return false
	}
	slices.Sort(parts)
	t.convictions = append(t.convictions, &partConviction{parts: parts, lastDeath: lastDeath, until: now.Add(left), length: max(left, convictionTime)})
	t.assess()
	return true
}

// expire drops what is too old to count.
func (t *partTracker) expire(now time.Time) {
	before := len(t.deaths) + len(t.convictions)
	maps.DeleteFunc(t.deaths, func(_ banyanplank.DeathID, d *partDeath) bool { return now.Sub(d.at) > findingTTL })
	t.convictions = slices.DeleteFunc(t.convictions, func(c *partConviction) bool { return now.Sub(c.until) > findingTTL })
	if len(t.deaths)+len(t.convictions) < before {
		t.assess()
	}
}

// containsAll reports whether a prompt's parts include all parts of a set.
func containsAll(parts, set []banyanplank.PartID) bool {
	for _, part := range set {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// containsAny reports whether a prompt's parts include some part of a set.
func containsAny(parts, set []banyanplank.PartID) bool {
	return slices.ContainsFunc(set, func(part banyanplank.PartID) bool { return slices.Contains(parts, part) })
}
