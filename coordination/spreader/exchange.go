package spreader

import (
	"net/netip"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

const (
	// failuresToSuspect is the number of consecutive failed exchanges after
	// which a member is suspect.
	failuresToSuspect = 4
	// suspectPeriod is how long a suspect member has to refute the suspicion.
	suspectPeriod = 6 * time.Second
	// maxDetectorContactAge is the maximum time since the last answer from a
	// peer or the object API at which the daemon may declare others suspect or
	// gone.
	maxDetectorContactAge = 4 * time.Second
	// revisionBroadcastTicks is the number of ticks in which a new revision is
	// sent to all neighbors.
	revisionBroadcastTicks = 3
	// mismatchesToRepair is the number of consecutive exchanges with differing
	// sums after which the buckets are compared. Updates in transit may resolve
	// the difference earlier.
	mismatchesToRepair = 3
	// leaveBroadcastTicks is the number of rounds in which a leave announcement
	// is sent to all neighbors, including the immediate one.
	leaveBroadcastTicks = 2
	// rejoinIntervalTicks is the number of ticks between two attempts to reach a
	// seed or a gone member.
	rejoinIntervalTicks = 30
)

// newDigest returns the digest to send next. It dequeues the updates that it
// carries.
func (m *Model) newDigest(withBuckets bool) (d Digest) {
	d = Digest{From: m.self, Revision: m.revision(), ProofAge: NoProof, Updates: m.members.dequeueUpdates(), MembersHash: m.members.sum(), ReachableShare: m.reachability.estimate}
	if !m.provenAt.IsZero() {
		d.ProofAge = m.now.Sub(m.provenAt)
	}
	if withBuckets {
		d.BucketHashes = m.members.bucketSums()
	}
	return d
}

// startExchanges starts the exchanges of one round: with the least recently
// contacted partner, with partners whose last exchange failed, and with all
// partners during a broadcast.
func (m *Model) startExchanges() (commands []banyanplank.Command) {
	partners := m.partners()
	next := m.nextPartner(partners)
	for _, r := range partners {
		if r.inFlight || r != next && r.failures == 0 && m.revisionBroadcasts == 0 && m.leaveBroadcasts == 0 {
			continue
		}
		r.askedAt = m.now
		r.inFlight = true
		d := m.newDigest(r.sumMismatches >= mismatchesToRepair)
		if r.sumMismatches >= mismatchesToRepair {
			r.sumMismatches = 0
		}
		if m.revisionBroadcasts > 0 {
			d.Root = m.installed.rootValue
		}
		commands = append(commands, ExchangeCmd{ID: r.record.Member.ID, To: r.record.Member.PeerAddress, Digest: d})
	}
	m.revisionBroadcasts = max(0, m.revisionBroadcasts-1)
	m.leaveBroadcasts = max(0, m.leaveBroadcasts-1)
	return commands
}

// nextPartner returns the least recently contacted of the partners that answer.
func (m *Model) nextPartner(partners []*row) (next *row) {
	for _, r := range partners {
		if r.failures == 0 && (next == nil || r.askedAt.Before(next.askedAt)) {
			next = r
		}
	}
	return next
}

// bootstrap contacts a random lost address while there are no peers, and
// periodically afterwards to rejoin lost ones, such as the members of a region
// after a network partition.
func (m *Model) bootstrap() (commands []banyanplank.Command) {
	isDue := (uint64(m.ticks)+m.members.rows[m.self.Member.ID].positions[0])%rejoinIntervalTicks == 0
	if !isDue && m.joined && m.members.upCount > 1 {
		return nil
	}
	lost := m.lostAddresses()
	if len(lost) == 0 {
		return nil
	}
	to := lost[m.random.IntN(len(lost))]
	return []banyanplank.Command{ExchangeCmd{To: to, Digest: m.newDigest(true)}}
}

// lostAddresses returns the addresses of gone members and of seeds that belong
// to no current member. Until the daemon has joined, it returns all seeds.
func (m *Model) lostAddresses() (addresses []netip.AddrPort) {
	known := map[netip.AddrPort]bool{}
	for _, r := range m.members.rows {
		if r.isUp() {
			known[r.record.Member.PeerAddress] = true
		}
	}
	for _, r := range m.members.rows {
		if !r.isUp() && !known[r.record.Member.PeerAddress] {
			addresses = append(addresses, r.record.Member.PeerAddress)
		}
	}
	for _, s := range m.seeds {
		if !known[s] || !m.joined && s != m.self.Member.PeerAddress {
			addresses = append(addresses, s)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// addSeeds adds seed addresses without duplicates.
func (m *Model) addSeeds(addresses []netip.AddrPort) {
	for _, a := range addresses {
		if !slices.Contains(m.seeds, a) && a != m.self.Member.PeerAddress {
			m.seeds = append(m.seeds, a)
		}
	}
}

// handleDigest merges a peer's digest and replies with this daemon's digest,
// which includes the records of differing buckets.
func (m *Model) handleDigest(msg DigestMsg) (commands []banyanplank.Command) {
	commands = m.mergeDigest(msg.Digest)
	d := m.newDigest(false)
	if msg.Digest.MembersHash != d.MembersHash {
		d.Updates = append(d.Updates, m.members.repairRecords(msg.Digest.BucketHashes, m.random.IntN(buckets))...)
	}
	if msg.Digest.Revision < m.revision() {
		d.Root = m.installed.rootValue
	}
	return append(commands, AnswerCmd{Answer: msg.Answer, Digest: d})
}

// handleReply handles the result of an exchange.
func (m *Model) handleReply(msg ReplyMsg) (commands []banyanplank.Command) {
	r := m.members.rows[msg.Command.ID]
	if r != nil {
		r.inFlight = false
	}
	if msg.Err != nil {
		if r != nil {
			m.recordFailure(r)
		}
		return nil
	}
	m.lastContact = laterOf(m.lastContact, msg.Sent)
	commands = m.mergeDigest(msg.Digest)
	if r != nil {
		r.failures = 0
		r.answeredAt = laterOf(r.answeredAt, msg.Sent)
		if msg.Digest.MembersHash != m.members.sum() {
			r.sumMismatches++
		} else {
			r.sumMismatches = 0
		}
	}
	if msg.Digest.ProofAge != NoProof {
		m.recordProof(msg.Digest.Revision, msg.Sent.Add(-msg.Digest.ProofAge))
	}
	if !m.joined && !m.joinInFlight {
		m.joinInFlight = true
		commands = append(commands, FetchCmd{From: msg.Command.To, Request: FetchRequest{Members: true, Have: m.revision()}})
	}
	return commands
}

// recordFailure counts a failed exchange. A daemon without any recent contact
// does not mark others, because the fault may be its own.
func (m *Model) recordFailure(r *row) {
	r.failures++
	if r.failures < failuresToSuspect || !m.hasRecentContact() {
		return
	}
	record := r.record
	switch record.Member.State {
	case banyanplank.MemberLive:
		record.Member.State = banyanplank.MemberSuspect
	case banyanplank.MemberLeaving:
		record.Member.State = banyanplank.MemberGone
	default:
		return
	}
	m.putRecord(record)
}

// hasRecentContact reports whether a peer or the object API answered recently.
func (m *Model) hasRecentContact() (recent bool) {
	return m.now.Sub(m.lastContact) <= maxDetectorContactAge || m.now.Sub(m.store.answeredAt) <= maxDetectorContactAge
}

// expireMembers marks members that stayed suspect as gone and removes expired
// tombstones.
func (m *Model) expireMembers() {
	for _, r := range m.members.sortedRows() {
		age := m.now.Sub(r.stateSince)
		switch {
		case r.record.Member.State == banyanplank.MemberSuspect && age >= suspectPeriod && m.hasRecentContact():
			record := r.record
			record.Member.State = banyanplank.MemberGone
			m.putRecord(record)
		case r.record.Member.State == banyanplank.MemberGone && (age >= tombstoneAge || r.announcedLeave && age >= leaverTombstoneAge):
			m.members.remove(r.record.Member.ID)
		}
	}
}

// mergeDigest merges the sender's record, its estimate, updates and revision.
func (m *Model) mergeDigest(d Digest) (commands []banyanplank.Command) {
	m.mergeRecord(d.From)
	m.reachability.addPeerEstimate(d.ReachableShare)
	for _, record := range d.Updates {
		m.mergeRecord(record)
	}
	commands = m.addParts(d.Root, nil)
	return append(commands, m.noteRevision(d.Revision, d.From.Member.PeerAddress)...)
}

// putRecord stores a record and queues it as an update if it is newer.
func (m *Model) putRecord(record Record) {
	if !m.members.put(record, m.now) {
		return
	}
	m.members.queueUpdate(record.Member.ID)
	if record.Member.State == banyanplank.MemberLeaving {
		m.leaveBroadcasts = leaveBroadcastTicks
	}
}

// mergeRecord merges a record. For a record of itself, the daemon refutes it
// with a newer one; it adopts only a leaving state that the platform reports,
// and stops when a later incarnation exists.
func (m *Model) mergeRecord(record Record) {
	if record.Member.ID != m.self.Member.ID {
		m.putRecord(record)
		return
	}
	if record.Member.Incarnation > m.self.Member.Incarnation {
		m.replaced = true
		return
	}
	if !record.Supersedes(m.self) {
		return
	}
	m.self.Sequence = record.Sequence
	state := m.self.Member.State
	if record.Member.State == banyanplank.MemberLeaving {
		state = banyanplank.MemberLeaving
	}
	m.updateSelf(state)
}

// recordProof records that revision was the accepted one at a time.
func (m *Model) recordProof(revision banyanplank.Revision, at time.Time) {
	if revision > m.revision() {
		m.fetch.provenRevision, m.fetch.provenAt = revision, at
		return
	}
	if revision < m.revision() || !at.After(m.provenAt) {
		return
	}
	m.provenAt = at
	if m.now.Sub(at) <= MaxProofAge/2 {
		m.sampleNeighbors()
		m.reachability.sampledAtProof = true
	}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) (t time.Time) {
	if a.After(b) {
		return a
	}
	return b
}

// handleInstances handles the platform's instance list. The list lags, so it
// only confirms that a suspect member is gone and reports instances that are
// leaving.
func (m *Model) handleInstances(msg InstancesMsg) {
	m.store.listing = false
	if msg.Err != nil || len(msg.Instances) == 0 {
		return
	}
	states := make(map[banyanplank.InstanceID]banyanplank.InstanceState, len(msg.Instances))
	for _, i := range msg.Instances {
		states[i.ID] = i.State
	}
	for _, r := range m.members.sortedRows() {
		record := r.record
		state, ok := states[record.Member.Instance]
		switch {
		case !ok && record.Member.State == banyanplank.MemberSuspect:
			record.Member.State = banyanplank.MemberGone
		case ok && state == banyanplank.InstanceLeaving && record.Member.State < banyanplank.MemberLeaving:
			record.Member.State = banyanplank.MemberLeaving
		default:
			continue
		}
		m.mergeRecord(record)
	}
}
