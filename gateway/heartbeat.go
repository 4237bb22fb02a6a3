package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
)

// localBeatsPerRemote is the number of heartbeats to the own zone per heartbeat to
// other zones. Traffic between zones costs the operators.
const localBeatsPerRemote = 6

// Full heartbeats to other zones.
const (
	// remoteBeatsPerFull is the number of heartbeats to other zones per full one.
	// Full heartbeats are more frequent than the timeout after which an entry counts
	// as silent.
	remoteBeatsPerFull = 3
	// fullBeatPeriod is how long after its start, and after a change of a topic, an
	// entry sends only full heartbeats, because some may be lost.
	fullBeatPeriod = 3 * time.Second
)

// urgentHeartbeats is the number of heartbeats in a row that go to all availability zones
// with urgent news, because some may be lost.
const urgentHeartbeats = 3

// announceUrgently sends a heartbeat to all entries at once, and the next ones too.
func (d *Daemon) announceUrgently() {
	d.urgentBeats.Store(urgentHeartbeats)
	d.beater.SendNow()
}

// sendUrgently announces findings at once. They are also to be saved.
func (d *Daemon) sendUrgently() {
	d.announceUrgently()
	d.markFindingsChanged()
}

// composeHeartbeats returns the next heartbeat for the own zone and the one for other
// zones, and the receivers of both.
func (d *Daemon) composeHeartbeats() (local, remote *beater.Heartbeat, localPeers, remotePeers []netip.AddrPort) {
	snapshot := d.snapshot.Load()
	sequence := d.heartbeatSequence.Add(1)
	local = d.newHeartbeat(snapshot, sequence)
	if err := d.gateway.admission.compose(time.Now(), local); err != nil {
		d.logHeartbeatError(err)
	}
	urgent := d.urgentBeats.Load() > 0
	if urgent {
		d.urgentBeats.Add(-1)
	}
	for _, m := range snapshot.Peers {
		switch {
		case m.Zone == d.self.Zone:
			localPeers = append(localPeers, m.PeerAddress)
		case urgent || sequence%localBeatsPerRemote == 0:
			remotePeers = append(remotePeers, m.PeerAddress)
		}
	}
	if len(remotePeers) == 0 {
		return local, local, localPeers, nil
	}
	// Calls in flight to endpoints of the own zone matter only there.
	remoteBeat := *local
	remoteBeat.InFlight = make(map[banyanplank.BackendID]int)
	for _, b := range snapshot.Backends {
		if n := local.InFlight[b.ID]; n > 0 && b.Zone != d.self.Zone {
			remoteBeat.InFlight[b.ID] = n
		}
	}
	if d.isZoneReporter(snapshot, sequence) {
		remoteBeat.ZoneInFlight = d.balancer.ZoneInFlight()
	}
	if d.isLean(snapshot, sequence) {
		return local, remoteBeat.Lean(), localPeers, remotePeers
	}
	return local, &remoteBeat, localPeers, remotePeers
}

// zoneReporters is the number of entries of a zone that tell the other zones its calls in
// flight in each round of heartbeats to them. The entries take turns.
const zoneReporters = 3

// isZoneReporter reports whether it is this entry's turn to tell other zones what its zone
// has in flight.
func (d *Daemon) isZoneReporter(snapshot *surveyor.Snapshot, sequence uint64) bool {
	ids := zoneEntryIDs(snapshot.Entries, d.self.Zone)
	rank, ok := slices.BinarySearch(ids, d.self.ID)
	turns := uint64(max(1, len(ids)/zoneReporters))
	return ok && (sequence/localBeatsPerRemote+uint64(rank))%turns == 0
}

