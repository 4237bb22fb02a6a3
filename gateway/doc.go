// Package gateway is an entry that calls endpoints itself, for platforms whose
// endpoints have no agent. It matches a call to its route and client account,
// takes a place at an endpoint, sends the call with what the endpoint must know,
// and gives the caller the whole answer or a true account of what happened.
//
// A stream whose endpoint breaks off goes on at another one behind the last whole
// event. A call that must not be repeated is sent again only when nothing of it
// was sent.
package gateway
