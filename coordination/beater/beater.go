package beater

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
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
	compose  func() (beat *Beat, peers []netip.AddrPort)
	hear     func(beat *Beat)
	fail     func(err error)
}

// New returns a beater on the datagram address. Compose is asked for each
// heartbeat and its receivers, hear gets those of the peers, and fail what
// could not be sent or read.
func New(address netip.AddrPort, compose func() (beat *Beat, peers []netip.AddrPort), hear func(beat *Beat), fail func(err error), options ...Option) *Beater {
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
		beat, peers := b.compose()
		text, err := encode(beat)
		if err != nil {
			b.fail(err)
		}
		for _, peer := range peers {
			if _, err := socket.WriteToUDPAddrPort(text, peer); err != nil && ctx.Err() == nil {
				b.fail(err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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
		beat, err := decode(buffer[:n])
		if err != nil {
			b.fail(err)
			continue
		}
		b.hear(beat)
	}
}
