package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
)

// copyAge is how much older than the store the copy is from which it returns in most tests.
const copyAge = 5 * time.Second

// operatorsTime is the time that operators have to write again what the store has lost.
const operatorsTime = 30 * time.Second

// Fleets of 7, 30 and 100 entries in three zones.
var (
	smallFleet  = map[banyanplank.Zone]int{"a": 3, "b": 2, "c": 2}
	middleFleet = map[banyanplank.Zone]int{"a": 10, "b": 10, "c": 10}
	largeFleet  = map[banyanplank.Zone]int{"a": 34, "b": 33, "c": 33}
)

// returnTest is a fleet whose store returns from an older copy.
type returnTest struct {
	*testFleet
	*testing.T
	world *testWorld
	start time.Time
}

// playReturn runs a fleet of entries whose store names eras, and plays a test after the start. The
// world has endpoints x, y and z, and version 2 of the configuration, without the key of version 1.
func playReturn(t *testing.T, entries map[banyanplank.Zone]int, play func(r returnTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(entries)
		f.store.setEra(1)
		r := returnTest{f, t, newTestWorld(f.store), time.Now()}
		for _, id := range []banyanplank.BackendID{"x", "y", "z"} {
			r.world.start(id)
		}
		f.run(t, func() {
			time.Sleep(3 * time.Second)
			r.world.configure()
			time.Sleep(4 * time.Second)
			play(r)
			r.world.stop()
		})
	})
}

// lose has the store acknowledge changes that mean nothing, is away for a time, and returns it from
// a copy that was made before.
func (r returnTest) lose(changes int, outage time.Duration) {
	copied := time.Now()
	time.Sleep(copyAge / 2)
	for i := range changes {
		r.store.put("other", fmt.Sprint(i), i)
	}
	time.Sleep(copyAge / 2)
	r.away(copied, outage, after(rewriteTime))
}

// away takes the store away for a time, if it is positive, and returns it from a copy.
func (r returnTest) away(copied time.Time, outage time.Duration, delay func(banyanplank.Topic, string) time.Duration) {
	if outage > 0 {
		r.store.leave()
		time.Sleep(outage)
	}
	r.world.returnFromCopy(copied, delay)
}

// each checks all entries.
func (r returnTest) each(check func(id banyanplank.DaemonID) bool) {
	r.Helper()
	for _, d := range r.daemons {
		if !check(d.self.ID) {
			snapshot := d.snapshot.Load()
			r.Fatalf("%s at %s: positions %v, version %d, endpoints %v, zones out %v", d.self.ID, time.Since(r.start), snapshot.Positions,
				snapshot.Router.Table().Version, snapshot.Backends, snapshot.ZonesOut)
		}
	}
}

// throughout checks all entries each 20 ms for a time.
func (r returnTest) throughout(span time.Duration, check func(id banyanplank.DaemonID) bool) {
	r.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.each(check)
	}
}

// await returns the time until all entries pass a check, and fails if that takes longer than max.
func (r returnTest) await(max time.Duration, check func(id banyanplank.DaemonID) bool) (took time.Duration) {
	r.Helper()
	begun := time.Now()
	for _, d := range r.daemons {
		for !check(d.self.ID) && time.Since(begun) < max {
			time.Sleep(10 * time.Millisecond)
		}
	}
	took = time.Since(begun)
	r.each(check)
	return took
}

// isCurrent reports whether an entry has the state of the world.
func (r returnTest) isCurrent(id banyanplank.DaemonID) (ok bool) {
	return r.difference(id, r.world, true) == ""
}

