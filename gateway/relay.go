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
)

// The limits on what entries tell each other of the platform's topics.
const (
	// relayTimeout bounds a call to a peer, which answers from memory.
	relayTimeout = 500 * time.Millisecond
	// maxRelayed bounds an answer in bytes.
	maxRelayed = 8 << 20
)

// relayed is what an entry tells a peer of one topic. Only the fields of the topic
// are set.
type relayed struct {
	Revision banyanplank.Version       `json:"revision"`
	Table    *banyanplank.RoutingTable `json:"table,omitempty"`
	Backends []banyanplank.Backend     `json:"backends,omitempty"`
	Out      []banyanplank.Zone        `json:"out,omitempty"`
}

// entries returns what was told as entries of the topic.
func (r *relayed) entries(topic banyanplank.Topic) (entries []banyanplank.Listed) {
	switch topic {
	case banyanplank.TopicRouting:
		if r.Table != nil {
			entries = append(entries, banyanplank.Listed{Key: "peer", Value: r.Table})
		}
	case banyanplank.TopicBackends:
		for _, b := range r.Backends {
			entries = append(entries, banyanplank.Listed{Key: string(b.ID), Value: b})
		}
	case banyanplank.TopicZonesOut:
		for _, zone := range r.Out {
			entries = append(entries, banyanplank.Listed{Key: string(zone), Value: zone})
		}
	}
	return entries
}

// relay tells peers what this entry knows of the platform's topics, and asks them
// while the platform turns this entry away.
type relay struct {
	view   func() *surveyor.Snapshot
	client *http.Client
	mutex  sync.Mutex
	// ahead is the peer that knows most of each topic.
	ahead map[banyanplank.Topic]knowing
}

// knowing is up to where a peer knows a topic.
type knowing struct {
	peer     netip.AddrPort
	revision banyanplank.Version
}

// newRelay returns a relay of what view returns.
func newRelay(view func() *surveyor.Snapshot) *relay {
	return &relay{
		view:   view,
		client: &http.Client{Timeout: relayTimeout},
		ahead:  make(map[banyanplank.Topic]knowing),
	}
}

// handler answers peers.
func (r *relay) handler() http.Handler {
	router := httprouter.New()
	router.GET("/v1/topics/:topic", func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		snapshot, topic := r.view(), banyanplank.Topic(params.ByName("topic"))
		revision, known := snapshot.Revisions[topic]
		if !known || snapshot.Router == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer := relayed{Revision: revision}
		switch topic {
		case banyanplank.TopicRouting:
			answer.Table = snapshot.Router.Table()
		case banyanplank.TopicBackends:
			answer.Backends = snapshot.Backends
		case banyanplank.TopicZonesOut:
			for zone := range snapshot.Out {
				answer.Out = append(answer.Out, zone)
			}
		}
		// An error means that the peer is gone.
		_ = json.NewEncoder(w).Encode(&answer)
	})
	return router
}

// hear notes up to where a peer knows the topics.
func (r *relay) hear(peer netip.AddrPort, revisions map[banyanplank.Topic]banyanplank.Version) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for topic, revision := range revisions {
		if revision >= r.ahead[topic].revision {
			r.ahead[topic] = knowing{peer: peer, revision: revision}
		}
	}
}

// Ask implements follower.Peers.
func (r *relay) Ask(ctx context.Context, topic banyanplank.Topic) (entries []banyanplank.Listed, revision banyanplank.Version, err error) {
	defer func() { err = errors.Wrapf(err, "ask peers for %s", topic) }()
	r.mutex.Lock()
	from := r.ahead[topic]
	r.mutex.Unlock()
	if !from.peer.IsValid() {
		return nil, 0, errors.New("no peer knows the topic")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.peer.String()+"/v1/topics/"+string(topic), nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, errors.Newf("peer answers with status %d", response.StatusCode)
	}
	var answer relayed
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRelayed)).Decode(&answer); err != nil {
		return nil, 0, err
	}
	return answer.entries(topic), answer.Revision, nil
}
