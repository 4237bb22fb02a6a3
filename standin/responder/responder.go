// Package responder is a stand-in for a server that responds with bytes of the test's
// choice, such as a response that HTTP doesn't allow.
package responder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/sourcegraph/conc"
)

// Responder responds to every request with the same bytes. It keeps connections open, so
// that a client can't tell the end of a response from the end of the connection.
type Responder struct {
	listener net.Listener
	text     string
	work     conc.WaitGroup
	mutex    sync.Mutex
	conns    []net.Conn
}

// Start starts a responder on a free loopback port. Close it.
func Start(text string) (r *Responder, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r = &Responder{listener: listener, text: text}
	r.work.Go(r.accept)
	return r, nil
}

// Address returns the address at which the responder listens.
func (r *Responder) Address() (address netip.AddrPort) {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes all connections and waits until the responder has ended.
func (r *Responder) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.mutex.Unlock()
	r.work.Wait()
}

func (r *Responder) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.conns = append(r.conns, conn)
		r.mutex.Unlock()
		r.work.Go(func() { r.respond(conn) })
	}
}

// respond responds to the requests on a connection until the client closes it.
func (r *Responder) respond(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, r.text); err != nil {
			return
		}
	}
}
