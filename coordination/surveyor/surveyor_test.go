package surveyor

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/state/follower"
)

// startTime is the model's time at the start of each test.
var startTime = time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)

// modelDriver sends messages to a model and advances its clock.
type modelDriver struct {
	model *Model
	now   time.Time
	// commands are the commands returned so far.
	commands []banyanplank.Command
}

// newModelDriver returns a driver of an entry in zone a.
func newModelDriver(id banyanplank.DaemonID) *modelDriver {
	return &modelDriver{model: NewModel(banyanplank.Member{ID: id, Zone: "a", Incarnation: 1}), now: startTime}
}

// update sends a message to the model and returns its snapshot.
func (d *modelDriver) update(msg banyanplank.Msg) (s *Snapshot) {
	_, commands := d.model.Update(d.now, msg)
	d.commands = append(d.commands, commands...)
	return d.model.Snapshot()
}

// advance moves the clock forward, with a tick at every interval.
func (d *modelDriver) advance(elapsed time.Duration) (s *Snapshot) {
	for end := d.now.Add(elapsed); d.now.Before(end); {
		d.now = d.now.Add(TickInterval)
		s = d.update(banyanplank.TickMsg{})
	}
	return s
}

// topicMsg returns a message with the entries of a topic.
func topicMsg(topic banyanplank.Topic, revision banyanplank.Version, whole bool, entries ...banyanplank.DiscoveryItem) follower.TopicMsg {
	return follower.TopicMsg{Topic: topic, Position: banyanplank.Position{Revision: revision}, IsFullList: whole, Entries: entries, RequestedAt: startTime}
}

// backendEntry returns the discovery entry of an endpoint.
func backendEntry(id string, leaving bool) banyanplank.DiscoveryItem {
	return banyanplank.DiscoveryItem{Key: id, Value: banyanplank.Backend{ID: banyanplank.BackendID(id), Service: "chat", Leaving: leaving}}
}

// tableEntry returns the discovery entry of a routing table.
func tableEntry(version uint64) banyanplank.DiscoveryItem {
	return banyanplank.DiscoveryItem{Key: "main", Value: &banyanplank.RoutingTable{Version: version}}
}

// heartbeat returns a heartbeat of another entry.
func heartbeat(sender string, zone banyanplank.Zone, ready, discoveryLost bool) HeardMsg {
	return HeardMsg{Heartbeat: &beater.Heartbeat{
		From: banyanplank.DaemonID(sender), Incarnation: 1, Zone: zone, Ready: ready, CannotFollow: discoveryLost,
		Peer: netip.MustParseAddrPort("10.0.0.1:1"), Caller: netip.MustParseAddrPort("10.0.0.1:2"),
	}}
}

// backendIDs returns the ids of the endpoints in a snapshot.
func backendIDs(s *Snapshot) (all []string) {
	for _, b := range s.Backends {
		all = append(all, string(b.ID))
	}
	return all
}

func TestRoutingVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	for i, version := range []uint64{3, 7, 5, 6, 9, 2} {
		s := d.update(topicMsg(banyanplank.TopicRouting, banyanplank.Version(10+i), true, tableEntry(version)))
		is.True(s.Router.Table().Version >= version)
	}
	is.Equal(d.model.Snapshot().Router.Table().Version, uint64(9))
	// A reply with an older revision changes nothing.
	d.update(topicMsg(banyanplank.TopicRouting, 5, true, tableEntry(12)))
	is.Equal(d.model.Snapshot().Router.Table().Version, uint64(9))
	// An undecodable table leaves the current one in force.
	s := d.update(topicMsg(banyanplank.TopicRouting, 20, true, banyanplank.DiscoveryItem{Key: "main"}))
	is.Equal(s.Router.Table().Version, uint64(9))
}

func TestBackendsFollowTopic(t *testing.T) {
	removed := topicMsg(banyanplank.TopicBackends, 11, false, banyanplank.DiscoveryItem{Key: "y"})
	missing := topicMsg(banyanplank.TopicBackends, 11, true, backendEntry("x", false))
	resumed := removed
	resumed.Resumed = true
	tests := map[string]struct {
		outage bool
		msg    follower.TopicMsg
		now    []string
		later  []string
	}{
		"removed":                 {false, removed, []string{"x"}, []string{"x"}},
		"missing in a list":       {false, missing, []string{"x"}, []string{"x"}},
		"after a failed call":     {false, resumed, []string{"x"}, []string{"x"}},
		"missing after an outage": {true, missing, []string{"x", "y"}, []string{"x"}},
		"removed after an outage": {true, removed, []string{"x", "y"}, []string{"x"}},
		"added":                   {false, topicMsg(banyanplank.TopicBackends, 11, false, backendEntry("z", false)), []string{"x", "y", "z"}, []string{"x", "y", "z"}},
		"older revision":          {false, topicMsg(banyanplank.TopicBackends, 9, true), []string{"x", "y"}, []string{"x", "y"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newModelDriver("e1")
			d.update(topicMsg(banyanplank.TopicBackends, 10, true, backendEntry("x", false), backendEntry("y", false)))
			if test.outage {
				d.losePlatform()
			}
			is.Equal(backendIDs(d.update(test.msg)), test.now)
			is.Equal(backendIDs(d.advance(reregisterGrace+TickInterval)), test.later)
		})
	}
}

