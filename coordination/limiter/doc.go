// Package limiter enforces the rate limit and the concurrency limit of each client
// account across all entries, without calls to the object store.
//
// Each entry enforces a share of the limit. An eighth of the limit is split
// evenly, so that an entry can always serve some requests without coordination.
// The rest is divided by demand: once per second, an entry reports the demand of
// an account above its even share to the two entries that own the account, and
// receives the demand at the other entries. Owners are chosen by rendezvous
// hashing over the live entries. Without a reply for 3 s the whole limit is split
// evenly.
//
//	l := limiter.New("entry-1")
//	l.Reconfigure(configuration, entries)
//	if err := l.Acquire(now, account); err != nil {
//		return err // a *banyanplank.Refusal
//	}
//	defer l.Release(account)
//
// Over any span the entries together admit at most the limit for the span, plus
// one second of it, plus one request per entry. At most the limit plus one request
// per entry is in flight. Each move of the demand between entries adds at most
// one second of the limit. In a network partition each entry may use the whole
// limit for up to 3 s.
package limiter
