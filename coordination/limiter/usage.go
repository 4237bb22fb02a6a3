package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// Usage is what entries tell each other of an account: what it wants above its
// even share at one entry, or at all others.
type Usage struct {
	Account banyanplank.AccountID
	// Rate is the wanted requests a second.
	Rate float64
	// Running is the wanted requests in flight.
	Running float64
}

// The bounds of what entries tell each other.
const (
	// mostUsages bounds the accounts that one entry tells of in a round.
	mostUsages = 16
	// mostCounted bounds the accounts that one entry counts.
	mostCounted = 4096
	// freshTime is how long what another entry said counts.
	freshTime = 3 * time.Second
)

// Report returns what to tell the other entries that count the accounts, in one
// message each. Call it once a second. The answers go to [Limiter.Observe].
func (l *Limiter) Report(now time.Time) (messages map[banyanplank.DaemonID][]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	messages = map[banyanplank.DaemonID][]Usage{}
	for _, u := range l.wants(now) {
		for _, owner := range l.owners(u.Account) {
			switch owner {
			case "":
			case l.entry:
				l.take(now, l.entry, u)
			default:
				messages[owner] = append(messages[owner], u)
			}
		}
	}
	return messages
}

// wants returns the accounts that want most above their even shares.
func (l *Limiter) wants(now time.Time) (usages []Usage) {
	all := l.scratch[:0]
	for id, a := range l.accounts {
		if w := l.wanted(now, a); w.rate > 0 || w.running > 0 {
			all = append(all, Usage{Account: id, Rate: w.rate, Running: w.running})
		}
	}
	slices.SortFunc(all, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Rate+y.Running, x.Rate+x.Running), cmp.Compare(x.Account, y.Account))
	})
	l.scratch = all
	return all[:min(len(all), mostUsages)]
}

// owners returns the two entries that count an account. There are two so that
// one can be lost, and so that each hears of the other: an entry that only
// counts itself could not tell that it is alone.
func (l *Limiter) owners(account banyanplank.AccountID) (owners [2]banyanplank.DaemonID) {
	var most [2]uint64
	for _, entry := range l.entries {
		var digest xxhash.Digest
		digest.Reset()
		// A digest's writes do not fail.
		_, _ = digest.WriteString(string(entry))
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(string(account))
		hash := digest.Sum64()
		switch {
		case owners[0] == "" || hash > most[0]:
			owners[1], most[1] = owners[0], most[0]
			owners[0], most[0] = entry, hash
		case owners[1] == "" || hash > most[1]:
			owners[1], most[1] = entry, hash
		}
	}
	return owners
}

// told is what one entry said of an account that is counted here.
type told struct {
	wanted
	at time.Time
}

// Count takes in what another entry says of accounts that are counted here, and
// returns what all others want.
func (l *Limiter) Count(now time.Time, entry banyanplank.DaemonID, usages []Usage) (others []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range usages[:min(len(usages), mostUsages)] {
		if counted := l.take(now, entry, u); counted != nil {
			others = append(others, sum(now, u.Account, counted, entry))
		}
	}
	return others
}

// take takes in what an entry says of an account, and returns what all entries
// say of it, or nil when too many accounts are counted here.
func (l *Limiter) take(now time.Time, entry banyanplank.DaemonID, u Usage) map[banyanplank.DaemonID]told {
	counted := l.counted(now, u.Account)
	if counted != nil {
		counted[entry] = told{wanted: wanted{rate: u.Rate, running: u.Running}, at: now}
	}
	return counted
}

// counted returns what entries said of an account, or nil when too many
// accounts are counted here.
func (l *Limiter) counted(now time.Time, account banyanplank.AccountID) map[banyanplank.DaemonID]told {
	if counted, ok := l.counts[account]; ok {
		return counted
	}
	if len(l.counts) >= mostCounted {
		l.forget(now)
	}
	if len(l.counts) >= mostCounted {
		return nil
	}
	counted := map[banyanplank.DaemonID]told{}
	l.counts[account] = counted
	return counted
}

// forget drops what is no longer fresh.
func (l *Limiter) forget(now time.Time) {
	for account, counted := range l.counts {
		for entry, t := range counted {
			if now.Sub(t.at) > freshTime {
				delete(counted, entry)
			}
		}
		if len(counted) == 0 {
			delete(l.counts, account)
		}
	}
}

// sum adds up what all entries but one want of an account.
func sum(now time.Time, account banyanplank.AccountID, counted map[banyanplank.DaemonID]told, but banyanplank.DaemonID) (u Usage) {
	u.Account = account
	for entry, t := range counted {
		if now.Sub(t.at) > freshTime {
			delete(counted, entry)
			continue
		}
		if entry != but {
			u.Rate += t.rate
			u.Running += t.running
		}
	}
	return u
}

// Observe takes in the answer to what was told: what the others want.
func (l *Limiter) Observe(now time.Time, sent, others []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range others {
		a := l.accounts[other.Account]
		i := slices.IndexFunc(sent, func(own Usage) bool { return own.Account == other.Account })
		if a != nil && i >= 0 {
			a.hear(now, sent[i], other)
		}
	}
}

// sameRound is the time within which two answers belong together.
const sameRound = 500 * time.Millisecond

// hear takes in one answer. Of two in one round the larger demand counts.
func (a *account) hear(now time.Time, own, other Usage) {
	if now.Sub(a.heard) > sameRound {
		a.others = wanted{}
	}
	a.others.rate = max(a.others.rate, other.Rate)
	a.others.running = max(a.others.running, other.Running)
	a.told = wanted{rate: own.Rate, running: own.Running}
	a.heard = now
}
