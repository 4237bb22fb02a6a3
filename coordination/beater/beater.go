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

// DefaultInterval is the time between two heartbeats. Peers work with what the
// last one said, so it bounds how old their view of the calls in flight is.
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
	compose  Compose
	hear     func(beat *Beat)
	fail     func(err error)
}

// Compose returns the next heartbeat for the peers in the own zone and the one for
// those in other zones, and the addresses of both.
type Compose func() (near, far *Beat, peers, others []netip.AddrPort)

// New returns a beater on the datagram address. Compose is asked for each
// heartbeat and its receivers, hear gets those of the peers, and fail what
// could not be sent or read.
func New(address netip.AddrPort, compose Compose, hear func(beat *Beat), fail func(err error), options ...Option) *Beater {
	b := &Beater{address: address, interval: DefaultInterval, compose: compose, hear: hear, fail: fail}
	for _, option := range options {
		option(b)
	}
	return b
}

// Run sends and receives until ctx ends.
func (b *Beater) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "heartbeats") }()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address))
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	work := pool.New()
	work.Go(func() { b.receive(ctx, socket) })
	b.send(ctx, socket)
	work.Wait()
	return nil
}

// send sends a heartbeat at every interval.
func (b *Beater) send(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(b.interval)
	defer ticker.Stop()
	for {
		near, far, peers, others := b.compose()
		b.tell(ctx, socket, near, peers)
		b.tell(ctx, socket, far, others)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tell sends a heartbeat to some peers.
func (b *Beater) tell(ctx context.Context, socket *net.UDPConn, beat *Beat, peers []netip.AddrPort) {
	if len(peers) == 0 {
		return
	}
	text, err := encode(beat)
	if err != nil {
		b.fail(err)
		return
	}
	for _, peer := range peers {
		if _, err := socket.WriteToUDPAddrPort(text, peer); err != nil && ctx.Err() == nil {
			b.fail(err)
		}
	}
}

// receive reads heartbeats until the socket is closed.
func (b *Beater) receive(ctx context.Context, socket *net.UDPConn) {
	buffer := make([]byte, maxBeat)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			b.fail(err)
			continue
		}
		if err := b.take(buffer[:n]); err != nil {
			b.fail(err)
		}
	}
}

// take hands on a heartbeat. One that can't be read, or that is not expected, is an
// error and ends nothing.
func (b *Beater) take(text []byte) (err error) {
	caught := panics.Try(func() {
		var beat *Beat
		if beat, err = decode(text); err == nil {
			b.hear(beat)
		}
	})
	if caught != nil {
		return errors.Wrap(caught.AsError(), "take heartbeat")
	}
	return err
}
