package daemon

import (
	"context"
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/orderer"
)

// loadCounter converts a rank's cumulative counters into load reports of the
// difference to a baseline.
type loadCounter struct {
	baselineTime time.Time
	baseline     banyanplank.RankStatus
	sequence     uint64
}

// nextLoad returns the rank's load since the baseline. It returns false if there is
// no comparable baseline: the first status and one after a change of boot or map
// become the new baseline.
func (c *loadCounter) nextLoad(now time.Time, member banyanplank.Member, status banyanplank.RankStatus) (load banyanplank.RankLoad, ok bool) {
	if status.Boot != c.baseline.Boot || status.Map != c.baseline.Map || len(status.Counts) != len(c.baseline.Counts) {
		c.baselineTime, c.baseline = now, status
		return load, false
	}
	load = banyanplank.RankLoad{
		Group:       member.Group,
		Rank:        member.Rank,
		Incarnation: member.Incarnation,
		Sequence:    c.sequence + 1,
		Map:         status.Map,
		Span:        now.Sub(c.baselineTime),
		Arrived:     status.Arrived,
		BusyTime:    status.BusyTime,
		Lateness:    status.Lateness,
		Tokens:      make([]uint32, len(status.Counts)),
	}
	if status.Step > c.baseline.Step {
		load.Steps = status.Step - c.baseline.Step
	}
	for i, count := range status.Counts {
		if count >= c.baseline.Counts[i] {
			load.Tokens[i] = uint32(min(count-c.baseline.Counts[i], math.MaxUint32))
		}
	}
	return load, load.Span > 0
}

// markSent records that load was sent. A report with counts moves the baseline to
// status; after one without, the next report includes its counts.
func (c *loadCounter) markSent(now time.Time, load banyanplank.RankLoad, status banyanplank.RankStatus) {
	c.sequence = load.Sequence
	if len(load.Tokens) > 0 {
		c.baselineTime, c.baseline = now, status
	}
}

// reportLoads reports the rank's load to the group's coordinator until ctx is
// canceled.
func (e *expertGroup) reportLoads(ctx context.Context) (err error) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if err := e.reportLoad(ctx, now); err != nil && ctx.Err() == nil {
				e.daemon.logger.Warn().Str("group", string(e.daemon.member.Group)).Err(err).Msg("load_failed")
			}
		}
	}
}

// reportLoad sends the part of the rank's load that the report filter selects to the
// coordinator whose order was accepted last.
func (e *expertGroup) reportLoad(ctx context.Context, now time.Time) (err error) {
	coordinator, ok := e.agent.LastCoordinator()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	report, err := e.endpoint.Report(ctx)
	if err != nil || report.Rank == nil {
		return err
	}
	load, ok := e.loadCounter.nextLoad(now, e.daemon.member, *report.Rank)
	if !ok {
		return nil
	}
	selected, ok := e.reportFilter.Filter(now, load, orderer.LoadSize)
	if !ok {
		return nil
	}
	member, err := e.rankAgent(coordinator)
	if err != nil {
		return err
	}
	e.loadCounter.markSent(now, selected, *report.Rank)
	_, err = orderer.NewDRPCOrdersClient(e.daemon.dialer.Conn(ctx, member.PeerAddress)).Report(ctx, orderer.EncodeLoad(selected))
	return err
}
