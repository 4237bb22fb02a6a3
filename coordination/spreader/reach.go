package spreader

import (
	"math"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

const (
	// answerFor is how long an answer shows that a neighbor is in reach. It
	// leaves time for a turn of all neighbors and a repeated question.
	answerFor = 6 * time.Second
	// reachLow and reachHigh are the estimated shares of the members in reach at
	// which a daemon ceases and begins to take itself to be among most of them.
	// They are above a half because the share is an estimate, and apart so that
	// its noise does not switch the daemon on and off.
	reachLow  = 0.70
	reachHigh = 0.80
	// settledFor is how long no member may be in doubt before the count of
	// those left decides, and countShare is the share that must be left. It is
	// above a half because some may not yet be known as gone.
	settledFor = 5 * time.Second
	countShare = 0.6
	// countedFleet is the most members of which the count is taken as it is. In
	// a larger fleet some of those out of reach are found late, so the estimate
	// must not be further from the count than agreement.
	countedFleet = 128
	agreement    = 0.08
	// ownWeight is the weight of a daemon's own neighbors in its estimate, and
	// quietWeight the one while it hears no estimates of others.
	ownWeight   = 0.03
	quietWeight = 0.35
)

// reach estimates the share of the members that can be talked to from here. The
// neighbors that a daemon had at the last proof are a random sample. It keeps
// asking them, also when they are gone, since their successors would not be a
// random choice. The estimates of the daemons around are averaged in, which
// makes a small sample a larger one.
type reach struct {
	sample []*row
	// proved tells that the sample was taken at a proof.
	proved bool
	// members counts those that were there at the last proof, and those that
	// joined since.
	members int
	// settled is since when no member is in doubt: each is in reach or gone.
	settled time.Time
	// own is the answered share of the sample at the last measure.
	own      float32
	measured bool
	value    float32
	most     bool
	sum      float32
	count    int
}

// hear takes in a peer's estimate if it is a share.
func (r *reach) hear(value float32) {
	if value >= 0 && value <= 1 {
		r.sum += value
		r.count++
	}
}

// measure makes a new estimate from the sample and from what was heard since the
// last one. A member that left as planned is no part of the sample any more.
func (r *reach) measure(now time.Time) {
	r.sample = slices.DeleteFunc(r.sample, func(n *row) bool { return n.left })
	own := float32(0)
	for _, n := range r.sample {
		if !n.answered.IsZero() && now.Sub(n.answered) <= answerFor {
			own++
		}
	}
	own /= float32(max(1, len(r.sample)))
	around, weight := r.value, float32(quietWeight)
	if r.count > 0 {
		around, weight = (r.value+r.sum)/float32(1+r.count), ownWeight
	}
	moved := own - r.own
	if !r.measured {
		moved = 0
	}
	r.value = min(1, max(0, weight*own+(1-weight)*(around+moved)))
	r.own, r.measured = own, true
	r.most = r.value > reachHigh || r.most && r.value > reachLow
	r.sum, r.count = 0, 0
}

// hasMajority reports whether the daemon can talk to most of the members that
// were there at the last proof. The estimate tells it within seconds, on the
// safe side, and the count once those out of reach are gone.
func (m *Model) hasMajority() (has bool) {
	if m.isAlone() {
		return true
	}
	if m.reach.most {
		return 2*m.table.up > m.reach.members
	}
	left := float64(m.table.up) / float64(max(1, m.reach.members))
	value := float64(m.reach.value)
	agrees := m.reach.members <= countedFleet || value > countShare && math.Abs(left-value) <= agreement
	return m.isSettled() && agrees && left > countShare
}

// isSettled reports whether no member has been in doubt for a while.
func (m *Model) isSettled() (settled bool) {
	return !m.reach.settled.IsZero() && m.now.Sub(m.reach.settled) >= settledFor
}

// noteDoubt notes since when no member is in doubt.
func (m *Model) noteDoubt() {
	if m.inDoubt() {
		m.reach.settled = time.Time{}
		return
	}
	if m.reach.settled.IsZero() {
		m.reach.settled = m.now
	}
}

// inDoubt reports whether some member is suspect, or does not answer and is not
// yet gone.
func (m *Model) inDoubt() (doubt bool) {
	for _, n := range m.reach.sample {
		if n.isUp() && (n.answered.IsZero() || m.now.Sub(n.answered) > answerFor) {
			return true
		}
	}
	for _, r := range m.table.rows {
		if r.record.Member.State == banyanplank.MemberSuspect {
			return true
		}
	}
	return false
}

// isAlone reports whether there is no other member, nor was at the last proof.
func (m *Model) isAlone() (alone bool) {
	return m.table.up <= 1 && len(m.reach.sample) == 0
}

// resample makes the neighbors of now the sample.
func (m *Model) resample() {
	m.reach.sample = slices.Clone(m.table.next())
	m.reach.members = m.table.up
}

// sampleAll makes the sample from all members that a peer told of, gone ones
// included. A daemon that starts while nobody has a proof cannot know whether
// those are dead or out of its and the peer's reach.
func (m *Model) sampleAll() {
	stayed := func(r *row) bool { return !r.left }
	m.reach.sample = m.table.successors(stayed)
	m.reach.members = 0
	for _, r := range m.table.rows {
		if stayed(r) {
			m.reach.members++
		}
	}
}

// partners returns the members to exchange with: the neighbors and the sample.
func (m *Model) partners() (partners []*row) {
	partners = slices.Clone(m.table.next())
	for _, n := range m.reach.sample {
		if !slices.Contains(partners, n) && !n.left {
			partners = append(partners, n)
		}
	}
	return partners
}
