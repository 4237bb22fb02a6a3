package verifier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// Transport is an [http.RoundTripper] that verifies responses. For a malformed one it closes the
// connection and returns [ErrMalformed]. Over TLS only [Verify] applies.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that sends requests with base. The caller must not use
// base any more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		netConn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: netConn}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		var isPlain bool
		if used, isPlain = info.Conn.(*conn); isPlain {
			used.expectResponse()
		}
	}}
	response, err = t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = Verify(response)
	if err == nil && used != nil {
		err = used.verify()
	}
	if err != nil {
		_ = response.Body.Close()
		// The connection of a response without a body is already idle, and could be reused.
		if used != nil {
			_ = used.Close()
		}
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use. [http.Client] calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// conn is a connection that scans the heads of responses. The transport reads from it in a
// goroutine of its own.
type conn struct {
	net.Conn
	mutex   sync.Mutex
	scanner Scanner
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scanner.Scan(p[:n])
	return n, err
}

// expectResponse starts the scan of the response to a new request.
func (c *conn) expectResponse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scanner = Scanner{}
}

// verify returns [ErrMalformed] unless a valid head has arrived since expectResponse.
func (c *conn) verify() (err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.scanner.IsDone() {
		return errors.Wrap(ErrMalformed, "sent before the request")
	}
	return c.scanner.Err()
}
