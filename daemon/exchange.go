package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/exchanger"
)

// Interval and limits of the exchange of demand and findings between entries.
const (
	// exchangeInterval is the interval between two demand reports.
	exchangeInterval = time.Second
	// exchangeTimeout bounds one call.
	exchangeTimeout = time.Second
	// maxExchangeCalls bounds the concurrent calls.
	maxExchangeCalls = 16
	// maxPendingFindings bounds the findings queued for sending.
	maxPendingFindings = 64
)

// exchangeServer handles the calls of other entries. It implements
// [exchanger.DRPCExchangerServer].
type exchangeServer struct {
	entry *entry
}

// Count records another entry's demand of the accounts that this entry counts, and
// returns the demand of all others.
func (s exchangeServer) Count(_ context.Context, demand *exchanger.Demand) (others *exchanger.Demand, err error) {
	from := banyanplank.DaemonID(demand.GetEntry())
	usages := s.entry.limiter.MergeDemand(time.Now(), from, demand.DecodeUsages())
	return exchanger.NewDemand(s.entry.daemon.settings.Name, usages), nil
}

// Tell adds the findings of another entry. It does not forward them: the entry
// that receives a finding from an agent sends it to all entries.
func (s exchangeServer) Tell(_ context.Context, findings *exchanger.Findings) (told *exchanger.Told, err error) {
	s.entry.addFindings(findings.DecodeFindings())
	return &exchanger.Told{}, nil
}

// relayFindings adds the findings of an agent and queues the new ones for the
// other entries. If the queue is full, it drops them: the other entries receive
// them from agents.
func (e *entry) relayFindings(findings []banyanplank.Finding) {
	for _, finding := range e.addFindings(findings) {
		select {
		case e.pendingFindings <- finding:
		default:
		}
	}
}

// addFindings adds findings, counts those that were new and returns them.
func (e *entry) addFindings(findings []banyanplank.Finding) (added []banyanplank.Finding) {
	added = e.relay.AddFindings(time.Now(), findings)
	name := fmt.Sprintf("banyanplank_findings_total{daemon=%q}", e.daemon.settings.Name)
	metrics.GetOrCreateCounter(name).Add(len(added))
	return added
}

// exchangeWithPeers sends the demand at every [exchangeInterval] and findings
// immediately, until ctx is canceled.
func (e *entry) exchangeWithPeers(ctx context.Context) (err error) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case finding := <-e.pendingFindings:
			e.broadcastFinding(ctx, finding)
		case now := <-ticker.C:
			e.reportDemand(ctx, now)
		}
	}
}

// broadcastFinding sends a finding to all other live entries.
func (e *entry) broadcastFinding(ctx context.Context, finding banyanplank.Finding) {
	message := exchanger.NewFindings([]banyanplank.Finding{finding})
	calls := pool.New().WithMaxGoroutines(maxExchangeCalls)
	for _, m := range e.daemon.members() {
		if !isLiveEntry(m) || m.ID == e.daemon.settings.Name {
			continue
		}
		calls.Go(func() {
			e.callPeer(ctx, m, func(ctx context.Context, client exchanger.DRPCExchangerClient) (err error) {
				_, err = client.Tell(ctx, message)
				return err
			})
		})
	}
	calls.Wait()
}

// reportDemand sends the local demand of accounts to the entries that count them,
// and records the other entries' demand, which they return.
func (e *entry) reportDemand(ctx context.Context, now time.Time) {
	calls := pool.New().WithMaxGoroutines(maxExchangeCalls)
	for owner, usages := range e.limiter.Report(now) {
		m, ok := e.daemon.findMember(owner)
		if !ok {
			continue
		}
		calls.Go(func() {
			e.callPeer(ctx, m, func(ctx context.Context, client exchanger.DRPCExchangerClient) (err error) {
				others, err := client.Count(ctx, exchanger.NewDemand(e.daemon.settings.Name, usages))
				if err == nil {
					e.limiter.ApplyReply(time.Now(), usages, others.DecodeUsages())
				}
				return err
			})
		})
	}
	calls.Wait()
}

// callPeer makes one call to another entry and logs a failure.
func (e *entry) callPeer(ctx context.Context, m banyanplank.Member, invoke func(context.Context, exchanger.DRPCExchangerClient) error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := exchanger.NewDRPCExchangerClient(e.daemon.dialer.Conn(ctx, m.PeerAddress))
	if err := invoke(ctx, client); err != nil {
		e.daemon.logger.Warn().Str("peer", string(m.ID)).Err(err).Msg("exchange_failed")
	}
}
