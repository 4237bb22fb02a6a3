package gateway

import (
	"sync"

	"github.com/banyanplank/banyanplank/transport/server"
)

// closedConnections counts the connections that the entry closed since the last log line.
// Clients can cause any number of them, so they are logged together.
type closedConnections struct {
	mutex    sync.Mutex
	byReason map[server.Reason]int
}

func (c *closedConnections) add(reason server.Reason) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byReason == nil {
		c.byReason = make(map[server.Reason]int)
	}
	c.byReason[reason]++
}

// take returns the counts and starts anew.
func (c *closedConnections) take() (byReason map[server.Reason]int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	byReason, c.byReason = c.byReason, nil
	return byReason
}

// newLimiter returns the limiter of the connections to all addresses of the entry. The
// operators' configuration sets the limits on one client, once it is known.
func (d *Daemon) newLimiter(counters *counters) (limiter *server.Limiter) {
	limits := d.settings.Limits
	limiter = server.NewLimiter(
		server.WithMemory(limits.Memory),
		server.WithDescriptors(limits.Descriptors),
		server.WithMaxConnections(limits.Connections),
		server.WithClientLimits(d.clientLimits),
		server.WithCloseHandler(func(reason server.Reason) {
			counters.set.GetOrCreateCounter(`banyanplank_connections_closed_total{reason="` + string(reason) + `"}`).Inc()
			d.closed.add(reason)
		}),
		server.WithSweepHandler(d.logClosedConnections))
	counters.set.NewGauge("banyanplank_connections", func() float64 { return float64(limiter.Status().Connections) })
	counters.set.NewGauge("banyanplank_connections_limit", func() float64 { return float64(limiter.Status().MaxConnections) })
	counters.set.NewGauge("banyanplank_receive_bytes", func() float64 { return float64(limiter.Status().Bytes) })
	counters.set.NewGauge("banyanplank_receive_limit_bytes", func() float64 { return float64(limiter.Status().MaxBytes) })
	return limiter
}

// clientLimits returns the limits of the operators' configuration on one client.
func (d *Daemon) clientLimits() (limits server.ClientLimits) {
	snapshot := d.snapshot.Load()
	if snapshot.Router == nil {
		return limits
	}
	configured := snapshot.Router.Table().Limits
	return server.ClientLimits{MaxHeaderBytes: configured.MaxHeaderBytes, HeaderTimeout: configured.HeaderTimeout}
}

// logClosedConnections logs the connections that were closed since the last time.
func (d *Daemon) logClosedConnections() {
	for reason, count := range d.closed.take() {
		status := d.limiter.Status()
		d.logger.Warn().Str("reason", string(reason)).Int("count", count).Int("open", status.Connections).
			Int64("received", status.Bytes).Msg("connections closed")
	}
}
