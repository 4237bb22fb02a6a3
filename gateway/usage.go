package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/collector"
	"github.com/banyanplank/banyanplank/state/counter"
	"github.com/banyanplank/banyanplank/transport/requester"
	"github.com/banyanplank/banyanplank/transport/server"
	"github.com/banyanplank/banyanplank/transport/verifier"
)

// Limits on the exchange of usage counts between entries.
const (
	// usagePath is the path of the counts at the address for peers.
	usagePath = "/v1/usage"
	// maxUsageMessages bounds the messages that are decoded at once, maxUsageExports the
	// responses that are encoded at once, and usageSlotWait the time that a request waits for
	// its turn. A sender repeats what was not accepted.
	maxUsageMessages = 8
	maxUsageExports  = 2
	usageSlotWait    = 200 * time.Millisecond
	// usageTransferTimeout bounds the time to read a message or to write a response.
	usageTransferTimeout = 2 * time.Second
	// dateInterval is the least time between two uses of the Date field of endpoints, and
	// dateResolution the resolution of that field.
	dateInterval   = 200 * time.Millisecond
	dateResolution = time.Second
)

// usage counts the requests of client accounts at this entry, and exchanges the counts with other
// entries.
type usage struct {
	daemon    *Daemon
	exchanger *collector.Exchanger
	client    *http.Client
	counted   *metrics.Counter
	read      func() counter.Reading
	options   []collector.Option
	// nextDate is the elapsed time from which the Date field of an endpoint is used again.
	nextDate atomic.Int64
}

// usageOption configures the counting of requests.
type usageOption func(*usage)

// withUsageLate sets the time after the end of a window at which its report is due. The default
// is [collector.DefaultLate].
func withUsageLate(late time.Duration) usageOption {
	return func(u *usage) { u.options = append(u.options, collector.WithLate(late)) }
}

// withUsageOff sets the maximum deviation of a reported count, as a fraction of the true one. The
// default is [collector.DefaultOff].
func withUsageOff(off float64) usageOption {
	return func(u *usage) { u.options = append(u.options, collector.WithOff(off)) }
}

// withUsageReader sets the clocks of the machine. The default is [counter.Read].
func withUsageReader(read func() counter.Reading) usageOption {
	return func(u *usage) { u.read = read }
}

// enableUsage makes the entry count the requests of each client account in windows of a length,
// and returns the collector of the counts of all entries. Call it before [Daemon.Run], and
// run [Daemon.runUsage] beside the other parts.
func (d *Daemon) enableUsage(window time.Duration, options ...usageOption) *collector.Collector {
	u := &usage{
		daemon: d, read: counter.Read,
		client: &http.Client{Transport: verifier.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * collector.SendInterval})},
	}
	for _, option := range options {
		option(u)
	}
	c := collector.New(append(u.options, collector.WithWindow(window), collector.WithMembers(d.self.ID, u.members), collector.WithPeers(u))...)
	u.exchanger = collector.NewExchanger(d.self.Incarnation, c, collector.WithReader(u.read), collector.WithErrorHandler(u.logError), collector.WithJumpHandler(u.logJump))
	set := d.gateway.counters.set
	u.counted = set.NewCounter("banyanplank_usage_counted_total")
	set.NewGauge("banyanplank_clock_offset_seconds", func() float64 { return u.exchanger.Clock().Status().Offset.Seconds() })
	set.NewGauge("banyanplank_clock_jumps", func() float64 { return float64(u.exchanger.Clock().Status().Jumps) })
	d.usage, d.gateway.usage, d.relay.usage = u, u, u
	return c
}

// runUsage exchanges the counts of requests with other entries until ctx ends. It returns at once
// unless [Daemon.enableUsage] was called.
func (d *Daemon) runUsage(ctx context.Context) (err error) {
	if d.usage == nil {
		return nil
	}
	d.usage.exchanger.Run(ctx)
	return nil
}

// logError logs that a peer did not accept the counts of this entry.
func (u *usage) logError(id banyanplank.DaemonID, err error) {
	u.daemon.logger.Info().Err(err).Str("peer", string(id)).Msg("usage not sent")
}

// logJump logs a jump of the time of day.
func (u *usage) logJump(status counter.ClockStatus) {
	u.daemon.logger.Warn().Dur("jump", status.LastJump).Dur("offset", status.Offset).Int("jumps", status.Jumps).Int("sources", status.Sources).Msg("clock jumped")
}

// countRun counts the request of the call once it is known that an endpoint has begun to run it.
// A call for the rest of a stream belongs to a request that is counted already.
func (f *forwarder) countRun(exchange *requester.Exchange) {
	u := f.gateway.usage
	if u == nil || f.isCounted {
		return
	}
	f.isCounted = true
	reading := u.read()
	u.observeDate(reading, f, exchange.Response.Header)
	if f.account == "" || f.info.LastEventID != "" {
		return
	}
	u.exchanger.Record(f.account)
	u.counted.Inc()
}