// TestNewEraReachesAllEntries guards against entries that keep the state of before the store's
// return, or miss what is written after it, and against calls of every entry at once.
func TestNewEraReachesAllEntries(t *testing.T) {
	const short, moment, long = 0, 370 * time.Millisecond, 900 * time.Millisecond
	tests := map[string]struct {
		entries map[banyanplank.Zone]int
		outages []time.Duration
		step    time.Duration // between the phases of watches in which the store leaves
	}{
		"one": {map[banyanplank.Zone]int{"a": 1}, []time.Duration{short, moment, long}, 270 * time.Millisecond},
		"7":   {smallFleet, []time.Duration{short, moment, long}, 270 * time.Millisecond},
		"30":  {middleFleet, []time.Duration{short, moment, long}, 540 * time.Millisecond},
		"100": {largeFleet, []time.Duration{moment}, 540 * time.Millisecond},
	}
	for name, test := range tests {
		for _, outage := range test.outages {
			for delay := time.Duration(0); delay < time.Second; delay += test.step {
				t.Run(fmt.Sprintf("%s, %s after %s", name, outage, delay), func(t *testing.T) {
					playReturn(t, test.entries, func(r returnTest) {
						time.Sleep(delay)
						r.lose(20, outage)
						before := r.store.totalCalls()
						end := time.Now().Add(configurationBound)
						r.world.start("new")
						r.world.announceLeaving("x")
						r.world.configure()
						r.world.setZoneOut("b", true)
						took := r.await(configurationBound, func(id banyanplank.DaemonID) bool { return r.hasEra(id, 2) && r.isCurrent(id) })
						time.Sleep(time.Until(end))
						calls := r.store.totalCalls().since(before)
						t.Logf("%d entries: new era after %s, calls %+v", len(r.daemons), took, calls)
						// In each zone, one or two entries read each topic's new era, list it and
						// watch it twice, and once more after changes.
						const topics, watchers, callsPerTopic = 3, 2, 5
						if calls.full > topics*watchers*callsPerTopic*len(test.entries) || calls.cheap > (topics+1)*len(r.daemons) {
							t.Errorf("%+v calls", calls)
						}
					})
				})
			}
		}
	}
}

// TestConfigurationNeverGoesBack guards against a key that is accepted again after it was revoked,
// since the copy from which the store returned has it, and against a configuration that operators
// can't go back to.
func TestConfigurationNeverGoesBack(t *testing.T) {
	for name, entries := range map[string]map[banyanplank.Zone]int{"7": smallFleet, "30": middleFleet} {
		for _, outage := range []time.Duration{0, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", name, outage), func(t *testing.T) {
				playReturn(t, entries, func(r returnTest) {
					copied := r.start.Add(2 * time.Second) // version 1, with the key
					hasKey := func(id banyanplank.DaemonID) bool {
						return r.daemon(id).snapshot.Load().Router.Account(testKey) != nil
					}
					r.away(copied, outage, after(time.Hour))
					returned := time.Now()
					r.throughout(29*time.Second, func(id banyanplank.DaemonID) bool { return !hasKey(id) && r.version(id) == 2 })
					time.Sleep(time.Until(returned.Add(34 * time.Second)))
					r.each(func(id banyanplank.DaemonID) bool { return hasKey(id) && r.version(id) == 1 })
					// What operators write later replaces it.
					r.world.configure()
					time.Sleep(configurationBound)
					r.each(r.isCurrent)
				})
			})
		}
	}
}

// TestEndpointThatLeftStaysOut guards against calls to an endpoint that said that it leaves, or has
// ended, and that the copy from which the store returned lists as ready.
func TestEndpointThatLeftStaysOut(t *testing.T) {
	for name, entries := range map[string]map[banyanplank.Zone]int{"7": smallFleet, "30": middleFleet} {
		for _, outage := range []time.Duration{0, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", name, outage), func(t *testing.T) {
				playReturn(t, entries, func(r returnTest) {
					copied := time.Now()
					time.Sleep(time.Second)
					r.world.announceLeaving("x")
					r.world.announceLeaving("y")
					time.Sleep(2 * time.Second)
					r.world.end("y")
					time.Sleep(2 * time.Second)
					r.away(copied, outage, after(rewriteTime))
					r.throughout(5*time.Second, func(id banyanplank.DaemonID) bool {
						return !r.isUsable(id, "x") && !r.isUsable(id, "y") && r.isUsable(id, "z")
					})
					r.world.start("y")
					time.Sleep(configurationBound)
					r.each(r.isCurrent)
				})
			})
		}
	}
}

