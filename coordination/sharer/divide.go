package sharer

import (
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
)

const (
	// reservedFraction is the part of its demand, and at most of the capacity, that a less
	// urgent priority keeps whatever the more urgent ones demand.
	reservedFraction = 0.1
	// maxReserved bounds what all less urgent priorities keep together, as a part of the
	// capacity, so that many of them don't crowd out the most urgent one.
	maxReserved = 0.5
	// listPressure is the pressure from which accounts are listed in summaries. Below it,
	// no division is near.
	listPressure = 0.5
	// listedPreference multiplies the demand of an account that some entry already lists
	// when the largest accounts are chosen, so that entries tend to list the same ones.
	listedPreference = 1.25
	// recordTTL is the time after which the record of an idle account is removed.
	recordTTL = 10 * time.Second
	// activeTime is the time since its last call during which an account is announced.
	activeTime = 2 * sparseWindow
	// listedMean is the least demand of a listed account, as a part of the mean demand of
	// the accounts of its priority.
	listedMean = 0.5
	// waterSteps bounds the steps of a max-min division. Each step that changes anything
	// raises the level; stopping early leaves it a little low.
	waterSteps = 32
)

// minDemand is the demand in slot-seconds per second below which a priority counts as
// unused.
const minDemand = 1e-6

// ranking holds the accounts with the largest demand, largest first.
type ranking struct {
	accounts []AccountDemand
	scores   [MaxAccounts]float64
}

// insert adds an account if it is among the largest.
func (k *ranking) insert(a AccountDemand, score float64) {
	n := len(k.accounts)
	if n == MaxAccounts && score <= k.scores[n-1] {
		return
	}
	if n < MaxAccounts {
		k.accounts = append(k.accounts, a)
		n++
	}
	i := n - 1
	for ; i > 0 && k.scores[i-1] < score; i-- {
		k.accounts[i], k.scores[i] = k.accounts[i-1], k.scores[i-1]
	}
	k.accounts[i], k.scores[i] = a, score
}

// refresh updates this entry's own contribution.
func (s *Sharer) refresh(now time.Duration, v *service) {
	c := &contribution{returning: v.returning.at(now, demandWindow), recent: v.recent.at(now, recentWindow)}
	var dense, sparse, active, sparseFactor [MaxPriorities]float64
	isFull := len(v.records) > maxRecords*9/10
	for key, r := range v.records {
		idle := now - r.usedAt
		switch {
		case idle > recordTTL || isFull && idle > activeTime:
			delete(v.records, key)
		case idle <= activeTime:
			r.demand.decay(now)
			active[key.priority]++
			if r.demand.isDense() {
				dense[key.priority] += r.demand.dense
			} else {
				sparse[key.priority] += r.demand.sparse
			}
		}
	}
	for i := range c.levels {
		if c.levels[i].perSecond = v.levels[i].demand.at(now, demandWindow); c.levels[i].perSecond < minDemand {
			c.levels[i].perSecond = 0
		}
		// Sparse accounts are averaged over a longer time than their priority, so only their
		// proportions among each other are used.
		if sparse[i] > 0 {
			sparseFactor[i] = max(0, c.levels[i].perSecond-dense[i]) / sparse[i]
		}
	}
	var largest ranking
	for key, r := range v.records {
		r.wasListed, r.isListed = r.isListed, false
		level := &c.levels[key.priority]
		if now-r.usedAt > activeTime || level.perSecond <= 0 {
			continue
		}
		demand := r.demand.dense
		if !r.demand.isDense() {
			demand = r.demand.sparse * sparseFactor[key.priority]
		}
		score := demand
		if r.isListedElsewhere() {
			score *= listedPreference
		} else {
			level.addUnlisted(key.account, demand)
		}
		if v.pressure >= listPressure && r.demand.isSignificant() && demand*active[key.priority] >= listedMean*level.perSecond {
			largest.insert(AccountDemand{key.account, key.priority, demand}, score)
		}
	}
	for i := range c.levels {
		// The calls of accounts without a record count as those of one more account.
		if without := c.levels[i].perSecond - dense[i]; sparse[i] <= 0 && without > c.levels[i].perSecond/1000 {
			c.levels[i].unlisted += without
			c.levels[i].unlistedAccounts++
		}
	}
	v.listLargest(c, largest.accounts)
	v.setContribution(self, c)
	v.refreshedAt = now
}

