package surveyor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/follower"
)

// newTwoEndpointDriver returns a driver of an entry that knows all topics and the endpoints x
// and y.
func newTwoEndpointDriver() (d *modelDriver) {
	d = newModelDriver("e1")
	d.update(topicMsg(banyanplank.TopicRouting, 1, true, tableEntry(1)))
	d.update(topicMsg(banyanplank.TopicZonesOut, 2, true))
	d.update(topicMsg(banyanplank.TopicBackends, 10, true, backendEntry("x", false), backendEntry("y", false)))
	return d
}

// TestRemovedBackendGetsNoGraceWithoutOutage guards against calls to an endpoint that has left,
// for the time in which endpoints may return after an outage, though none can have lapsed.
func TestRemovedBackendGetsNoGraceWithoutOutage(t *testing.T) {
	reply := func(d *modelDriver) { d.update(topicMsg(banyanplank.TopicZonesOut, 3, false)) }
	lose := func(d *modelDriver, topics ...banyanplank.Topic) {
		for _, topic := range topics {
			d.update(follower.LostMsg{Topic: topic})
		}
	}
	tests := map[string]func(d *modelDriver){
		"a watch is cut off": func(d *modelDriver) {
			lose(d, banyanplank.TopicBackends)
			d.advance(TickInterval)
		},
		"all watches are cut off": func(d *modelDriver) {
			lose(d, banyanplank.TopicRouting, banyanplank.TopicBackends, banyanplank.TopicZonesOut)
			d.advance(2 * TickInterval)
		},
		"cut off again and again": func(d *modelDriver) {
			for range 20 {
				lose(d, banyanplank.TopicBackends)
				d.advance(TickInterval)
				reply(d)
			}
		},
		"one topic is lost for long": func(d *modelDriver) {
			lose(d, banyanplank.TopicBackends)
			for range 10 {
				d.advance(time.Second)
				reply(d)
			}
		},
		"a short outage": func(d *modelDriver) {
			lose(d, banyanplank.TopicBackends, banyanplank.TopicZonesOut)
			d.advance(2 * time.Second)
		},
		"peers reach the platform": func(d *modelDriver) {
			lose(d, banyanplank.TopicBackends, banyanplank.TopicZonesOut)
			for range 10 {
				d.advance(time.Second)
				beat := heartbeat("e2", "b", true, false)
				beat.Heartbeat.ConfirmedAge = 900 * time.Millisecond
				d.update(beat)
			}
		},
		"this entry was paused": func(d *modelDriver) { d.now = d.now.Add(time.Minute) },
		"paused while a watch is cut off": func(d *modelDriver) {
			lose(d, banyanplank.TopicBackends)
			d.now = d.now.Add(time.Minute)
			d.advance(TickInterval)
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newTwoEndpointDriver()
			for range 5 {
				d.advance(time.Second)
				reply(d)
			}
			disturb(d)
			is.Equal(backendIDs(d.update(topicMsg(banyanplank.TopicBackends, 11, false, banyanplank.DiscoveryItem{Key: "y"}))), []string{"x"})
		})
	}
}

// TestLapsedBackendsMayReturnAfterOutage has the topic of the endpoints be one of the later ones
// to be regained after an outage. Guards against endpoints that are dropped because another
// reply has shown before that the platform is back.
func TestLapsedBackendsMayReturnAfterOutage(t *testing.T) {
	tests := map[string]func(d *modelDriver){
		"endpoints first":     func(*modelDriver) {},
		"another topic first": func(d *modelDriver) { d.update(topicMsg(banyanplank.TopicZonesOut, 3, false)) },
		"a peer first": func(d *modelDriver) {
			beat := heartbeat("e2", "b", true, false)
			beat.Heartbeat.ConfirmedAge = 50 * time.Millisecond
			d.update(beat)
		},
	}
	for name, regain := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newTwoEndpointDriver()
			d.losePlatform()
			regain(d)
			d.advance(TickInterval)
			s := d.update(topicMsg(banyanplank.TopicBackends, 11, true, backendEntry("x", false)))
			is.Equal(backendIDs(s), []string{"x", "y"})
			is.Equal(backendIDs(d.advance(reregisterGrace-3*TickInterval)), []string{"x", "y"})
			is.Equal(backendIDs(d.advance(3*TickInterval)), []string{"x"})
		})
	}
}