// hasRun reports whether the header of a plain response shows that the endpoint has run the call. A status of 4xx
// or 503 means that it has not.
func hasRun(exchange *requester.Exchange) bool {
	status := exchange.Response.StatusCode
	isDeclined := status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
	return exchange.Reply.Sealed && !isDeclined
}

// observeDate passes the time in the response of an endpoint to the clock.
func (u *usage) observeDate(reading counter.Reading, f *forwarder, header http.Header) {
	next := u.nextDate.Load()
	if int64(reading.Elapsed) < next || !u.nextDate.CompareAndSwap(next, int64(reading.Elapsed+dateInterval)) {
		return
	}
	date, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		return
	}
	u.exchanger.Clock().Observe(reading, counter.Sample{
		Source: "endpoint " + string(f.lease.Backend.ID), Time: date, Resolution: dateResolution, RoundTrip: time.Since(f.sentAt),
	})
}

// members returns all entries in the order of their IDs.
func (u *usage) members() (members []collector.Member) {
	snapshot := u.daemon.snapshot.Load()
	for _, id := range snapshot.AliveIDs {
		members = append(members, collector.Member{ID: id, IsAlive: true})
	}
	for _, peer := range snapshot.Peers {
		if _, isAlive := slices.BinarySearch(snapshot.AliveIDs, peer.ID); !isAlive {
			members = append(members, collector.Member{ID: peer.ID})
		}
	}
	return members
}

// peerAddress returns the address of an entry.
func peerAddress(peers []banyanplank.Member, id banyanplank.DaemonID) (address netip.AddrPort, ok bool) {
	for _, peer := range peers {
		if peer.ID == id {
			return peer.PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}

// Send implements collector.Peers.
func (u *usage) Send(ctx context.Context, id banyanplank.DaemonID, message *collector.Message) (reply collector.Reply, err error) {
	defer func() { err = errors.Wrap(err, "send usage") }()
	body, err := json.Marshal(message)
	if err != nil {
		return reply, err
	}
	err = u.exchange(ctx, id, http.MethodPost, "", body, &reply)
	return reply, err
}

// exchange sends a request to a peer and decodes its response.
func (u *usage) exchange(ctx context.Context, id banyanplank.DaemonID, method, query string, body []byte, value any) (err error) {
	address, ok := peerAddress(u.daemon.snapshot.Load().Peers, id)
	if !ok {
		return errors.Newf("entry %s is unknown", id)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+usagePath+query, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := u.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("peer responded with status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, collector.MaxExportBytes)).Decode(value)
}

// Fetch implements collector.Peers.
func (u *usage) Fetch(ctx context.Context, id banyanplank.DaemonID, windows ...int64) (export collector.Export, err error) {
	defer func() { err = errors.Wrapf(err, "fetch usage from %s", id) }()
	query := url.Values{}
	for _, window := range windows {
		query.Add("window", strconv.FormatInt(window, 10))
	}
	err = u.exchange(ctx, id, http.MethodGet, "?"+query.Encode(), nil, &export)
	// Only a machine without a process at the address refuses a connection.
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = errors.Mark(err, collector.ErrEnded)
	}
	return export, err
}

// register adds the exchange of counts to the handler for peers.
func (u *usage) register(router *httprouter.Router) {
	messages, exports := make(chan struct{}, maxUsageMessages), make(chan struct{}, maxUsageExports)
	router.POST(usagePath, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		limitUsage(w, r, messages, u.handleMessage)
	})
	router.GET(usagePath, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		limitUsage(w, r, exports, u.handleFetch)
	})
}

// limitUsage handles a request when a slot is free.
func limitUsage(w http.ResponseWriter, r *http.Request, slots chan struct{}, handle http.HandlerFunc) {
	timer := time.NewTimer(usageSlotWait)
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-timer.C:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	// An error means that the connection is closed, which the next read or write reports.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(usageTransferTimeout))
	_ = controller.SetWriteDeadline(time.Now().Add(usageTransferTimeout))
	handle(w, r)
}

// handleMessage receives the counts of another entry.
func (u *usage) handleMessage(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(server.CountReads(r.Context(), http.MaxBytesReader(w, r.Body, collector.MaxMessageBytes)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	message, err := collector.DecodeMessage(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := u.exchanger.Receive(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// An error means that the peer has closed the connection.
	_ = json.NewEncoder(w).Encode(&reply)
}

// handleFetch sends what this entry knows about the counts of all.
func (u *usage) handleFetch(w http.ResponseWriter, r *http.Request) {
	var windows []int64
	for _, text := range r.URL.Query()["window"] {
		window, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		windows = append(windows, window)
	}
	export := u.exchanger.Export(windows...)
	// An error means that the peer has closed the connection.
	_ = json.NewEncoder(w).Encode(&export)
}