// addUnlisted adds the demand of an account that no other entry lists.
func (d *levelDemand) addUnlisted(account banyanplank.AccountID, demand float64) {
	d.unlisted += demand
	d.unlistedAccounts++
	d.sketch |= sketchBit(account)
}

// listLargest lists accounts in this entry's contribution. Their bits stay in the sketch,
// since other accounts may share them.
func (v *service) listLargest(c *contribution, largest []AccountDemand) {
	c.accounts = largest
	var listed [MaxPriorities]float64
	for _, a := range largest {
		r := v.records[accountKey{a.Account, a.Priority}]
		if !r.isListedElsewhere() {
			c.levels[a.Priority].unlisted -= a.PerSecond
			c.levels[a.Priority].unlistedAccounts--
		}
		r.isListed = true
		listed[a.Priority] += a.PerSecond
	}
	for i := range c.levels {
		level := &c.levels[i]
		level.unlisted = min(max(0, level.unlisted), level.perSecond)
		level.missed = max(0, level.perSecond-level.unlisted-listed[i])
	}
}

// divide divides the capacity of a service among its priorities and accounts.
func (s *Sharer) divide(now time.Duration, v *service) {
	s.expirePeers(now)
	if now-v.refreshedAt >= refreshInterval {
		s.refresh(now, v)
	}
	v.dividedAt = now
	scale := s.extrapolation(v)
	var totals [MaxPriorities]levelDemand
	returning, recent := 0.0, 0.0
	for _, c := range v.contributions {
		returning += c.returning
		recent += c.recent
		for i := range c.levels {
			if c.levels[i].perSecond > 0 {
				totals[i].add(&c.levels[i])
			}
		}
	}
	v.demand = returning
	for i := range totals {
		v.demand += totals[i].perSecond
	}
	scale *= v.trend(recent)
	v.demand *= scale
	for i := range totals {
		totals[i].multiply(scale)
		v.levels[i].total = totals[i].perSecond
	}
	v.pressure = 0
	if v.capacity > 0 {
		v.pressure = v.demand / v.capacity
	}
	if v.pressure < fullPressure {
		v.admitAll()
		return
	}
	v.isDivided = true
	v.allocate(returning * scale)
	v.estimateListings(&totals, scale)
	for i := range v.levels {
		if totals[i].perSecond > 0 {
			v.shareLevel(i, &totals[i])
		} else {
			v.levels[i].restFraction = 1
		}
	}
}

// trend returns the factor from the average demand to the recent one if they differ by
// more than the variance of demand explains, and 1 otherwise. It assumes that all demand
// has changed alike until the averages follow.
func (v *service) trend(recent float64) float64 {
	const (
		// minChange is the smallest change that is followed.
		minChange = 0.1
		// deviations is the number of standard deviations that a change must exceed.
		deviations = 4
	)
	if v.demand <= 0 || v.meanCost <= 0 {
		return 1
	}
	// An exponential average is as precise as the mean over twice its time constant.
	// Calls of unequal cost count as fewer equal ones.
	calls := v.demand * 2 * recentWindow.Seconds() * v.meanCost / v.meanSquare
	if ratio := recent / v.demand; math.Abs(ratio-1) > max(minChange, deviations/math.Sqrt(calls)) {
		return ratio
	}
	return 1
}

// extrapolation returns the factor from the demand of the entries that are heard to that
// of all known entries.
func (s *Sharer) extrapolation(v *service) float64 {
	v.heard, v.known = 1, len(s.peers)+1
	for id, p := range s.peers {
		if p.isHeard && (!p.isCut || v.contributions[id] != nil) {
			v.heard++
		}
	}
	if s.countEntries != nil {
		v.known = s.countEntries()
	}
	return max(1, float64(v.known)/float64(v.heard))
}

