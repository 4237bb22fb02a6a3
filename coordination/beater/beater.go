package beater

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/conc/pool"
)

// DefaultInterval is the default time between two heartbeats. It bounds the age
// of a peer's view of the calls in flight.
const DefaultInterval = 120 * time.Millisecond

// Option configures a [Beater].
type Option func(*Beater)

// WithInterval sets the time between two heartbeats. The default is
// [DefaultInterval].
func WithInterval(interval time.Duration) Option {
	return func(b *Beater) { b.interval = interval }
}

// Beater sends and receives heartbeats.
type Beater struct {
	address  netip.AddrPort
	interval time.Duration
	compose  ComposeFunc
	handle   func(heartbeat *Heartbeat)
	onError  func(err error)
	urgent   chan struct{}
}

// ComposeFunc returns the next heartbeat for peers in the sender's own zone
// (near) and the one for peers in other zones (far), with the addresses of the
// receivers of each.
type ComposeFunc func() (near, far *Heartbeat, peers, others []netip.AddrPort)

// New returns a beater that listens on the UDP address. compose provides each
// heartbeat and its receivers, handle receives the heartbeats of peers, and
// onError receives errors in sending and receiving.
func New(address netip.AddrPort, compose ComposeFunc, handle func(heartbeat *Heartbeat), onError func(err error), options ...Option) *Beater {
	b := &Beater{address: address, interval: DefaultInterval, compose: compose, handle: handle, onError: onError, urgent: make(chan struct{}, 1)}
	for _, option := range options {
		option(b)
	}
	return b
}

// SendNow sends the next heartbeat at once, before the interval has passed. It does not
// block.
func (b *Beater) SendNow() {
	select {
	case b.urgent <- struct{}{}:
	default:
	}
}

// Run sends and receives heartbeats until ctx ends. It returns an error only if
// it cannot listen on the address.
func (b *Beater) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "heartbeats") }()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address))
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	group := pool.New()
	group.Go(func() { b.receive(ctx, socket) })
	b.send(ctx, socket)
	group.Wait()
	return nil
}

// send sends heartbeats at every interval until ctx ends.
func (b *Beater) send(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(b.interval)
	defer ticker.Stop()
	for {
		near, far, peers, others := b.compose()
		b.sendTo(ctx, socket, near, peers)
		b.sendTo(ctx, socket, far, others)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.urgent:
		}
	}
}

// sendTo sends a heartbeat to the given peers.
func (b *Beater) sendTo(ctx context.Context, socket *net.UDPConn, heartbeat *Heartbeat, peers []netip.AddrPort) {
	if len(peers) == 0 {
		return
	}
	datagram, err := encode(heartbeat)
	if err != nil {
		b.onError(err)
		return
	}
	for _, peer := range peers {
		if _, err := socket.WriteToUDPAddrPort(datagram, peer); err != nil && ctx.Err() == nil {
			b.onError(err)
		}
	}
}

// receive handles datagrams until ctx ends.
func (b *Beater) receive(ctx context.Context, socket *net.UDPConn) {
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			b.onError(err)
			continue
		}
		if err := b.handleDatagram(buffer[:n]); err != nil {
			b.onError(err)
		}
	}
}

// handleDatagram decodes a heartbeat and passes it to handle. It returns an
// error for a malformed datagram and for a panic in handle, so that one bad
// heartbeat does not end the process.
func (b *Beater) handleDatagram(datagram []byte) (err error) {
	caught := panics.Try(func() {
		var heartbeat *Heartbeat
		if heartbeat, err = decode(datagram); err == nil {
			b.handle(heartbeat)
		}
	})
	if caught != nil {
		return errors.Wrap(caught.AsError(), "handle heartbeat")
	}
	return err
}
