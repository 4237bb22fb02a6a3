package gateway

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/router"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
)

// TestTopicsAreReadFromNewestPeer guards against an entry that reads stale topics
// while the platform rejects it. It must read them from the peer with the highest
// revision.
func TestTopicsAreReadFromNewestPeer(t *testing.T) {
	is := is.New(t)
	table := &banyanplank.RoutingTable{
		Version:  7,
		Routes:   []banyanplank.RouteSpec{{Name: "r", Host: "h", Prefix: "/", Kind: banyanplank.RouteStream, Timeout: time.Second, Splits: []banyanplank.Split{{Service: "s", Weight: 2}}}},
		Pools:    []banyanplank.PoolSpec{{Name: "s", Engine: &banyanplank.EngineSpec{Slots: 3}}},
		Accounts: []banyanplank.AccountSpec{{Name: "himal", KeyDigest: "k", Priority: -1}},
	}
	backend := banyanplank.Backend{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: true, Born: time.UnixMilli(5).UTC()}
	snapshot := &surveyor.Snapshot{
		Router: router.New(table), Backends: []banyanplank.Backend{backend}, ZonesOut: map[banyanplank.Zone]bool{"a": true},
		Positions: map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Revision: 20}, banyanplank.TopicBackends: {Revision: 21}, banyanplank.TopicZonesOut: {Revision: 22}},
	}
	server := httptest.NewServer(newRelay(func() *surveyor.Snapshot { return snapshot }).handler())
	defer server.Close()
	peer := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	asking := newRelay(func() *surveyor.Snapshot { return &surveyor.Snapshot{} })

	_, _, err := asking.FetchTopic(t.Context(), banyanplank.TopicRouting)
	is.True(err != nil) // no peer is known
	asking.recordPositions(netip.MustParseAddrPort("127.0.0.1:1"), map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Revision: 3}})
	asking.recordPositions(peer, snapshot.Positions)
	asking.recordPositions(netip.MustParseAddrPort("127.0.0.1:1"), map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Revision: 3}})

	entries, position, err := asking.FetchTopic(t.Context(), banyanplank.TopicRouting)
	is.NoErr(err)
	is.Equal(position, banyanplank.Position{Revision: 20})
	is.Equal(entries, []banyanplank.DiscoveryItem{{Key: "peer", Value: table}})
	entries, _, err = asking.FetchTopic(t.Context(), banyanplank.TopicBackends)
	is.NoErr(err)
	is.Equal(entries, []banyanplank.DiscoveryItem{{Key: "i-1", Value: backend}})
	entries, _, err = asking.FetchTopic(t.Context(), banyanplank.TopicZonesOut)
	is.NoErr(err)
	is.Equal(entries, []banyanplank.DiscoveryItem{{Key: "a", Value: banyanplank.Zone("a")}})
}

// TestEntryWithoutRoutesRelaysNoTopics guards against an entry without routes that
// serves empty topics to its peers.
func TestEntryWithoutRoutesRelaysNoTopics(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(newRelay(func() *surveyor.Snapshot { return &surveyor.Snapshot{} }).handler())
	defer server.Close()
	asking := newRelay(nil)
	asking.recordPositions(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicRouting: {Revision: 3}})
	_, _, err := asking.FetchTopic(t.Context(), banyanplank.TopicRouting)
	is.True(err != nil)
}

// TestRelayServesNoListOfEntries guards against an entry that takes the topics that its peers don't
// serve for empty ones. It would register again, and forget which entries the platform lists.
func TestRelayServesNoListOfEntries(t *testing.T) {
	is := is.New(t)
	snapshot := &surveyor.Snapshot{
		Router:    router.New(&banyanplank.RoutingTable{Version: 1}),
		Positions: map[banyanplank.Topic]banyanplank.Position{banyanplank.TopicMembers: {Era: 2, Revision: 9}},
	}
	server := httptest.NewServer(newRelay(func() *surveyor.Snapshot { return snapshot }).handler())
	defer server.Close()
	asking := newRelay(nil)
	asking.recordPositions(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), snapshot.Positions)
	entries, _, err := asking.FetchTopic(t.Context(), banyanplank.TopicMembers)
	is.True(err != nil)
	is.Equal(len(entries), 0)
}
