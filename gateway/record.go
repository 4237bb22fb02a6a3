package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
)

type counters struct {
	set         *metrics.Set
	timeToFirst *metrics.Histogram
	callTime    *metrics.Histogram
	waitTime    *metrics.Histogram
}

// newCounters returns counters in a metrics set of their own.
func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:         set,
		timeToFirst: set.NewHistogram("banyanplank_call_first_seconds"),
		callTime:    set.NewHistogram("banyanplank_call_seconds"),
		waitTime:    set.NewHistogram("banyanplank_call_wait_seconds"),
	}
}

// registerGauges registers the gauges of buffered bytes, excluded endpoints and
// crashing requests.
func (g *Gateway) registerGauges() {
	set := g.counters.set
	g.registerExclusionGauges()
	set.NewGauge("banyanplank_held_bytes", func() float64 { return float64(g.buffers.usedBytes.Load()) })
	set.NewGauge("banyanplank_held_limit_bytes", func() float64 { return float64(g.buffers.limitBytes) })
	set.NewGauge("banyanplank_suspect_requests", func() float64 {
		suspects, _ := g.crashTracker.Counts()
		return float64(suspects)
	})
	set.NewGauge("banyanplank_convicted_requests", func() float64 {
		_, convicted := g.crashTracker.Counts()
		return float64(convicted)
	})
	set.NewGauge("banyanplank_suspect_parts", func() float64 {
		suspects, _ := g.crashTracker.PartCounts()
		return float64(suspects)
	})
	set.NewGauge("banyanplank_convicted_parts", func() float64 {
		_, convicted := g.crashTracker.PartCounts()
		return float64(convicted)
	})
}

// registerExclusionGauges registers gauges of the endpoints that get no calls, by
// reason.
func (g *Gateway) registerExclusionGauges() {
	for _, reason := range balancer.Exclusions {
		g.counters.set.NewGauge(`banyanplank_endpoints_barred{reason="`+reason.String()+`"}`, func() (count float64) {
			for _, p := range g.balancer.Status() {
				count += float64(p.Excluded[reason])
			}
			return count
		})
	}
}

// countCall updates the metrics with a call that has ended.
func (c *counters) countCall(f *forwarder) {
	kind := "none"
	if f.route != nil {
		kind = f.route.Kind.String()
	}
	c.set.GetOrCreateCounter(`banyanplank_calls_total{kind="` + kind + `",outcome="` + f.outcome() + `"}`).Inc()
	if f.sends > 1 {
		c.set.GetOrCreateCounter(`banyanplank_repeats_total{kind="` + kind + `"}`).Add(f.sends - 1)
	}
	if f.result.timeToFirst > 0 {
		c.timeToFirst.Update(f.result.timeToFirst.Seconds())
	}
	c.callTime.Update(time.Since(f.arrivedAt).Seconds())
	c.waitTime.Update(f.result.waitTime.Seconds())
}

// outcome returns how the call ended, as a metric label.
func (f *forwarder) outcome() (word string) {
	switch status := f.result.status; {
	case f.result.reason == "cut":
		return "cut"
	case f.result.reason == "caller left":
		return "left"
	case status == 0:
		return "none"
	case status < http.StatusBadRequest:
		return "served"
	case status == http.StatusServiceUnavailable:
		return "refused"
	case status < http.StatusInternalServerError:
		return "invalid"
	default:
		return "failed"
	}
}

// handlePanic recovers from a panic in the handling of the call, logs it and aborts the
// connection to the caller, which leaves the outcome open. Other calls continue.
func (f *forwarder) handlePanic() {
	caught := recover()
	if caught == nil {
		return
	}
	if err, ok := caught.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		f.gateway.counters.set.GetOrCreateCounter("banyanplank_panics_total").Inc()
		f.result.reason = "panic"
		if f.lease != nil {
			f.finishLease(balancer.Abandoned)
		}
		f.result.detail = fmt.Sprintf("%v at %s", caught, bytes.ReplaceAll(debug.Stack(), []byte("\n"), []byte(" ")))
	}
	panic(http.ErrAbortHandler)
}

// recordCall writes the log line of the call and counts it.
func (f *forwarder) recordCall() {
	f.gateway.counters.countCall(f)
	line := f.gateway.logger.Info()
	if f.outcome() != "served" {
		line = f.gateway.logger.Warn()
	}
	line.Str("id", f.info.Attempt).Str("outcome", f.outcome()).Int("status", f.result.status)
	if f.route != nil {
		line.Str("route", f.route.Name).Str("kind", f.route.Kind.String()).Str("service", string(f.service)).Str("account", string(f.account))
	}
	if f.fingerprint != 0 {
		line.Stringer("request", f.fingerprint)
	}
	if f.snapshot != nil {
		backends, routing := f.snapshot.Positions[banyanplank.TopicBackends], f.snapshot.Positions[banyanplank.TopicRouting]
		line.Uint64("backends_era", uint64(backends.Era)).Uint64("backends_revision", uint64(backends.Revision))
		if f.snapshot.Router != nil {
			line.Uint64("routing_era", uint64(routing.Era)).Uint64("routing_revision", uint64(routing.Revision))
			line.Uint64("routing", f.snapshot.Router.Table().Version)
		}
	}
	line.Strs("tried", endpointNames(f.tried)).Int("sends", f.sends).
		Dur("waited", f.result.waitTime).Dur("first", f.result.timeToFirst).Dur("total", time.Since(f.arrivedAt)).
		Int("prompt", f.info.PromptTokens)
	if f.lease != nil {
		line.Int("own", f.lease.OwnCalls).Int("others", f.lease.PeerCalls).Float64("limit", f.lease.Limit)
	}
	if f.result.pressure > 0 {
		line.Float64("pressure", f.result.pressure).Float64("share", f.result.share).Bool("returning", f.isReturning).Bool("promised", f.result.promised)
	}
	if f.stream.events > 0 {
		line.Int("events", f.stream.events).Str("last", f.stream.lastID).Dur("pause", f.stream.longestGap)
	}
	if f.outcome() != "served" && len(f.info.SharedParts) > 0 {
		line.Strs("parts", partNames(f.info.SharedParts))
	}
	if f.result.reason != "" {
		line.Str("reason", f.result.reason)
	}
	if f.result.detail != "" {
		line.Str("detail", f.result.detail)
	}
	line.Msg("call")
}

// endpointNames returns the ids as strings.
func endpointNames(ids []banyanplank.BackendID) (list []string) {
	for _, id := range ids {
		list = append(list, string(id))
	}
	return list
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 16

// partNames returns the first maxLoggedParts parts as strings.
func partNames(parts []banyanplank.PartID) (names []string) {
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		names = append(names, part.String())
	}
	return names
}
