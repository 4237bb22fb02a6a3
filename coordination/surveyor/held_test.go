package surveyor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/follower"
)

// eraMsg returns a message of an era of the store.
func eraMsg(era banyanplank.Era, msg follower.TopicMsg) follower.TopicMsg {
	msg.Position.Era = era
	return msg
}

// bornEntry returns the discovery entry of the incarnation of endpoint "x" that began at a time.
func bornEntry(born time.Time, leaving bool) (entry banyanplank.DiscoveryItem) {
	entry = backendEntry("x", leaving)
	backend := entry.Value.(banyanplank.Backend)
	backend.Born = born
	entry.Value = backend
	return entry
}

// TestTableAfterStoreReturnsOlder guards against changes of the configuration that are ignored
// after the store has returned from an older copy, until its revisions have risen to what they
// were, and against a copy that puts an older configuration in force.
func TestTableAfterStoreReturnsOlder(t *testing.T) {
	replaced := &banyanplank.RoutingTable{Version: 7, NeedsKey: true}
	tests := map[string]struct {
		msg  follower.TopicMsg
		want uint64
		// yielded is the version that is in force once operators had time to write again.
		yielded uint64
		// needsKey tells the two tables of version 7 apart.
		needsKey bool
	}{
		"newer version":             {msg: topicMsg(banyanplank.TopicRouting, 3, true, tableEntry(8)), want: 8, yielded: 8},
		"older version in the copy": {msg: topicMsg(banyanplank.TopicRouting, 3, true, tableEntry(6)), want: 7, yielded: 6},
		"written again":             {msg: topicMsg(banyanplank.TopicRouting, 3, true, tableEntry(7)), want: 7, yielded: 7},
		"same version, written anew": {
			msg:  topicMsg(banyanplank.TopicRouting, 3, true, banyanplank.DiscoveryItem{Key: "main", Value: replaced}),
			want: 7, yielded: 7, needsKey: true,
		},
		"no configuration in the copy": {msg: topicMsg(banyanplank.TopicRouting, 3, true), want: 7, yielded: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newModelDriver("e1")
			d.update(eraMsg(1, topicMsg(banyanplank.TopicRouting, 100, true, tableEntry(7))))
			s := d.update(eraMsg(2, test.msg))
			is.Equal(s.Router.Table().Version, test.want)
			is.Equal(s.Router.Table().NeedsKey, test.needsKey)
			is.Equal(s.Positions[banyanplank.TopicRouting], banyanplank.Position{Era: 2, Revision: 3})
			s = d.advance(tableHold - TickInterval)
			is.Equal(s.Router.Table().Version, test.want)
			s = d.advance(2 * TickInterval)
			is.Equal(s.Router.Table().Version, test.yielded)
			// A response of the old era that arrives late changes nothing.
			s = d.update(eraMsg(1, topicMsg(banyanplank.TopicRouting, 101, true, tableEntry(20))))
			is.Equal(s.Router.Table().Version, test.yielded)
			s = d.update(eraMsg(2, topicMsg(banyanplank.TopicRouting, 4, false, tableEntry(9))))
			is.Equal(s.Router.Table().Version, uint64(9))
		})
	}
}

// TestWrittenAgainTableEndsHold guards against an older configuration of the copy that comes into
// force although operators have written the newest one again.
func TestWrittenAgainTableEndsHold(t *testing.T) {
	is := is.New(t)
	d := newModelDriver("e1")
	d.update(eraMsg(1, topicMsg(banyanplank.TopicRouting, 100, true, tableEntry(7))))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicRouting, 3, true, tableEntry(5))))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicRouting, 4, false, tableEntry(6))))
	d.update(eraMsg(2, topicMsg(banyanplank.TopicRouting, 5, false, tableEntry(7))))
	s := d.advance(2 * tableHold)
	is.Equal(s.Router.Table().Version, uint64(7))
}

