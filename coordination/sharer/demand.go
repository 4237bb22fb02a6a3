package sharer

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// Limits on the demand that entries exchange. They bound the bytes of a heartbeat,
// however many accounts and entries there are.
const (
	// MaxServices is the maximum number of services in a summary.
	MaxServices = 4
	// MaxAccounts is the maximum number of accounts of one service in a summary.
	MaxAccounts = 12
	// MaxPriorities is the number of priorities. Less urgent priorities count as the
	// least urgent of them.
	MaxPriorities = 10
	// MaxNameBytes is the maximum length of the name of an account or a service in a
	// summary. A longer account name is replaced by a prefix and a hash. A service with a
	// longer name is not announced, so that each entry extrapolates from its own demand.
	MaxNameBytes = 64
	// maxDemand bounds an announced demand in slot-seconds per second, so that one
	// malformed heartbeat cannot make a sum infinite.
	maxDemand = 1e9
)

// ServiceDemand is the demand for a service at one entry.
type ServiceDemand struct {
	Service banyanplank.ServiceName
	// Returning is the demand of calls that come back with a promise, in slot-seconds per
	// second. It is not part of Priorities.
	Returning float64
	// Recent is all demand over a shorter time than the other fields, which shows the
	// beginning and the end of a burst earlier.
	Recent float64
	// Priorities holds the demand by priority, at most [MaxPriorities].
	Priorities []PriorityDemand
	// Accounts holds the accounts with the largest demand, at most [MaxAccounts].
	Accounts []AccountDemand
}

// PriorityDemand is the demand of one priority for a service at one entry.
type PriorityDemand struct {
	// Priority is from 0, the most urgent, to [MaxPriorities]-1.
	Priority int
	// PerSecond is the demand of all accounts, in slot-seconds per second.
	PerSecond float64
	// Unlisted is the part of PerSecond from accounts that no entry known to the sender
	// lists, and UnlistedAccounts is the number of these accounts. In Sketch, the bit of
	// each of them is set that [sketchBit] chooses, so that accounts that several entries
	// see can be counted once.
	Unlisted         float64
	UnlistedAccounts int
	Sketch           uint64
}

// AccountDemand is the demand of an account in one priority for a service at one
// entry.
type AccountDemand struct {
	Account banyanplank.AccountID
	// Priority is from 0, the most urgent, to [MaxPriorities]-1.
	Priority int
	// PerSecond is the demand in slot-seconds per second.
	PerSecond float64
}

// accountKey identifies an account in one priority.
type accountKey struct {
	account  banyanplank.AccountID
	priority int
}

// shortenAccount returns an account's name, or its prefix and hash if the name exceeds
// [MaxNameBytes].
func shortenAccount(account banyanplank.AccountID) banyanplank.AccountID {
	if len(account) <= MaxNameBytes {
		return account
	}
	hash := strconv.FormatUint(xxhash.Sum64String(string(account)), 16)
	return account[:MaxNameBytes-len(hash)] + banyanplank.AccountID(hash)
}

// sketchBits is the number of bits of a sketch.
const sketchBits = 64

// sketchBit returns the bit of an account in a sketch.
func sketchBit(account banyanplank.AccountID) uint64 {
	return 1 << (xxhash.Sum64String(string(account)) % sketchBits)
}

// countAccounts estimates the number of unlisted accounts of a priority at all entries
// from the union of their sketches, by linear counting. A full sketch shows only that there
// are hundreds, and the sum over entries is used, which counts an account once for each
// entry that sees it.
func (d *levelDemand) countAccounts() float64 {
	zeros := sketchBits - bits.OnesCount64(d.sketch)
	if zeros == 0 {
		return max(1, d.unlistedAccounts)
	}
	return max(1, min(d.unlistedAccounts, -sketchBits*math.Log(float64(zeros)/sketchBits)))
}

// clampDemand returns a demand within the range of valid ones. NaN becomes zero.
func clampDemand(perSecond float64) float64 {
	if math.IsNaN(perSecond) {
		return 0
	}
	return min(max(perSecond, 0), maxDemand)
}

// contribution is the demand for one service that one entry announced, in the form in
// which it is added up.
type contribution struct {
	returning float64
	recent    float64
	levels    [MaxPriorities]levelDemand
	accounts  []AccountDemand
}

