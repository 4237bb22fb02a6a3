package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// mode determines what a proxy does with the data that it receives.
type mode int32

// The modes of a proxy.
const (
	// forward forwards all data.
	forward mode = iota
	// delay forwards all data after delayTime.
	delay
	// reset resets all connections.
	reset
	// dropToTarget drops the data sent to the target, and dropFromTarget the data received
	// from it. The connections stay open.
	dropToTarget
	dropFromTarget
)

// delayTime is the delay that a proxy in mode delay adds to each read.
const delayTime = 80 * time.Millisecond

// proxy forwards TCP connections to a target.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort
	mode     atomic.Int32
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	group    conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// newProxy listens on a loopback address until the proxy is closed.
func newProxy(target netip.AddrPort) (p *proxy, err error) {
	p = &proxy{target: target, conns: make(map[net.Conn]bool)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	p.group.Go(p.accept)
	return p, nil
}

// address returns the address on which the proxy listens.
func (p *proxy) address() (address netip.AddrPort) {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// setMode changes the mode. Mode reset also resets the open connections.
func (p *proxy) setMode(m mode) {
	p.mode.Store(int32(m))
	if m == reset {
		p.resetConnections()
	}
}

// close stops the proxy, resets its connections and waits for its goroutines.
func (p *proxy) close() {
	p.cancel()
	_ = p.listener.Close()
	p.resetConnections()
	p.group.Wait()
}

func (p *proxy) resetConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(client) })
	}
}

func (p *proxy) serve(client net.Conn) {
	defer p.untrack(client)
	if !p.track(client) {
		return
	}
	upstream, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		return
	}
	defer p.untrack(upstream)
	if !p.track(upstream) {
		return
	}
	var group conc.WaitGroup
	group.Go(func() { p.forward(upstream, client, dropToTarget) })
	group.Go(func() { p.forward(client, upstream, dropFromTarget) })
	group.Wait()
}

// track adds a connection, or returns false if connections are being reset.
func (p *proxy) track(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if mode(p.mode.Load()) == reset {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) untrack(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// forward forwards one direction of a connection, and drops its data in the given mode.
func (p *proxy) forward(to, from net.Conn, dropped mode) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		switch mode(p.mode.Load()) {
		case dropped:
			n = 0
		case delay:
			// An error means that the proxy is closing, which has closed both connections.
			_ = banyanplank.Sleep(p.ctx, delayTime)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && mode(p.mode.Load()) == dropped {
				holdOpen(to)
			}
			return
		}
	}
}

// holdOpen keeps a connection open for [holdOpenTime] although the other side has closed,
// because a proxy that drops data must not pass on the close either.
func holdOpen(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(holdOpenTime))
	_, _ = c.Read(make([]byte, 1))
}

// holdOpenTime is how long [holdOpen] keeps a connection open at most.
const holdOpenTime = 3 * time.Second
