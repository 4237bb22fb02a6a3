// Package gateway implements an entry that calls endpoints directly, for
// platforms whose endpoints have no agent. It matches a call to its route and
// client account, acquires a slot at an endpoint, forwards the call with the
// header fields for the endpoint, and returns the whole response or an error
// that states whether the call may have run.
//
// A stream that breaks off resumes at another endpoint after the last whole
// event. A call that must not be repeated is resent only if no endpoint has run
// it.
package gateway
