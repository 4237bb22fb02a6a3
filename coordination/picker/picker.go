package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/indexer"
)

// The defaults of the options.
const (
	// defaultSampleSize is the number of destinations compared in the own zone,
	// and again in the other zones.
	defaultSampleSize = 3
	// defaultZoneMargin is how much better an endpoint in another zone must be.
	defaultZoneMargin = 20 * time.Millisecond
	// defaultSameRegionDelay is the one-way delay between zones of one region.
	defaultSameRegionDelay = 1500 * time.Microsecond
	// defaultCrossRegionDelay is the one-way delay between regions.
	defaultCrossRegionDelay = 40 * time.Millisecond
	// rankSampleSize is the number of ranks compared within a group.
	rankSampleSize = 2
	// noEndpointRetryAfter is the recommended retry delay when no endpoint is
	// usable.
	noEndpointRetryAfter = time.Second
)

// Picker implements [banyanplank.Picker]. Create it with [New].
type Picker struct {
	entry            banyanplank.DaemonID
	zone             banyanplank.Zone
	sampleSize       int
	zoneMargin       time.Duration
	sameRegionDelay  time.Duration
	crossRegionDelay time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	index     *indexer.Index
	endpoints map[banyanplank.DaemonID]*endpoint
	services  map[banyanplank.ServiceName]*service
	regions   map[banyanplank.Zone]banyanplank.Region
	// freeIDs holds the index IDs of removed endpoints for reuse.
	freeIDs []indexer.EndpointID
}

var _ banyanplank.Picker = (*Picker)(nil)

// Option configures a [Picker].
type Option func(*Picker)

// WithZone sets the entry's own zone, whose endpoints are preferred. By default
// no zone is preferred.
func WithZone(zone banyanplank.Zone) Option {
	return func(p *Picker) { p.zone = zone }
}

// WithSampleSize sets how many destinations are compared in the own zone, and
// again in the other zones. A larger sample finds the best destination more
// often, but when reports are late, all entries choose the same one. The
// default is 3.
func WithSampleSize(size int) Option {
	return func(p *Picker) { p.sampleSize = size }
}

// WithZoneMargin sets how much lower the score of an endpoint in another zone
// must be before it is preferred. The default is 20 ms.
func WithZoneMargin(margin time.Duration) Option {
	return func(p *Picker) { p.zoneMargin = margin }
}

// WithZoneDelays sets the one-way delays between two zones of the same region
// and between regions. The defaults are 1.5 ms and 40 ms.
func WithZoneDelays(sameRegion, crossRegion time.Duration) Option {
	return func(p *Picker) { p.sameRegionDelay, p.crossRegionDelay = sameRegion, crossRegion }
}

// WithPrefixIndex sets the index of cached prefixes, for example to bound its
// memory. The default is a new index with default options.
func WithPrefixIndex(index *indexer.Index) Option {
	return func(p *Picker) { p.index = index }
}

// New returns a picker without members for the given entry. It draws its
// samples from random.
func New(entry banyanplank.DaemonID, random *rand.Rand, options ...Option) *Picker {
	p := &Picker{
		entry:            entry,
		sampleSize:       defaultSampleSize,
		zoneMargin:       defaultZoneMargin,
		sameRegionDelay:  defaultSameRegionDelay,
		crossRegionDelay: defaultCrossRegionDelay,
		random:           random,
		endpoints:        map[banyanplank.DaemonID]*endpoint{},
	}
	for _, option := range options {
		option(p)
	}
	if p.index == nil {
		p.index = indexer.New()
	}
	return p
}

// Pick implements [banyanplank.Picker].
func (p *Picker) Pick(now time.Time, query banyanplank.Query) (choice banyanplank.Choice, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[query.Service]
	if s == nil {
		return choice, newNoEndpointRefusal()
	}
	s.updateAverage(now)
	best := candidate{}
	p.considerSample(now, s, s.local, &query, &best)
	p.considerSample(now, s, s.remote, &query, &best)
	if best.endpoint == nil {
		p.considerAll(now, s, &query, &best)
	}
	if best.endpoint == nil {
		return choice, newNoEndpointRefusal()
	}
	best.endpoint.addRequest(now, s.prefillRate(best.endpoint), query.Demand)
	p.index.Store(best.endpoint.index, query.Demand.PrefixHashes)
	return banyanplank.Choice{
		Member:             best.endpoint.member,
		Demand:             query.Demand,
		FirstTokenEstimate: best.firstTokenTime,
		ChosenAt:           now,
	}, nil
}

// candidate is the best endpoint found so far.
type candidate struct {
	endpoint       *endpoint
	firstTokenTime time.Duration
	score          time.Duration
}

// consider replaces the best candidate with e if e is usable and has a lower
// score.
func (p *Picker) consider(now time.Time, s *service, e *endpoint, g *group, query *banyanplank.Query, best *candidate) {
	if !e.isUsable(now) || slices.Contains(query.Tried, e.member.ID) {
		return
	}
	firstTokenTime, score := p.predict(now, s, e, query)
	if g != nil && !g.isComplete() {
		score += incompleteGroupCost
	}
	if best.endpoint == nil || score < best.score {
		*best = candidate{endpoint: e, firstTokenTime: firstTokenTime, score: score}
	}
}

// considerSample considers a random sample of the destinations, and the
// endpoint with the longest cached prefix of the prompt.
func (p *Picker) considerSample(now time.Time, s *service, destinations []*destination, query *banyanplank.Query, best *candidate) {
	if len(destinations) == 0 {
		return
	}
	if len(destinations) <= p.sampleSize {
		for _, d := range destinations {
			p.considerDestination(now, s, d, query, best)
		}
		return
	}
	for range p.sampleSize {
		p.considerDestination(now, s, destinations[p.random.IntN(len(destinations))], query, best)
	}
	if e, g := p.longestCachedPrefix(destinations, query.Demand.PrefixHashes); e != nil {
		p.consider(now, s, e, g, query, best)
	}
}