// admitAll sets the results of a division in which all demand fits.
func (v *service) admitAll() {
	if !v.isDivided {
		return
	}
	v.isDivided = false
	for i := range v.levels {
		v.levels[i].restFraction, v.levels[i].allocated = 1, 0
	}
	for _, l := range v.listings {
		l.fraction = 1
	}
}

// allocate divides the capacity among the priorities. Calls that return with a promise
// come first.
func (v *service) allocate(returning float64) {
	remaining := max(0, v.capacity-returning)
	var reserved [MaxPriorities]float64
	sum, isFirst := 0.0, true
	for i := range v.levels {
		if v.levels[i].total <= 0 {
			continue
		}
		if !isFirst {
			reserved[i] = reservedFraction * min(v.levels[i].total, v.capacity)
			sum += reserved[i]
		}
		isFirst = false
	}
	reduction := 1.0
	if sum > maxReserved*remaining {
		reduction = maxReserved * remaining / sum
	}
	later := sum * reduction
	for i := range v.levels {
		later -= reserved[i] * reduction
		v.levels[i].allocated = min(v.levels[i].total, max(0, remaining-max(0, later)))
		remaining -= v.levels[i].allocated
	}
}

// estimateListings estimates the demand of each listed account at all entries. An entry
// lists only its largest accounts: the demand of others that some entry lists is known as
// one sum for each entry, and is spread over the accounts that the entry may have left
// out.
func (v *service) estimateListings(totals *[MaxPriorities]levelDemand, scale float64) {
	for i := range v.levels {
		total, weights := &totals[i], 0.0
		for _, l := range v.levels[i].listings {
			l.weight = v.weight(l.account)
			weights += max(0, total.missed-l.missedByListers*scale)
		}
		if weights <= 0 {
			total.unlisted += total.missed
			total.missed, weights = 0, 1
		}
		for _, l := range v.levels[i].listings {
			l.demand = max(0, l.listed)*scale + total.missed*max(0, total.missed-l.missedByListers*scale)/weights
		}
	}
}

// waterItem is an account, or all unlisted accounts, in a max-min division.
type waterItem struct {
	demand, weight float64
	isFull         bool
}

// shareLevel divides the allocation of a priority among its accounts by weighted max-min
// fairness: each account gets its demand, but at most its weight times a common level.
func (v *service) shareLevel(priority int, total *levelDemand) {
	level := &v.levels[priority]
	rest := waterItem{demand: total.unlisted, weight: total.countAccounts()}
	v.water = append(v.water[:0], rest)
	for _, l := range level.listings {
		v.water = append(v.water, waterItem{demand: l.demand, weight: l.weight})
	}
	water := waterLevel(v.water, level.allocated)
	level.restFraction = fractionAt(water, rest.demand, rest.weight)
	for _, l := range level.listings {
		l.fraction = fractionAt(water, l.demand, l.weight)
	}
}

// fractionAt returns the admitted part of a demand.
func fractionAt(water, demand, weight float64) float64 {
	if demand <= water*weight {
		return 1
	}
	return water * weight / demand
}

// waterLevel returns the level at which the items use up the allocation, or infinity if
// all demand fits.
func waterLevel(items []waterItem, allocation float64) (water float64) {
	free, weight := allocation, 0.0
	for i := range items {
		weight += items[i].weight
	}
	for range waterSteps {
		if weight <= 0 {
			return math.Inf(1)
		}
		water = max(0, free) / weight
		raised := false
		for i := range items {
			item := &items[i]
			if !item.isFull && item.demand <= water*item.weight {
				item.isFull, raised = true, true
				free -= item.demand
				weight -= item.weight
			}
		}
		if !raised {
			return water
		}
	}
	return water
}

// add adds the demand of one entry.
func (d *levelDemand) add(other *levelDemand) {
	d.perSecond += other.perSecond
	d.unlisted += other.unlisted
	d.unlistedAccounts += other.unlistedAccounts
	d.missed += other.missed
	d.sketch |= other.sketch
}

// multiply multiplies the demand, but not the number of accounts, by a factor.
func (d *levelDemand) multiply(factor float64) {
	d.perSecond *= factor
	d.unlisted *= factor
	d.missed *= factor
}
