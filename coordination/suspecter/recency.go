package suspecter

import "time"

// recency remembers when keys were last recorded, in two generations: the current one and
// the one before.
type recency[K comparable] struct {
	generations [2]map[K]time.Time
	startedAt   time.Time
	period      time.Duration
	limit       int
}

// newRecency returns a recency that remembers keys for at least period. A generation ends
// early when it has limit keys.
func newRecency[K comparable](period time.Duration, limit int) recency[K] {
	return recency[K]{generations: [2]map[K]time.Time{{}, {}}, period: period, limit: limit}
}

// record records a key.
func (r *recency[K]) record(now time.Time, key K) {
	if now.Sub(r.startedAt) > r.period || len(r.generations[0]) >= r.limit {
		r.generations[1] = r.generations[0]
		r.generations[0], r.startedAt = make(map[K]time.Time), now
	}
	r.generations[0][key] = now
}

// last returns when a key was last recorded, if it is remembered.
func (r *recency[K]) last(key K) (at time.Time, known bool) {
	if at, known = r.generations[0][key]; !known {
		at, known = r.generations[1][key]
	}
	return at, known
}
