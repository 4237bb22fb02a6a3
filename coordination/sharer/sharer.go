package sharer

import (
	"math"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Reasons of a [Decision].
const (
	// ReasonUnknownCapacity admits because the capacity of the service is unknown.
	ReasonUnknownCapacity = "unknown_capacity"
	// ReasonBelowCapacity admits because all demand fits.
	ReasonBelowCapacity = "below_capacity"
	// ReasonReturning admits because the call comes back with a promise.
	ReasonReturning = "returning"
	// ReasonShare admits within the share of the priority and account.
	ReasonShare = "share"
	// ReasonPriority refuses because more urgent priorities leave too little capacity.
	ReasonPriority = "priority"
	// ReasonAccount refuses because the account demands more than its fair share.
	ReasonAccount = "account"
)

const (
	// fullPressure is the fraction of the capacity below which everything is admitted.
	fullPressure = 0.9
	// divisionInterval is the minimum time between two divisions of a service's capacity.
	divisionInterval = 50 * time.Millisecond
	// refreshInterval is the maximum age of this entry's own demand in a division.
	// Adding up thousands of accounts costs more than a division, so it is done less often.
	refreshInterval = 100 * time.Millisecond
	// accountRefusal is the part of its priority's share below which a refusal is attributed
	// to the account. The shares of equal accounts differ by the variance of their demand.
	accountRefusal = 0.7
	// maxServices bounds the services with state. Calls of others are admitted.
	maxServices = 64
	// maxRecords bounds the accounts with state of their own for each service. The calls
	// of other accounts share the state of their priority.
	maxRecords = 4096
	// maxCost bounds the cost of a call in slot-seconds.
	maxCost = 1e5
	// self is the key of this entry among the contributions.
	self = banyanplank.DaemonID("")
)

// Option configures a [Sharer].
type Option func(*Sharer)

// WithEntries sets the function that returns the number of entries in the system,
// including this one and those that can't be reached. While some can't be heard, their
// demand is estimated as the mean of the others. The function is called at most every 50
// ms for each service and must not call the Sharer. By default, an entry is known for 30 s
// after its last heartbeat.
func WithEntries(count func() int) Option {
	return func(s *Sharer) { s.countEntries = count }
}

// WithWeight sets the function that returns the weight of a client account, its relative
// share among the accounts of a priority. Names of more than [MaxNameBytes] are passed in
// their shortened form. A weight that isn't positive counts as 1, which is the default for
// all accounts. The function must not call the Sharer.
func WithWeight(weight func(account banyanplank.AccountID) float64) Option {
	return func(s *Sharer) { s.accountWeight = weight }
}

// Sharer decides which calls of a service are admitted when not all can be. Its
// methods are safe for concurrent use.
type Sharer struct {
	countEntries  func() int
	accountWeight func(account banyanplank.AccountID) float64

	mu       sync.Mutex
	epoch    time.Time
	services map[banyanplank.ServiceName]*service
	peers    map[banyanplank.DaemonID]*peer
}

// New returns a sharer that knows no capacity and admits everything.
func New(options ...Option) *Sharer {
	s := &Sharer{
		services: map[banyanplank.ServiceName]*service{},
		peers:    map[banyanplank.DaemonID]*peer{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// elapsed returns the time since the first call.
func (s *Sharer) elapsed(now time.Time) time.Duration {
	if s.epoch.IsZero() {
		// The epoch is earlier than any time, so that the zero Duration means never.
		s.epoch = now.Add(-time.Hour)
	}
	return now.Sub(s.epoch)
}

// service is the state of one service.
type service struct {
	name     banyanplank.ServiceName
	capacity float64
	weight   func(account banyanplank.AccountID) float64
	// isActive reports whether the service has had a call at this entry.
	isActive bool

	// Own demand.
	levels    [MaxPriorities]level
	returning rate
	records   map[accountKey]*record
	recorded  int
	// recent is the demand including returning calls, over recentWindow.
	recent rate
	// meanCost and meanSquare are averages of the cost of a call and of its square.
	meanCost, meanSquare float64

	// Announced demand, and the demand of this entry under the key self.
	contributions map[banyanplank.DaemonID]*contribution
	listings      map[accountKey]*listing

	// Results of the last refresh and division.
	refreshedAt, dividedAt time.Duration
	demand, pressure       float64
	heard, known           int
	// isDivided reports whether some fraction may be below 1.
	isDivided bool
	water     []waterItem

	admitted uint64
	refused  uint64
}

// level is the state of one priority of a service.
type level struct {
	demand rate
	// rest decides on the calls of accounts without a record.
	rest diffusion
	// listings holds the listed accounts in no order.
	listings []*listing
	// total is the demand at all entries and allocated the capacity for it, both in
	// slot-seconds per second. restFraction is the admitted part of the accounts without
	// a listing.
	total, allocated, restFraction float64
}

// share returns the admitted part of the priority's demand.
func (l *level) share() float64 {
	if l.total <= 0 || l.allocated >= l.total {
		return 1
	}
	return l.allocated / l.total
}

// record is the state of an account in one priority at this entry.
type record struct {
	demand    accountRate
	diffusion diffusion
	// usedAt is the time of the last call.
	usedAt time.Duration
	// listing is nil if no entry lists the account.
	listing *listing
	// isListed reports whether this entry lists the account, and wasListed whether it did
	// before the last refresh.
	isListed, wasListed bool
}

// isListedElsewhere reports whether another entry lists the account. It is valid during a
// refresh, when wasListed tells whether this entry's announced contribution does.
func (r *record) isListedElsewhere() bool {
	return r.listing != nil && (!r.wasListed || r.listing.listers > 1)
}

// service returns the state of a service and creates it if needed. It returns nil if too
// many services have state.
func (s *Sharer) service(name banyanplank.ServiceName) (v *service) {
	if v = s.services[name]; v != nil {
		return v
	}
	if len(s.services) >= maxServices {
		return nil
	}
	v = &service{
		name: name, weight: s.weight,
		records:       map[accountKey]*record{},
		contributions: map[banyanplank.DaemonID]*contribution{self: {}},
		listings:      map[accountKey]*listing{},
	}
	for i := range v.levels {
		v.levels[i].rest = v.nextDiffusion()
		v.levels[i].restFraction = 1
	}
	s.services[name] = v
	return v
}

// weight returns the weight of an account.
func (s *Sharer) weight(account banyanplank.AccountID) float64 {
	if s.accountWeight == nil {
		return 1
	}
	if weight := s.accountWeight(account); weight > 0 && !math.IsInf(weight, 0) {
		return weight
	}
	return 1
}

// SetCapacity sets the cost per second that a service finishes in time, for all entries,
// in slot-seconds per second. Zero means unknown: everything is admitted. It takes effect
// with the next division, within 50 ms, and may be called as often as the number changes.
func (s *Sharer) SetCapacity(now time.Time, service banyanplank.ServiceName, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elapsed(now)
	if v := s.service(service); v != nil {
		v.capacity = clampDemand(perSecond)
	}
}

// Arrival is a call that asks to be admitted.
type Arrival struct {
	Service banyanplank.ServiceName
	Account banyanplank.AccountID
	// Priority is 0 for the most urgent calls.
	Priority int
	// Cost is the expected cost of the call in slot-seconds.
	Cost float64
	// Returning reports whether the call comes back with a promise.
	Returning bool
}

// Decision tells whether a call is admitted.
type Decision struct {
	Admitted bool
	// Pressure is the demand at all entries as a fraction of the capacity, or 0 if the
	// capacity is unknown.
	Pressure float64
	// Share is the fraction of the calls of this priority and account that is admitted.
	Share float64
	// Reason is one of the constants of this package, such as [ReasonShare].
	Reason string
}

// Admit counts an arrival and decides on it. A call is counted each time it arrives,
// whether it is admitted or not.
func (s *Sharer) Admit(now time.Time, call Arrival) (d Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.elapsed(now)
	v := s.service(call.Service)
	if v == nil {
		return Decision{Admitted: true, Share: 1, Reason: ReasonUnknownCapacity}
	}
	call.Cost = clampCost(call.Cost)
	level := &v.levels[clampPriority(call.Priority)]
	r := v.count(at, &call)
	if at-v.dividedAt >= divisionInterval {
		s.divide(at, v)
	}
	d = v.decide(&call, level, r)
	if !d.Admitted {
		v.refused++
		return d
	}
	v.admitted++
	return d
}

// clampCost returns a cost within the range of valid ones. NaN becomes zero.
func clampCost(cost float64) float64 {
	if math.IsNaN(cost) {
		return 0
	}
	return min(max(cost, 0), maxCost)
}

// costWeight is the weight of one call in the mean cost of a service.
const costWeight = 1.0 / 256

// count adds an arrival to the demand of its service, priority and account. It returns
// nil if the account has no record.
func (v *service) count(now time.Duration, call *Arrival) (r *record) {
	if !v.isActive {
		v.isActive, v.meanCost, v.meanSquare = true, call.Cost, call.Cost*call.Cost
	}
	v.meanCost += (call.Cost - v.meanCost) * costWeight
	v.meanSquare += (call.Cost*call.Cost - v.meanSquare) * costWeight
	v.recent.add(now, recentWindow, call.Cost)
	if call.Returning {
		v.returning.add(now, demandWindow, call.Cost)
		return nil
	}
	priority := clampPriority(call.Priority)
	v.levels[priority].demand.add(now, demandWindow, call.Cost)
	key := accountKey{shortenAccount(call.Account), priority}
	if r = v.records[key]; r == nil {
		if len(v.records) >= maxRecords {
			return nil
		}
		r = &record{diffusion: v.nextDiffusion(), listing: v.listings[key]}
		v.records[key] = r
	}
	r.demand.add(now, call.Cost)
	r.usedAt = max(r.usedAt, now)
	return r
}

// decide decides on an arrival that has been counted.
func (v *service) decide(call *Arrival, level *level, r *record) Decision {
	switch {
	case v.capacity == 0:
		return Decision{Admitted: true, Share: 1, Reason: ReasonUnknownCapacity}
	case call.Returning:
		return Decision{Admitted: true, Pressure: v.pressure, Share: 1, Reason: ReasonReturning}
	case v.pressure < fullPressure:
		return Decision{Admitted: true, Pressure: v.pressure, Share: 1, Reason: ReasonBelowCapacity}
	}
	share, diffusion := level.restFraction, &level.rest
	if r != nil {
		share, diffusion = r.fraction(level), &r.diffusion
	}
	d := Decision{Pressure: v.pressure, Share: share}
	switch {
	case diffusion.admit(share, sizeClass(call.Cost, v.meanCost)):
		d.Admitted, d.Reason = true, ReasonShare
	case share < accountRefusal*level.share():
		d.Reason = ReasonAccount
	default:
		d.Reason = ReasonPriority
	}
	return d
}

// fraction returns the admitted part of the account's calls.
func (r *record) fraction(level *level) float64 {
	if r.listing == nil {
		return level.restFraction
	}
	return r.listing.fraction
}
