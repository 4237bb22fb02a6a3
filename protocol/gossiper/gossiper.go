// Package gossiper carries the messages of the spreader package between daemons
// over drpc. Unrecognized fields and records are ignored, so that daemons of
// different versions can communicate.
package gossiper

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/banyanplank/banyanplank/coordination/spreader"
)

// Peer handles Exchange and Fetch calls. [spreader.Spreader] implements it.
type Peer interface {
	Exchange(ctx context.Context, digest spreader.Digest) (reply spreader.Digest, err error)
	Fetch(request spreader.FetchRequest) (reply spreader.FetchReply)
}

// Register registers a service on mux that passes calls to peer.
func Register(mux drpc.Mux, peer Peer) (err error) {
	return DRPCRegisterGossiper(mux, &server{peer: peer})
}

// server implements [DRPCGossiperServer] on top of a [Peer].
type server struct {
	peer Peer
}

// Exchange implements [DRPCGossiperServer].
func (s *server) Exchange(ctx context.Context, message *Digest) (reply *Digest, err error) {
	digest, err := DecodeDigest(message)
	if err != nil {
		return nil, err
	}
	answer, err := s.peer.Exchange(ctx, digest)
	if err != nil {
		return nil, err
	}
	return EncodeDigest(answer), nil
}

// Fetch implements [DRPCGossiperServer].
func (s *server) Fetch(_ context.Context, message *FetchRequest) (reply *FetchReply, err error) {
	return EncodeFetchReply(s.peer.Fetch(DecodeFetchRequest(message))), nil
}

// Dial returns a connection to the peer at address. The caller closes it after
// use.
type Dial func(ctx context.Context, address netip.AddrPort) drpc.Conn

// Transport implements [spreader.Transport] over drpc.
type Transport struct {
	dial Dial
}

// NewTransport returns a transport that opens a connection with dial for every
// call.
func NewTransport(dial Dial) (t *Transport) {
	return &Transport{dial: dial}
}

// Exchange implements [spreader.Transport].
func (t *Transport) Exchange(ctx context.Context, to netip.AddrPort, digest spreader.Digest) (reply spreader.Digest, err error) {
	defer func() { err = errors.Wrapf(err, "exchange with %s", to) }()
	conn := t.dial(ctx, to)
	defer func() { _ = conn.Close() }()
	message, err := NewDRPCGossiperClient(conn).Exchange(ctx, EncodeDigest(digest))
	if err != nil {
		return spreader.Digest{}, err
	}
	return DecodeDigest(message)
}

// Fetch implements [spreader.Transport].
func (t *Transport) Fetch(ctx context.Context, from netip.AddrPort, request spreader.FetchRequest) (reply spreader.FetchReply, err error) {
	defer func() { err = errors.Wrapf(err, "fetch from %s", from) }()
	conn := t.dial(ctx, from)
	defer func() { _ = conn.Close() }()
	message, err := NewDRPCGossiperClient(conn).Fetch(ctx, EncodeFetchRequest(request))
	if err != nil {
		return spreader.FetchReply{}, err
	}
	return DecodeFetchReply(message), nil
}
