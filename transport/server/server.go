package server

import (
	"context"
	"net"
	"net/http"
	"time"
)

// maxHeaderBytes is the limit of the HTTP library, above those of the limiter.
const maxHeaderBytes = 16 << 20

// connKey is the context key of the connection of a request.
type connKey struct{}

// Bounds on the time to write a response, which a client may not read. Handlers may set
// another one for each response.
const (
	writeTimeout      = 2 * time.Minute
	shortWriteTimeout = 5 * time.Second
)

// New returns a server for handler whose connections the limiter bounds. Serve it with the
// listener that [Limiter.Listen] returns. A connection is not closed for room from the end
// of a request until its response is written, unless the handler calls
// [Limiter.AllowClose].
func (l *Limiter) New(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        l.observe(handler),
		MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout:   writeTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if limited, ok := c.(*conn); ok && state == http.StateIdle {
				l.endRequest(limited)
			}
		},
	}
}

// NewShort is like New, for short responses that may be cut off: their connections may be
// closed for room once the handler has returned.
func (l *Limiter) NewShort(handler http.Handler) *http.Server {
	s := l.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer l.AllowClose(r.Context())
		handler.ServeHTTP(w, r)
	}))
	s.WriteTimeout = shortWriteTimeout
	return s
}

// observe returns a handler that records the progress of requests.
func (l *Limiter) observe(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil {
			hasBody := r.Body != nil && r.Body != http.NoBody
			if !l.beginRequest(c, len(r.Header), hasBody) {
				// Nobody can receive the response, so the request must not run.
				panic(http.ErrAbortHandler)
			}
			if hasBody {
				r = newObservedRequest(r, c)
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// observedRequest is a request and its body in one allocation.
type observedRequest struct {
	http.Request
	body body
}

// newObservedRequest returns a copy of r whose body the limiter counts. The server must keep the
// original body in r: it decides by its type whether a response has to wait for the rest of the
// body, which a client with Expect: 100-continue does not send before the response.
func newObservedRequest(r *http.Request, c *conn) *http.Request {
	observed := &observedRequest{Request: *r, body: body{ReadCloser: r.Body, conn: c}}
	observed.Body = &observed.body
	return &observed.Request
}

// connOf returns the connection of the request with ctx, or nil.
func connOf(ctx context.Context) (c *conn) {
	c, _ = ctx.Value(connKey{}).(*conn)
	return c
}

// Listen listens on a TCP address.
func (l *Limiter) Listen(address string) (listener net.Listener, err error) {
	if listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	return &limitedListener{listener, l}, nil
}

// limitedListener returns only connections that the limiter accepts.
type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (accepted net.Conn, err error) {
	for {
		rwc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.limiter.add(rwc); ok {
			return c, nil
		}
		_ = rwc.Close()
	}
}
