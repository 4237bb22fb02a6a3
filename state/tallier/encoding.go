package tallier

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// tallyJSON is the JSON form of a [Tally]. Cells refer to names by their index,
// which keeps the encoding of three days of counts small.
type tallyJSON struct {
	Daemon      banyanplank.DaemonID    `json:"daemon"`
	Incarnation banyanplank.Incarnation `json:"incarnation"`
	Zone        banyanplank.Zone        `json:"zone"`
	At          time.Time               `json:"at"`
	Whole       bool                    `json:"whole"`
	Names       []string                `json:"names"`
	Buckets     []bucketJSON            `json:"buckets"`
}

// bucketJSON is the JSON form of a [Bucket].
type bucketJSON struct {
	// Start is in seconds since the Unix epoch, and Span in seconds.
	Start int64      `json:"start"`
	Span  int64      `json:"span"`
	Cells []cellJSON `json:"cells"`
}

// cellJSON is the JSON form of a [Cell]: the indexes of the service and the account
// in the names, then calls, failed and slow.
type cellJSON [5]uint64

// MarshalJSON implements [json.Marshaler].
func (t Tally) MarshalJSON() (text []byte, err error) {
	d := tallyJSON{
		Daemon:      t.Daemon,
		Incarnation: t.Incarnation,
		Zone:        t.Zone,
		At:          t.At,
		Whole:       t.IncludesEarlier,
	}
	indexes := make(map[string]uint64)
	indexOf := func(name string) uint64 {
		index, ok := indexes[name]
		if !ok {
			index = uint64(len(d.Names))
			indexes[name] = index
			d.Names = append(d.Names, name)
		}
		return index
	}
	for _, b := range t.Buckets {
		s := bucketJSON{Start: b.Start.Unix(), Span: int64(b.Span / time.Second)}
		for _, c := range b.Cells {
			s.Cells = append(s.Cells, cellJSON{indexOf(string(c.Service)), indexOf(string(c.Account)), c.Calls, c.Failed, c.Slow})
		}
		d.Buckets = append(d.Buckets, s)
	}
	return json.Marshal(d)
}

// UnmarshalJSON implements [json.Unmarshaler]. It rejects unknown resolutions,
// unaligned buckets, indexes out of range and inconsistent counts, and then leaves
// the tally unchanged.
func (t *Tally) UnmarshalJSON(text []byte) (err error) {
	defer func() { err = errors.Wrap(err, "decode tally") }()
	var d tallyJSON
	err = json.Unmarshal(text, &d)
	if err != nil {
		return err
	}
	decoded := Tally{Daemon: d.Daemon, Incarnation: d.Incarnation, Zone: d.Zone, At: d.At, IncludesEarlier: d.Whole}
	for _, s := range d.Buckets {
		bucket, err := s.decode(d.Names)
		if err != nil {
			return err
		}
		decoded.Buckets = append(decoded.Buckets, bucket)
	}
	*t = decoded
	return nil
}

// maxCellCalls limits the calls of one decoded cell, so that sums do not overflow.
const maxCellCalls = 1 << 48

// resolutions are the valid spans of a bucket.
var resolutions = []time.Duration{Minute, FiveMinutes, Hour}

// decode validates and returns the bucket.
func (b bucketJSON) decode(names []string) (bucket Bucket, err error) {
	bucket = Bucket{Start: time.Unix(b.Start, 0).UTC(), Span: time.Duration(b.Span) * time.Second}
	if !slices.Contains(resolutions, bucket.Span) || !bucket.Start.Equal(bucket.Start.Truncate(bucket.Span)) {
		return Bucket{}, errors.Newf("bucket of %d s at %d has an unknown resolution or start", b.Span, b.Start)
	}
	for _, r := range b.Cells {
		if max(r[0], r[1]) >= uint64(len(names)) {
			return Bucket{}, errors.Newf("cell refers to name %d of %d", max(r[0], r[1]), len(names))
		}
		if r[2] > maxCellCalls || r[3] > r[2] || r[4] > r[2]-r[3] {
			return Bucket{}, errors.Newf("cell counts %d failed and %d slow of %d calls", r[3], r[4], r[2])
		}
		bucket.Cells = append(bucket.Cells, Cell{
			Pair:   Pair{Service: banyanplank.ServiceName(names[r[0]]), Account: banyanplank.AccountID(names[r[1]])},
			Counts: Counts{Calls: r[2], Failed: r[3], Slow: r[4]},
		})
	}
	return bucket, nil
}