// levelDemand is the demand of one priority at one entry or at all.
type levelDemand struct {
	perSecond, unlisted, unlistedAccounts float64
	// missed is the demand of accounts that other entries list and this one doesn't.
	missed float64
	sketch uint64
}

// newContribution returns the contribution of an announced demand. Values out of range
// are clamped and surplus entries dropped.
func newContribution(d *ServiceDemand) (c *contribution) {
	c = &contribution{returning: clampDemand(d.Returning), recent: clampDemand(d.Recent)}
	for _, p := range d.Priorities[:min(len(d.Priorities), MaxPriorities)] {
		level := &c.levels[clampPriority(p.Priority)]
		level.perSecond += clampDemand(p.PerSecond)
		level.unlisted += clampDemand(p.Unlisted)
		level.unlistedAccounts += float64(max(0, p.UnlistedAccounts))
		level.sketch |= p.Sketch
	}
	for i := range c.levels {
		level := &c.levels[i]
		level.unlisted = min(level.unlisted, level.perSecond)
		level.missed = level.perSecond - level.unlisted
	}
	c.accounts = make([]AccountDemand, 0, min(len(d.Accounts), MaxAccounts))
	for _, a := range d.Accounts[:min(len(d.Accounts), MaxAccounts)] {
		a.Account, a.Priority, a.PerSecond = shortenAccount(a.Account), clampPriority(a.Priority), clampDemand(a.PerSecond)
		same := func(b AccountDemand) bool { return b.Account == a.Account && b.Priority == a.Priority }
		if slices.ContainsFunc(c.accounts, same) {
			continue
		}
		level := &c.levels[a.Priority]
		a.PerSecond = min(a.PerSecond, level.missed)
		level.missed -= a.PerSecond
		c.accounts = append(c.accounts, a)
	}
	return c
}

// clampPriority returns the index of the level of a priority.
func clampPriority(priority int) (level int) {
	return min(max(priority, 0), MaxPriorities-1)
}

// listing is an account that at least one entry lists.
type listing struct {
	account banyanplank.AccountID
	// index is the position in the listings of the priority.
	index   int
	listers int
	// listed is the sum of the announced demands. missedByListers is the sum of
	// [levelDemand.missed] of the entries that list the account: none of it is this
	// account's.
	listed, missedByListers float64
	// weight, demand (the estimate for all entries) and fraction (the part of it that is
	// admitted) are results of the last division.
	weight, demand, fraction float64
}

// setContribution replaces what an entry announced. A nil contribution removes it.
func (v *service) setContribution(entry banyanplank.DaemonID, c *contribution) {
	old := v.contributions[entry]
	if c == nil {
		delete(v.contributions, entry)
	} else {
		v.contributions[entry] = c
		for _, a := range c.accounts {
			l := v.list(accountKey{a.Account, a.Priority})
			l.listers++
			l.listed += a.PerSecond
			l.missedByListers += c.levels[a.Priority].missed
		}
	}
	// The old listings go last, so that an account in both keeps its fraction.
	if old != nil {
		for _, a := range old.accounts {
			v.unlist(a, old.levels[a.Priority].missed)
		}
	}
}

// list returns the listing of an account and creates it if needed.
func (v *service) list(key accountKey) (l *listing) {
	if l = v.listings[key]; l != nil {
		return l
	}
	// Until the next division, the account is treated as an unlisted one.
	level := &v.levels[key.priority]
	l = &listing{account: key.account, index: len(level.listings), fraction: level.restFraction}
	level.listings = append(level.listings, l)
	v.listings[key] = l
	if r := v.records[key]; r != nil {
		r.listing = l
	}
	return l
}

// unlist removes one entry's announcement from the listing of an account.
func (v *service) unlist(a AccountDemand, missed float64) {
	key := accountKey{a.Account, a.Priority}
	l := v.listings[key]
	l.listers--
	l.listed -= a.PerSecond
	l.missedByListers -= missed
	if l.listers > 0 {
		return
	}
	delete(v.listings, key)
	level := &v.levels[a.Priority]
	last := level.listings[len(level.listings)-1]
	level.listings[l.index], last.index = last, l.index
	level.listings[len(level.listings)-1] = nil
	level.listings = level.listings[:len(level.listings)-1]
	if r := v.records[key]; r != nil {
		r.listing = nil
	}
}

