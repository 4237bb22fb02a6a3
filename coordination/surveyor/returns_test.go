package surveyor

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/follower"
)

// goneEntry returns the discovery entry of an endpoint "x" that is no longer listed.
func goneEntry() banyanplank.DiscoveryItem { return banyanplank.DiscoveryItem{Key: "x"} }

// TestHeldEndpointEndsWithLaterList guards against calls to an endpoint that has ended: an older
// copy listed it, and a later list, of the same era or of another return, doesn't.
func TestHeldEndpointEndsWithLaterList(t *testing.T) {
	for name, era := range map[string]banyanplank.Era{"list of the same era": 2, "second return": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newModelDriver("e1")
			d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 100, true, bornEntry(startTime, false))))
			d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 101, false, goneEntry())))
			d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 3, true, bornEntry(startTime, false))))
			d.advance(time.Second)
			is.Equal(len(d.model.Snapshot().Backends), 0)
			d.update(eraMsg(era, topicMsg(banyanplank.TopicBackends, 9, true)))
			is.Equal(len(d.advance(time.Minute).Backends), 0)
		})
	}
}

// TestEarlierIncarnationOfGoneEndpoint guards against calls to an endpoint that has ended, because an
// older copy lists an incarnation before the one that left.
func TestEarlierIncarnationOfGoneEndpoint(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 100, true, bornEntry(startTime, false))))
	d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 101, false, bornEntry(startTime.Add(time.Second), false))))
	d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 102, false, goneEntry())))
	s := d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 3, true, bornEntry(startTime, false))))
	is.Equal(len(s.Backends), 0)
}

// TestHoldsOutlastAbsenceOfStore guards against an entry that goes back to the older copy because time
// has passed, while the store was away once more and nobody could write again.
func TestHoldsOutlastAbsenceOfStore(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	out := banyanplank.DiscoveryItem{Key: "a", Value: banyanplank.Zone("a")}
	d.update(eraMsg(1, topicMsg(banyanplank.TopicRouting, 100, true, tableEntry(7))))
	d.update(eraMsg(1, topicMsg(banyanplank.TopicZonesOut, 100, true, out)))
	d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 100, true, bornEntry(startTime, false))))
	d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 101, false, goneEntry())))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicRouting, 3, true, tableEntry(6))))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicZonesOut, 3, true)))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 3, true, bornEntry(startTime, false))))
	d.advance(time.Second)
	for _, topic := range []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicZonesOut, banyanplank.TopicBackends} {
		d.update(follower.LostMsg{Topic: topic, Err: errors.New("connection refused")})
	}
	check := func(s *Snapshot) {
		is.Helper()
		is.Equal(len(s.Backends), 0)
		is.Equal(s.Router.Table().Version, uint64(7))
		is.True(s.ZonesOut["a"])
	}
	check(d.advance(2 * tableHold))
	// The store is back in the same era. Nobody has written again yet.
	d.update(eraMsg(2, topicMsg(banyanplank.TopicRouting, 4, true, tableEntry(6))))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicZonesOut, 4, true)))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 4, true, bornEntry(startTime, false))))
	check(d.advance(TickInterval))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 5, false, goneEntry())))
	s := d.advance(tableHold)
	is.Equal(len(s.Backends), 0)
	is.Equal(s.Router.Table().Version, uint64(6))
	is.True(!s.ZonesOut["a"])
}

// TestLeavingOutlastsRepeatedLists guards against calls to an endpoint that said that it leaves, because
// the store goes on listing it as ready: the endpoint doesn't reach it to write that again.
func TestLeavingOutlastsRepeatedLists(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 100, true, bornEntry(startTime, false))))
	d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 101, false, bornEntry(startTime, true))))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 3, true, bornEntry(startTime, false))))
	is.True(d.advance(7 * time.Second).Backends[0].Leaving)
	s := d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 4, true, bornEntry(startTime, false))))
	is.True(s.Backends[0].Leaving)
}

// TestMissingEndpointOutlastsSecondAbsence guards against a service without endpoints, because they
// lapsed in a first absence of the store and a second one keeps them from registering again in time.
func TestMissingEndpointOutlastsSecondAbsence(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, 100, true, bornEntry(startTime, false))))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 3, true)))
	d.advance(2 * TickInterval)
	d.update(follower.LostMsg{Topic: banyanplank.TopicBackends, Err: errors.New("connection refused")})
	is.Equal(len(d.advance(5*time.Second).Backends), 1)
	d.update(eraMsg(3, topicMsg(banyanplank.TopicBackends, 3, true)))
	is.Equal(len(d.advance(time.Second).Backends), 1)
	is.Equal(len(d.advance(2*time.Second).Backends), 0) // still missing, so it is gone
}
