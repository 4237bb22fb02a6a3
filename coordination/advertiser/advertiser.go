// Package advertiser chooses the entries that a caller should use.
//
// The entries are ranked for each caller by a hash of the caller's name and the
// entry's ID (rendezvous hashing). Callers are distributed evenly, and a change
// of one entry moves only the callers that use it.
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
	// DefaultCount is the largest number of entries in an answer.
	DefaultCount = 3
	// DefaultTTL is how long a caller may cache an answer.
	DefaultTTL = 5 * time.Second
)

// Advertiser chooses entries for callers. It is stateless, so all entries that
// agree on the members return the same answers.
type Advertiser struct {
	count int
	ttl   time.Duration
}

// Option configures an [Advertiser].
type Option func(*Advertiser)

// WithCount sets the largest number of entries in an answer. Raise it if callers
// can try several entries before they ask again. The default is [DefaultCount].
func WithCount(count int) Option {
	return func(a *Advertiser) { a.count = count }
}

// WithTTL sets how long callers may cache an answer. An entry that leaves must
// serve for at least this time, which thus delays drains and the end of work in
// an availability zone. The default is [DefaultTTL].
func WithTTL(ttl time.Duration) Option {
	return func(a *Advertiser) { a.ttl = ttl }
}

// New returns an advertiser with the options applied.
//
//	entries := advertiser.New().Advertise("himal/10.0.0.7", members, configuration.IsZoneOut)
func New(options ...Option) (a *Advertiser) {
	a = &Advertiser{count: DefaultCount, ttl: DefaultTTL}
	for _, option := range options {
		option(a)
	}
	return a
}

// TTL returns how long a caller may cache an answer.
func (a *Advertiser) TTL() (ttl time.Duration) { return a.ttl }

// candidate is an entry with its hash for one caller.
type candidate struct {
	member banyanplank.Member
	hash   uint64
}

// Advertise returns the entries for the named caller, the preferred one first.
// All are live and in availability zones in service. They cover as many zones as
// possible, so that a caller can fail over to another zone.
func (a *Advertiser) Advertise(name string, members []banyanplank.Member, isZoneOut func(banyanplank.Zone) bool) (entries []banyanplank.Member) {
	candidates := rankEntries(name, members, isZoneOut)
	chosenInZone := map[banyanplank.Zone]int{}
	for perZone := 0; len(entries) < min(a.count, len(candidates)); perZone++ {
		for _, c := range candidates {
			if len(entries) == a.count {
				break
			}
			if chosenInZone[c.member.Zone] == perZone && !slices.Contains(entries, c.member) {
				chosenInZone[c.member.Zone]++
				entries = append(entries, c.member)
			}
		}
	}
	return entries
}

// rankEntries returns the live entries in service, ordered by their hash for the
// named caller.
func rankEntries(name string, members []banyanplank.Member, isZoneOut func(banyanplank.Zone) bool) (candidates []candidate) {
	for _, m := range members {
		if m.Role != banyanplank.RoleEntry || m.State != banyanplank.MemberLive || isZoneOut(m.Zone) {
			continue
		}
		candidates = append(candidates, candidate{member: m, hash: xxhash.Sum64String(name + "\x00" + string(m.ID))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if order := cmp.Compare(a.hash, b.hash); order != 0 {
			return order
		}
		return cmp.Compare(a.member.ID, b.member.ID)
	})
	return candidates
}
