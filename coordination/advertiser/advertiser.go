// Package advertiser chooses which entries a caller should use.
//
// Each caller ranks the entries by a hash of its own name with theirs
// (rendezvous hashing). Callers spread evenly, and a change of one entry moves
// only the callers that use it.
package advertiser

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// Defaults of an [Advertiser].
const (
	// DefaultCount is the number of entries in an answer.
	DefaultCount = 3
	// DefaultKeep is how long a caller may keep an answer.
	DefaultKeep = 5 * time.Second
)

// Advertiser chooses entries. It keeps no state, so all entries that agree on
// the members give the same answers.
type Advertiser struct {
	count int
	keep  time.Duration
}

// Option configures an [Advertiser].
type Option func(*Advertiser)

// WithCount names at most count entries in an answer. Use more when callers can
// try several before they ask again. The default is [DefaultCount].
func WithCount(count int) Option {
	return func(a *Advertiser) { a.count = count }
}

// WithKeep lets callers keep an answer for so long. An entry that leaves goes
// on serving for this time, so it bounds drains and the end of work in an
// availability zone. The default is [DefaultKeep].
func WithKeep(keep time.Duration) Option {
	return func(a *Advertiser) { a.keep = keep }
}

// New returns an advertiser.
//
//	entries := advertiser.New().Advertise("himal/10.0.0.7", members, configuration.IsZoneOut)
func New(options ...Option) (a *Advertiser) {
	a = &Advertiser{count: DefaultCount, keep: DefaultKeep}
	for _, option := range options {
		option(a)
	}
	return a
}

// Keep returns how long a caller may keep an answer.
func (a *Advertiser) Keep() (keep time.Duration) { return a.keep }

// ranked is an entry with the caller's hash for it.
type ranked struct {
	member banyanplank.Member
	hash   uint64
}

// Advertise returns the entries for the caller called name, best first. They
// are live and in availability zones in service, and as many zones as possible
// are among them, so that a caller whose zone fails has another at hand.
func (a *Advertiser) Advertise(name string, members []banyanplank.Member, isZoneOut func(banyanplank.Zone) bool) (entries []banyanplank.Member) {
	candidates := rank(name, members, isZoneOut)
	used := map[banyanplank.Zone]int{}
	for depth := 0; len(entries) < min(a.count, len(candidates)); depth++ {
		for _, c := range candidates {
			if len(entries) == a.count {
				break
			}
			if used[c.member.Zone] == depth && !slices.Contains(entries, c.member) {
				used[c.member.Zone]++
				entries = append(entries, c.member)
			}
		}
	}
	return entries
}

// rank returns the entries in service in the caller's order.
func rank(name string, members []banyanplank.Member, isZoneOut func(banyanplank.Zone) bool) (candidates []ranked) {
	for _, m := range members {
		if m.Role != banyanplank.RoleEntry || m.State != banyanplank.MemberLive || isZoneOut(m.Zone) {
			continue
		}
		candidates = append(candidates, ranked{member: m, hash: xxhash.Sum64String(name + "\x00" + string(m.ID))})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		if order := cmp.Compare(a.hash, b.hash); order != 0 {
			return order
		}
		return cmp.Compare(a.member.ID, b.member.ID)
	})
	return candidates
}