// TestListedEndpointIsUsedAgain guards against an endpoint that is lost for good since entries
// missed that it lives: the copy lists it, and it has nothing to write again.
func TestListedEndpointIsUsedAgain(t *testing.T) {
	playReturn(t, smallFleet, func(r returnTest) {
		copied, living := time.Now(), r.world.get(banyanplank.TopicBackends, "x")
		time.Sleep(time.Second)
		r.world.end("x")
		time.Sleep(2 * time.Second)
		r.world.set(banyanplank.TopicBackends, "x", living)
		r.world.returnFromCopy(copied, after(rewriteTime))
		time.Sleep(10 * time.Second)
		r.each(r.isCurrent)
	})
}

// TestNewEndpointHasTimeToReturn guards against an endpoint that gets no calls since the copy is
// older than its registration, and against one that is kept although it doesn't write again.
func TestNewEndpointHasTimeToReturn(t *testing.T) {
	for name, entries := range map[string]map[banyanplank.Zone]int{"7": smallFleet, "30": middleFleet} {
		for _, outage := range []time.Duration{0, 500 * time.Millisecond} {
			for _, writes := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, writes %t", name, outage, writes), func(t *testing.T) {
					playReturn(t, entries, func(r returnTest) {
						copied := time.Now()
						time.Sleep(time.Second)
						r.world.start("new")
						time.Sleep(2 * time.Second)
						delay := time.Hour
						if writes {
							delay = 1500 * time.Millisecond
						}
						r.away(copied, outage, after(delay))
						isUsable := func(id banyanplank.DaemonID) bool { return r.isUsable(id, "new") }
						r.throughout(1900*time.Millisecond, isUsable)
						time.Sleep(3 * time.Second)
						r.throughout(5*time.Second, func(id banyanplank.DaemonID) bool { return isUsable(id) == writes })
					})
				})
			}
		}
	}
}

// TestZoneOutStaysOutOverReturn guards against calls to a zone that was taken out of service after
// the copy was made, and against one that stays out for good although nobody writes that again.
func TestZoneOutStaysOutOverReturn(t *testing.T) {
	for name, entries := range map[string]map[banyanplank.Zone]int{"7": smallFleet, "30": middleFleet} {
		for _, outage := range []time.Duration{0, 500 * time.Millisecond} {
			for _, writes := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, writes %t", name, outage, writes), func(t *testing.T) {
					playReturn(t, entries, func(r returnTest) {
						copied := time.Now()
						time.Sleep(time.Second)
						r.world.setZoneOut("b", true)
						time.Sleep(2 * time.Second)
						delay := time.Hour
						if writes {
							delay = 1500 * time.Millisecond
						}
						r.away(copied, outage, after(delay))
						isOut := func(id banyanplank.DaemonID) bool { return r.isZoneOut(id, "b") }
						r.throughout(operatorsTime-time.Second, isOut)
						time.Sleep(4 * time.Second)
						r.throughout(5*time.Second, func(id banyanplank.DaemonID) bool { return isOut(id) == writes })
					})
				})
			}
		}
	}
}

// TestEntryCutOffLearnsNewEra guards against an entry that the store doesn't answer and that takes
// its peers' changes of a new era for old ones.
func TestEntryCutOffLearnsNewEra(t *testing.T) {
	tests := map[string][]banyanplank.DaemonID{
		"first of its zone":     {"a-1"},
		"last of its zone":      {"a-3"},
		"all of a zone":         {"a-1", "a-2", "a-3"},
		"all but one":           {"a-1", "a-2", "a-3", "b-1", "c-1", "c-2"},
		"those that watch":      {"a-1", "b-1", "c-1"},
		"second of their zones": {"a-2", "b-2", "c-2"},
	}
	for name, silent := range tests {
		for _, outage := range []time.Duration{0, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", name, outage), func(t *testing.T) {
				playReturn(t, smallFleet, func(r returnTest) {
					copied := time.Now()
					time.Sleep(time.Second)
					r.store.setSilent(silent...)
					time.Sleep(time.Second)
					for range 9 {
						r.world.configure()
					}
					time.Sleep(5 * time.Second)
					r.each(r.isCurrent)
					r.away(copied, outage, after(time.Second))
					r.world.start("new")
					r.world.announceLeaving("x")
					r.world.setZoneOut("b", true)
					took := r.await(5*time.Second, func(id banyanplank.DaemonID) bool { return r.hasEra(id, 2) && r.isCurrent(id) })
					t.Log(took)
					r.world.configure()
					time.Sleep(3 * time.Second)
					r.each(r.isCurrent)
				})
			})
		}
	}
}

