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

// counters are the metrics of an entry.
type counters struct {
	set   *metrics.Set
	first *metrics.Histogram
	total *metrics.Histogram
	wait  *metrics.Histogram
}

// newCounters returns counters in a set of their own.
func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:   set,
		first: set.NewHistogram("banyanplank_call_first_seconds"),
		total: set.NewHistogram("banyanplank_call_seconds"),
		wait:  set.NewHistogram("banyanplank_call_wait_seconds"),
	}
}

// gauge shows what the gateway holds and believes.
func (g *Gateway) gauge() {
	set := g.counters.set
	g.gaugeBarred()
	set.NewGauge("banyanplank_held_bytes", func() float64 { return float64(g.holder.used.Load()) })
	set.NewGauge("banyanplank_held_limit_bytes", func() float64 { return float64(g.holder.most) })
	set.NewGauge("banyanplank_suspect_requests", func() float64 {
		suspects, _ := g.witness.Counts()
		return float64(suspects)
	})
	set.NewGauge("banyanplank_convicted_requests", func() float64 {
		_, guilty := g.witness.Counts()
		return float64(guilty)
	})
}

// gaugeBarred shows the endpoints that get no calls, by reason.
func (g *Gateway) gaugeBarred() {
	for _, reason := range balancer.Barriers {
		g.counters.set.NewGauge(`banyanplank_endpoints_barred{reason="`+reason.String()+`"}`, func() (count float64) {
			for _, p := range g.balancer.Status() {
				count += float64(p.Barred[reason])
			}
			return count
		})
	}
}

// count counts one call.
func (c *counters) count(f *flow) {
	kind := "none"
	if f.route != nil {
		kind = f.route.Kind.String()
	}
	c.set.GetOrCreateCounter(`banyanplank_calls_total{kind="` + kind + `",outcome="` + f.outcome() + `"}`).Inc()
	if f.sends > 1 {
		c.set.GetOrCreateCounter(`banyanplank_repeats_total{kind="` + kind + `"}`).Add(f.sends - 1)
	}
	if f.result.first > 0 {
		c.first.Update(f.result.first.Seconds())
	}
	c.total.Update(time.Since(f.arrived).Seconds())
	c.wait.Update(f.result.waited.Seconds())
}

// outcome sums up how a call ended in one word.
func (f *flow) outcome() (word string) {
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

// recover ends a call whose handling has failed unexpectedly. Other calls go on. The
// caller's connection is closed, which promises nothing.
func (f *flow) recover() {
	caught := recover()
	if caught == nil {
		return
	}
	if err, ok := caught.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		f.gateway.counters.set.GetOrCreateCounter("banyanplank_panics_total").Inc()
		f.result.reason = "panic"
		if f.lease != nil {
			f.finish(balancer.Abandoned)
		}
		f.result.detail = fmt.Sprintf("%v at %s", caught, bytes.ReplaceAll(debug.Stack(), []byte("\n"), []byte(" ")))
	}
	panic(http.ErrAbortHandler)
}

// record writes the log line of a call and counts it.
func (f *flow) record() {
	f.gateway.counters.count(f)
	line := f.gateway.logger.Info()
	if f.outcome() != "served" {
		line = f.gateway.logger.Warn()
	}
	line.Str("id", f.info.Attempt).Str("outcome", f.outcome()).Int("status", f.result.status)
	if f.route != nil {
		line.Str("route", f.route.Name).Str("kind", f.route.Kind.String()).Str("service", string(f.service)).Str("account", string(f.account))
	}
	if f.print != 0 {
		line.Stringer("request", f.print)
	}
	if f.view != nil {
		line.Uint64("backends_revision", uint64(f.view.Revisions[banyanplank.TopicBackends]))
		if f.view.Router != nil {
			line.Uint64("routing", f.view.Router.Table().Version)
		}
	}
	line.Strs("tried", names(f.tried)).Int("sends", f.sends).
		Dur("waited", f.result.waited).Dur("first", f.result.first).Dur("total", time.Since(f.arrived)).
		Int("prompt", f.info.Prompt)
	if f.lease != nil {
		line.Int("own", f.lease.Own).Int("others", f.lease.Others).Float64("limit", f.lease.Limit)
	}
	if f.stream.events > 0 {
		line.Int("events", f.stream.events).Str("last", f.stream.last).Dur("pause", f.stream.pause)
	}
	if f.result.reason != "" {
		line.Str("reason", f.result.reason)
	}
	if f.result.detail != "" {
		line.Str("detail", f.result.detail)
	}
	line.Msg("call")
}

// names returns the ids of endpoints as text.
func names(ids []banyanplank.BackendID) (text []string) {
	for _, id := range ids {
		text = append(text, string(id))
	}
	return text
}
