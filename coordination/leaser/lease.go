// Package leaser gives one job at a time to one holder, by a lease in the
// platform's object API.
//
// A lease is an object that its holder writes again and again. Each new holder
// raises the fencing number in it. Nobody compares clocks: a holder counts its
// time from before it sent the write that renewed the lease, and a candidate
// counts from after it read the version that it sees unchanged. So the holder
// stops first, however slow the calls are, as long as both clocks run at the
// same pace within the margin. A holder that was paused past its time finds out
// from [Lease.Held] before it acts; what it sent before carries an old fencing
// number.
package leaser

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Times of a lease.
const (
	// Term is how long a candidate waits for a sign of the holder.
	Term = 20 * time.Second
	// Safe is how long a holder trusts a renewal. The rest of [Term] is the
	// margin for clocks of different pace.
	Safe = 16 * time.Second
	// RenewInterval is the time between two renewals, and between two looks of
	// a candidate.
	RenewInterval = 4 * time.Second
	// RetryInterval is the time between two tries after a failure.
	RetryInterval = time.Second
)

// content is the value of the lease's object.
type content struct {
	Holder      banyanplank.DaemonID    `json:"holder"`
	Incarnation banyanplank.Incarnation `json:"incarnation"`
	Fence       uint64                  `json:"fence"`
	// Count makes successive values differ.
	Count uint64 `json:"count"`
}

// The messages of a [Model]. It also takes [banyanplank.TickMsg].
type (
	// ReadMsg ends a [ReadCmd]. The version is zero when there is no lease.
	ReadMsg struct {
		Object banyanplank.Object
		Err    error
	}
	// WroteMsg ends a [WriteCmd].
	WroteMsg struct {
		Command WriteCmd
		Sent    time.Time
		Version banyanplank.Version
		Err     error
	}
	// ReleaseMsg gives the lease up and stops asking for it.
	ReleaseMsg struct{}
)

// The commands of a [Model].
type (
	// ReadCmd reads the lease.
	ReadCmd struct{}
	// WriteCmd writes the lease if it still has the version Expect.
	WriteCmd struct {
		Value  []byte
		Expect banyanplank.Version
	}
)

// Lease tells what a daemon holds.
type Lease struct {
	// Fence is the fencing number for all orders under the lease.
	Fence uint64
	until time.Time
}

// Held reports whether the lease is held at now. Ask before each act.
func (l Lease) Held(now time.Time) (held bool) {
	return l.Fence > 0 && now.Before(l.until)
}

// Model decides when to take, renew and stop using one lease. It implements
// [banyanplank.Model].
type Model struct {
	holder      banyanplank.DaemonID
	incarnation banyanplank.Incarnation
	lease       Lease
	// version, held and since are what was last seen, and when first.
	version banyanplank.Version
	held    content
	known   bool
	since   time.Time
	// pending are writes whose reply was lost, in the order of sending.
	pending  []sentWrite
	count    uint64
	busy     bool
	due      time.Time
	released bool
}

// sentWrite is a write that may have taken effect.
type sentWrite struct {
	value string
	sent  time.Time
}

// NewModel returns a candidate that has not asked yet.
func NewModel(member banyanplank.Member) (m *Model) {
	return &Model{holder: member.ID, incarnation: member.Incarnation}
}

// Lease returns what is held.
func (m *Model) Lease() (lease Lease) { return m.lease }

// Update implements [banyanplank.Model].
func (m *Model) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	switch msg := msg.(type) {
	case banyanplank.TickMsg:
		commands = m.tick(now)
	case ReadMsg:
		commands = m.read(now, msg)
	case WroteMsg:
		m.wrote(now, msg)
	case ReleaseMsg:
		commands = m.release(now)
	}
	return m, commands
}

// tick begins a call when one is due.
func (m *Model) tick(now time.Time) (commands []banyanplank.Command) {
	if m.busy || m.released || now.Before(m.due) {
		return nil
	}
	if m.lease.Held(now) && len(m.pending) == 0 {
		return m.write(m.lease.Fence)
	}
	m.busy = true
	return []banyanplank.Command{ReadCmd{}}
}

// write asks to write the lease with the fencing number.
func (m *Model) write(fence uint64) (commands []banyanplank.Command) {
	m.count++
	value, err := json.Marshal(content{Holder: m.holder, Incarnation: m.incarnation, Fence: fence, Count: m.count})
	if err != nil {
		return nil
	}
	m.busy = true
	return []banyanplank.Command{WriteCmd{Value: value, Expect: m.version}}
}

// read takes in the lease, and takes it over when its holder gave no sign for
// a whole term.
func (m *Model) read(now time.Time, msg ReadMsg) (commands []banyanplank.Command) {
	m.busy = false
	m.due = now.Add(RenewInterval)
	if msg.Err != nil {
		m.due = now.Add(RetryInterval)
		return nil
	}
	m.see(now, msg.Object)
	switch {
	case m.released:
		return nil
	case m.isOurs() && m.lease.Held(now):
		return m.write(m.lease.Fence)
	case m.isOurs() || m.version == 0 || m.held.Holder == "" || now.Sub(m.since) >= Term:
		return m.write(m.held.Fence + 1)
	default:
		return nil
	}
}

// see notes the lease as read. A write of ours whose reply was lost shows here
// that it took effect.
func (m *Model) see(now time.Time, object banyanplank.Object) {
	if object.Version < m.version {
		return // a stale read
	}
	if !m.known || object.Version != m.version {
		m.known, m.version, m.since = true, object.Version, now
		m.held = content{}
		if len(object.Value) > 0 && json.Unmarshal(object.Value, &m.held) != nil {
			m.held = content{}
		}
	}
	for _, p := range m.pending {
		if p.value == string(object.Value) {
			m.hold(p.sent)
		}
	}
	m.pending = nil
	if !m.isOurs() {
		m.lease = Lease{}
	}
}

// isOurs reports whether this run of the daemon holds the lease as last seen.
func (m *Model) isOurs() (ours bool) {
	return m.held.Holder == m.holder && m.held.Incarnation == m.incarnation
}

// hold notes that a write sent at a time made or kept this daemon the holder.
func (m *Model) hold(sent time.Time) {
	m.lease.Fence = m.held.Fence
	if until := sent.Add(Safe); until.After(m.lease.until) {
		m.lease.until = until
	}
}

// wrote takes in the end of a write.
func (m *Model) wrote(now time.Time, msg WroteMsg) {
	m.busy = false
	m.due = now.Add(RetryInterval)
	switch {
	case msg.Err == nil:
		m.due = now.Add(RenewInterval)
		m.version, m.since, m.pending = msg.Version, now, nil
		if json.Unmarshal(msg.Command.Value, &m.held) == nil && m.isOurs() {
			m.hold(msg.Sent)
		}
	case errors.Is(msg.Err, banyanplank.ErrConflict):
		m.pending = append(m.pending, sentWrite{})
		m.due = now
	case errors.Is(msg.Err, banyanplank.ErrUnavailable):
	default:
		m.pending = append(m.pending, sentWrite{value: string(msg.Command.Value), sent: msg.Sent})
	}
}

// release gives the lease up: a holder that is not named lets the next
// candidate in at once.
func (m *Model) release(now time.Time) (commands []banyanplank.Command) {
	held := m.lease.Held(now)
	m.released = true
	fence := m.lease.Fence
	m.lease = Lease{}
	if !held {
		return nil
	}
	value, err := json.Marshal(content{Fence: fence})
	if err != nil {
		return nil
	}
	return []banyanplank.Command{WriteCmd{Value: value, Expect: m.version}}
}