// considerDestination considers a random sample of the ranks of a destination.
func (p *Picker) considerDestination(now time.Time, s *service, d *destination, query *banyanplank.Query, best *candidate) {
	if len(d.ranks) <= rankSampleSize {
		for _, e := range d.ranks {
			p.consider(now, s, e, d.group, query, best)
		}
		return
	}
	for range rankSampleSize {
		p.consider(now, s, d.ranks[p.random.IntN(len(d.ranks))], d.group, query, best)
	}
}

// longestCachedPrefix returns the endpoint with the longest cached prefix, or
// nil if no endpoint has cached any block.
func (p *Picker) longestCachedPrefix(destinations []*destination, prefix []uint64) (best *endpoint, g *group) {
	if len(prefix) == 0 {
		return nil, nil
	}
	bestBlocks := 0
	for _, d := range destinations {
		for _, e := range d.ranks {
			if blocks := p.index.CachedBlocks(e.index, prefix); blocks > bestBlocks {
				bestBlocks, best, g = blocks, e, d.group
			}
		}
	}
	return best, g
}

// considerAll considers all endpoints. It is used when no sample contains a
// usable one.
func (p *Picker) considerAll(now time.Time, s *service, query *banyanplank.Query, best *candidate) {
	for _, e := range s.endpoints {
		p.consider(now, s, e, s.groups[e.member.Group], query, best)
	}
}

// Finish implements [banyanplank.Picker].
func (p *Picker) Finish(now time.Time, choice banyanplank.Choice, result banyanplank.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.endpoints[choice.Member.ID]
	if !ok || e.member.Incarnation != choice.Member.Incarnation {
		return
	}
	e.finishRequest(now, choice, result)
	if !result.Started {
		p.index.Remove(e.index, choice.Demand.PrefixHashes)
		return
	}
	if s := p.services[e.member.Service]; s != nil {
		s.average.holdTime += (now.Sub(choice.ChosenAt) - s.average.holdTime) / 32
	}
}

// Observe implements [banyanplank.Picker].
func (p *Picker) Observe(now time.Time, report banyanplank.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.endpoints[report.Daemon]
	if !ok {
		return
	}
	turnedCold := report.Cold && !e.report.Cold
	if !e.recordReport(now, report) {
		return
	}
	if turnedCold {
		p.index.Clear(e.index)
	}
	if s := p.services[e.member.Service]; s != nil {
		if g := s.groups[e.member.Group]; g != nil {
			g.updateMinPrefillRate()
		}
	}
}

// Reconfigure implements [banyanplank.Picker].
func (p *Picker) Reconfigure(_ time.Time, members []banyanplank.Member, configuration *banyanplank.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regions = make(map[banyanplank.Zone]banyanplank.Region, len(configuration.Zones))
	for _, z := range configuration.Zones {
		p.regions[z.Name] = z.Region
	}
	p.removeNonMembers(members)
	builder := serviceBuilder{
		picker:        p,
		configuration: configuration,
		services:      map[banyanplank.ServiceName]*service{},
		destinations:  map[banyanplank.ServiceName]map[string]*destination{},
	}
	for _, member := range members {
		builder.addMember(member)
	}
	p.services = builder.build(p.zone)
}

// removeNonMembers removes the endpoints that are no longer members.
func (p *Picker) removeNonMembers(members []banyanplank.Member) {
	isMember := make(map[banyanplank.DaemonID]bool, len(members))
	for _, member := range members {
		isMember[member.ID] = member.State != banyanplank.MemberGone
	}
	for id, e := range p.endpoints {
		if !isMember[id] {
			p.index.Clear(e.index)
			p.freeIDs = append(p.freeIDs, e.index)
			delete(p.endpoints, id)
		}
	}
}

// ensureEndpoint returns the state of a member's endpoint. It resets all but
// the bias for a new incarnation.
func (p *Picker) ensureEndpoint(member banyanplank.Member) *endpoint {
	e, ok := p.endpoints[member.ID]
	if !ok {
		e = &endpoint{index: p.allocateIndexID()}
		p.endpoints[member.ID] = e
	}
	if member.Incarnation > e.member.Incarnation {
		*e = endpoint{index: e.index, bias: e.bias, biasUpdatedAt: e.biasUpdatedAt}
	}
	e.member = member
	return e
}

// clearClosed clears the closed state of an agent whose zone is out of service.
// Otherwise the endpoint would not be picked when the zone returns.
func (p *Picker) clearClosed(id banyanplank.DaemonID) {
	if e, ok := p.endpoints[id]; ok {
		e.report.Closed = false
	}
}

// allocateIndexID returns an unused index ID.
func (p *Picker) allocateIndexID() (id indexer.EndpointID) {
	if last := len(p.freeIDs) - 1; last >= 0 {
		id = p.freeIDs[last]
		p.freeIDs = p.freeIDs[:last]
		return id
	}
	return indexer.EndpointID(len(p.endpoints))
}

// delayBetween returns the one-way delay between two zones.
func (p *Picker) delayBetween(a, b banyanplank.Zone) time.Duration {
	switch {
	case a == b:
		return 0
	case p.regions[a] == p.regions[b]:
		return p.sameRegionDelay
	default:
		return p.crossRegionDelay
	}
}

func newNoEndpointRefusal() error {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonNoEndpoint,
		RetryAfter: noEndpointRetryAfter,
		Detail:     "no endpoint of the service accepts new requests",
	}
}