// TestTwoReturnsWithinSecond guards against the state of a first copy that is kept when the store
// returns again, from another one or the same.
func TestTwoReturnsWithinSecond(t *testing.T) {
	for between := time.Duration(0); between < time.Second; between += 90 * time.Millisecond {
		for name, age := range map[string]time.Duration{"older": 4 * time.Second, "newer": time.Second, "the same": 2 * time.Second} {
			t.Run(fmt.Sprintf("%s, %s later", name, between), func(t *testing.T) {
				playReturn(t, smallFleet, func(r returnTest) {
					begun := time.Now()
					for range 5 {
						time.Sleep(time.Second)
						r.world.configure()
						r.world.start(banyanplank.BackendID(fmt.Sprint("new", time.Since(begun))))
					}
					r.away(begun.Add(2500*time.Millisecond), 100*time.Millisecond, after(rewriteTime/4))
					time.Sleep(between)
					r.away(begun.Add(4500*time.Millisecond-age), 0, after(rewriteTime/4))
					r.world.configure()
					r.world.announceLeaving("x")
					time.Sleep(configurationBound)
					r.each(func(id banyanplank.DaemonID) bool { return r.hasEra(id, 3) && r.isCurrent(id) })
				})
			})
		}
	}
}

// TestRevisionsGivenOutTwice guards against entries that go on from a position of before the
// store's return, behind changes that got its revisions anew before anybody watched again.
func TestRevisionsGivenOutTwice(t *testing.T) {
	for _, lost := range []int{0, 3, 300} {
		for _, written := range []int{0, 3, 300} {
			t.Run(fmt.Sprintf("%d lost, %d written", lost, written), func(t *testing.T) {
				playReturn(t, smallFleet, func(r returnTest) {
					r.lose(lost, 500*time.Millisecond)
					// No time passes until the last of these.
					r.world.configure()
					r.world.start("new")
					r.world.announceLeaving("x")
					r.world.setZoneOut("c", true)
					for i := range written {
						r.store.put("other", fmt.Sprint(i), i)
					}
					time.Sleep(configurationBound)
					r.each(func(id banyanplank.DaemonID) bool { return r.hasEra(id, 2) && r.isCurrent(id) })
				})
			})
		}
	}
}

// TestOlderBuildConfirmsNothing guards against an entry that doesn't ask the store since peers of an
// older build, which name no eras, confirm that there are no changes.
func TestOlderBuildConfirmsNothing(t *testing.T) {
	for name, newer := range map[string]map[banyanplank.DaemonID]bool{"alone": {}, "beside one that doesn't watch": {"c-2": true}} {
		t.Run(name, func(t *testing.T) {
			playReturn(t, smallFleet, func(r returnTest) {
				r.setAlter(func(_ banyanplank.DaemonID, beat *beater.Heartbeat) *beater.Heartbeat {
					if newer[beat.From] {
						return beat
					}
					older := *beat
					older.Positions = make(map[banyanplank.Topic]banyanplank.Position)
					for topic, position := range beat.Positions {
						older.Positions[topic] = banyanplank.Position{Revision: position.Revision}
					}
					return &older
				})
				time.Sleep(2 * time.Second)
				r.lose(20, 0)
				for range 5 {
					r.world.configure()
					r.world.setZoneOut("c", true)
					time.Sleep(configurationBound)
					r.each(r.isCurrent)
				}
			})
		})
	}
}