// TestBackendsAfterStoreReturnsOlder guards against calls to an endpoint that has left or said
// that it leaves, because an older copy of the store has it as ready, and against an endpoint that
// is lost because the copy is older than it.
func TestBackendsAfterStoreReturnsOlder(t *testing.T) {
	born, reborn := startTime, startTime.Add(time.Minute)
	const ready, leaving, gone = "ready", "leaving", "gone"
	tests := map[string]struct {
		// before are the states of the old era, and after those of the new one, of which the
		// first is the list.
		before, after []banyanplank.DiscoveryItem
		// want is the state right after the return, later that when all holds have ended.
		want, later string
	}{
		"leaving, ready in the copy":        {items(bornEntry(born, false), bornEntry(born, true)), items(bornEntry(born, false)), leaving, leaving},
		"leaving, then a new incarnation":   {items(bornEntry(born, true)), items(bornEntry(born, false), bornEntry(reborn, false)), ready, ready},
		"gone, ready in the copy":           {items(bornEntry(born, false), banyanplank.DiscoveryItem{Key: "x"}), items(bornEntry(born, false)), gone, ready},
		"gone, lapses from the copy":        {items(bornEntry(born, false), banyanplank.DiscoveryItem{Key: "x"}), items(bornEntry(born, false), banyanplank.DiscoveryItem{Key: "x"}), gone, gone},
		"gone, writes again":                {items(bornEntry(born, false), banyanplank.DiscoveryItem{Key: "x"}), items(bornEntry(born, false), bornEntry(born, false)), ready, ready},
		"gone, a new incarnation is listed": {items(bornEntry(born, false), banyanplank.DiscoveryItem{Key: "x"}), items(bornEntry(reborn, false)), ready, ready},
		"earlier incarnation in the copy":   {items(bornEntry(reborn, false)), items(bornEntry(born, true)), ready, gone},
		"earlier one, the later one writes": {items(bornEntry(reborn, false)), items(bornEntry(born, true), bornEntry(reborn, false)), ready, ready},
		"gone, earlier incarnation listed":  {items(bornEntry(reborn, false), banyanplank.DiscoveryItem{Key: "x"}), items(bornEntry(born, false), banyanplank.DiscoveryItem{Key: "x"}), gone, gone},
		"missing from the copy":             {items(bornEntry(born, false)), items(), ready, gone},
		"missing, registers again":          {items(bornEntry(born, false)), items(nothing, bornEntry(born, false)), ready, ready},
		"leaving, missing from the copy":    {items(bornEntry(born, true)), items(), gone, gone},
	}
	state := func(s *Snapshot) string {
		switch {
		case len(s.Backends) == 0:
			return gone
		case s.Backends[0].Leaving:
			return leaving
		}
		return ready
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newModelDriver("e1")
			for i, entry := range test.before {
				d.update(eraMsg(1, topicMsg(banyanplank.TopicBackends, banyanplank.Version(100+i), i == 0, entry)))
			}
			d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, 3, true, present(test.after, 0)...)))
			for i := 1; i < len(test.after); i++ {
				d.update(eraMsg(2, topicMsg(banyanplank.TopicBackends, banyanplank.Version(3+i), false, test.after[i])))
			}
			is.Equal(state(d.model.Snapshot()), test.want)
			is.Equal(state(d.advance(10*time.Second)), test.later)
		})
	}
}

// nothing represents an empty list.
var nothing = banyanplank.DiscoveryItem{}

// items returns its arguments.
func items(entries ...banyanplank.DiscoveryItem) []banyanplank.DiscoveryItem { return entries }

// present returns the list that consists of the entry with an index, if there is one.
func present(entries []banyanplank.DiscoveryItem, index int) []banyanplank.DiscoveryItem {
	if len(entries) <= index || entries[index] == nothing {
		return nil
	}
	return entries[index : index+1]
}

// TestZonesOutAfterStoreReturnsOlder guards against calls to a zone out of service because an
// older copy of the store doesn't have that, and against a zone that stays out for good.
func TestZonesOutAfterStoreReturnsOlder(t *testing.T) {
	out := banyanplank.DiscoveryItem{Key: "a", Value: banyanplank.Zone("a")}
	back := banyanplank.DiscoveryItem{Key: "a"}
	tests := map[string]struct {
		before, after []banyanplank.DiscoveryItem
		want, later   bool
	}{
		"out, not in the copy":            {items(out), items(nothing), true, false},
		"out, written again":              {items(out), items(nothing, out), true, true},
		"out, written and taken back":     {items(out), items(nothing, out, back), false, false},
		"back, out in the copy":           {items(out, back), items(out), true, true},
		"back, out in the copy, deleted":  {items(out, back), items(out, back), false, false},
		"never out, not in the copy":      {items(back), items(nothing), false, false},
		"out, and in the copy":            {items(out), items(out), true, true},
		"out, in the copy and taken back": {items(out), items(out, back), false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newModelDriver("e1")
			for i, entry := range test.before {
				d.update(eraMsg(1, topicMsg(banyanplank.TopicZonesOut, banyanplank.Version(100+i), i == 0, entry)))
			}
			s := d.update(eraMsg(2, topicMsg(banyanplank.TopicZonesOut, 3, true, present(test.after, 0)...)))
			for i := 1; i < len(test.after); i++ {
				s = d.update(eraMsg(2, topicMsg(banyanplank.TopicZonesOut, banyanplank.Version(3+i), false, test.after[i])))
			}
			is.Equal(s.ZonesOut["a"], test.want)
			is.Equal(d.advance(zoneHold + time.Second).ZonesOut["a"], test.later)
		})
	}
}
