package spreader

import (
	"math"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

const (
	// maxAnswerAge is how long after an answer a neighbor counts as reachable.
	// It leaves time for a round over all neighbors and one retry.
	maxAnswerAge = 6 * time.Second
	// majorityLow and majorityHigh are the estimated shares of reachable members
	// at which a daemon leaves and enters the majority. Both are above one half
	// because the share is an estimate, and they differ to add hysteresis
	// against its noise.
	majorityLow  = 0.70
	majorityHigh = 0.80
	// settlePeriod is how long no member may be in doubt before the member count
	// decides, and minCountShare is the share that must remain. It is above one
	// half because some members may not yet be known as gone.
	settlePeriod  = 5 * time.Second
	minCountShare = 0.6
	// countOnlyFleet is the largest membership for which the count alone
	// decides. In a larger one some unreachable members are detected late, so
	// the estimate must also be within maxEstimateGap of the count.
	countOnlyFleet = 128
	maxEstimateGap = 0.08
	// ownWeight is the weight of a daemon's own sample in its estimate, and
	// ownWeightNoPeers the weight while it receives no estimates from peers.
	ownWeight        = 0.03
	ownWeightNoPeers = 0.35
)

// reachability estimates the share of members that this daemon can reach. Its
// neighbors at the last proof are a random sample of the members. They stay in
// the sample even when they are gone, because their successors are known to be
// up and would bias the sample. Averaging in the estimates of peers increases
// the effective sample size.
type reachability struct {
	sample []*row
	// sampledAtProof reports whether the sample was taken at a proof.
	sampledAtProof bool
	// memberCount counts the members at the last proof and those that joined
	// since.
	memberCount int
	// settledSince is since when no member is in doubt, that is, each is
	// reachable or gone.
	settledSince time.Time
	// ownShare is the share of the sample that had answered at the last
	// measurement.
	ownShare   float32
	isMeasured bool
	estimate   float32
	inMajority bool
	peerSum    float32
	peerCount  int
}

// addPeerEstimate adds a peer's estimate and ignores values outside 0 to 1.
func (r *reachability) addPeerEstimate(estimate float32) {
	if estimate >= 0 && estimate <= 1 {
		r.peerSum += estimate
		r.peerCount++
	}
}

// measure updates the estimate from the sample and the estimates that peers sent
// since the last call. It drops members that announced their leave from the
// sample.
func (r *reachability) measure(now time.Time) {
	r.sample = slices.DeleteFunc(r.sample, func(n *row) bool { return n.announcedLeave })
	own := float32(0)
	for _, n := range r.sample {
		if !n.answeredAt.IsZero() && now.Sub(n.answeredAt) <= maxAnswerAge {
			own++
		}
	}
	own /= float32(max(1, len(r.sample)))
	average, weight := r.estimate, float32(ownWeightNoPeers)
	if r.peerCount > 0 {
		average, weight = (r.estimate+r.peerSum)/float32(1+r.peerCount), ownWeight
	}
	change := own - r.ownShare
	if !r.isMeasured {
		change = 0
	}
	r.estimate = min(1, max(0, weight*own+(1-weight)*(average+change)))
	r.ownShare, r.isMeasured = own, true
	r.inMajority = r.estimate > majorityHigh || r.inMajority && r.estimate > majorityLow
	r.peerSum, r.peerCount = 0, 0
}

// hasMajority reports whether the daemon can reach most of the members that were
// present at the last proof. The estimate decides within seconds and errs
// towards false; the count decides once the unreachable members are gone.
func (m *Model) hasMajority() (has bool) {
	if m.isAlone() {
		return true
	}
	if m.reachability.inMajority {
		return 2*m.members.upCount > m.reachability.memberCount
	}
	countShare := float64(m.members.upCount) / float64(max(1, m.reachability.memberCount))
	estimate := float64(m.reachability.estimate)
	agrees := m.reachability.memberCount <= countOnlyFleet || estimate > minCountShare && math.Abs(countShare-estimate) <= maxEstimateGap
	return m.isSettled() && agrees && countShare > minCountShare
}

// isSettled reports whether no member has been in doubt for settlePeriod.
func (m *Model) isSettled() (settled bool) {
	return !m.reachability.settledSince.IsZero() && m.now.Sub(m.reachability.settledSince) >= settlePeriod
}

// updateSettled records since when no member is in doubt.
func (m *Model) updateSettled() {
	if m.hasDoubtfulMember() {
		m.reachability.settledSince = time.Time{}
		return
	}
	if m.reachability.settledSince.IsZero() {
		m.reachability.settledSince = m.now
	}
}

// hasDoubtfulMember reports whether some member is suspect, or does not answer
// and is not yet gone.
func (m *Model) hasDoubtfulMember() (doubt bool) {
	for _, n := range m.reachability.sample {
		if n.isUp() && (n.answeredAt.IsZero() || m.now.Sub(n.answeredAt) > maxAnswerAge) {
			return true
		}
	}
	for _, r := range m.members.rows {
		if r.record.Member.State == banyanplank.MemberSuspect {
			return true
		}
	}
	return false
}

// isAlone reports whether there is no other member now and there was none at the
// last proof.
func (m *Model) isAlone() (alone bool) {
	return m.members.upCount <= 1 && len(m.reachability.sample) == 0
}

// sampleNeighbors replaces the sample by the current neighbors.
func (m *Model) sampleNeighbors() {
	m.reachability.sample = slices.Clone(m.members.ringNeighbors())
	m.reachability.memberCount = m.members.upCount
}

// sampleAllMembers draws the sample from all members that a peer listed,
// including gone ones. A daemon that starts while nobody has a proof cannot know
// whether those members crashed or are unreachable from here and from the peer.
func (m *Model) sampleAllMembers() {
	notLeft := func(r *row) bool { return !r.announcedLeave }
	m.reachability.sample = m.members.successors(notLeft)
	m.reachability.memberCount = 0
	for _, r := range m.members.rows {
		if notLeft(r) {
			m.reachability.memberCount++
		}
	}
}

// partners returns the members to exchange with: the neighbors and the sample.
func (m *Model) partners() (partners []*row) {
	partners = slices.Clone(m.members.ringNeighbors())
	for _, n := range m.reachability.sample {
		if !slices.Contains(partners, n) && !n.announcedLeave {
			partners = append(partners, n)
		}
	}
	return partners
}
