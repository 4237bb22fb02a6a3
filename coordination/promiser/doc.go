// Package promiser decides when a refused call should come back, and recognizes the calls
// that return with such a promise at any entry.
//
// A part of the capacity of a service is kept free for returning calls. All entries divide
// it without messages: time is cut into frames, and the slots of a frame are dealt to the
// entries in turn, by their positions in the sorted list of entries. An entry promises each
// of its slots at most once. Heartbeats carry the promises to the other entries, and tell
// which of them were used.
//
//	p := promiser.New(promiser.WithEntries(liveEntries))
//	p.SetRoom(now, service, callsPerSecond)
//	after, kept := p.Promise(now, promiser.Request{Service: service, Key: key, TimeLeft: left})
//	...
//	isReturning := p.Redeem(now, service, key)
//
// The package opens no connection and starts no goroutine. All times are arguments.
package promiser