// zoneEntryIDs returns the IDs of the entries in a zone, in order.
func zoneEntryIDs(entries []banyanplank.Member, zone banyanplank.Zone) (ids []banyanplank.DaemonID) {
	for _, m := range entries {
		if m.Zone == zone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// isLean reports whether the next heartbeat to other zones may omit what they know
// from earlier ones.
func (d *Daemon) isLean(snapshot *surveyor.Snapshot, sequence uint64) bool {
	now := time.Now()
	if d.announced.since.IsZero() || !maps.Equal(d.announced.positions, snapshot.Positions) {
		d.announced.since, d.announced.positions = now, snapshot.Positions
	}
	return now.Sub(d.announced.since) > fullBeatPeriod && sequence/localBeatsPerRemote%remoteBeatsPerFull != 0
}

// newHeartbeat returns the heartbeat for the entries of the own zone.
func (d *Daemon) newHeartbeat(snapshot *surveyor.Snapshot, sequence uint64) (beat *beater.Heartbeat) {
	return &beater.Heartbeat{
		From:         d.self.ID,
		Incarnation:  d.self.Incarnation,
		Sequence:     sequence,
		Zone:         d.self.Zone,
		Peer:         d.self.PeerAddress,
		Caller:       d.self.CallerAddress,
		Ready:        snapshot.Ready,
		CannotFollow: snapshot.DiscoveryLost,
		IsWatcher:    snapshot.IsWatcher,
		InFlight:     d.balancer.InFlight(),
		Slow:         d.slowEndpoints(),
		Positions:    snapshot.Positions,
		ConfirmedAge: d.confirmedAge(),
		Findings:     d.gateway.crashTracker.SharedFindings(time.Now()),
		Leavers:      d.balancer.LeavingEndpoints(),
		Limits:       d.balancer.Limits(),
	}
}

// confirmedAge returns the time since the platform confirmed to this entry that it knew all
// changes, or zero if it never did.
func (d *Daemon) confirmedAge() (age time.Duration) {
	confirmedAt := d.follower.ConfirmedAt()
	if confirmedAt.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Since(confirmedAt))
}

// handleHeartbeat applies the heartbeat of a peer.
func (d *Daemon) handleHeartbeat(beat *beater.Heartbeat) {
	d.balancer.UpdatePeer(time.Now(), beat.From, beat.Zone == d.self.Zone, beat.InFlight)
	if beat.ZoneInFlight != nil {
		d.balancer.UpdateZone(time.Now(), beat.Zone, beat.ZoneInFlight)
	}
	d.balancer.MarkSlow(time.Now(), beat.Slow)
	d.balancer.MarkLimits(time.Now(), beat.Limits)
	if err := d.gateway.admission.merge(time.Now(), beat); err != nil {
		d.logHeartbeatError(err)
	}
	d.gateway.crashTracker.MergeFindings(time.Now(), beat.Findings)
	for _, l := range d.balancer.MarkLeaving(time.Now(), beat.Leavers) {
		d.gateway.recordLeaving(l, "entry "+string(beat.From))
	}
	if !beat.IsLean {
		d.relay.recordPositions(beat.Peer, beat.Positions)
	}
	for topic, position := range beat.Positions {
		// Peers report their membership by their heartbeats.
		if topic != banyanplank.TopicMembers {
			d.follower.RecordHint(topic, position)
		}
	}
	if beat.ConfirmedAge > 0 && d.knowsEras(beat) {
		d.follower.RecordConfirmation(time.Now().Add(-beat.ConfirmedAge))
	}
	d.loop.Send(context.Background(), surveyor.HeardMsg{Heartbeat: beat})
}

// knowsEras reports whether the sender of a heartbeat can name changes of the era of the store. One
// of an older build names no eras, so that its positions seem older than those of this entry.
func (d *Daemon) knowsEras(beat *beater.Heartbeat) (ok bool) {
	if d.era.latest.Load() == 0 {
		return true
	}
	return latestEra(beat.Positions) > 0
}

// latestEra returns the latest era among positions.
func latestEra(positions map[banyanplank.Topic]banyanplank.Position) (era banyanplank.Era) {
	for _, position := range positions {
		era = max(era, position.Era)
	}
	return era
}
