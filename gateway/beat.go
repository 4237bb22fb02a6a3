package gateway

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
)

// farEvery is how many heartbeats go to the own zone for each that crosses to
// another one. Bytes between zones cost the operators.
const farEvery = 6

// The heartbeats that cross to other zones and say all.
const (
	// wholeEvery is how many cross for each that leaves nothing out. It is sent more
	// often than an entry that is not heard counts as silent.
	wholeEvery = 3
	// wholeTime is how long after its start, and after a change of a topic, an entry
	// leaves nothing out: some of its heartbeats may be lost.
	wholeTime = 3 * time.Second
)

// compose returns the next heartbeat for the own zone and for the other ones, and
// who gets them.
func (d *Daemon) compose() (near, far *beater.Beat, peers, others []netip.AddrPort) {
	snapshot := d.view.Load()
	sequence := d.beats.Add(1)
	near = d.beat(snapshot, sequence)
	for _, m := range snapshot.Peers {
		switch {
		case m.Zone == d.member.Zone:
			peers = append(peers, m.Peer)
		case sequence%farEvery == 0:
			others = append(others, m.Peer)
		}
	}
	if len(others) == 0 {
		return near, near, peers, nil
	}
	// What this entry has in flight in its own zone matters only there.
	crossing := *near
	crossing.InFlight = make(map[banyanplank.BackendID]int)
	for _, b := range snapshot.Backends {
		if n := near.InFlight[b.ID]; n > 0 && b.Zone != d.member.Zone {
			crossing.InFlight[b.ID] = n
		}
	}
	if d.isLean(snapshot, sequence) {
		return near, crossing.Lean(), peers, others
	}
	return near, &crossing, peers, others
}

// isLean reports whether the next heartbeat to other zones may leave out what these know.
func (d *Daemon) isLean(snapshot *surveyor.Snapshot, sequence uint64) bool {
	now := time.Now()
	if d.told.at.IsZero() || !maps.Equal(d.told.revisions, snapshot.Revisions) {
		d.told.at, d.told.revisions = now, snapshot.Revisions
	}
	return now.Sub(d.told.at) > wholeTime && sequence/farEvery%wholeEvery != 0
}

// beat returns the heartbeat for the entries of the own zone.
func (d *Daemon) beat(snapshot *surveyor.Snapshot, sequence uint64) (beat *beater.Beat) {
	return &beater.Beat{
		From:        d.member.ID,
		Incarnation: d.member.Incarnation,
		Sequence:    sequence,
		Zone:        d.member.Zone,
		Peer:        d.member.Peer,
		Caller:      d.member.Caller,
		Ready:       snapshot.Ready,
		Blind:       snapshot.Blind,
		Watches:     snapshot.Watches,
		InFlight:    d.balancer.InFlight(),
		Slow:        d.slowNow(),
		Revisions:   snapshot.Revisions,
		Findings:    d.gateway.witness.Tell(time.Now()),
		Leavers:     d.balancer.Leavers(),
	}
}

// hear takes in the heartbeat of a peer.
func (d *Daemon) hear(beat *beater.Beat) {
	d.balancer.Hear(time.Now(), beat.From, beat.InFlight)
	d.balancer.Slow(time.Now(), beat.Slow)
	d.gateway.witness.Learn(time.Now(), beat.Findings)
	for _, l := range d.balancer.HearLeaving(time.Now(), beat.Leavers) {
		d.gateway.noteLeaver(l, "entry "+string(beat.From))
	}
	if !beat.IsLean {
		d.relay.hear(beat.Peer, beat.Revisions)
	}
	for topic, revision := range beat.Revisions {
		// Peers tell of themselves in their heartbeats.
		if topic != banyanplank.TopicMembers {
			d.follower.Hint(topic, revision)
		}
	}
	d.loop.Send(context.Background(), surveyor.HeardMsg{Beat: beat})
}

// failBeat notes a heartbeat that could not be sent or read.
func (d *Daemon) failBeat(err error) {
	d.logger.Warn().Err(err).Msg("heartbeat failed")
}
