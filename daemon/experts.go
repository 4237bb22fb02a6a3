package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/aggregator"
	"github.com/banyanplank/banyanplank/coordination/planner"
	"github.com/banyanplank/banyanplank/coordination/rebalancer"
	"github.com/banyanplank/banyanplank/coordination/switcher"
	"github.com/banyanplank/banyanplank/protocol/orderer"
)

const (
	// coordinatorTickInterval is the interval of the coordinator's ticks and of its
	// lease checks.
	coordinatorTickInterval = 250 * time.Millisecond
	// ranksInterval is the interval at which the coordinator receives the group's
	// declaration and ranks.
	ranksInterval = 2 * time.Second
	// loadReportInterval is the interval at which the rank's load is read and, if
	// worthwhile, reported.
	loadReportInterval = time.Second
	// defaultPlanInterval is the interval between two plans.
	defaultPlanInterval = time.Minute
	// leaseCheckValidity is how long the coordinator may act after one lease check.
	leaseCheckValidity = time.Second
	// loadReportTimeout bounds one load report.
	loadReportTimeout = 3 * time.Second
	// initialMapID is the id of a group's initial map.
	initialMapID = 1
)

// GroupLease is the lease of a group of ranks. Its holder coordinates the group.
type GroupLease interface {
	// Run acquires and renews the lease until ctx is canceled.
	Run(ctx context.Context) (err error)
	// Fence returns the fencing number, and whether the lease is held at now.
	Fence(now time.Time) (fence uint64, held bool)
}

// expertGroup is an agent's part in its group of ranks: it carries out orders for
// expert maps, reports the rank's load and, while it holds the lease, coordinates
// the group.
type expertGroup struct {
	daemon       *Daemon
	endpoint     banyanplank.Endpoint
	agent        *switcher.Agent
	lease        GroupLease
	loop         atomic.Pointer[banyanplank.Loop]
	status       atomic.Pointer[rebalancer.Status]
	loadCounter  loadCounter
	reportFilter *aggregator.ReportFilter
}

// newExpertGroup registers the service for orders with the listener. It returns
// nil for an endpoint outside any group.
func newExpertGroup(d *Daemon, endpoint banyanplank.Endpoint, lease GroupLease) (e *expertGroup, err error) {
	if d.member.Group == "" {
		return nil, nil
	}
	e = &expertGroup{daemon: d, endpoint: endpoint, lease: lease, reportFilter: aggregator.NewReportFilter(time.Now(), aggregator.WithInterval(d.planInterval))}
	e.agent = switcher.NewAgent(d.member.Group, d.store, endpoint, e.checkOrder)
	return e, orderer.DRPCRegisterOrders(d.listener.Mux(), e)
}

// serve carries out orders, reports loads and runs the coordinator, which acts
// while the lease is held, until ctx is canceled.
func (e *expertGroup) serve(ctx context.Context) (err error) {
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	group.Go(e.agent.Run)
	group.Go(e.reportLoads)
	group.Go(e.lease.Run)
	group.Go(e.runCoordinator)
	return group.Wait()
}

// groupSpec returns the declaration of the agent's group.
func (e *expertGroup) groupSpec() (groupSpec banyanplank.GroupSpec, ok bool) {
	for _, g := range e.daemon.keeper.View().Configuration.Groups {
		if g.Name == e.daemon.member.Group {
			return g, true
		}
	}
	return groupSpec, false
}

// checkOrder rejects an order to prepare a map that does not match the group's
// declaration.
func (e *expertGroup) checkOrder(order banyanplank.Order) (err error) {
	if order.Kind != banyanplank.OrderPrepare {
		return nil
	}
	var change orderer.Change
	if err := proto.Unmarshal(order.Payload, &change); err != nil {
		return errors.Wrap(err, "decode map to prepare")
	}
	spec, ok := e.groupSpec()
	if !ok {
		return errors.Newf("group %q is not declared", e.daemon.member.Group)
	}
	return orderer.CheckChange(&change, banyanplank.MapID(order.Map), spec.Name, spec.Shape())
}

