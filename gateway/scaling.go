package gateway

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/leaser"
	"github.com/banyanplank/banyanplank/coordination/scaler"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
)

const (
	// scaleInterval is the time between two looks at the load.
	scaleInterval = time.Second
	// rejectedOrderTime is how long an order that the platform rejected is not repeated.
	rejectedOrderTime = 30 * time.Second
)

// The outcomes of scale orders.
const (
	scaleSent     = "sent"
	scaleRejected = "rejected"
	scaleFailed   = "failed"
)

// subject is what a scale order is about.
type subject struct {
	service banyanplank.ServiceName
	zone    banyanplank.Zone
}

// sentOrder is the last order for a subject.
type sentOrder struct {
	desired int
	// repeatAt is when to repeat an order that was rejected. It is zero for others.
	repeatAt time.Time
}

// scaling orders the number of endpoints while this entry holds that duty. Only the goroutine
// that runs it uses it.
type scaling struct {
	holder   *leaser.Holder
	platform banyanplank.DutyPlatform
	scaler   *scaler.Scaler
	snapshot func() *surveyor.Snapshot
	loads    func() []balancer.ServiceLoad
	onOrder  func(order banyanplank.ScaleOrder, token uint64, outcome string, err error)

	// coldTimes holds the longest cold start seen of each service, and subjects what it runs in.
	coldTimes map[banyanplank.ServiceName]time.Duration
	subjects  map[subject]bool
	// token is that of the term in which the orders were sent.
	token uint64
	sent  map[subject]sentOrder
}

// newScaling returns a scaling that has not started.
func newScaling(d *Daemon, holder *leaser.Holder, platform banyanplank.DutyPlatform) *scaling {
	return &scaling{
		holder: holder, platform: platform, scaler: scaler.New(), snapshot: d.snapshot.Load, loads: d.balancer.Loads, onOrder: d.logScaleOrder,
		coldTimes: make(map[banyanplank.ServiceName]time.Duration), subjects: make(map[subject]bool),
	}
}

// run orders until ctx ends. Entries that don't hold the duty observe the load too, so that
// they know it when they get the duty.
func (s *scaling) run(ctx context.Context) (err error) {
	for banyanplank.Sleep(ctx, scaleInterval) == nil {
		if input, ok := s.input(); ok {
			s.send(ctx, s.scaler.Update(time.Now(), input))
		}
	}
	return nil
}

// input returns the load of the services that are scaled. It returns false if this entry may not
// know the load of all entries: it would order too few endpoints.
func (s *scaling) input() (input []scaler.ServiceLoad, ok bool) {
	snapshot := s.snapshot()
	if snapshot.Router == nil || 2*snapshot.AliveEntries <= snapshot.KnownEntries {
		return nil, false
	}
	// A group of ranks works only while all its ranks are there, and a single new one joins
	// none. Such a service keeps its size.
	inGroups := make(map[banyanplank.ServiceName]bool)
	for _, b := range snapshot.Backends {
		s.coldTimes[b.Service] = max(s.coldTimes[b.Service], b.ColdStartLeft)
		inGroups[b.Service] = inGroups[b.Service] || b.Group != ""
	}
	specs := make(map[banyanplank.ServiceName]*banyanplank.AutoscaleSpec)
	for _, pool := range snapshot.Router.Table().Pools {
		specs[pool.Name] = pool.Autoscale
	}
	for _, load := range s.loads() {
		spec := specs[load.Service]
		if spec == nil || inGroups[load.Service] {
			continue
		}
		service := scaler.ServiceLoad{
			Service: load.Service, Spec: *spec, Capacity: load.Capacity, ColdTime: s.coldTimes[load.Service],
			Waiting: float64(load.Waiting),
		}
		for zone := range load.Running {
			s.subjects[subject{load.Service, zone}] = true
		}
		for known := range s.subjects {
			if known.service == load.Service {
				service.Zones = append(service.Zones, scaler.ZoneLoad{
					Zone: known.zone, Endpoints: load.Endpoints[known.zone], Running: load.Running[known.zone], IsOut: snapshot.ZonesOut[known.zone],
				})
			}
		}
		input = append(input, service)
	}
	return input, true
}

// send sends the orders that differ from the last ones, increases first. A new term repeats all,
// as what the platform has can't be read.
func (s *scaling) send(ctx context.Context, orders []banyanplank.ScaleOrder) {
	term, held := s.holder.Term()
	if !held {
		return
	}
	if term.Token != s.token {
		s.token, s.sent = term.Token, make(map[subject]sentOrder)
	}
	now := time.Now()
	orders = slices.DeleteFunc(orders, func(o banyanplank.ScaleOrder) bool {
		last, ok := s.sent[subject{o.Service, o.Zone}]
		return ok && last.desired == o.Desired && (last.repeatAt.IsZero() || now.Before(last.repeatAt))
	})
	slices.SortStableFunc(orders, func(a, b banyanplank.ScaleOrder) int { return cmp.Compare(s.increase(b), s.increase(a)) })
	for _, o := range orders {
		// Later orders are computed anew from the load by then.
		if time.Since(now) >= scaleInterval || !s.sendOne(ctx, o) {
			return
		}
	}
}

// increase returns by how much an order exceeds the last one.
func (s *scaling) increase(o banyanplank.ScaleOrder) (endpoints int) {
	return o.Desired - s.sent[subject{o.Service, o.Zone}].desired
}

// sendOne sends one order. It reports whether to go on with the next one.
func (s *scaling) sendOne(ctx context.Context, order banyanplank.ScaleOrder) (ok bool) {
	err := s.holder.Do(ctx, func(ctx context.Context, term banyanplank.Term) error {
		return s.platform.Scale(ctx, term, order)
	})
	key := subject{order.Service, order.Zone}
	switch {
	case err == nil:
		s.sent[key] = sentOrder{desired: order.Desired}
		s.onOrder(order, s.token, scaleSent, nil)
		return true
	case errors.Is(err, leaser.ErrNotHeld) || ctx.Err() != nil:
		return false
	case errors.Is(err, banyanplank.ErrUncertain) || errors.Is(err, banyanplank.ErrUnavailable):
		s.onOrder(order, s.token, scaleFailed, err)
		return false
	default:
		s.sent[key] = sentOrder{desired: order.Desired, repeatAt: time.Now().Add(rejectedOrderTime)}
		s.onOrder(order, s.token, scaleRejected, err)
		return true
	}
}

// scaleCounter returns the name of the counter of scale orders with an outcome.
func scaleCounter(outcome string) (name string) {
	return fmt.Sprintf("banyanplank_scale_orders_total{outcome=%q}", outcome)
}

// logScaleOrder logs and counts a scale order.
func (d *Daemon) logScaleOrder(order banyanplank.ScaleOrder, token uint64, outcome string, err error) {
	d.gateway.counters.set.GetOrCreateCounter(scaleCounter(outcome)).Inc()
	line := d.logger.Info()
	if err != nil {
		line = d.logger.Warn().Err(err)
	}
	line.Str("service", string(order.Service)).Str("zone", string(order.Zone)).Int("desired", order.Desired).Uint64("token", token).Str("outcome", outcome).Msg("scale order")
}
