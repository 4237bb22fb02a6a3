// Package storer is the HTTP client of the platform's object API and instance
// list.
//
//	s, err := storer.New("http://10.0.0.9:8080", storer.WithKey(key))
//	object, err := s.Get(ctx, "configuration/root")
//
// If a write fails with [banyanplank.ErrUncertain], it may have taken effect.
// After any other error it did not.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/transport/verifier"
)

var (
	_ banyanplank.ObjectStore  = (*Storer)(nil)
	_ banyanplank.InstanceList = (*Storer)(nil)
)

const (
	defaultTimeout      = 5 * time.Second
	defaultWatchWait    = 5 * time.Second
	maxIdleConnsPerHost = 16
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 64 << 20
	// maxErrorTextBytes bounds the part of an error reply that is quoted in errors.
	maxErrorTextBytes = 256
)

// Storer is a client of one platform. It is safe for concurrent use.
type Storer struct {
	base      *url.URL
	key       string
	client    *http.Client
	timeout   time.Duration
	watchWait time.Duration
}

// Option configures a [Storer].
type Option func(*Storer)

// WithKey sends key as a bearer token. Use it if the platform authenticates its
// clients. By default no token is sent.
func WithKey(key string) Option {
	return func(s *Storer) { s.key = key }
}

// WithTimeout limits the duration of each call except watches. Use a longer
// timeout if the platform is slow rather than down. The default is 5 s.
func WithTimeout(timeout time.Duration) Option {
	return func(s *Storer) { s.timeout = timeout }
}

// WithWait asks the platform to end each watch after wait without a change. A
// watch without a reply after wait plus the timeout fails, since its connection
// counts as dead. A longer wait saves calls, a shorter one detects dead
// connections sooner. The default is 5 s.
func WithWait(wait time.Duration) Option {
	return func(s *Storer) { s.watchWait = wait }
}

// WithTransport sets the HTTP transport. Use it for TLS settings or in tests. Wrap it
// with [verifier.NewTransport] to reject malformed replies. By default each client has its
// own transport, without a proxy, that does.
func WithTransport(transport http.RoundTripper) Option {
	return func(s *Storer) { s.client.Transport = transport }
}

// New returns a client of the platform at address. It returns an error if address
// is not an http or https URL with a host.
func New(address string, options ...Option) (s *Storer, err error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "platform address")
	}
	if base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, errors.Newf("platform address %q is not an http or https URL", address)
	}
	s = &Storer{
		base:      base,
		client:    &http.Client{Transport: newTransport(), CheckRedirect: refuseRedirect},
		timeout:   defaultTimeout,
		watchWait: defaultWatchWait,
	}
	for _, option := range options {
		option(s)
	}
	return s, nil
}

// newTransport returns a transport that uses no proxy.
func newTransport() (transport *verifier.Transport) {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.Proxy = nil
	base.MaxIdleConnsPerHost = maxIdleConnsPerHost
	return verifier.NewTransport(base)
}

// refuseRedirect makes the HTTP client return a redirect as the reply.
func refuseRedirect(*http.Request, []*http.Request) (err error) {
	return http.ErrUseLastResponse
}

// Get implements [banyanplank.ObjectStore].
func (s *Storer) Get(ctx context.Context, name string) (object banyanplank.Object, err error) {
	defer func() { err = errors.Wrapf(err, "get object %q", name) }()
	r, err := s.send(ctx, s.timeout, call{method: http.MethodGet, path: objectPath(name)})
	if err != nil {
		return banyanplank.Object{}, err
	}
	version, err := ParseETag(r.header.Get("ETag"))
	if err != nil {
		return banyanplank.Object{}, errors.Mark(err, banyanplank.ErrUnavailable)
	}
	return banyanplank.Object{Name: name, Version: version, Value: r.body}, nil
}

// Put implements [banyanplank.ObjectStore].
func (s *Storer) Put(ctx context.Context, name string, value []byte, expect banyanplank.Version) (position banyanplank.Position, err error) {
	defer func() { err = errors.Wrapf(err, "put object %q", name) }()
	if len(value) > banyanplank.MaxValueBytes {
		return position, errors.Wrapf(banyanplank.ErrTooLarge, "%d bytes", len(value))
	}
	r, err := s.send(ctx, s.timeout, call{method: http.MethodPut, path: objectPath(name), body: value, expect: expect})
	if err != nil {
		return position, err
	}
	version, err := ParseETag(r.header.Get("ETag"))
	return banyanplank.Position{Revision: version}, markNonNil(err, banyanplank.ErrUncertain)
}

// Delete implements [banyanplank.ObjectStore].
func (s *Storer) Delete(ctx context.Context, name string, expect banyanplank.Version) (err error) {
	defer func() { err = errors.Wrapf(err, "delete object %q", name) }()
	_, err = s.send(ctx, s.timeout, call{method: http.MethodDelete, path: objectPath(name), expect: expect})
	return err
}

// List implements [banyanplank.ObjectStore].
func (s *Storer) List(ctx context.Context, prefix string) (objects []banyanplank.Object, err error) {
	defer func() { err = errors.Wrapf(err, "list objects %q", prefix) }()
	query := url.Values{"prefix": {prefix}}
	var listing Listing
	err = s.readJSON(ctx, s.timeout, call{method: http.MethodGet, path: "/v1/list", query: query}, &listing)
	return listing.objects(), err
}

