package picker

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// averageLoad is the average load of a service's endpoints. It replaces the
// load of an endpoint whose report is stale.
type averageLoad struct {
	prefillRate  float64
	holdTime     time.Duration
	queuedTokens int
	utilization  float64
}

// predict returns the predicted time to the first token of a request at an
// endpoint, and a score that includes the cost to other requests.
func (p *Picker) predict(now time.Time, s *service, e *endpoint, query *banyanplank.Query) (firstTokenTime, score time.Duration) {
	heldFraction := e.heldFraction(now, s.average.holdTime)
	firstTokenTime = p.delayBetween(query.Zone, e.member.Zone)
	firstTokenTime += prefillTime(now, s, e, query.Demand, p.index.CachedBlocks(e.index, query.Demand.PrefixHashes))
	firstTokenTime += queueTime(s, e, query.Demand, heldFraction)
	firstTokenTime += loadTime(e, query.Demand)
	score = firstTokenTime + e.currentBias(now) + batchCost(utilization(s, e, heldFraction))
	if e.member.Zone != query.Zone {
		score += p.zoneMargin
	}
	return firstTokenTime, score
}

// prefillTime predicts the time to prefill the queued prompts and the uncached
// part of the request's own prompt.
func prefillTime(now time.Time, s *service, e *endpoint, demand banyanplank.Demand, cachedBlocks int) time.Duration {
	rate := s.prefillRate(e)
	uncachedTokens := max(0, demand.PromptTokens-cachedBlocks*banyanplank.PrefixBlock)
	queuedTokens := weightedMean(e.queueWeight(now), float64(e.report.QueuedTokens), float64(s.average.queuedTokens))
	return secondsToDuration((queuedTokens + float64(e.pendingPromptTokens(now, rate)+uncachedTokens)) / rate)
}

// queueTime predicts the time until the endpoint has room for the request.
func queueTime(s *service, e *endpoint, demand banyanplank.Demand, heldFraction float64) time.Duration {
	limit := float64(e.report.Limit)
	if limit == 0 || heldFraction == 0 {
		return 0
	}
	usedTokens := float64(e.report.Held + e.ownTokens)
	requestTokens := float64(reservedTokens(demand))
	if e.report.Waiting > 0 {
		// Waiting requests are assumed to be as large as this one.
		usedTokens = max(usedTokens, limit) + float64(e.report.Waiting)*requestTokens
	}
	missingTokens := usedTokens + requestTokens - limit
	if missingTokens <= 0 {
		return 0
	}
	return time.Duration(heldFraction * missingTokens / limit * float64(s.average.holdTime))
}

// loadTime predicts the time to load a missing model or adapter.
func loadTime(e *endpoint, demand banyanplank.Demand) (d time.Duration) {
	if !isLoaded(e.report.Models, demand.Model) {
		d += modelLoadTime
	}
	if !isLoaded(e.report.Adapters, demand.Adapter) {
		d += adapterLoadTime
	}
	return d
}

// isLoaded reports whether name is loaded. An empty list means that any name
// is.
func isLoaded(loaded []string, name string) bool {
	return name == "" || len(loaded) == 0 || slices.Contains(loaded, name)
}

// utilization returns the used fraction of the admission limit.
func utilization(s *service, e *endpoint, heldFraction float64) float64 {
	if e.report.Limit == 0 {
		return s.average.utilization + float64(e.running)
	}
	ownUtilization := float64(e.report.Held+e.ownTokens) / float64(e.report.Limit)
	return weightedMean(heldFraction, ownUtilization, s.average.utilization+float64(e.ownTokens)/float64(e.report.Limit))
}

// batchCost returns the cost that a batch of the given utilization adds. Steps
// take longer with each request, and near the limit requests have to queue.
func batchCost(utilization float64) time.Duration {
	excess := max(0, utilization-queueingThreshold)
	return time.Duration(utilization*float64(fullBatchCost) + excess*float64(queueingCost))
}

// prefillRate returns the prefill rate of the endpoint, in tokens per second.
// For a rank of a group it is the rate of the slowest rank.
func (s *service) prefillRate(e *endpoint) float64 {
	if g := s.groups[e.member.Group]; g != nil && g.minPrefillRate > 0 {
		return g.minPrefillRate
	}
	if e.report.PrefillRate > 0 {
		return e.report.PrefillRate
	}
	if s.average.prefillRate > 0 {
		return s.average.prefillRate
	}
	return defaultPrefillRate
}

// weightedMean returns the mean of a and b, in which a has the given weight.
func weightedMean(weight, a, b float64) float64 {
	return weight*a + (1-weight)*b
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
