// Package beater exchanges heartbeats between the entries of a system over UDP.
// A heartbeat shows that its sender is alive, which calls it has in flight and
// up to which revisions it knows the platform's topics.
package beater

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/carrier"
	"github.com/banyanplank/banyanplank/protocol/pulser"
)

// Heartbeat is one heartbeat.
type Heartbeat struct {
	From        banyanplank.DaemonID
	Incarnation banyanplank.Incarnation
	Sequence    uint64
	Zone        banyanplank.Zone
	Peer        netip.AddrPort
	Caller      netip.AddrPort
	// IsLean reports whether Zone, Peer, Caller, Positions and ConfirmedAge are omitted.
	// The values of the first four are those of the sender's last full heartbeat.
	IsLean bool
	// Ready reports whether the sender accepts new callers.
	Ready bool
	// CannotFollow reports whether the sender cannot follow the platform's topics.
	CannotFollow bool
	// IsWatcher reports whether the sender watches the platform's topics on behalf
	// of other entries.
	IsWatcher bool
	// InFlight counts the sender's calls in flight by endpoint.
	InFlight map[banyanplank.BackendID]int
	// ZoneInFlight counts the calls in flight from all entries of the sender's zone to the
	// endpoints of that zone. It is set in some heartbeats to other zones, while the zone is
	// under load.
	ZoneInFlight map[banyanplank.BackendID]int
	// Demand is the demand for services at the sender, as encoded by sharer.EncodeDemand, and
	// Promised the return times of refused calls, as encoded by promiser.EncodePromised. The
	// receiver decodes them, so that one it can't decode doesn't cost the rest of the
	// heartbeat. They are left out of a heartbeat that would otherwise be too large.
	Demand   []byte
	Promised []byte
	// IsUnderLoad reports whether engines in the sender's zone are under load.
	IsUnderLoad bool
	// Slow lists the endpoints that slow down their group of ranks, as detected
	// by the leading entry.
	Slow []banyanplank.BackendID
	// Positions is the position up to which the sender knows the changes of each
	// topic. Entries of older builds send no eras.
	Positions map[banyanplank.Topic]banyanplank.Position
	// ConfirmedAge is the time since the platform confirmed to the sender that there were
	// no changes beyond Positions, or zero if it did not. It has a resolution of 1 ms.
	ConfirmedAge time.Duration
	// Findings report requests that crash endpoints.
	Findings []banyanplank.Finding
	// Limits are the rate limits that endpoints named to the sender of late.
	Limits []banyanplank.BackendLimit
	// Leavers are endpoints that announced that they are leaving, while the
	// platform still lists them as ready.
	Leavers []banyanplank.LeavingBackend
}

// Lean returns a copy of the heartbeat without the fields that receivers know
// from an earlier heartbeat of the same incarnation: zone, addresses and
// positions. Without these, it confirms nothing. The zone stays if it has calls in flight.
func (b *Heartbeat) Lean() (lean *Heartbeat) {
	compact := *b
	compact.IsLean, compact.Peer, compact.Caller, compact.Positions = true, netip.AddrPort{}, netip.AddrPort{}, nil
	if len(b.ZoneInFlight) == 0 {
		compact.Zone = ""
	}
	compact.ConfirmedAge = 0
	return &compact
}

// maxHeartbeatBytes is the maximum size of an encoded heartbeat.
const maxHeartbeatBytes = 16 << 10

// encode returns the datagram of a heartbeat. It fails if the datagram would
// exceed maxHeartbeatBytes.
func encode(heartbeat *Heartbeat) (datagram []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode heartbeat") }()
	message := &pulser.Pulse{
		From:        string(heartbeat.From),
		Incarnation: uint64(heartbeat.Incarnation),
		Sequence:    heartbeat.Sequence,
		Zone:        string(heartbeat.Zone),
		Peer:        packAddress(heartbeat.Peer),
		Caller:      packAddress(heartbeat.Caller),
		Ready:       heartbeat.Ready,
		Blind:       heartbeat.CannotFollow,
		Watches:     heartbeat.IsWatcher,
		Lean:        heartbeat.IsLean,
		Findings:    carrier.EncodeFindings(heartbeat.Findings),
		Confirmed:   packAge(heartbeat.ConfirmedAge),
		Demand:      heartbeat.Demand,
		Promised:    heartbeat.Promised,
		Loaded:      heartbeat.IsUnderLoad,
	}
	message.Endpoints, message.Counts = packCalls(heartbeat.InFlight)
	message.ZoneEndpoints, message.ZoneCounts = packCalls(heartbeat.ZoneInFlight)
	for _, id := range heartbeat.Slow {
		message.Slow = append(message.Slow, string(id))
	}
	for _, l := range heartbeat.Leavers {
		message.Leavers = append(message.Leavers, string(l.ID))
		message.Births = append(message.Births, l.Born.UnixMilli())
	}
	for _, l := range heartbeat.Limits {
		message.Limited = append(message.Limited, string(l.ID))
		message.LimitedBirths = append(message.LimitedBirths, l.Born.UnixMilli())
		message.Rates = append(message.Rates, l.PerSecond)
		message.Ages = append(message.Ages, packAge(l.Age))
	}
	for topic, position := range heartbeat.Positions {
		message.Topics = append(message.Topics, string(topic))
		message.Revisions = append(message.Revisions, uint64(position.Revision))
		message.Eras = append(message.Eras, uint64(position.Era))
	}
	if !slices.ContainsFunc(message.Eras, func(era uint64) bool { return era > 0 }) {
		message.Eras = nil
	}
	datagram, err = proto.Marshal(message)
	if err == nil && len(datagram) > maxHeartbeatBytes && len(message.Demand)+len(message.Promised) > 0 {
		message.Demand, message.Promised = nil, nil
		datagram, err = proto.Marshal(message)
	}
	if err == nil && len(datagram) > maxHeartbeatBytes {
		return nil, errors.Newf("datagram of %d bytes exceeds the limit of %d", len(datagram), maxHeartbeatBytes)
	}
	return datagram, err
}

