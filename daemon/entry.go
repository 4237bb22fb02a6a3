package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/limiter"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/protocol/exchanger"
	"github.com/banyanplank/banyanplank/transport/dialer"
	"github.com/banyanplank/banyanplank/transport/receiver"
)

// entry is the role of a daemon that receives calls and forwards them to agents.
type entry struct {
	daemon  *Daemon
	picker  banyanplank.Picker
	limiter *limiter.Limiter
	relay   *suspecter.Relay
	// pendingFindings queues the findings to send to the other entries.
	pendingFindings chan banyanplank.Finding
	server          *http.Server
	running         atomic.Int64
	configured      atomic.Bool
}

func newEntry(d *Daemon, config *tls.Config) (e *entry, err error) {
	relay := suspecter.NewRelay()
	e = &entry{
		daemon:          d,
		picker:          suspecter.NewPicker(newPicker(d.settings, d.member), relay),
		limiter:         limiter.New(d.settings.Name),
		relay:           relay,
		pendingFindings: make(chan banyanplank.Finding, maxPendingFindings),
	}
	d.dialer = dialer.New(dialer.WithTLS(config), dialer.WithOnLoadReport(func(report banyanplank.LoadReport) {
		e.picker.Observe(time.Now(), report)
		e.relayFindings(report.Findings)
	}))
	forward := limitedForwarder{Forwarder: newForwarder(d, e.picker, e.relay), daemon: d.settings.Name, limiter: e.limiter}
	handler := receiver.New(d.keeper, forward, d, newRequestID,
		receiver.WithMaxBodyBytes(d.settings.Limits.Body),
		receiver.WithTimeout(time.Duration(d.settings.Limits.Timeout)),
		receiver.WithReady(e.isReady),
		receiver.WithBodyHolder(newHolder(d)),
		receiver.WithOutcomeRecorder(d.tallier),
	)
	e.server = receiver.NewServer(e.countRunning(handler))
	return e, exchanger.DRPCRegisterExchanger(d.listener.Mux(), exchangeServer{entry: e})
}

// newRequestID returns a random 128-bit request id.
func newRequestID() (id banyanplank.RequestID) {
	var bits [16]byte
	_, _ = rand.Read(bits[:])
	return banyanplank.RequestID(hex.EncodeToString(bits[:]))
}

// countRunning wraps handler to count the running calls.
func (e *entry) countRunning(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		e.running.Add(1)
		defer e.running.Add(-1)
		handler.ServeHTTP(w, request)
	})
}

func (e *entry) serve(ctx context.Context) (err error) {
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	group.Go(e.daemon.sweepClaims)
	group.Go(e.exchangeWithPeers)
	group.Go(func(ctx context.Context) error {
		return serveHTTP(ctx, e.server, e.daemon.settings.Listen.Caller)
	})
	return group.Wait()
}

func (e *entry) reconfigure(now time.Time, members []banyanplank.Member) {
	configuration := e.daemon.keeper.View().Configuration
	e.picker.Reconfigure(now, members, configuration)
	e.daemon.tallier.SetObjectives(configuration)
	e.limiter.Reconfigure(configuration, liveEntries(members))
	e.configured.Store(true)
}

// drain keeps serving until every list of entries that names this one has
// expired at the callers, then shuts the server down and waits for running calls.
func (e *entry) drain(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(entryListTTL):
	}
	group := pool.New()
	group.Go(func() { e.daemon.waitIdle(ctx, e.inFlight) })
	if err := e.server.Shutdown(ctx); err != nil {
		// Requests that still run continue at their agents, so that callers can
		// resume them through other entries.
		e.daemon.dialer.Detach()
	}
	group.Wait()
}

func (e *entry) inFlight() (requests int) { return int(e.running.Load()) }

// isReady reports whether the entry has a configuration that is current enough to
// admit requests, and its availability zone is in service.
func (e *entry) isReady() (ready bool) {
	return e.configured.Load() && e.daemon.canAdmit(time.Now()) && !e.daemon.keeper.View().IsZoneOut(e.daemon.settings.Zone)
}