// losePlatform simulates an outage of the platform.
func (d *modelDriver) losePlatform() {
	d.update(follower.LostMsg{Topic: banyanplank.TopicBackends})
	d.advance(3 * time.Second)
}

// TestRestartedBackendReplacesOlderAtSameAddress guards against calls to endpoints that
// have restarted at their addresses, as after a power failure, under former ids that the
// platform still lists.
func TestRestartedBackendReplacesOlderAtSameAddress(t *testing.T) {
	is := is.New(t)
	at := func(id, address string, born time.Duration) banyanplank.DiscoveryItem {
		return banyanplank.DiscoveryItem{Key: id, Value: banyanplank.Backend{
			ID: banyanplank.BackendID(id), Service: "chat", Address: netip.MustParseAddrPort(address), Born: startTime.Add(born),
		}}
	}
	d := newModelDriver("e-1")
	s := d.update(topicMsg(banyanplank.TopicBackends, 1, true, at("old-1", "10.0.0.1:80", 0), at("old-2", "10.0.0.2:80", 0)))
	is.Equal(backendIDs(s), []string{"old-1", "old-2"})
	s = d.update(topicMsg(banyanplank.TopicBackends, 2, false, at("new-1", "10.0.0.1:80", time.Minute)))
	is.Equal(backendIDs(s), []string{"new-1", "old-2"})
	s = d.update(topicMsg(banyanplank.TopicBackends, 3, false, at("old-1", "10.0.0.1:80", 0)))
	is.Equal(backendIDs(s), []string{"new-1", "old-2"}) // a late renewal of the older endpoint has no effect
	s = d.update(topicMsg(banyanplank.TopicBackends, 4, false, banyanplank.DiscoveryItem{Key: "new-1"}))
	is.Equal(backendIDs(s), []string{"old-1", "old-2"})
}

// TestBackendReregisteredAfterOutageIsKept guards against dropping an endpoint that
// registers again within the grace period.
func TestBackendReregisteredAfterOutageIsKept(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	d.update(topicMsg(banyanplank.TopicBackends, 10, true, backendEntry("x", false)))
	d.losePlatform()
	d.update(topicMsg(banyanplank.TopicBackends, 11, true))
	d.advance(time.Second)
	d.update(topicMsg(banyanplank.TopicBackends, 12, false, backendEntry("x", false)))
	is.Equal(backendIDs(d.advance(5*time.Second)), []string{"x"})
}

// TestLeavingBackendGetsNoGraceAfterOutage guards against keeping an endpoint that was
// already leaving before the outage.
func TestLeavingBackendGetsNoGraceAfterOutage(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	d.update(topicMsg(banyanplank.TopicBackends, 10, true, backendEntry("x", true)))
	d.losePlatform()
	is.Equal(backendIDs(d.update(topicMsg(banyanplank.TopicBackends, 11, true))), nil)
}

func TestZonesOutFollowTopic(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	s := d.update(topicMsg(banyanplank.TopicZonesOut, 10, true, banyanplank.DiscoveryItem{Key: "a", Value: banyanplank.Zone("a")}))
	is.True(s.ZonesOut["a"])
	s = d.update(topicMsg(banyanplank.TopicZonesOut, 11, false, banyanplank.DiscoveryItem{Key: "b", Value: banyanplank.Zone("b")}))
	is.True(s.ZonesOut["a"] && s.ZonesOut["b"])
	s = d.update(topicMsg(banyanplank.TopicZonesOut, 12, false, banyanplank.DiscoveryItem{Key: "a"}))
	is.True(!s.ZonesOut["a"] && s.ZonesOut["b"])
	s = d.update(topicMsg(banyanplank.TopicZonesOut, 13, true))
	is.Equal(len(s.ZonesOut), 0)
}