// Give implements [orderer.DRPCOrdersServer].
func (e *expertGroup) Give(ctx context.Context, request *orderer.GiveRequest) (reply *orderer.GiveReply, err error) {
	return e.agent.Give(ctx, request)
}

// Report implements [orderer.DRPCOrdersServer]. Without a running coordinator, it
// drops the report.
func (e *expertGroup) Report(ctx context.Context, message *orderer.Load) (reply *orderer.ReportReply, err error) {
	load, err := orderer.DecodeLoad(message)
	if err != nil {
		return nil, err
	}
	loop := e.loop.Load()
	if loop == nil {
		return &orderer.ReportReply{Stale: true}, nil
	}
	loop.Send(ctx, rebalancer.LoadMsg{Load: load})
	return &orderer.ReportReply{}, nil
}

// rankAgent returns the agent of a rank, by its latest incarnation.
func (e *expertGroup) rankAgent(rank int) (member banyanplank.Member, err error) {
	found := false
	for _, m := range e.daemon.members() {
		if m.Group != e.daemon.member.Group || m.Rank != rank || m.Role != banyanplank.RoleAgent {
			continue
		}
		if !found || m.Incarnation > member.Incarnation {
			member, found = m, true
		}
	}
	if !found {
		return member, errors.Newf("no agent of rank %d of group %q is known", rank, e.daemon.member.Group)
	}
	return member, nil
}

// orderClient sends orders to the agents of the group. It implements
// [rebalancer.OrderSender].
type orderClient struct{ experts *expertGroup }

// Give implements [rebalancer.OrderSender].
func (o orderClient) Give(ctx context.Context, request *orderer.GiveRequest) (reply *orderer.GiveReply, err error) {
	member, err := o.experts.rankAgent(int(request.Rank))
	if err != nil {
		return nil, err
	}
	return orderer.NewDRPCOrdersClient(o.experts.daemon.dialer.Conn(ctx, member.PeerAddress)).Give(ctx, request)
}

