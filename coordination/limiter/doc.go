// Package limiter holds the rate and the concurrency of each client account
// within its limits across all entries, without a call to the object store.
//
// Each entry enforces a share of the limit. An eighth is split evenly, so that
// an entry may always serve a little without telling anyone. The rest follows
// demand: once a second, an entry tells what an account wants above that to the
// two entries that count the account, and learns what the others want. The
// counting entries are found by a hash over the live entries. Without an answer
// for 3 s the whole limit is split evenly.
//
//	l := limiter.New("entry-1")
//	l.Renew(configuration, entries)
//	if err := l.Take(now, account); err != nil {
//		return err // a *banyanplank.Refusal
//	}
//	defer l.Give(account)
//
// Over any span the entries together admit at most the limit for the span,
// plus one second of it, plus one request for each entry. In flight are at most
// the limit and one more for each entry. Each time when the demand moves from
// entry to entry adds at most one second of the limit. When entries lose each
// other, each may go on for 3 s as if it were alone.
package limiter