func TestEntriesAreReadyAndAlive(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e2")
	ready := func() []string {
		var all []string
		for _, m := range d.model.Snapshot().Entries {
			all = append(all, string(m.ID))
		}
		return all
	}
	is.Equal(ready(), nil) // no topic is known yet
	d.update(topicMsg(banyanplank.TopicRouting, 1, true, tableEntry(1)))
	d.update(topicMsg(banyanplank.TopicBackends, 1, true))
	d.update(topicMsg(banyanplank.TopicZonesOut, 1, true))
	is.Equal(ready(), []string{"e2"})
	d.update(heartbeat("e1", "a", true, false))
	d.update(heartbeat("e3", "b", false, false))
	is.Equal(ready(), []string{"e1", "e2"}) // e3 is not ready
	d.update(DrainMsg{})
	is.Equal(ready(), []string{"e1"})
	d.advance(localHeartbeatMaxAge + TickInterval)
	is.Equal(ready(), nil) // e1 is silent
}

// fromWatcher marks a heartbeat as sent by an entry that watches the platform.
func fromWatcher(msg HeardMsg) HeardMsg {
	msg.Heartbeat.IsWatcher = true
	return msg
}

// confirmed has the sender of a heartbeat know that the platform has no other changes.
func confirmed(msg HeardMsg) HeardMsg {
	msg.Heartbeat.ConfirmedAge = 100 * time.Millisecond
	return msg
}

// TestOutageSeenByWatchersGrantsGrace guards against an entry that doesn't watch dropping
// endpoints after an outage that only the watching entries have noticed.
func TestOutageSeenByWatchersGrantsGrace(t *testing.T) {
	tests := map[string]struct {
		heartbeats    []HeardMsg // during the outage
		discoveryLost bool       // of this entry, which is the second of its zone
		kept          bool
	}{
		"no watcher reaches the platform":  {[]HeardMsg{fromWatcher(heartbeat("e1", "a", true, true)), fromWatcher(heartbeat("e3", "b", true, true))}, true, true},
		"one watcher reaches the platform": {[]HeardMsg{confirmed(fromWatcher(heartbeat("e1", "a", true, false))), fromWatcher(heartbeat("e3", "b", true, true))}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newModelDriver("e2")
			d.update(topicMsg(banyanplank.TopicRouting, 1, true, tableEntry(1)))
			d.update(topicMsg(banyanplank.TopicZonesOut, 1, true))
			d.update(topicMsg(banyanplank.TopicBackends, 10, true, backendEntry("x", false)))
			if test.discoveryLost {
				d.update(follower.LostMsg{Topic: banyanplank.TopicZonesOut})
			}
			// An endpoint lapses after three heartbeats of 1.2 s without an answer.
			for range 15 {
				for _, b := range test.heartbeats {
					d.update(b)
				}
				d.advance(TickInterval)
			}
			s := d.update(topicMsg(banyanplank.TopicBackends, 11, false, banyanplank.DiscoveryItem{Key: "x"}))
			is.Equal(len(s.Backends) == 1, test.kept)
			is.Equal(len(d.advance(reregisterGrace+TickInterval).Backends), 0)
		})
	}
}

func TestWatcherAndLeaderSelection(t *testing.T) {
	tests := map[string]struct {
		heartbeats     []HeardMsg
		listed         int // known entries without heartbeats
		watches, leads bool
		standsBy       bool
	}{
		"alone":                            {watches: true, leads: true},
		"after another of its zone":        {heartbeats: []HeardMsg{heartbeat("e1", "a", true, false)}, standsBy: true},
		"before another of its zone":       {heartbeats: []HeardMsg{heartbeat("e5", "a", true, false)}, watches: true, leads: true},
		"after one without the platform":   {heartbeats: []HeardMsg{heartbeat("e1", "a", true, true)}, watches: true, standsBy: true},
		"after two without the platform":   {heartbeats: []HeardMsg{heartbeat("e0", "a", true, true), heartbeat("e1", "a", true, true)}},
		"after two, while others reach it": {heartbeats: []HeardMsg{heartbeat("e0", "a", true, true), heartbeat("e1", "a", true, true), fromWatcher(heartbeat("e3", "b", true, false))}, watches: true},
		"after one of another zone":        {heartbeats: []HeardMsg{heartbeat("e1", "b", true, false)}, watches: true, standsBy: true},
		"hears a minority":                 {heartbeats: []HeardMsg{heartbeat("e5", "b", true, false)}, listed: 3, watches: true},
		"hears a majority":                 {heartbeats: []HeardMsg{heartbeat("e5", "b", true, false), heartbeat("e6", "b", true, false)}, listed: 2, watches: true, leads: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newModelDriver("e2")
			d.update(topicMsg(banyanplank.TopicRouting, 1, true, tableEntry(1)))
			d.update(topicMsg(banyanplank.TopicBackends, 1, true))
			d.update(topicMsg(banyanplank.TopicZonesOut, 1, true))
			var members []banyanplank.DiscoveryItem
			for i := range test.listed {
				id := fmt.Sprintf("z%d", i)
				members = append(members, banyanplank.DiscoveryItem{Key: id, Value: banyanplank.Member{ID: banyanplank.DaemonID(id), Incarnation: 1}})
			}
			d.update(topicMsg(banyanplank.TopicMembers, 1, true, members...))
			is.Equal(d.model.Snapshot().IsWatcher, false) // preceding entries may not have been heard yet
			for range int((watchStartDelay+takeoverDelay)/TickInterval) + 1 {
				for _, b := range test.heartbeats {
					d.update(b)
				}
				d.advance(TickInterval)
			}
			is.Equal(d.model.Snapshot().IsWatcher, test.watches)
			is.Equal(d.model.Snapshot().IsLeader, test.leads)
			is.Equal(d.model.Snapshot().IsStandby, test.standsBy)
		})
	}
}

