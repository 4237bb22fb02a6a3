// Package beater exchanges heartbeats between the entries of a system over
// datagrams. A heartbeat tells that its sender lives, what it has in flight and
// how far it knows the platform's topics.
package beater

import (
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Beat is one heartbeat.
type Beat struct {
	From        banyanplank.DaemonID    `json:"from"`
	Incarnation banyanplank.Incarnation `json:"incarnation"`
	Sequence    uint64                  `json:"sequence"`
	Zone        banyanplank.Zone        `json:"zone"`
	Peer        netip.AddrPort          `json:"peer"`
	Caller      netip.AddrPort          `json:"caller"`
	// Ready tells that the sender takes new callers.
	Ready bool `json:"ready"`
	// Blind tells that the sender can't follow the platform's topics.
	Blind bool `json:"blind,omitempty"`
	// Watches tells that the sender watches the platform's topics for others.
	Watches bool `json:"watches,omitempty"`
	// InFlight counts the sender's calls by endpoint.
	InFlight map[banyanplank.BackendID]int `json:"calls,omitempty"`
	// Slow lists the endpoints that hold up their group of ranks, as the entry
	// that leads has found.
	Slow []banyanplank.BackendID `json:"slow,omitempty"`
	// Revisions tells up to where the sender knows changes of each topic.
	Revisions map[banyanplank.Topic]banyanplank.Version `json:"revisions,omitempty"`
}

// maxBeat is the longest heartbeat in bytes.
const maxBeat = 16 << 10

// encode returns the datagram of a heartbeat.
func encode(beat *Beat) (text []byte, err error) {
	text, err = json.Marshal(beat)
	if err == nil && len(text) > maxBeat {
		return nil, errors.Newf("heartbeat of %d bytes, at most %d fit", len(text), maxBeat)
	}
	return text, err
}

// decode reads a datagram.
func decode(text []byte) (beat *Beat, err error) {
	defer func() { err = errors.Wrap(err, "decode heartbeat") }()
	beat = &Beat{}
	if err := json.Unmarshal(text, beat); err != nil {
		return nil, err
	}
	if beat.From == "" || !beat.Peer.IsValid() {
		return nil, errors.New("no sender")
	}
	return beat, nil
}
