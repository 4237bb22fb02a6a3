package verifier

import "net/http"

// Transport is an [http.RoundTripper] whose responses are verified. If one is malformed, the
// error is [ErrMalformed] and the connection is closed.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that sends requests with base. The caller must not use
// base any more.
func NewTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	response, err = t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Verify(response); err != nil {
		// The body has not been read, so this closes the connection.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use. [http.Client] calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
