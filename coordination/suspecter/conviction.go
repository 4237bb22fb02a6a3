package suspecter

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The rules of convicting a part.
const (
	// convictingDeaths is the number of consecutive deaths that convict a part. A single
	// death may be a coincidence.
	convictingDeaths = 2
	// simultaneousTime is the time within which deaths count as one, such as those of a
	// rack that loses power.
	simultaneousTime = time.Second
	// trialDelay is how long after a death its suspects are held back, unless an entry has
	// refused maxHeldRequests with one of them. A trial may cost another crash, which
	// takes a group of ranks from all callers, so it has to be worth it.
	trialDelay      = 30 * time.Second
	maxHeldRequests = 32
	// convictionTime is how long a first conviction lasts. It doubles, up to
	// maxConvictionTime, with each trial after its end that crashes an endpoint.
	convictionTime    = 10 * time.Minute
	maxConvictionTime = 4 * time.Hour
)

// partConviction is a set of parts that crash endpoints. Which of several parts does so is
// not known while every request at the deaths held all of them.
type partConviction struct {
	parts     []banyanplank.PartID
	lastDeath time.Time
	until     time.Time
	// length is the time from the last death to until.
	length time.Duration
}

// assess derives the convictions and the suspects from the deaths. A death that a conviction
// explains counts against no other part.
func (t *partTracker) assess() {
	t.convictions = slices.DeleteFunc(t.convictions, func(c *partConviction) bool { return len(c.parts) == 0 })
	deaths := slices.SortedFunc(maps.Values(t.deaths), func(a, b *partDeath) int { return a.at.Compare(b.at) })
	for _, c := range t.convictions {
		t.renew(c, deaths)
	}
	deaths = t.dropExplained(deaths)
	for len(t.convictions) < maxConvictions {
		c := t.nextConviction(deaths)
		if c == nil {
			break
		}
		t.convictions = append(t.convictions, c)
		deaths = t.dropExplained(deaths)
	}
	t.updateSuspects(deaths)
	t.pruneCleared()
}

// dropExplained returns the deaths that no conviction explains.
func (t *partTracker) dropExplained(deaths []*partDeath) (rest []*partDeath) {
	return slices.DeleteFunc(slices.Clone(deaths), func(d *partDeath) bool {
		return slices.ContainsFunc(t.convictions, func(c *partConviction) bool { return d.holds(c.parts) })
	})
}

// groupByPart returns the deaths at which each part was, in the same order.
func groupByPart(deaths []*partDeath) (byPart map[banyanplank.PartID][]*partDeath) {
	byPart = make(map[banyanplank.PartID][]*partDeath)
	for _, d := range deaths {
		for _, part := range d.parts {
			byPart[part] = append(byPart[part], d)
		}
	}
	return byPart
}

// updateSuspects derives the suspects from the deaths that no conviction explains.
func (t *partTracker) updateSuspects(deaths []*partDeath) {
	held, byPart := t.suspects, groupByPart(deaths)
	t.suspects, t.prompts = make(map[banyanplank.PartID]int), nil
	for part, own := range byPart {
		if t.countDeaths(part, own) > 0 {
			t.suspects[part] = held[part]
		}
	}
	// mostDeaths returns the number of deaths of the suspect that was at the most.
	mostDeaths := func(parts []banyanplank.PartID) (most int) {
		for _, part := range parts {
			if _, suspected := t.suspects[part]; suspected {
				most = max(most, len(byPart[part]))
			}
		}
		return most
	}
	for _, d := range deaths {
		most := mostDeaths(d.parts)
		for _, parts := range d.prompts {
			suspects := slices.DeleteFunc(slices.Clone(parts), func(part banyanplank.PartID) bool { _, suspected := t.suspects[part]; return !suspected })
			if len(suspects) > 0 {
				t.prompts = append(t.prompts, suspectPrompt{death: d.id, diedAt: d.at, parts: suspects, unlikely: mostDeaths(suspects) < most})
			}
		}
	}
}

// renew extends a conviction by the deaths since its latest one.
func (t *partTracker) renew(c *partConviction, deaths []*partDeath) {
	for _, d := range deaths {
		if !d.at.After(c.lastDeath.Add(simultaneousTime)) || !d.holds(c.parts) {
			continue
		}
		if d.at.After(c.until) {
			c.length = min(2*c.length, maxConvictionTime)
		}
		c.lastDeath, c.until = d.at, d.at.Add(c.length)
	}
}

// nextConviction returns a conviction of the parts with the most deaths, if these are
// enough. Parts that were at the same deaths are convicted together.
func (t *partTracker) nextConviction(deaths []*partDeath) (c *partConviction) {
	byPart := groupByPart(deaths)
	counts, most := make(map[banyanplank.PartID]int, len(byPart)), 0
	for part, own := range byPart {
		counts[part] = t.countDeaths(part, own)
		most = max(most, counts[part])
	}
	if most < convictingDeaths {
		return nil
	}
	var worst banyanplank.PartID
	for part, count := range counts {
		if count == most && (worst == 0 || part < worst) {
			worst = part
		}
	}
	c = &partConviction{length: convictionTime, lastDeath: byPart[worst][len(byPart[worst])-1].at}
	for part, count := range counts {
		if count == most && slices.Equal(byPart[part], byPart[worst]) {
			c.parts = append(c.parts, part)
		}
	}
	slices.Sort(c.parts)
	c.until = c.lastDeath.Add(c.length)
	return c
}

// countDeaths returns how many of the deaths at which a part was, sorted by time, count
// against it: the consecutive ones after its last answer. A part that had been answered
// before gets one more, as its first death is likely a coincidence.
func (t *partTracker) countDeaths(part banyanplank.PartID, deaths []*partDeath) (count int) {
	clearedAt, known := t.cleared[part]
	last := clearedAt
	for _, d := range deaths {
		if d.at.After(clearedAt) && (count == 0 || d.at.Sub(last) > simultaneousTime) {
			count++
			last = d.at
		}
	}
	if known {
		count--
	}
	return count
}

// pruneCleared drops the answers on parts of no known death or conviction.
func (t *partTracker) pruneCleared() {
	known := make(map[banyanplank.PartID]bool)
	for _, d := range t.deaths {
		for _, part := range d.parts {
			known[part] = true
		}
	}
	for _, c := range t.convictions {
		for _, part := range c.parts {
			known[part] = true
		}
	}
	maps.DeleteFunc(t.cleared, func(part banyanplank.PartID, _ time.Time) bool { return !known[part] })
}
