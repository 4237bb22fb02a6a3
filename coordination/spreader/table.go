package spreader

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

const (
	// rings is the number of rings, and so the maximum number of neighbors of a
	// member.
	rings = 4
	// buckets is the number of member buckets whose hashes are compared.
	buckets = 64
	// maxUpdates bounds the updates in a digest, in records.
	maxUpdates = 4
	// maxRepairs is the target number of records that repair a difference in one
	// digest.
	maxRepairs = 32
	// tombstoneAge is how long a gone member is remembered. It is longer than
	// the outage of a region. A member that announced its leave is remembered
	// for leaverTombstoneAge, after which no delayed message refers to it.
	tombstoneAge       = 24 * time.Hour
	leaverTombstoneAge = 10 * time.Minute
)

// row is one member in a [memberTable].
type row struct {
	record Record
	// stateSince is when the current record was received.
	stateSince time.Time
	// positions are the member's positions on the rings.
	positions [rings]uint64
	// sendsLeft counts how many more times the record is sent as an update.
	sendsLeft int
	// failures counts consecutive failed exchanges.
	failures int
	// answeredAt is the send time of the latest exchange that the member
	// answered.
	answeredAt time.Time
	// announcedLeave reports whether the member announced its leave.
	announcedLeave bool
	// askedAt is when the last exchange with the member began.
	askedAt time.Time
	// inFlight reports whether an exchange is in progress.
	inFlight bool
	// sumMismatches counts consecutive exchanges with differing sums since the
	// last repair.
	sumMismatches int
}

// bucket returns the index of the member's bucket.
func (r *row) bucket() (index int) { return int(r.positions[0] % buckets) }

// isUp reports whether the member is not gone.
func (r *row) isUp() (up bool) { return r.record.Member.State != banyanplank.MemberGone }

// upDelta returns the change of upCount when a member changes to up.
func upDelta(up bool) (change int) {
	if up {
		return 1
	}
	return -1
}

// memberTable holds the members, including the daemon itself.
type memberTable struct {
	self banyanplank.DaemonID
	rows map[banyanplank.DaemonID]*row
	// pendingUpdates is the queue of members whose records are sent as updates.
	// Each member occurs once; its row counts the remaining sends.
	pendingUpdates []*row
	// sorted lists all rows by member ID. It is nil when rows were added or
	// removed.
	sorted []*row
	sums   [buckets]uint64
	// neighbors caches ringNeighbors. It is nil after a change that may affect
	// them.
	neighbors []*row
	// upCount counts the members that are not gone, including the daemon itself.
	upCount int
	dirty   bool
}

func newMemberTable(self Record, now time.Time) (t *memberTable) {
	t = &memberTable{self: self.Member.ID, rows: map[banyanplank.DaemonID]*row{}}
	t.put(self, now)
	return t
}

// ringPosition returns the member's position on a ring.
func ringPosition(ring int, id banyanplank.DaemonID) (position uint64) {
	return xxhash.Sum64String(string(rune('a'+ring)) + string(id))
}

// put stores the record if it is newer than the known one, and reports whether
// it was.
func (t *memberTable) put(record Record, now time.Time) (changed bool) {
	r, known := t.rows[record.Member.ID]
	if known && !record.Supersedes(r.record) {
		return false
	}
	if !known {
		r = &row{}
		for ring := range rings {
			r.positions[ring] = ringPosition(ring, record.Member.ID)
		}
		t.rows[record.Member.ID] = r
		t.sorted = nil
	}
	wasUp := known && r.isUp()
	if known {
		t.sums[r.bucket()] ^= r.record.sum()
	}
	if !known || r.record.Member.Incarnation != record.Member.Incarnation {
		r.failures = 0
	}
	r.announcedLeave = record.Member.State == banyanplank.MemberLeaving || r.announcedLeave && record.Member.State == banyanplank.MemberGone
	r.record, r.stateSince = record, now
	t.sums[r.bucket()] ^= record.sum()
	if wasUp != r.isUp() {
		t.neighbors = nil
		t.upCount += upDelta(r.isUp())
	}
	t.dirty = true
	return true
}

