package sharer

import (
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The encoding is one byte of version, one of the number of services, and for each:
//
//	name       1 byte of length and the bytes
//	returning  4 bytes, an IEEE 754 single in network order, as all demand
//	recent     4 bytes
//	priorities 1 byte of number, then 19 bytes each: 1 of priority, 4 of demand,
//	           4 of unlisted demand, 2 of the number of unlisted accounts, 8 of sketch
//	accounts   1 byte of number, then 6 bytes and the name each: 1 of priority,
//	           4 of demand, 1 of the length of the name
const (
	// encodingVersion is the first byte of an encoded summary.
	encodingVersion = 1
	priorityBytes   = 19
	// accountBytes is the size of an account without its name.
	accountBytes = 6
	// MaxDemandBytes is the maximum size of an encoded summary: 4422 bytes. With names of
	// 12 bytes and three priorities, a summary has at most 1186 bytes.
	MaxDemandBytes = 2 + MaxServices*(1+MaxNameBytes+4+4+1+MaxPriorities*priorityBytes+1+MaxAccounts*(accountBytes+MaxNameBytes))
)

// EncodeDemand returns a summary as bytes for a heartbeat, at most [MaxDemandBytes]. An
// empty summary has bytes too, and has to be sent: it shows that the entry has no demand,
// whereas that of an entry which sends no summary is estimated. It fails for a summary that exceeds a limit of this
// package or has a demand that is negative or not finite.
func EncodeDemand(demand []ServiceDemand) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode demand") }()
	if len(demand) > MaxServices {
		return nil, errors.Newf("%d services exceed the limit of %d", len(demand), MaxServices)
	}
	e := encoder{data: make([]byte, 0, 512)}
	e.data = append(e.data, encodingVersion, byte(len(demand)))
	for i := range demand {
		e.service(&demand[i])
	}
	if e.err != nil {
		return nil, e.err
	}
	return e.data, nil
}

// encoder appends to a summary until the first error.
type encoder struct {
	data []byte
	err  error
}

func (e *encoder) service(d *ServiceDemand) {
	e.name(string(d.Service))
	e.perSecond(d.Returning)
	e.perSecond(d.Recent)
	e.count(len(d.Priorities), MaxPriorities, "priorities")
	for _, p := range d.Priorities {
		e.priority(p.Priority)
		e.perSecond(p.PerSecond)
		e.perSecond(p.Unlisted)
		e.data = binary.BigEndian.AppendUint16(e.data, uint16(min(max(0, p.UnlistedAccounts), math.MaxUint16)))
		e.data = binary.BigEndian.AppendUint64(e.data, p.Sketch)
	}
	e.count(len(d.Accounts), MaxAccounts, "accounts")
	for _, a := range d.Accounts {
		e.priority(a.Priority)
		e.perSecond(a.PerSecond)
		e.name(string(a.Account))
	}
}

// fail records the first error.
func (e *encoder) fail(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *encoder) count(n, limit int, what string) {
	if n > limit {
		e.fail(errors.Newf("%d %s exceed the limit of %d", n, what, limit))
	}
	e.data = append(e.data, byte(n))
}

func (e *encoder) name(name string) {
	if len(name) > MaxNameBytes {
		e.fail(errors.Newf("name of %d bytes exceeds the limit of %d", len(name), MaxNameBytes))
	}
	e.data = append(e.data, byte(len(name)))
	e.data = append(e.data, name...)
}

func (e *encoder) priority(priority int) {
	if priority < 0 || priority >= MaxPriorities {
		e.fail(errors.Newf("priority %d is outside of 0 to %d", priority, MaxPriorities-1))
	}
	e.data = append(e.data, byte(priority))
}

func (e *encoder) perSecond(demand float64) {
	if !(demand >= 0 && demand <= maxDemand) {
		e.fail(errors.Newf("demand %v is outside of 0 to %v", demand, maxDemand))
	}
	e.data = binary.BigEndian.AppendUint32(e.data, math.Float32bits(float32(demand)))
}

// DecodeDemand is the inverse of [EncodeDemand], up to the precision of an IEEE 754
// single. It fails for data that is truncated, of another version, beyond a limit of this
// package, or followed by other bytes. No bytes are no summary and not an empty one: don't
// decode or merge them.
func DecodeDemand(data []byte) (demand []ServiceDemand, err error) {
	defer func() { err = errors.Wrap(err, "decode demand") }()
	if len(data) > MaxDemandBytes {
		return nil, errors.Newf("%d bytes exceed the limit of %d", len(data), MaxDemandBytes)
	}
	d := decoder{data: data}
	if version := d.byte(); version != encodingVersion {
		return nil, errors.Newf("version %d is unknown", version)
	}
	for range d.count(MaxServices, "services") {
		demand = append(demand, d.service())
	}
	if d.err == nil && len(d.data) > 0 {
		d.fail(errors.Newf("%d bytes follow the summary", len(d.data)))
	}
	if d.err != nil {
		return nil, d.err
	}
	return demand, nil
}

// decoder consumes a summary. After the first error, it returns zeros.
type decoder struct {
	data []byte
	err  error
}

func (d *decoder) service() (s ServiceDemand) {
	s.Service = banyanplank.ServiceName(d.name())
	s.Returning = d.perSecond()
	s.Recent = d.perSecond()
	for range d.count(MaxPriorities, "priorities") {
		p := PriorityDemand{Priority: d.priority(), PerSecond: d.perSecond(), Unlisted: d.perSecond()}
		if n := d.take(2); n != nil {
			p.UnlistedAccounts = int(binary.BigEndian.Uint16(n))
		}
		if sketch := d.take(8); sketch != nil {
			p.Sketch = binary.BigEndian.Uint64(sketch)
		}
		s.Priorities = append(s.Priorities, p)
	}
	for range d.count(MaxAccounts, "accounts") {
		a := AccountDemand{Priority: d.priority(), PerSecond: d.perSecond()}
		a.Account = banyanplank.AccountID(d.name())
		s.Accounts = append(s.Accounts, a)
	}
	return s
}

// fail records the first error.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

// take returns the next n bytes, or nil after an error.
func (d *decoder) take(n int) (taken []byte) {
	if d.err == nil && len(d.data) < n {
		d.fail(errors.Newf("%d bytes are missing", n-len(d.data)))
	}
	if d.err != nil {
		return nil
	}
	taken, d.data = d.data[:n], d.data[n:]
	return taken
}

func (d *decoder) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) count(limit int, what string) (n int) {
	if n = int(d.byte()); n > limit {
		d.fail(errors.Newf("%d %s exceed the limit of %d", n, what, limit))
		return 0
	}
	return n
}

func (d *decoder) name() string {
	n := int(d.byte())
	if n > MaxNameBytes {
		d.fail(errors.Newf("name of %d bytes exceeds the limit of %d", n, MaxNameBytes))
	}
	return string(d.take(n))
}

func (d *decoder) priority() (priority int) {
	if priority = int(d.byte()); priority >= MaxPriorities {
		d.fail(errors.Newf("priority %d is outside of 0 to %d", priority, MaxPriorities-1))
	}
	return priority
}

func (d *decoder) perSecond() (demand float64) {
	b := d.take(4)
	if b == nil {
		return 0
	}
	demand = float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
	if !(demand >= 0 && demand <= maxDemand) {
		d.fail(errors.Newf("demand %v is outside of 0 to %v", demand, maxDemand))
	}
	return demand
}