// packCalls returns the endpoints with calls and their numbers.
func packCalls(calls map[banyanplank.BackendID]int) (endpoints []string, counts []uint32) {
	for id, n := range calls {
		endpoints = append(endpoints, string(id))
		counts = append(counts, uint32(max(0, n)))
	}
	return endpoints, counts
}

// unpackCalls is the inverse of packCalls.
func unpackCalls(endpoints []string, counts []uint32) (calls map[banyanplank.BackendID]int) {
	calls = make(map[banyanplank.BackendID]int, len(endpoints))
	for i, id := range endpoints {
		calls[banyanplank.BackendID(id)] = int(counts[i])
	}
	return calls
}

// packAge returns an age in milliseconds, rounded up. An age that exceeds the range of the
// field is sent as unknown.
func packAge(age time.Duration) (millis uint32) {
	rounded := (age + time.Millisecond - 1) / time.Millisecond
	if rounded < 0 || rounded > math.MaxUint32 {
		return 0
	}
	return uint32(rounded)
}

// packAddress returns the bytes of an IP address followed by its port, or nil
// for an invalid address.
func packAddress(address netip.AddrPort) (packed []byte) {
	if !address.IsValid() {
		return nil
	}
	packed = address.Addr().Unmap().AsSlice()
	return append(packed, byte(address.Port()>>8), byte(address.Port()))
}

// unpackAddress is the inverse of packAddress. It returns an invalid address for
// malformed input.
func unpackAddress(packed []byte) (address netip.AddrPort) {
	if len(packed) < 2 {
		return netip.AddrPort{}
	}
	host, port := packed[:len(packed)-2], packed[len(packed)-2:]
	ip, ok := netip.AddrFromSlice(host)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, uint16(port[0])<<8|uint16(port[1]))
}

// decode parses a datagram. It rejects a heartbeat without a sender, with lists
// that do not match in length, or whose peer address is inconsistent with
// IsLean.
func decode(datagram []byte) (heartbeat *Heartbeat, err error) {
	defer func() { err = errors.Wrap(err, "decode heartbeat") }()
	var message pulser.Pulse
	if err := proto.Unmarshal(datagram, &message); err != nil {
		return nil, err
	}
	if len(message.Endpoints) != len(message.Counts) || len(message.ZoneEndpoints) != len(message.ZoneCounts) || len(message.Topics) != len(message.Revisions) || (len(message.Eras) > 0 && len(message.Eras) != len(message.Topics)) || len(message.Leavers) != len(message.Births) ||
		len(message.Limited) != len(message.LimitedBirths) || len(message.Limited) != len(message.Rates) || len(message.Limited) != len(message.Ages) {
		return nil, errors.New("keys and values differ in number")
	}
	heartbeat = &Heartbeat{
		From:         banyanplank.DaemonID(message.From),
		Incarnation:  banyanplank.Incarnation(message.Incarnation),
		Sequence:     message.Sequence,
		Zone:         banyanplank.Zone(message.Zone),
		Peer:         unpackAddress(message.Peer),
		Caller:       unpackAddress(message.Caller),
		Ready:        message.Ready,
		CannotFollow: message.Blind,
		IsWatcher:    message.Watches,
		IsLean:       message.Lean,
		InFlight:     unpackCalls(message.Endpoints, message.Counts),
		Demand:       message.Demand,
		Promised:     message.Promised,
		IsUnderLoad:  message.Loaded,
		Positions:    make(map[banyanplank.Topic]banyanplank.Position, len(message.Topics)),
		Findings:     carrier.DecodeFindings(message.Findings),
		ConfirmedAge: time.Duration(message.Confirmed) * time.Millisecond,
	}
	if heartbeat.From == "" || heartbeat.Peer.IsValid() == heartbeat.IsLean {
		return nil, errors.New("sender ID or peer address is missing or inconsistent")
	}
	if len(message.ZoneEndpoints) > 0 {
		heartbeat.ZoneInFlight = unpackCalls(message.ZoneEndpoints, message.ZoneCounts)
	}
	for _, id := range message.Slow {
		heartbeat.Slow = append(heartbeat.Slow, banyanplank.BackendID(id))
	}
	for i, id := range message.Leavers {
		heartbeat.Leavers = append(heartbeat.Leavers, banyanplank.LeavingBackend{ID: banyanplank.BackendID(id), Born: time.UnixMilli(message.Births[i])})
	}
	for i, id := range message.Limited {
		if math.IsNaN(message.Rates[i]) || math.IsInf(message.Rates[i], 0) {
			return nil, errors.Newf("rate limit of endpoint %q is not a number", id)
		}
		heartbeat.Limits = append(heartbeat.Limits, banyanplank.BackendLimit{
			ID: banyanplank.BackendID(id), Born: time.UnixMilli(message.LimitedBirths[i]),
			PerSecond: message.Rates[i], Age: time.Duration(message.Ages[i]) * time.Millisecond,
		})
	}
	for i, topic := range message.Topics {
		position := banyanplank.Position{Revision: banyanplank.Version(message.Revisions[i])}
		if len(message.Eras) > 0 {
			position.Era = banyanplank.Era(message.Eras[i])
		}
		heartbeat.Positions[banyanplank.Topic(topic)] = position
	}
	return heartbeat, nil
}