// Watch implements [banyanplank.ObjectStore].
func (s *Storer) Watch(ctx context.Context, prefix string, after banyanplank.Position) (objects []banyanplank.Object, err error) {
	defer func() { err = errors.Wrapf(err, "watch objects %q", prefix) }()
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after.Revision), 10)},
		"wait":   {s.watchWait.String()},
	}
	var listing Listing
	err = s.readJSON(ctx, s.watchWait+s.timeout, call{method: http.MethodGet, path: "/v1/watch", query: query}, &listing)
	return listing.objects(), err
}

// Instances implements [banyanplank.InstanceList].
func (s *Storer) Instances(ctx context.Context) (instances []banyanplank.Instance, err error) {
	defer func() { err = errors.Wrap(err, "list instances") }()
	var listing InstanceListing
	err = s.readJSON(ctx, s.timeout, call{method: http.MethodGet, path: "/v1/instances"}, &listing)
	return listing.Instances, err
}

// readJSON sends a call and decodes its JSON reply.
func (s *Storer) readJSON(ctx context.Context, timeout time.Duration, c call, reply any) (err error) {
	r, err := s.send(ctx, timeout, c)
	if err != nil {
		return err
	}
	return markNonNil(json.Unmarshal(r.body, reply), banyanplank.ErrUnavailable)
}

// call describes a call to the platform. For writes, expect is the version that
// the object must have, or zero if it must not exist.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	expect banyanplank.Version
}

// isWrite reports whether the call may change an object.
func (c call) isWrite() (write bool) {
	return c.method != http.MethodGet
}

// result is the successful reply to a call.
type result struct {
	header http.Header
	body   []byte
}

// send sends a call and reads its reply. Its errors match one of the errors of
// [banyanplank.ObjectStore].
func (s *Storer) send(ctx context.Context, timeout time.Duration, c call) (r result, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := s.newRequest(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		return result{}, errors.Mark(err, banyanplank.ErrUnavailable)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return result{}, errors.Mark(err, classifyFailure(c, connected.Load()))
	}
	defer response.Body.Close()
	body, err := readBody(response.Body)
	if response.StatusCode/100 != 2 {
		return result{}, statusError(c, response.StatusCode, body)
	}
	if err != nil && !c.isWrite() {
		return result{}, errors.Mark(err, banyanplank.ErrUnavailable)
	}
	return result{header: response.Header, body: body}, nil
}

// newRequest returns the HTTP request of a call.
func (s *Storer) newRequest(ctx context.Context, c call) (request *http.Request, err error) {
	target := strings.TrimSuffix(s.base.String(), "/") + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	request, err = http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	if s.key != "" {
		request.Header.Set("Authorization", "Bearer "+s.key)
	}
	if c.isWrite() && c.expect == 0 {
		request.Header.Set("If-None-Match", "*")
	}
	if c.isWrite() && c.expect != 0 {
		request.Header.Set("If-Match", ETag(c.expect))
	}
	return request, nil
}

// objectPath returns the URL path of an object. Slashes in its name are not
// escaped.
func objectPath(name string) (path string) {
	return "/v1/objects/" + strings.ReplaceAll(url.PathEscape(name), "%2F", "/")
}

// readBody reads a reply of up to maxReplyBytes.
func readBody(body io.Reader) (data []byte, err error) {
	data, err = io.ReadAll(io.LimitReader(body, maxReplyBytes+1))
	if err == nil && len(data) > maxReplyBytes {
		return nil, errors.Newf("reply is longer than %d bytes", maxReplyBytes)
	}
	return data, err
}

// classifyFailure returns the error class of a call without a reply. A write may
// have taken effect once a connection existed.
func classifyFailure(c call, connected bool) (class error) {
	if c.isWrite() && connected {
		return banyanplank.ErrUncertain
	}
	return banyanplank.ErrUnavailable
}

// statusError returns the error for a reply whose status is not a success.
func statusError(c call, status int, body []byte) (err error) {
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorTextBytes)]))
	err = errors.Wrapf(statusClass(c, status), "status %d %q", status, text)
	if status == http.StatusUnauthorized || status == http.StatusForbidden {
		err = errors.Mark(err, banyanplank.ErrDenied)
	}
	return err
}

// statusClass returns the error class of a status.
func statusClass(c call, status int) (class error) {
	switch {
	case status == http.StatusNotFound:
		return banyanplank.ErrNotFound
	case status == http.StatusPreconditionFailed:
		return banyanplank.ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return banyanplank.ErrTooLarge
	case status == http.StatusServiceUnavailable:
		return banyanplank.ErrUnavailable
	case status >= http.StatusInternalServerError && c.isWrite():
		return banyanplank.ErrUncertain
	default:
		return banyanplank.ErrUnavailable
	}
}

// markNonNil marks err, unless it is nil, so that [errors.Is] matches class.
func markNonNil(err, class error) (marked error) {
	if err == nil {
		return nil
	}
	return errors.Mark(err, class)
}
