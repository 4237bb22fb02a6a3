// Package invoker is the HTTP client with which an agent calls its endpoint.
package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/transport/verifier"
)

// The HTTP header fields of requests to an endpoint and of its responses.
const (
	// HeaderAttempt is the attempt id, which [Invoker.Cancel] refers to.
	HeaderAttempt = "X-Request-Id"
	// HeaderOffset is the number of parts after which the engine resumes.
	HeaderOffset = "X-Resume-Offset"
	// HeaderPriority is the priority at the engine. Larger values go first.
	HeaderPriority = "X-Request-Priority"
	// HeaderOutcome in a response states that the endpoint did not run the
	// request. A status does not prove it: a service may run a request and
	// respond with 503.
	HeaderOutcome = "X-Outcome"
)

const dialTimeout = 2 * time.Second

// controlTimeout limits each call for a report, an order or a cancellation.
const controlTimeout = 2 * time.Second

// Invoker is a [banyanplank.Endpoint] over HTTP.
type Invoker struct {
	baseURL string
	// pooled keeps connections alive. Its transport may resend a request on
	// another connection if the first one breaks before any response.
	pooled *http.Client
	// fresh opens one connection per request. On a new connection net/http
	// never sends a request twice.
	fresh *http.Client
}

// New returns an invoker of the endpoint at baseURL, such as
// "http://127.0.0.1:8000".
func New(baseURL string) *Invoker {
	return &Invoker{
		baseURL: baseURL,
		pooled:  &http.Client{Transport: newTransport(false)},
		fresh:   &http.Client{Transport: newTransport(true)},
	}
}

func newTransport(fresh bool) *verifier.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return verifier.NewTransport(&http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  fresh,
		DisableCompression: true,
		MaxIdleConns:       256,
		// The agent connects only to its endpoint, so all idle connections are
		// to one host.
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
	})
}

// Run implements [banyanplank.Endpoint]. The error is a [*banyanplank.Refusal]
// if the request was certainly not run.
func (i *Invoker) Run(ctx context.Context, request *banyanplank.Request) (answer banyanplank.Answer, err error) {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, i.baseURL+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, newNotRun(banyanplank.ReasonInvalid, err)
	}
	outgoing.Header = request.Header.Clone()
	if outgoing.Header == nil {
		outgoing.Header = make(http.Header)
	}
	outgoing.Header.Set(HeaderAttempt, string(request.Attempt))
	outgoing.Header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	if request.Offset > 0 {
		outgoing.Header.Set(HeaderOffset, strconv.FormatUint(request.Offset, 10))
	}
	client := i.pooled
	if request.AtMostOnce {
		client = i.fresh
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return nil, classifyError(err)
	}
	if response.Header.Get(HeaderOutcome) == string(banyanplank.NotRun) {
		return nil, readRefusal(response)
	}
	return newAnswer(response, request.Offset), nil
}

// classifyError returns a refusal for a dial error, since nothing was sent.
// After any other error the request may have run.
func classifyError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return newNotRun(banyanplank.ReasonEndpoint, err)
	}
	return errors.Wrap(err, "call endpoint")
}

// readRefusal converts the response of an endpoint that did not run the request.
func readRefusal(response *http.Response) error {
	defer response.Body.Close()
	refusal := newNotRun(banyanplank.ReasonOverload, errors.New("endpoint refused the request"))
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}

func newNotRun(reason banyanplank.Reason, err error) *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  reason,
		Detail:  err.Error(),
	}
}

// newAnswer returns the answer for the content type of response.
func newAnswer(response *http.Response, offset uint64) banyanplank.Answer {
	contentType := response.Header.Get("Content-Type")
	head := banyanplank.Head{Status: response.StatusCode, Type: contentType}
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err == nil && mediaType == "text/event-stream" {
		return newEventAnswer(head, response.Body, offset)
	}
	return &bodyAnswer{head: head, body: response.Body, offset: offset}
}

// Cancel implements [banyanplank.Endpoint].
func (i *Invoker) Cancel(ctx context.Context, attempt banyanplank.AttemptID) (err error) {
	return i.callAdmin(ctx, http.MethodDelete, "/admin/attempts/"+string(attempt), nil, nil)
}

// Report implements [banyanplank.Endpoint].
func (i *Invoker) Report(ctx context.Context) (report banyanplank.EndpointReport, err error) {
	err = i.callAdmin(ctx, http.MethodGet, "/admin/report", nil, &report)
	return report, err
}

// ErrFenced means that the endpoint has received a newer fencing number.
var ErrFenced = errors.New("endpoint refused an old fencing number")

// Order implements [banyanplank.Endpoint]. The error is [ErrFenced] if the
// endpoint checks fencing numbers and has received a newer one.
func (i *Invoker) Order(ctx context.Context, order banyanplank.Order) (err error) {
	return i.callAdmin(ctx, http.MethodPost, "/admin/orders", order, nil)
}

// callAdmin makes an administrative call. It encodes in as JSON and decodes the
// response into out; either may be nil.
func (i *Invoker) callAdmin(ctx context.Context, method, path string, in, out any) (err error) {
	defer func() { err = errors.Wrapf(err, "endpoint %s %s", method, path) }()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, i.baseURL+path, &body)
	if err != nil {
		return err
	}
	response, err := i.pooled.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusConflict:
		return ErrFenced
	case response.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("status %d", response.StatusCode)
	case out == nil:
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(out)
}

const maxReportBytes = 1 << 20
