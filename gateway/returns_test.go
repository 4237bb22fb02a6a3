package gateway

import (
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/state/follower"
	"github.com/banyanplank/banyanplank/transport/logger"
)

// TestHoldsEndAtEntriesThatAskPeers guards against entries that don't watch and keep the state from
// before a return of the store for good: they have it from a peer that held it for some seconds.
func TestHoldsEndAtEntriesThatAskPeers(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	endpoint := banyanplank.DiscoveryItem{Key: "x", Value: banyanplank.Backend{ID: "x", Service: "chat", Born: now}}
	out := banyanplank.DiscoveryItem{Key: "a", Value: banyanplank.Zone("a")}
	table := func(version uint64) banyanplank.DiscoveryItem {
		return banyanplank.DiscoveryItem{Key: "main", Value: &banyanplank.RoutingTable{Version: version}}
	}
	watching := surveyor.NewModel(banyanplank.Member{ID: "e1", Zone: "a", Incarnation: 1})
	asking := surveyor.NewModel(banyanplank.Member{ID: "e2", Zone: "a", Incarnation: 1})
	update := func(model *surveyor.Model, era banyanplank.Era, revision banyanplank.Version, topic banyanplank.Topic, whole bool, entries ...banyanplank.DiscoveryItem) {
		model.Update(now, follower.TopicMsg{Topic: topic, Position: banyanplank.Position{Era: era, Revision: revision}, IsFullList: whole, Entries: entries, RequestedAt: now})
	}
	topics := []banyanplank.Topic{banyanplank.TopicRouting, banyanplank.TopicZonesOut, banyanplank.TopicBackends}
	for _, model := range []*surveyor.Model{watching, asking} {
		update(model, 1, 100, topics[0], true, table(7))
		update(model, 1, 100, topics[1], true, out)
		update(model, 1, 100, topics[2], true, endpoint)
		// The endpoint lapses in the old era, by mistake.
		update(model, 1, 101, topics[2], false, banyanplank.DiscoveryItem{Key: "x"})
	}
	update(watching, 2, 3, topics[0], true, table(6))
	update(watching, 2, 3, topics[1], true)
	update(watching, 2, 3, topics[2], true, endpoint)

	server := httptest.NewServer(newRelay(watching.Snapshot).handler())
	defer server.Close()
	peers := newRelay(nil)
	peers.recordPositions(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), watching.Snapshot().Positions)
	for _, topic := range topics {
		entries, position, err := peers.FetchTopic(t.Context(), topic)
		is.NoErr(err)
		asking.Update(now, follower.TopicMsg{Topic: topic, Entries: entries, Position: position, IsFullList: true, Relayed: true, RequestedAt: now})
	}
	for range 200 {
		now = now.Add(surveyor.TickInterval)
		watching.Update(now, banyanplank.TickMsg{})
		asking.Update(now, banyanplank.TickMsg{})
	}
	for _, model := range []*surveyor.Model{watching, asking} {
		s := model.Snapshot()
		is.Equal(s.Router.Table().Version, uint64(6))
		is.Equal(len(s.ZonesOut), 0)
		is.Equal(len(s.Backends), 1)
	}
}

// TestPositionThatNoPeerHasIsForgotten guards against an entry that asks one peer for good, because a
// malformed heartbeat named a position that no peer has.
func TestPositionThatNoPeerHasIsForgotten(t *testing.T) {
	model := surveyor.NewModel(banyanplank.Member{ID: "e1", Zone: "a", Incarnation: 1})
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	model.Update(now, follower.TopicMsg{Topic: banyanplank.TopicRouting, Position: banyanplank.Position{Era: 2, Revision: 5}, IsFullList: true,
		Entries: []banyanplank.DiscoveryItem{{Key: "main", Value: &banyanplank.RoutingTable{Version: 7}}}, RequestedAt: now})
	server := httptest.NewServer(newRelay(model.Snapshot).handler())
	defer server.Close()
	sound := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	for name, malformed := range map[string]netip.AddrPort{"peer that ended": netip.MustParseAddrPort("127.0.0.1:1"), "sound peer": sound} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peers := newRelay(nil)
			peers.recordPositions(malformed, map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Era: 1 << 62, Revision: 1}})
			_, _, _ = peers.FetchTopic(t.Context(), banyanplank.TopicRouting)
			peers.recordPositions(sound, model.Snapshot().Positions)
			_, position, err := peers.FetchTopic(t.Context(), banyanplank.TopicRouting)
			is.NoErr(err)
			is.Equal(position, banyanplank.Position{Era: 2, Revision: 5})
			is.Equal(peers.newest[banyanplank.TopicRouting].position, position)
		})
	}
}

// TestPeerOfLatestEraIsAsked guards against topics of an older era, because a peer that hasn't
// heard of the return of the store has a higher revision.
func TestPeerOfLatestEraIsAsked(t *testing.T) {
	is := is.New(t)
	behind, ahead := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	r := newRelay(nil)
	for range 2 {
		r.recordPositions(behind, map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Era: 1, Revision: 300}})
		r.recordPositions(ahead, map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Era: 2, Revision: 3}})
	}
	r.recordPositions(behind, map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Era: 1, Revision: 301}})
	is.Equal(r.newest[banyanplank.TopicRouting].peer, ahead)
}

// TestConfirmationsNeedEras guards against an entry that trusts an older build, which can't name
// changes of the store's era, that there are none.
func TestConfirmationsNeedEras(t *testing.T) {
	positions := func(era banyanplank.Era) map[banyanplank.Topic]banyanplank.Position {
		return map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Era: era, Revision: 9}}
	}
	tests := map[string]struct {
		era       banyanplank.Era
		positions map[banyanplank.Topic]banyanplank.Position
		want      bool
	}{
		"store without eras":     {positions: positions(0), want: true},
		"older build":            {era: 2, positions: positions(0)},
		"peer that names an era": {era: 2, positions: positions(2), want: true},
		"lean heartbeat":         {era: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &Daemon{}
			d.era.latest.Store(uint64(test.era))
			is.Equal(d.knowsEras(&beater.Heartbeat{Positions: test.positions}), test.want)
		})
	}
}

// TestEraNeverFalls guards against an era on the metrics that is lower than the latest one, because
// responses of two eras arrived together.
func TestEraNeverFalls(t *testing.T) {
	is := is.New(t)
	d := New(Settings{}, nil, nil, nil, nil, logger.New(io.Discard))
	d.RecordEra(2, 3)
	d.RecordEra(1, 2)
	is.Equal(d.era.latest.Load(), uint64(3))
}