// runCoordinator waits for the group's declaration, then runs its coordinator
// until ctx is canceled.
func (e *expertGroup) runCoordinator(ctx context.Context) (err error) {
	ticker := time.NewTicker(coordinatorTickInterval)
	defer ticker.Stop()
	for {
		if spec, ok := e.groupSpec(); ok {
			return e.runGroupCoordinator(ctx, spec, ticker)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// runGroupCoordinator runs the coordinator of a declared group until ctx is
// canceled.
func (e *expertGroup) runGroupCoordinator(ctx context.Context, spec banyanplank.GroupSpec, ticker *time.Ticker) (err error) {
	initial, err := banyanplank.NewExpertMap(spec.Name, initialMapID, spec.Shape())
	if err != nil {
		e.daemon.logger.Error().Err(err).Msg("group_refused")
		<-ctx.Done()
		return nil
	}
	coordinator, err := switcher.NewCoordinator(initial)
	if err != nil {
		return err
	}
	executor := rebalancer.Executor{
		Group:       spec.Name,
		Rank:        e.daemon.member.Rank,
		Archive:     switcher.NewRecordStore(e.daemon.store, spec.Name),
		OrderSender: orderClient{e},
		Log:         e.logEvent,
	}
	model := rebalancer.New(spec, initial, coordinator, rebalancer.WithInterval(e.daemon.planInterval))
	loop := banyanplank.NewLoop(model, executor,
		banyanplank.WithTick(coordinatorTickInterval),
		banyanplank.WithUpdateHook(e.publishStatus))
	e.loop.Store(loop)
	defer e.loop.Store(nil)
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	group.Go(loop.Run)
	group.Go(func(ctx context.Context) (err error) {
		e.updateCoordinator(ctx, loop, spec.Ranks, ticker)
		return nil
	})
	return group.Wait()
}

// publishStatus stores the group's status for the operators' API and updates the
// group's metrics.
func (e *expertGroup) publishStatus(model banyanplank.Model) {
	status := model.(*rebalancer.Rebalancer).Status(time.Now())
	e.status.Store(&status)
	if !status.IsCoordinator() {
		return
	}
	label := fmt.Sprintf(`{group=%q}`, e.daemon.member.Group)
	metrics.GetOrCreateGauge("banyanplank_group_map"+label, nil).Set(float64(status.Map))
	if len(status.Skew) > 0 {
		metrics.GetOrCreateGauge("banyanplank_group_skew"+label, nil).Set(status.Skew[len(status.Skew)-1])
	}
}

// recordStall updates the metrics of stalled ranks.
func (e *expertGroup) recordStall(c rebalancer.LogStallCmd) {
	label := fmt.Sprintf(`{group=%q,rank="%d",kind=%q}`, e.daemon.member.Group, c.Stall.Rank, c.Stall.Kind)
	stalled := metrics.GetOrCreateGauge("banyanplank_rank_stalled"+label, nil)
	if c.Ended {
		stalled.Set(0)
		return
	}
	stalled.Set(1)
	metrics.GetOrCreateCounter("banyanplank_rank_stalls_total" + label).Inc()
}

// updateCoordinator sends the coordinator the state of the lease at every tick, and
// the declaration and the ranks at every [ranksInterval], until ctx is canceled.
func (e *expertGroup) updateCoordinator(ctx context.Context, loop *banyanplank.Loop, ranks int, ticker *time.Ticker) {
	var lastRanks time.Time
	for {
		now := time.Now()
		if fence, held := e.lease.Fence(now); held {
			loop.Send(ctx, switcher.LeaseMsg{Fence: fence, Until: now.Add(leaseCheckValidity)})
		} else {
			loop.Send(ctx, switcher.LeaseLostMsg{})
		}
		if now.Sub(lastRanks) >= ranksInterval {
			lastRanks = now
			e.sendRanks(ctx, loop, ranks)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendRanks sends the coordinator the group's declaration and ranks.
func (e *expertGroup) sendRanks(ctx context.Context, loop *banyanplank.Loop, ranks int) {
	if spec, ok := e.groupSpec(); ok {
		loop.Send(ctx, rebalancer.GroupMsg{Spec: spec})
	}
	loop.Send(ctx, rebalancer.RanksMsg{Ranks: e.rankPlacement(ranks)})
}

// rankPlacement returns the instance and zone of each rank.
func (e *expertGroup) rankPlacement(ranks int) (placement []planner.Rank) {
	placement = make([]planner.Rank, ranks)
	for _, m := range e.daemon.members() {
		if m.Group == e.daemon.member.Group && m.Role == banyanplank.RoleAgent && m.Rank >= 0 && m.Rank < ranks {
			placement[m.Rank] = planner.Rank{Instance: m.Instance, Zone: m.Zone}
		}
	}
	return placement
}

// logEvent logs an event of the group.
func (e *expertGroup) logEvent(command banyanplank.Command) {
	group := string(e.daemon.member.Group)
	switch c := command.(type) {
	case switcher.EventCmd:
		e.daemon.logger.Info().Str("group", group).Str("kind", string(c.Kind)).Uint64("fence", c.Fence).
			Uint64("map", uint64(c.Map)).Err(c.Err).Msg("map_event")
	case rebalancer.LogStallCmd:
		e.recordStall(c)
		e.daemon.logger.Warn().Str("group", group).Int("rank", c.Stall.Rank).Str("kind", string(c.Stall.Kind)).
			Bool("lasting", c.Stall.Persistent).Bool("ended", c.Ended).Msg("rank_stall")
	case rebalancer.LogPlanCmd:
		e.daemon.logger.Info().Str("group", group).Str("reason", string(c.Plan.Reason)).Int("loads", c.Plan.Loads).
			Dur("gain", c.Plan.Gain).Dur("cost", c.Plan.Cost).Err(c.Err).Msg("map_planned")
	}
}