// TestOneWatcherPerZoneAfterSimultaneousStart starts 40 entries of 4 zones together, which
// receive each other's heartbeats only later. At most one entry of each zone may watch the
// platform at any time.
func TestOneWatcherPerZoneAfterSimultaneousStart(t *testing.T) {
	is := is.New(t)
	var drivers []*modelDriver
	var heartbeats []HeardMsg
	for i := range 40 {
		zone := banyanplank.Zone(fmt.Sprint("z", i%4))
		d := newModelDriver(banyanplank.DaemonID(fmt.Sprintf("e%02d", i)))
		d.model.self.Zone = zone
		drivers = append(drivers, d)
		heartbeats = append(heartbeats, heartbeat(fmt.Sprintf("e%02d", i), zone, true, false))
	}
	for tick := range 10 {
		watching := 0
		for i, d := range drivers {
			if d.advance(TickInterval).IsWatcher {
				watching++
			}
			for j, b := range heartbeats {
				if i != j && i%4 == j%4 {
					d.update(b)
				}
			}
		}
		is.True(watching <= 4)
		if tick >= 3 {
			is.Equal(watching, 4)
		}
	}
}

// TestThirdEntryDoesNotWatchDuringOutage guards against more than two entries of a zone
// calling a platform that is down, also before the heartbeats of other zones report that
// their watchers have lost it too.
func TestThirdEntryDoesNotWatchDuringOutage(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e2")
	d.advance(time.Second)
	remote := fromWatcher(heartbeat("e3", "b", true, false))
	for tick := range 10 {
		d.update(heartbeat("e0", "a", true, true))
		d.update(heartbeat("e1", "a", true, true))
		if tick == 0 || tick == 4 { // heartbeats of other zones are less frequent
			remote.Heartbeat.CannotFollow = tick == 4
			d.update(remote)
		}
		is.Equal(d.advance(TickInterval).IsWatcher, false)
	}
}

// TestRegistersItselfAndRemovesSilentMembers checks that an entry registers until it is
// listed and again when it is no longer listed, and removes entries silent for too long.
func TestRegistersItselfAndRemovesSilentMembers(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	d.advance(TickInterval)
	is.Equal(len(d.commands), 1)
	d.update(RegisteredMsg{Err: banyanplank.ErrUncertain})
	d.advance(registerRetryInterval)
	is.Equal(len(d.commands), 2)
	d.update(RegisteredMsg{})
	d.advance(3 * registerRetryInterval)
	is.Equal(len(d.commands), 2)
	d.update(topicMsg(banyanplank.TopicMembers, 5, true, banyanplank.DiscoveryItem{Key: "old", Value: banyanplank.Member{ID: "old", Incarnation: 1}}))
	d.advance(registerRetryInterval)
	is.Equal(d.commands[2], RegisterCmd{Member: d.model.self})
	d.update(RegisteredMsg{})
	d.commands = nil
	d.advance(memberForgetAge)
	is.Equal(d.commands, []banyanplank.Command{RemoveCmd{ID: "old"}})
}

// TestRestartedPeerUsesNewAddress guards against sending to the address of a peer's former
// incarnation.
func TestRestartedPeerUsesNewAddress(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	d.update(heartbeat("e2", "a", true, false))
	again := heartbeat("e2", "a", true, false)
	again.Heartbeat.Incarnation = 2
	again.Heartbeat.Peer = netip.MustParseAddrPort("10.0.0.9:1")
	s := d.update(again)
	is.Equal(s.Peers[0].PeerAddress, again.Heartbeat.Peer)
	s = d.update(heartbeat("e2", "a", false, false)) // late, from the former incarnation
	is.Equal(s.Peers[0].PeerAddress, again.Heartbeat.Peer)
}
