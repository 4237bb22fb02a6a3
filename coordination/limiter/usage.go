package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// Usage is the demand of an account above its even share, at one entry or at all
// others. Entries exchange it.
type Usage struct {
	Account banyanplank.AccountID
	// Rate is the demand in requests per second.
	Rate float64
	// Running is the demand in requests in flight.
	Running float64
}

// Limits on the exchange of demand between entries.
const (
	// maxUsagesPerReport bounds the accounts that an entry reports in a round.
	maxUsagesPerReport = 16
	// maxCountedAccounts bounds the accounts whose demand an owner stores.
	maxCountedAccounts = 4096
	// demandTTL is how long the demand at another entry is valid.
	demandTTL = 3 * time.Second
)

// Report returns the demand to send to the other entries that own the accounts,
// by entry. Call it once per second and pass each reply to [Limiter.ApplyReply].
func (l *Limiter) Report(now time.Time) (messages map[banyanplank.DaemonID][]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	messages = map[banyanplank.DaemonID][]Usage{}
	for _, u := range l.topUsages(now) {
		for _, owner := range l.ownersOf(u.Account) {
			switch owner {
			case "":
			case l.entry:
				l.storeDemand(now, l.entry, u)
			default:
				messages[owner] = append(messages[owner], u)
			}
		}
	}
	return messages
}

// topUsages returns the accounts with the largest demand above their even shares.
// The result is valid until the next call.
func (l *Limiter) topUsages(now time.Time) (usages []Usage) {
	all := l.scratch[:0]
	for id, a := range l.accounts {
		if excess := l.excessDemand(now, a); excess.rate > 0 || excess.running > 0 {
			all = append(all, Usage{Account: id, Rate: excess.rate, Running: excess.running})
		}
	}
	slices.SortFunc(all, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Rate+y.Running, x.Rate+x.Running), cmp.Compare(x.Account, y.Account))
	})
	l.scratch = all
	return all[:min(len(all), maxUsagesPerReport)]
}

// ownersOf returns the two entries that own an account, by rendezvous hashing.
// With two of them one may fail, and each exchanges demand with the other: a
// single owner could not detect that it is partitioned from the other entries.
func (l *Limiter) ownersOf(account banyanplank.AccountID) (owners [2]banyanplank.DaemonID) {
	var hashes [2]uint64
	for _, entry := range l.entries {
		var digest xxhash.Digest
		digest.Reset()
		// Writes to the digest never fail.
		_, _ = digest.WriteString(string(entry))
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(string(account))
		hash := digest.Sum64()
		switch {
		case owners[0] == "" || hash > hashes[0]:
			owners[1], hashes[1] = owners[0], hashes[0]
			owners[0], hashes[0] = entry, hash
		case owners[1] == "" || hash > hashes[1]:
			owners[1], hashes[1] = entry, hash
		}
	}
	return owners
}

// entryDemand is the demand of an account that one entry reported.
type entryDemand struct {
	demand
	receivedAt time.Time
}

// MergeDemand stores the demand that another entry reports for accounts that this entry
// owns, and returns the total demand at all entries but that one.
func (l *Limiter) MergeDemand(now time.Time, entry banyanplank.DaemonID, usages []Usage) (others []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range usages[:min(len(usages), maxUsagesPerReport)] {
		if demands := l.storeDemand(now, entry, u); demands != nil {
			others = append(others, sumOthers(now, u.Account, demands, entry))
		}
	}
	return others
}

// storeDemand stores the demand of an account at an entry. It returns the demand
// of the account by entry, or nil if too many accounts are stored.
func (l *Limiter) storeDemand(now time.Time, entry banyanplank.DaemonID, u Usage) map[banyanplank.DaemonID]entryDemand {
	demands := l.entryDemands(now, u.Account)
	if demands != nil {
		demands[entry] = entryDemand{demand: demand{rate: u.Rate, running: u.Running}, receivedAt: now}
	}
	return demands
}

// entryDemands returns the demand of an account by entry and creates the map if
// needed. It returns nil if too many accounts are stored.
func (l *Limiter) entryDemands(now time.Time, account banyanplank.AccountID) map[banyanplank.DaemonID]entryDemand {
	if demands, ok := l.demands[account]; ok {
		return demands
	}
	if len(l.demands) >= maxCountedAccounts {
		l.removeExpired(now)
	}
	if len(l.demands) >= maxCountedAccounts {
		return nil
	}
	demands := map[banyanplank.DaemonID]entryDemand{}
	l.demands[account] = demands
	return demands
}

// removeExpired removes the demand that is older than demandTTL.
func (l *Limiter) removeExpired(now time.Time) {
	for account, demands := range l.demands {
		for entry, t := range demands {
			if now.Sub(t.receivedAt) > demandTTL {
				delete(demands, entry)
			}
		}
		if len(demands) == 0 {
			delete(l.demands, account)
		}
	}
}

// sumOthers returns the total demand of an account at all entries but one. It
// removes expired demand.
func sumOthers(now time.Time, account banyanplank.AccountID, demands map[banyanplank.DaemonID]entryDemand, except banyanplank.DaemonID) (u Usage) {
	u.Account = account
	for entry, t := range demands {
		if now.Sub(t.receivedAt) > demandTTL {
			delete(demands, entry)
			continue
		}
		if entry != except {
			u.Rate += t.rate
			u.Running += t.running
		}
	}
	return u
}

// ApplyReply applies the reply to the demand that was sent. Others is the demand at
// the other entries.
func (l *Limiter) ApplyReply(now time.Time, sent, others []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range others {
		a := l.accounts[other.Account]
		i := slices.IndexFunc(sent, func(own Usage) bool { return own.Account == other.Account })
		if a != nil && i >= 0 {
			a.applyReply(now, sent[i], other)
		}
	}
}

// roundDuration is the time within which the replies of both owners belong to the
// same round.
const roundDuration = 500 * time.Millisecond

// applyReply applies the reply of one owner. Of two replies in one round the larger
// demand is used.
func (a *account) applyReply(now time.Time, own, other Usage) {
	if now.Sub(a.repliedAt) > roundDuration {
		a.otherDemand = demand{}
	}
	a.otherDemand.rate = max(a.otherDemand.rate, other.Rate)
	a.otherDemand.running = max(a.otherDemand.running, other.Running)
	a.ownDemand = demand{rate: own.Rate, running: own.Running}
	a.repliedAt = now
}