// queueUpdate queues the member's record as an update.
func (t *memberTable) queueUpdate(id banyanplank.DaemonID) {
	r := t.rows[id]
	if r.sendsLeft == 0 {
		t.pendingUpdates = append(t.pendingUpdates, r)
	}
	r.sendsLeft = t.sendCount()
}

// sendCount returns how often an update is sent so that it reaches all members
// with high probability.
func (t *memberTable) sendCount() (count int) {
	return 4 + bits.Len(uint(len(t.rows)))
}

// remove removes a gone member.
func (t *memberTable) remove(id banyanplank.DaemonID) {
	delete(t.rows, id)
	t.sorted = nil
	t.dirty = true
}

// sum returns the hash over all members.
func (t *memberTable) sum() (sum uint64) {
	for i, s := range t.sums {
		sum ^= bits.RotateLeft64(s, i)
	}
	return sum
}

// bucketSums returns the truncated hashes of all buckets.
func (t *memberTable) bucketSums() (sums []uint32) {
	sums = make([]uint32, buckets)
	for i, s := range t.sums {
		sums[i] = uint32(s)
	}
	return sums
}

// dequeueUpdates returns the records to send next, in round-robin order, and
// decrements their remaining sends.
func (t *memberTable) dequeueUpdates() (records []Record) {
	for range min(len(t.pendingUpdates), maxUpdates) {
		r := t.pendingUpdates[0]
		t.pendingUpdates = t.pendingUpdates[1:]
		records = append(records, r.record)
		if r.sendsLeft--; r.sendsLeft > 0 {
			t.pendingUpdates = append(t.pendingUpdates, r)
		}
	}
	return records
}

// repairRecords returns the records of the buckets whose hashes differ from
// remote, as many buckets as fit the target of maxRepairs records. Start is the
// first bucket compared, so that repeated calls cover different buckets.
func (t *memberTable) repairRecords(remote []uint32, start int) (records []Record) {
	if len(remote) != buckets {
		return nil
	}
	local := t.bucketSums()
	differing := map[int]bool{}
	for i := range buckets {
		if at := (start + i) % buckets; local[at] != remote[at] {
			differing[at] = true
		}
		if len(differing) >= max(1, maxRepairs*buckets/(len(t.rows)+1)) {
			break
		}
	}
	if len(differing) == 0 {
		return nil
	}
	for _, r := range t.rows {
		if differing[r.bucket()] {
			records = append(records, r.record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return records[:min(len(records), 2*maxRepairs)]
}

// ringNeighbors returns the next member on each ring that is not gone.
func (t *memberTable) ringNeighbors() (neighbors []*row) {
	if t.neighbors == nil {
		t.neighbors = t.successors((*row).isUp)
	}
	return t.neighbors
}

// successors returns the next qualifying member on each ring, without
// duplicates.
func (t *memberTable) successors(qualifies func(*row) bool) (successors []*row) {
	self := t.rows[t.self]
	var nearest [rings]*row
	var distance [rings]uint64
	for i := range distance {
		distance[i] = math.MaxUint64
	}
	for id, r := range t.rows {
		if id == t.self || !qualifies(r) {
			continue
		}
		for ring := range rings {
			if d := r.positions[ring] - self.positions[ring]; d < distance[ring] {
				nearest[ring], distance[ring] = r, d
			}
		}
	}
	successors = []*row{}
	for _, r := range nearest {
		if r != nil && !slices.Contains(successors, r) {
			successors = append(successors, r)
		}
	}
	return successors
}

// sortedRows returns all rows in the order of member IDs.
func (t *memberTable) sortedRows() (rows []*row) {
	if t.sorted == nil {
		for _, r := range t.rows {
			t.sorted = append(t.sorted, r)
		}
		slices.SortFunc(t.sorted, func(a, b *row) int { return cmp.Compare(a.record.Member.ID, b.record.Member.ID) })
	}
	return t.sorted
}

// records returns all records in the order of member IDs.
func (t *memberTable) records() (records []Record) {
	records = make([]Record, 0, len(t.rows))
	for _, r := range t.sortedRows() {
		records = append(records, r.record)
	}
	return records
}
