package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Usage is what one entry tells the others of an account that wants more than
// its even share there. Encoded it takes at most 24 bytes and the name.
type Usage struct {
	Account banyanplank.AccountID
	// Rate is the wanted requests a second above the even share.
	Rate float64
	// Running is the wanted requests in flight above the even share.
	Running float64
}

// The bounds of what entries tell each other.
const (
	// mostUsages bounds the accounts in one report.
	mostUsages = 32
	// freshTime is how long a peer's report counts.
	freshTime = 3 * time.Second
)

// peer is what another entry reported last.
type peer struct {
	heard  time.Time
	usages []Usage
}

// Report returns what the other entries should know, the largest first. Call
// it once for each round of messages to the peers: what it returns counts as
// told.
func (l *Limiter) Report(now time.Time) (usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	wants := l.scratch[:0]
	for id, a := range l.accounts {
		a.told = wanted{}
		if w := l.wanted(now, a); w.rate > 0 || w.running > 0 {
			wants = append(wants, Usage{Account: id, Rate: w.rate, Running: w.running})
		}
	}
	slices.SortFunc(wants, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Rate+y.Running, x.Rate+x.Running), cmp.Compare(x.Account, y.Account))
	})
	l.scratch = wants
	usages = slices.Clone(wants[:min(len(wants), mostUsages)])
	for _, u := range usages {
		l.accounts[u.Account].told = wanted{rate: u.Rate, running: u.Running}
	}
	return usages
}

// Observe takes in the report of another entry.
func (l *Limiter) Observe(now time.Time, entry banyanplank.DaemonID, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry == l.entry {
		return
	}
	p := l.peers[entry]
	if p == nil {
		p = &peer{}
		l.peers[entry] = p
	}
	l.add(p.usages, -1)
	p.heard = now
	p.usages = slices.Clone(usages[:min(len(usages), mostUsages)])
	l.add(p.usages, 1)
}

// add adds usages, times sign, to what the peers want in all.
func (l *Limiter) add(usages []Usage, sign float64) {
	for _, u := range usages {
		w := l.others[u.Account]
		w.rate += sign * u.Rate
		w.running += sign * u.Running
		if w.rate < leastWanted && w.running < leastWanted {
			delete(l.others, u.Account)
			continue
		}
		l.others[u.Account] = w
	}
}

// leastWanted is below any real demand, to absorb the errors of sums.
const leastWanted = 1e-6

// expire forgets the peers that have not been heard of.
func (l *Limiter) expire(now time.Time) {
	if now.Sub(l.expired) < freshTime/4 {
		return
	}
	l.expired = now
	l.heard = 0
	for id, p := range l.peers {
		if now.Sub(p.heard) > freshTime {
			l.add(p.usages, -1)
			delete(l.peers, id)
			continue
		}
		l.heard++
	}
}
