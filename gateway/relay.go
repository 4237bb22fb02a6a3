package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/surveyor"
	"github.com/banyanplank/banyanplank/transport/verifier"
)

// Limits on the exchange of topics between entries.
const (
	// relayTimeout bounds a request to a peer, which responds from memory.
	relayTimeout = 500 * time.Millisecond
	// maxTopicBytes bounds the response of a peer.
	maxTopicBytes = 8 << 20
	// maxTopicResponses bounds the responses that are written at once, as each is encoded
	// in memory, and topicWriteTimeout the time for one that is not read.
	maxTopicResponses = 4
	topicWriteTimeout = time.Second
)

// topicState is the state of one topic as an entry sends it to a peer. Only the
// fields of that topic are set.
type topicState struct {
	banyanplank.Position
	Table    *banyanplank.RoutingTable `json:"table,omitempty"`
	Backends []banyanplank.Backend     `json:"backends,omitempty"`
	Out      []banyanplank.Zone        `json:"out,omitempty"`
	// What this entry holds back against an older copy of the store. The receiver holds it as
	// well: when this entry yields to the store, its position stays.
	HeldTable    *banyanplank.RoutingTable `json:"heldtable,omitempty"`
	HeldBackends []banyanplank.Backend     `json:"heldbackends,omitempty"`
	HeldOut      []banyanplank.Zone        `json:"heldout,omitempty"`
}

// entries returns the state as entries of the topic.
func (s *topicState) entries(topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem) {
	switch topic {
	case banyanplank.TopicRouting:
		if s.Table != nil {
			entries = append(entries, banyanplank.DiscoveryItem{Key: "peer", Value: s.Table})
		}
		if s.HeldTable != nil {
			entries = append(entries, banyanplank.DiscoveryItem{Key: "peer", Value: s.HeldTable, IsHeld: true})
		}
	case banyanplank.TopicBackends:
		for _, b := range s.Backends {
			entries = append(entries, banyanplank.DiscoveryItem{Key: string(b.ID), Value: b})
		}
		for _, b := range s.HeldBackends {
			entries = append(entries, banyanplank.DiscoveryItem{Key: string(b.ID), Value: b, IsHeld: true})
		}
	case banyanplank.TopicZonesOut:
		for _, zone := range s.Out {
			entries = append(entries, banyanplank.DiscoveryItem{Key: string(zone), Value: zone})
		}
		for _, zone := range s.HeldOut {
			entries = append(entries, banyanplank.DiscoveryItem{Key: string(zone), Value: zone, IsHeld: true})
		}
	}
	return entries
}

// relay serves the topics of this entry to its peers, and reads topics from peers
// while the platform rejects this entry.
type relay struct {
	snapshot func() *surveyor.Snapshot
	client   *http.Client
	// usage is nil unless requests are counted.
	usage *usage
	mutex sync.Mutex
	// newest is the peer with the latest position of each topic.
	newest map[banyanplank.Topic]peerPosition
}

// peerPosition is the position of a topic that a peer has.
type peerPosition struct {
	peer     netip.AddrPort
	position banyanplank.Position
}

// newRelay returns a relay that serves the snapshots of this entry.
func newRelay(snapshot func() *surveyor.Snapshot) *relay {
	return &relay{
		snapshot: snapshot,
		client:   &http.Client{Timeout: relayTimeout, Transport: verifier.NewTransport(http.DefaultTransport.(*http.Transport).Clone())},
		newest:   make(map[banyanplank.Topic]peerPosition),
	}
}

// handler returns the HTTP handler for peers.
func (r *relay) handler() http.Handler {
	router := httprouter.New()
	slots := make(chan struct{}, maxTopicResponses)
	router.GET("/v1/topics/:topic", func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		// An error means that the connection is closed, which the next write reports.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(topicWriteTimeout))
		snapshot, topic := r.snapshot(), banyanplank.Topic(params.ByName("topic"))
		position, known := snapshot.Positions[topic]
		if !known || snapshot.Router == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		state := topicState{Position: position}
		switch topic {
		case banyanplank.TopicRouting:
			state.Table, state.HeldTable = snapshot.Router.Table(), snapshot.Held.Table
		case banyanplank.TopicBackends:
			// A peer that got a missing endpoint would not learn that it has left: that
			// change is not later than the position.
			for _, b := range snapshot.Backends {
				if !snapshot.Missing[b.ID] {
					state.Backends = append(state.Backends, b)
				}
			}
			state.HeldBackends = snapshot.Held.Backends
		case banyanplank.TopicZonesOut:
			for zone := range snapshot.ZonesOut {
				if snapshot.Held.ZonesOut[zone] {
					state.HeldOut = append(state.HeldOut, zone)
				} else {
					state.Out = append(state.Out, zone)
				}
			}
		default:
			w.WriteHeader(http.StatusNotFound)
			return
		}
		// An error means that the peer has closed the connection.
		_ = json.NewEncoder(w).Encode(&state)
	})
	if r.usage != nil {
		r.usage.register(router)
	}
	return router
}

// recordPositions records the topic positions of a peer where they are the latest
// known.
func (r *relay) recordPositions(peer netip.AddrPort, positions map[banyanplank.Topic]banyanplank.Position) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for topic, position := range positions {
		if !position.IsBefore(r.newest[topic].position) {
			r.newest[topic] = peerPosition{peer: peer, position: position}
		}
	}
}

// forgetPosition forgets a position that its peer didn't have when it was asked. Peers repeat theirs
// in their heartbeats.
func (r *relay) forgetPosition(topic banyanplank.Topic, source peerPosition) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.newest[topic] == source {
		delete(r.newest, topic)
	}
}

// FetchTopic implements follower.Peers.
func (r *relay) FetchTopic(ctx context.Context, topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	defer func() { err = errors.Wrapf(err, "request topic %s from peer", topic) }()
	r.mutex.Lock()
	source := r.newest[topic]
	r.mutex.Unlock()
	isBusy := false
	defer func() {
		if !isBusy && (err != nil || position.IsBefore(source.position)) {
			r.forgetPosition(topic, source)
		}
	}()
	if !source.peer.IsValid() {
		return nil, position, errors.New("no peer has reported a revision of the topic")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.peer.String()+"/v1/topics/"+string(topic), nil)
	if err != nil {
		return nil, position, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, position, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		isBusy = response.StatusCode == http.StatusServiceUnavailable
		return nil, position, errors.Newf("peer responded with status %d", response.StatusCode)
	}
	var state topicState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxTopicBytes)).Decode(&state); err != nil {
		return nil, position, err
	}
	return state.entries(topic), state.Position, nil
}