// peer is another entry.
type peer struct {
	heardAt time.Duration
	// isHeard reports whether the peer's data hasn't expired. isCut reports whether the
	// peer may have left out services, because a summary has room for [MaxServices].
	isHeard, isCut bool
}

const (
	// peerTTL is the time after which a peer's data expires. Peers in other zones send
	// every 720 ms, so that one lost heartbeat is tolerated. After two in a row, the peer's
	// demand is estimated until the next one.
	peerTTL = 2 * time.Second
	// peerMemory is the time for which a silent peer counts as a known entry where
	// [WithEntries] isn't set.
	peerMemory = 30 * time.Second
	// maxPeers bounds the peers whose demand is stored.
	maxPeers = 4096
)

// Merge records the demand that a peer announced in its latest heartbeat, also if it is
// empty. It replaces what the peer announced before and expires after two seconds. Values out of range are
// clamped, and services and accounts beyond the limits of a summary are ignored.
func (s *Sharer) Merge(now time.Time, from banyanplank.DaemonID, demand []ServiceDemand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == self {
		return
	}
	p := s.peers[from]
	if p == nil {
		if len(s.peers) >= maxPeers {
			return
		}
		p = &peer{}
		s.peers[from] = p
	}
	demand = demand[:min(len(demand), MaxServices)]
	p.heardAt, p.isHeard, p.isCut = max(p.heardAt, s.elapsed(now)), true, len(demand) == MaxServices
	for name, v := range s.services {
		if v.contributions[from] != nil && !slices.ContainsFunc(demand, func(d ServiceDemand) bool { return d.Service == name }) {
			v.setContribution(from, nil)
		}
	}
	for i := range demand {
		if v := s.service(demand[i].Service); v != nil {
			v.setContribution(from, newContribution(&demand[i]))
		}
	}
}

// expirePeers removes the data of the peers that have been silent for peerTTL.
func (s *Sharer) expirePeers(now time.Duration) {
	for id, p := range s.peers {
		silence := now - p.heardAt
		if silence <= peerTTL {
			continue
		}
		if p.isHeard {
			p.isHeard = false
			for _, v := range s.services {
				v.setContribution(id, nil)
			}
		}
		if silence > peerMemory {
			delete(s.peers, id)
		}
	}
}

// Summary returns the demand at this entry for a heartbeat: at most [MaxServices]
// services, those closest to their capacity first. Call it for each round of heartbeats;
// the result is the caller's.
func (s *Sharer) Summary(now time.Time) (demand []ServiceDemand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.elapsed(now)
	announced := make([]*service, 0, len(s.services))
	for _, v := range s.services {
		if at-v.dividedAt >= divisionInterval {
			s.divide(at, v)
		}
		if v.isActive && len(v.name) <= MaxNameBytes {
			announced = append(announced, v)
		}
	}
	slices.SortFunc(announced, func(x, y *service) int {
		return cmp.Or(cmp.Compare(y.pressure, x.pressure), cmp.Compare(y.demand, x.demand), cmp.Compare(x.name, y.name))
	})
	for _, v := range announced[:min(len(announced), MaxServices)] {
		demand = append(demand, v.own())
	}
	return demand
}

// own returns this entry's contribution in the form that peers get.
func (v *service) own() (d ServiceDemand) {
	c := v.contributions[self]
	d = ServiceDemand{Service: v.name, Returning: clampDemand(c.returning), Recent: clampDemand(c.recent), Accounts: slices.Clone(c.accounts)}
	for i := range d.Accounts {
		d.Accounts[i].PerSecond = clampDemand(d.Accounts[i].PerSecond)
	}
	for i, level := range c.levels {
		if level.perSecond > 0 {
			d.Priorities = append(d.Priorities, PriorityDemand{
				Priority: i, PerSecond: clampDemand(level.perSecond),
				Unlisted: clampDemand(level.unlisted), UnlistedAccounts: int(level.unlistedAccounts), Sketch: level.sketch,
			})
		}
	}
	return d
}
