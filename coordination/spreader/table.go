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
	// rings is the number of rings, and so of neighbors that a member has.
	rings = 4
	// buckets is the number of parts whose hashes are compared.
	buckets = 64
	// updateLimit bounds the news in a digest, in records.
	updateLimit = 4
	// repairLimit bounds the records that repair a difference, in one digest.
	repairLimit = 32
	// tombstoneAge is how long a gone member is remembered. It outlives the
	// loss of a region. A member that left as planned is remembered for
	// leftAge, until no late message speaks of it.
	tombstoneAge = 24 * time.Hour
	leftAge      = 10 * time.Minute
)

// row is one member in a [table].
type row struct {
	record Record
	// since is when the record's state was learned.
	since time.Time
	// places are the positions on the rings.
	places [rings]uint64
	// sends counts how often the record still goes out as news.
	sends int
	// failures counts the exchanges that failed in a row.
	failures int
	// answered is when the member last answered: the time of the question.
	answered time.Time
	// left tells that the member announced that it leaves.
	left bool
	// asked is when the last exchange with the member began.
	asked time.Time
	// inFlight tells that an exchange has not ended.
	inFlight bool
	// differs counts the exchanges in which the sums differed since the last
	// repair.
	differs int
}

// bucket returns the index of the part that the member belongs to.
func (r *row) bucket() (index int) { return int(r.places[0] % buckets) }

// isUp reports whether the member may be talked to.
func (r *row) isUp() (up bool) { return r.record.Member.State != banyanplank.MemberGone }

// step returns the change of a count.
func step(up bool) (change int) {
	if up {
		return 1
	}
	return -1
}

// table holds the members, the daemon itself included.
type table struct {
	self banyanplank.DaemonID
	rows map[banyanplank.DaemonID]*row
	// news are the members whose records go out, each once in its row's count.
	news []*row
	// order has all rows in name order. It is nil when the rows changed.
	order []*row
	sums  [buckets]uint64
	// neighbors is nil after a change that may move them.
	neighbors []*row
	// up counts the members that are not gone, the daemon itself included.
	up    int
	dirty bool
}

func newTable(self Record, now time.Time) (t *table) {
	t = &table{self: self.Member.ID, rows: map[banyanplank.DaemonID]*row{}}
	t.put(self, now)
	return t
}

// place returns the member's position on a ring.
func place(ring int, id banyanplank.DaemonID) (position uint64) {
	return xxhash.Sum64String(string(rune('a'+ring)) + string(id))
}

// put replaces the record if it is newer and reports whether it was.
func (t *table) put(record Record, now time.Time) (changed bool) {
	r, known := t.rows[record.Member.ID]
	if known && !record.Supersedes(r.record) {
		return false
	}
	if !known {
		r = &row{}
		for ring := range rings {
			r.places[ring] = place(ring, record.Member.ID)
		}
		t.rows[record.Member.ID] = r
		t.order = nil
	}
	wasUp := known && r.isUp()
	if known {
		t.sums[r.bucket()] ^= r.record.sum()
	}
	if !known || r.record.Member.Incarnation != record.Member.Incarnation {
		r.failures = 0
	}
	r.left = record.Member.State == banyanplank.MemberLeaving || r.left && record.Member.State == banyanplank.MemberGone
	r.record, r.since = record, now
	t.sums[r.bucket()] ^= record.sum()
	if wasUp != r.isUp() {
		t.neighbors = nil
		t.up += step(r.isUp())
	}
	t.dirty = true
	return true
}

// announce makes the member's record news.
func (t *table) announce(id banyanplank.DaemonID) {
	r := t.rows[id]
	if r.sends == 0 {
		t.news = append(t.news, r)
	}
	r.sends = t.spreadCount()
}

// spreadCount returns how often news goes out, so that it reaches everyone
// with high probability.
func (t *table) spreadCount() (count int) {
	return 4 + bits.Len(uint(len(t.rows)))
}

// forget removes a gone member.
func (t *table) forget(id banyanplank.DaemonID) {
	delete(t.rows, id)
	t.order = nil
	t.dirty = true
}

// sum returns the hash of all members.
func (t *table) sum() (sum uint64) {
	for i, s := range t.sums {
		sum ^= bits.RotateLeft64(s, i)
	}
	return sum
}

// bucketSums returns the short hashes of all parts.
func (t *table) bucketSums() (sums []uint32) {
	sums = make([]uint32, buckets)
	for i, s := range t.sums {
		sums[i] = uint32(s)
	}
	return sums
}

// takeNews returns the records to send now, in turn, and counts them.
func (t *table) takeNews() (records []Record) {
	for range min(len(t.news), updateLimit) {
		r := t.news[0]
		t.news = t.news[1:]
		records = append(records, r.record)
		if r.sends--; r.sends > 0 {
			t.news = append(t.news, r)
		}
	}
	return records
}

// repairs returns the records of the parts whose hashes differ from theirs,
// whole parts up to the limit. Start rotates the part to begin with.
func (t *table) repairs(theirs []uint32, start int) (records []Record) {
	if len(theirs) != buckets {
		return nil
	}
	ours := t.bucketSums()
	wanted := map[int]bool{}
	for i := range buckets {
		if at := (start + i) % buckets; ours[at] != theirs[at] {
			wanted[at] = true
		}
		if len(wanted) >= max(1, repairLimit*buckets/(len(t.rows)+1)) {
			break
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	for _, r := range t.rows {
		if wanted[r.bucket()] {
			records = append(records, r.record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return records[:min(len(records), 2*repairLimit)]
}

// next returns the neighbors: the next member on each ring that is not gone.
func (t *table) next() (neighbors []*row) {
	if t.neighbors == nil {
		t.neighbors = t.successors((*row).isUp)
	}
	return t.neighbors
}

// successors returns the next member on each ring that qualifies, without
// repetition.
func (t *table) successors(qualifies func(*row) bool) (successors []*row) {
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
			if d := r.places[ring] - self.places[ring]; d < distance[ring] {
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

// ordered returns all rows in name order.
func (t *table) ordered() (rows []*row) {
	if t.order == nil {
		for _, r := range t.rows {
			t.order = append(t.order, r)
		}
		slices.SortFunc(t.order, func(a, b *row) int { return cmp.Compare(a.record.Member.ID, b.record.Member.ID) })
	}
	return t.order
}

// records returns all records in name order.
func (t *table) records() (records []Record) {
	records = make([]Record, 0, len(t.rows))
	for _, r := range t.ordered() {
		records = append(records, r.record)
	}
	return records
}
