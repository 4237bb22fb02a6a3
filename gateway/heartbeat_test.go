package gateway

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/router"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/state/follower"
	"github.com/banyanplank/banyanplank/transport/logger"
)

// TestLeanHeartbeatsHideNoChange guards against entries of a large fleet that omit
// topic revisions from the heartbeats to other zones at their start or after a
// change, and against too many full heartbeats otherwise.
func TestLeanHeartbeatsHideNoChange(t *testing.T) {
	for _, entries := range []int{45, 150, 420} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := &Daemon{
					self:     banyanplank.Member{ID: "e0", Zone: "a", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")},
					balancer: balancer.New(),
					follower: follower.New(nil, nil),
					gateway:  &Gateway{crashTracker: suspecter.NewCrashTracker(), admission: newAdmission(balancer.New())},
				}
				snapshot := &surveyor.Snapshot{Positions: map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Revision: 1}}}
				for i := 1; i < entries; i++ {
					snapshot.Peers = append(snapshot.Peers, banyanplank.Member{Zone: banyanplank.Zone('a' + rune(i%5)), PeerAddress: netip.MustParseAddrPort("10.0.0.2:1")})
				}
				d.snapshot.Store(snapshot)
				full, lean := 0, 0
				run := func(span time.Duration) {
					full, lean = 0, 0
					for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(beater.DefaultInterval) {
						local, remote, localPeers, remotePeers := d.composeHeartbeats()
						is.True(!local.IsLean)
						is.Equal(len(localPeers), (entries-1)/5)
						switch {
						case len(remotePeers) == 0:
						case remote.IsLean:
							is.Equal(len(remote.Positions), 0)
							lean++
						default:
							full++
						}
					}
				}
				run(fullBeatPeriod)
				is.Equal(lean, 0)
				run(time.Minute)
				is.True(2*lean > 3*full)
				is.True(full >= 27) // one per 2.2 s
				next := *snapshot
				next.Positions = map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Revision: 2}}
				d.snapshot.Store(&next)
				run(fullBeatPeriod)
				is.Equal(lean, 0)
			})
		})
	}
}

// TestUrgentHeartbeatsReachAllZones guards against findings on crashing requests that reach
// other availability zones only with the next regular heartbeat.
func TestUrgentHeartbeatsReachAllZones(t *testing.T) {
	is := is.New(t)
	d := &Daemon{self: banyanplank.Member{ID: "e0", Zone: "a"}, balancer: balancer.New(), follower: follower.New(nil, nil), beater: beater.New(netip.AddrPort{}, nil, nil, nil)}
	d.gateway = &Gateway{crashTracker: suspecter.NewCrashTracker(suspecter.WithUrgentHandler(d.sendUrgently)), admission: newAdmission(balancer.New())}
	d.snapshot.Store(&surveyor.Snapshot{Peers: []banyanplank.Member{{Zone: "a"}, {Zone: "b"}, {Zone: "c"}}})
	_, _, _, remote := d.composeHeartbeats()
	is.Equal(len(remote), 0)
	parts := []banyanplank.PartID{1}
	d.gateway.crashTracker.RecordBroken(time.Unix(1, 0), suspecter.Run{Endpoint: "x", Parts: parts})
	d.gateway.crashTracker.RecordDeath(time.Unix(1, 0), "x", time.Time{})
	for range urgentHeartbeats {
		_, _, _, remote = d.composeHeartbeats()
		is.Equal(len(remote), 2)
	}
	_, _, _, remote = d.composeHeartbeats()
	is.Equal(len(remote), 0)
}

// TestStepperSeesSelfReportedLeaving guards against expert maps that are planned for a rank
// which announced its exit while the platform still lists it as ready.
func TestStepperSeesSelfReportedLeaving(t *testing.T) {
	is := is.New(t)
	table := router.New(&banyanplank.RoutingTable{Version: 1})
	d := &Daemon{balancer: balancer.New()}
	d.snapshot.Store(&surveyor.Snapshot{IsLeader: true, Router: table, Backends: []banyanplank.Backend{{ID: "rank-0"}, {ID: "rank-1"}}})
	d.balancer.MarkLeaving(time.Now(), []banyanplank.LeavingBackend{{ID: "rank-1"}})
	_, ranks, _ := d.stepperFleet()
	is.Equal(ranks[0].Leaving, false)
	is.Equal(ranks[1].Leaving, true)
	is.Equal(d.snapshot.Load().Backends[1].Leaving, false) // the snapshot is shared
}

// TestHeartbeatErrorsShareLogLines guards against a log line for each datagram that is no
// heartbeat, of which any host in the network can send any number.
func TestHeartbeatErrorsShareLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var text bytes.Buffer
		d := &Daemon{logger: logger.New(&text)}
		for range 3000 {
			d.logHeartbeatError(errors.New("malformed"))
			time.Sleep(time.Millisecond)
		}
		lines := strings.Split(strings.TrimSpace(text.String()), "\n")
		is.Equal(len(lines), 3)
		is.True(strings.Contains(lines[2], "skipped=999"))
	})
}
