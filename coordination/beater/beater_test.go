package beater

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/protocol/pulser"
)

// freeAddress returns an unused UDP address.
func freeAddress(t *testing.T) (free netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TestRunExchangesHeartbeats guards against a beater that stops receiving
// heartbeats of its peers after a malformed datagram.
func TestRunExchangesHeartbeats(t *testing.T) {
	is := is.New(t)
	addressA, addressB := freeAddress(t), freeAddress(t)
	received := make(chan *Heartbeat, 100)
	failed := make(chan error, 100)
	composeFor := func(id banyanplank.DaemonID, own, peer netip.AddrPort) ComposeFunc {
		return func() (near, far *Heartbeat, peers, others []netip.AddrPort) {
			heartbeat := &Heartbeat{From: id, Peer: own, InFlight: map[banyanplank.BackendID]int{"x": 2}}
			return heartbeat, heartbeat, []netip.AddrPort{peer}, nil
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	a := New(addressA, composeFor("a", addressA, addressB), func(*Heartbeat) {}, func(err error) { failed <- err }, WithInterval(5*time.Millisecond))
	b := New(addressB, composeFor("b", addressB, addressA), func(heartbeat *Heartbeat) { received <- heartbeat }, func(err error) { failed <- err }, WithInterval(5*time.Millisecond))
	group.Go(func() { _ = a.Run(ctx) })
	group.Go(func() { _ = b.Run(ctx) })
	heartbeat := <-received
	is.Equal(heartbeat.From, banyanplank.DaemonID("a"))
	is.Equal(heartbeat.InFlight["x"], 2)
	outsider, err := net.Dial("udp4", addressB.String())
	is.NoErr(err)
	defer outsider.Close()
	_, err = outsider.Write([]byte("{"))
	is.NoErr(err)
	is.True(<-failed != nil)
	is.Equal((<-received).From, banyanplank.DaemonID("a"))
	stop()
	group.Wait()
}

func TestDecodeRejectsMalformedHeartbeats(t *testing.T) {
	encoded := func(change func(p *pulser.Pulse)) string {
		p := &pulser.Pulse{From: "a", Peer: []byte{10, 0, 0, 1, 31, 144}}
		change(p)
		datagram, err := proto.Marshal(p)
		is.New(t).NoErr(err)
		return string(datagram)
	}
	for name, datagram := range map[string]string{
		"not a protobuf message": "{",
		"JSON":                   `{"from":"a","peer":"10.0.0.1:1"}`,
		"missing sender":         encoded(func(p *pulser.Pulse) { p.From = "" }),
		"missing address":        encoded(func(p *pulser.Pulse) { p.Peer = nil }),
		"truncated port":         encoded(func(p *pulser.Pulse) { p.Peer = p.Peer[:5] }),
		"lean with address":      encoded(func(p *pulser.Pulse) { p.Lean = true }),
		"missing count":          encoded(func(p *pulser.Pulse) { p.Endpoints = []string{"x"} }),
		"missing era":            encoded(func(p *pulser.Pulse) { p.Topics, p.Revisions, p.Eras = []string{"x", "y"}, []uint64{1, 2}, []uint64{1} }),
		"missing revision":       encoded(func(p *pulser.Pulse) { p.Topics = []string{"x"} }),
		"missing birth time":     encoded(func(p *pulser.Pulse) { p.Leavers = []string{"x"} }),
		"missing rate":           encoded(func(p *pulser.Pulse) { p.Limited, p.LimitedBirths, p.Ages = []string{"x"}, []int64{1}, []uint32{1} }),
		"rate is not a number": encoded(func(p *pulser.Pulse) {
			p.Limited, p.LimitedBirths, p.Ages, p.Rates = []string{"x"}, []int64{1}, []uint32{1}, []float64{math.NaN()}
		}),
		"truncated field": encoded(func(*pulser.Pulse) {})[:4],
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode([]byte(datagram))
			is.New(t).True(err != nil)
		})
	}
}

// TestEncodeAndDecodeRoundTrip guards against fields that are lost or altered on
// the wire.
func TestEncodeAndDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9-]{1,12}`)
		address := rapid.SampledFrom([]string{"10.1.0.40:8227", "10.255.255.255:65535", "[fd00::1]:1"})
		sent := &Heartbeat{
			From:         banyanplank.DaemonID(name.Draw(t, "from")),
			Incarnation:  banyanplank.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			Sequence:     rapid.Uint64().Draw(t, "sequence"),
			Zone:         banyanplank.Zone(name.Draw(t, "zone")),
			Peer:         netip.MustParseAddrPort(address.Draw(t, "peer")),
			Caller:       netip.MustParseAddrPort(address.Draw(t, "caller")),
			Ready:        rapid.Bool().Draw(t, "ready"),
			CannotFollow: rapid.Bool().Draw(t, "blind"),
			IsWatcher:    rapid.Bool().Draw(t, "watches"),
			InFlight:     map[banyanplank.BackendID]int{},
			Positions:    map[banyanplank.Topic]banyanplank.Position{},
			ConfirmedAge: time.Duration(rapid.Uint32().Draw(t, "confirmed")) * time.Millisecond,
		}
		if rapid.Bool().Draw(t, "demands") {
			sent.Demand = rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "demand")
		}
		for _, id := range rapid.SliceOfDistinct(name, func(s string) string { return s }).Draw(t, "endpoints") {
			sent.InFlight[banyanplank.BackendID(id)] = rapid.IntRange(1, 100).Draw(t, "calls")
			sent.Slow = append(sent.Slow, banyanplank.BackendID(id))
			sent.Positions[banyanplank.Topic(id)] = banyanplank.Position{
				Era:      banyanplank.Era(rapid.Uint64Range(0, 2).Draw(t, "era")),
				Revision: banyanplank.Version(rapid.Uint64().Draw(t, "revision")),
			}
		}
		for id := range sent.InFlight {
			born := time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(t, "born"))
			sent.Leavers = append(sent.Leavers, banyanplank.LeavingBackend{ID: id, Born: born})
		}
		for id := range sent.InFlight {
			sent.Limits = append(sent.Limits, banyanplank.BackendLimit{
				ID: id, Born: time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(t, "limited")),
				PerSecond: rapid.Float64Range(-1, 1e9).Draw(t, "rate"), Age: time.Duration(rapid.Uint32().Draw(t, "told")) * time.Millisecond,
			})
		}
		for range rapid.IntRange(0, 3).Draw(t, "findings") {
			span := rapid.Custom(func(t *rapid.T) time.Duration {
				return time.Duration(rapid.IntRange(0, 600_000).Draw(t, "ms")) * time.Millisecond
			})
			sent.Findings = append(sent.Findings, banyanplank.Finding{
				Kind:      banyanplank.FindingKind(rapid.IntRange(0, 5).Draw(t, "kind")),
				Death:     banyanplank.DeathID(rapid.Uint64().Draw(t, "death")),
				Requests:  []banyanplank.Fingerprint{1, banyanplank.Fingerprint(rapid.Uint64().Draw(t, "request"))},
				Parts:     []banyanplank.PartID{banyanplank.PartID(rapid.Uint64().Draw(t, "part"))},
				RunTimes:  []time.Duration{span.Draw(t, "ran"), span.Draw(t, "ran")},
				Age:       span.Draw(t, "age"),
				Remaining: span.Draw(t, "left"),
			})
		}
		if rapid.Bool().Draw(t, "lean") {
			sent = sent.Lean()
			sent.Positions = map[banyanplank.Topic]banyanplank.Position{}
		}
		datagram, err := encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(datagram)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, sent) {
			t.Fatalf("sent %+v, got %+v", sent, got)
		}
	})
}

// TestHeartbeatFitsAllFindings guards against heartbeats that are not sent
// because the findings that an entry reports at a time exceed the maximum size.
func TestHeartbeatFitsAllFindings(t *testing.T) {
	is := is.New(t)
	tracker := suspecter.NewCrashTracker()
	began := time.Unix(0, 0)
	for part := range 100 {
		parts := make([]banyanplank.PartID, 64)
		for i := range parts {
			parts[i] = banyanplank.NewPartID(fmt.Sprint(part, i))
		}
		for death := range 2 {
			id, now := banyanplank.BackendID(fmt.Sprint("part", part, death)), began.Add(time.Duration(2*part+3*death)*time.Second/10)
			tracker.RecordBroken(now, suspecter.Run{Parts: parts, Endpoint: id, Began: now.Add(-time.Second)})
			tracker.RecordDeath(now, id, time.Time{})
		}
	}
	for i := range 2000 {
		id, now := banyanplank.BackendID(fmt.Sprint(i)), began.Add(time.Duration(i)*time.Millisecond)
		for account := range 3 {
			tracker.RecordBroken(now, suspecter.Run{Request: banyanplank.NewFingerprint(banyanplank.AccountID(fmt.Sprint(account)), "h", "/", nil), Endpoint: id, Began: now.Add(-time.Second)})
		}
		tracker.RecordDeath(now, id, time.Time{})
	}
	findings := tracker.SharedFindings(began.Add(2 * time.Second))
	is.True(len(findings) > 10)
	_, err := encode(&Heartbeat{From: "a", Findings: findings})
	is.NoErr(err)
}

// TestSendNowDoesNotWait guards against urgent findings that wait for the next interval.
func TestSendNowDoesNotWait(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	received := make(chan *Heartbeat, 100)
	compose := func() (near, far *Heartbeat, peers, others []netip.AddrPort) {
		heartbeat := &Heartbeat{From: "a", Peer: address}
		return heartbeat, heartbeat, []netip.AddrPort{address}, nil
	}
	b := New(address, compose, func(heartbeat *Heartbeat) { received <- heartbeat }, func(error) {}, WithInterval(time.Hour))
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = b.Run(ctx) })
	<-received
	b.SendNow()
	is.Equal((<-received).From, banyanplank.DaemonID("a"))
	stop()
	group.Wait()
}

// TestHeartbeatStaysSmall guards against heartbeats that exceed the bandwidth
// budget of the control traffic in the users' grown deployments: one to each of
// 32 entries of other zones every 0.7 s within 10 kB per second.
func TestHeartbeatStaysSmall(t *testing.T) {
	is := is.New(t)
	heartbeat := &Heartbeat{
		From: "front-kathmandu-a-12", Incarnation: 1792411275012886564, Sequence: 400, Zone: "kathmandu-a",
		Peer: netip.MustParseAddrPort("10.1.0.40:7340"), Caller: netip.MustParseAddrPort("10.1.0.40:8227"),
		Ready: true, InFlight: map[banyanplank.BackendID]int{"i-0cbe7a5051": 1, "i-6838c98f06": 2},
		Positions: map[banyanplank.Topic]banyanplank.Position{"routing": {Era: 3, Revision: 3000}, "backends": {Era: 3, Revision: 3100}, "zonesout": {Era: 3, Revision: 2000}, "members": {Era: 3, Revision: 2900}},
	}
	datagram, err := encode(heartbeat)
	is.NoErr(err)
	t.Log(len(datagram))
	is.True(len(datagram) <= 220)
	// A lean heartbeat takes less than half the size.
	lean, err := encode(heartbeat.Lean())
	is.NoErr(err)
	t.Log(len(lean))
	is.True(2*len(lean) < len(datagram))
}

// TestDemandDoesNotPreventHeartbeat guards against entries that seem dead under load,
// because their demand makes the heartbeat too large.
func TestDemandDoesNotPreventHeartbeat(t *testing.T) {
	is := is.New(t)
	heartbeat := &Heartbeat{From: "a", Peer: netip.MustParseAddrPort("10.1.0.40:8227"), Demand: make([]byte, maxHeartbeatBytes)}
	datagram, err := encode(heartbeat)
	is.NoErr(err)
	received, err := decode(datagram)
	is.NoErr(err)
	is.Equal(received.From, banyanplank.DaemonID("a"))
	is.Equal(len(received.Demand), 0)
}

// TestDecodeSkipsUnknownFields guards against entries of two versions that take each other
// for dead while the system is updated.
func TestDecodeSkipsUnknownFields(t *testing.T) {
	is := is.New(t)
	datagram, err := encode(&Heartbeat{From: "a", Peer: netip.MustParseAddrPort("10.1.0.40:8227")})
	is.NoErr(err)
	datagram = protowire.AppendTag(datagram, 1000, protowire.BytesType)
	datagram = protowire.AppendBytes(datagram, []byte("from a later version"))
	received, err := decode(datagram)
	is.NoErr(err)
	is.Equal(received.From, banyanplank.DaemonID("a"))
}

// TestPanicInHandlerBecomesError guards against a heartbeat that ends the
// process because the handler panics on it.
func TestPanicInHandlerBecomesError(t *testing.T) {
	is := is.New(t)
	b := New(netip.AddrPort{}, nil, func(*Heartbeat) { panic("no such peer") }, nil)
	datagram, err := encode(&Heartbeat{From: "a", Peer: netip.MustParseAddrPort("10.1.0.40:8227")})
	is.NoErr(err)
	is.True(b.handleDatagram(datagram) != nil)
	is.True(b.handleDatagram(datagram[:3]) != nil)
}

// FuzzDecode checks that any datagram is either rejected or decoded into a
// heartbeat that an entry can process and encode again.
func FuzzDecode(f *testing.F) {
	for _, heartbeat := range []*Heartbeat{
		{From: "a", Peer: netip.MustParseAddrPort("10.1.0.40:8227")},
		{
			From: "b", Peer: netip.MustParseAddrPort("[fd00::1]:1"), Zone: "z", Ready: true,
			InFlight: map[banyanplank.BackendID]int{"x": 3}, Slow: []banyanplank.BackendID{"x"},
			Positions: map[banyanplank.Topic]banyanplank.Position{"backends": {Revision: 1 << 63}},
			Findings: []banyanplank.Finding{{Death: 1, Requests: []banyanplank.Fingerprint{1, 2}, RunTimes: []time.Duration{time.Second, 0}, Age: time.Hour},
				{Kind: banyanplank.FindingConvicted, Requests: []banyanplank.Fingerprint{3}, Remaining: time.Hour}},
			Leavers: []banyanplank.LeavingBackend{{ID: "x", Born: time.UnixMilli(1)}},
		},
	} {
		datagram, err := encode(heartbeat)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		heartbeat, err := decode(datagram)
		if err != nil {
			return
		}
		tracker, now := suspecter.NewCrashTracker(), time.Unix(1e9, 0)
		tracker.MergeFindings(now, heartbeat.Findings)
		tracker.MergeFindings(now, tracker.SharedFindings(now))
		for _, calls := range heartbeat.InFlight {
			if calls < 0 {
				t.Errorf("%d calls in flight", calls)
			}
		}
		if again, err := encode(heartbeat); err == nil {
			if _, err := decode(again); err != nil {
				t.Errorf("re-encoded heartbeat cannot be decoded: %v", err)
			}
		}
	})
}
