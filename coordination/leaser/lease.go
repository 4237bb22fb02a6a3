// Package leaser elects a single holder for a job, by a lease in the platform's
// object API.
//
// A lease is an object that its holder rewrites at intervals. Each new holder
// increments the fencing number in it. No clocks are compared between machines:
// a holder measures from before it sent the write that renewed the lease, and a
// candidate measures from after it read a version that has not changed since.
// The holder therefore stops first, however long the calls take, as long as the
// rates of both clocks differ by less than the margin. A holder that was paused
// past its deadline detects this with [Lease.IsHeld] before it acts. What it sent
// earlier carries an old fencing number.
//
// After the store returned from an older copy, in a new era, the lease may be gone or that of an
// earlier holder. A holder gives up the lease when it detects the era, and a candidate waits from
// its first read in that era, whatever the copy shows: by then any holder that it doesn't know of
// has stopped. Fencing numbers have the era in their upper half, so that those of a new era are
// higher than any before.
//
// A [Holder] holds a duty: a lease whose holder makes calls to a platform that may not check
// fencing numbers.
package leaser

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Timing of a lease.
const (
	// LeaseDuration is how long a candidate must see the lease unchanged before
	// it takes over.
	LeaseDuration = 20 * time.Second
	// RenewDeadline is how long a holder may act after a renewal. The rest of
	// [LeaseDuration] is the margin for clocks of different rates.
	RenewDeadline = 16 * time.Second
	// RenewInterval is the time between two renewals, and between two reads by a
	// candidate.
	RenewInterval = 4 * time.Second
	// RetryInterval is the time between two attempts after a failure.
	RetryInterval = time.Second
)

// eraShift is the position of the era in a fencing number. The lower bits count the terms.
const eraShift = 32

// Timing holds the times of a lease.
type Timing struct {
	// Term is how long a holder may act after it sent a write that was executed.
	Term time.Duration
	// Takeover is how long a candidate must see the lease unchanged before it takes over.
	Takeover time.Duration
	// Renew is the time between two renewals, and Retry between two attempts after a failure.
	Renew, Retry time.Duration
	// Read is the time between two reads by a candidate.
	Read time.Duration
	// Rest is the time within which no two holders may act in turns: a daemon that held
	// the lease before the one that released it waits this long. Zero means that they may.
	Rest time.Duration
}

// defaultTiming is the timing of leases between agents.
var defaultTiming = Timing{Term: RenewDeadline, Takeover: LeaseDuration, Renew: RenewInterval, Retry: RetryInterval, Read: RenewInterval}

// leaseRecord is the stored value of a lease.
type leaseRecord struct {
	Holder      banyanplank.DaemonID    `json:"holder"`
	Incarnation banyanplank.Incarnation `json:"incarnation"`
	Fence       uint64                  `json:"fence"`
	// Count makes successive values differ.
	Count uint64 `json:"count"`
	// Prior lists the daemons that held the lease shortly before, the latest last. If
	// there is no holder, the last one released it.
	Prior []banyanplank.DaemonID `json:"prior,omitempty"`
}

// Messages of a [Model], which also handles [banyanplank.TickMsg].
type (
	// ReadResultMsg is the result of a [ReadCmd]. The object's version is zero
	// if there is no lease, and its era is set in either case.
	ReadResultMsg struct {
		Object banyanplank.Object
		Err    error
	}
	// WriteResultMsg is the result of a [WriteCmd].
	WriteResultMsg struct {
		Command WriteCmd
		Sent    time.Time
		// Frozen is for how long the machine had been frozen in total when the write was
		// sent.
		Frozen time.Duration
		// Position is that of the write.
		Position banyanplank.Position
		Err      error
	}
	// ReleaseMsg releases the lease and stops competing for it.
	ReleaseMsg struct {
		// IsSilent keeps the release out of the store, so that others wait for the lease
		// to expire.
		IsSilent bool
		// Resume is when to compete again. Zero means never.
		Resume time.Time
	}
)

// Commands of a [Model].
type (
	// ReadCmd reads the lease.
	ReadCmd struct{}
	// WriteCmd writes the lease if its version is still Expect.
	WriteCmd struct {
		Value  []byte
		Expect banyanplank.Version
	}
)

// Lease is the state of a lease at one daemon. The zero value is not held.
type Lease struct {
	// Fence is the fencing number for all orders under the lease.
	Fence     uint64
	heldSince time.Time
	heldUntil time.Time
	// frozen is [WriteResultMsg.Frozen] of the write that extended the lease last.
	frozen time.Duration
}

// IsHeld reports whether the lease is held at now. Call it before each action
// under the lease.
func (l Lease) IsHeld(now time.Time) (held bool) {
	return l.Fence > 0 && now.Before(l.heldUntil)
}

// Model decides when to acquire, renew and release one lease. It implements
// [banyanplank.Model].
type Model struct {
	holder      banyanplank.DaemonID
	incarnation banyanplank.Incarnation
	timing      Timing
	lease       Lease
	// version and record are the last known state of the lease, unchangedSince
	// the time at which it was first seen.
	version        banyanplank.Version
	record         leaseRecord
	hasRead        bool
	unchangedSince time.Time
	// era is the latest known era of the store, and highestFence the highest fencing number
	// seen in any.
	era          banyanplank.Era
	highestFence uint64
	// uncertainWrites holds the writes with an unknown outcome, in the order of
	// sending.
	uncertainWrites []uncertainWrite
	writeCount      uint64
	callInFlight    bool
	nextCallAt      time.Time
	released        bool
	// resumeAt is when this daemon competes again after a release.
	resumeAt time.Time
	// releaseAfterCall is set while the record of a released lease waits for the call in flight.
	releaseAfterCall bool
}

// uncertainWrite is a write that may have taken effect. Its zero value stands
// for a conflict, which requires a read before the next write.
type uncertainWrite struct {
	value  string
	sentAt time.Time
	frozen time.Duration
}

// NewModel returns the model of a candidate that has made no call yet.
func NewModel(member banyanplank.Member) (m *Model) {
	return &Model{holder: member.ID, incarnation: member.Incarnation, timing: defaultTiming}
}

// Lease returns the current state of the lease.
func (m *Model) Lease() (lease Lease) { return m.lease }

// Update implements [banyanplank.Model].
func (m *Model) Update(now time.Time, msg banyanplank.Msg) (model banyanplank.Model, commands []banyanplank.Command) {
	switch msg := msg.(type) {
	case banyanplank.TickMsg:
		commands = m.tick(now)
	case ReadResultMsg:
		if commands = m.handleRead(now, msg); len(commands) == 0 {
			commands = m.continueRelease(now)
		}
	case WriteResultMsg:
		m.handleWrite(now, msg)
		commands = m.continueRelease(now)
	case banyanplank.PanicMsg:
		m.handlePanic(now, msg)
	case ReleaseMsg:
		commands = m.release(now, msg)
	}
	return m, commands
}

// handlePanic processes a call that panicked. A write may have taken effect; when it was
// sent is not known, so it extends no lease.
func (m *Model) handlePanic(now time.Time, msg banyanplank.PanicMsg) {
	switch command := msg.Command.(type) {
	case ReadCmd:
		m.handleRead(now, ReadResultMsg{Err: msg.Err})
	case WriteCmd:
		m.handleWrite(now, WriteResultMsg{Command: command, Err: msg.Err})
	}
}

// tick starts a call if one is due.
func (m *Model) tick(now time.Time) (commands []banyanplank.Command) {
	if m.callInFlight || m.released || now.Before(m.nextCallAt) || now.Before(m.resumeAt) {
		return nil
	}
	if m.lease.IsHeld(now) && len(m.uncertainWrites) == 0 {
		return m.beginWrite(now, m.lease.Fence)
	}
	m.callInFlight = true
	return []banyanplank.Command{ReadCmd{}}
}

// beginWrite returns the command that writes the lease with the given fencing
// number.
func (m *Model) beginWrite(now time.Time, fence uint64) (commands []banyanplank.Command) {
	m.writeCount++
	value, err := json.Marshal(leaseRecord{Holder: m.holder, Incarnation: m.incarnation, Fence: fence, Count: m.writeCount, Prior: m.priorHolders(now)})
	if err != nil {
		return nil
	}
	m.callInFlight = true
	return []banyanplank.Command{WriteCmd{Value: value, Expect: m.version}}
}

// priorHolders returns the daemons whose last action may be less than [Timing.Rest] ago. A
// lease that expired was unused for longer.
func (m *Model) priorHolders(now time.Time) (prior []banyanplank.DaemonID) {
	isSettled := m.lease.IsHeld(now) && now.Sub(m.lease.heldSince) >= m.timing.Rest
	if m.timing.Rest == 0 || isSettled || (!m.isOwnRecord() && m.record.Holder != "") {
		return nil
	}
	return m.record.Prior
}

// mustRest reports whether this daemon held the lease shortly before the one that released
// it, so that it has to wait for [Timing.Rest].
func (m *Model) mustRest(now time.Time) (rests bool) {
	prior := m.record.Prior
	if len(prior) == 0 || prior[len(prior)-1] == m.holder {
		return false
	}
	return slices.Contains(prior, m.holder) && now.Sub(m.unchangedSince) < m.timing.Rest
}

// handleRead processes a read of the lease. It renews a held lease, and takes
// over one that is free or has not changed for [Timing.Takeover].
func (m *Model) handleRead(now time.Time, msg ReadResultMsg) (commands []banyanplank.Command) {
	m.callInFlight = false
	m.nextCallAt = now.Add(m.timing.Read)
	if msg.Err != nil {
		m.nextCallAt = now.Add(m.timing.Retry)
		if errors.Is(msg.Err, errNotCandidate) {
			m.nextCallAt = now.Add(max(m.timing.Retry, RetryInterval))
		}
		return nil
	}
	if msg.Object.Era < m.era {
		m.nextCallAt = now.Add(m.timing.Retry)
		return nil // a late read
	}
	m.enterEra(msg.Object.Era)
	if !isReadable(msg.Object) {
		// Without the last fencing number, no greater one is known.
		m.lease = Lease{}
		return nil
	}
	m.updateRecord(now, msg.Object)
	switch {
	case m.released || now.Before(m.resumeAt):
		return nil
	case m.isOwnRecord() && m.isCurrent():
		// No other daemon held the lease since. The number stays, as a call with it may
		// still be on its way.
		return m.beginWrite(now, m.record.Fence)
	case now.Sub(m.unchangedSince) >= m.timing.Takeover:
		return m.beginWrite(now, m.nextFence())
	case !m.isCurrent():
		if takeoverAt := m.unchangedSince.Add(m.timing.Takeover); takeoverAt.Before(m.nextCallAt) {
			m.nextCallAt = takeoverAt
		}
		return nil
	case m.version == 0 || (m.record.Holder == "" && !m.mustRest(now)):
		return m.beginWrite(now, m.nextFence())
	default:
		return nil
	}
}

// enterEra forgets the lease and its record if an era is later than the known one: both are of
// the state that the store lost. The record of the copy counts as unchanged from the first response
// that shows it.
func (m *Model) enterEra(era banyanplank.Era) {
	if era <= m.era {
		return
	}
	m.era = era
	m.lease, m.version, m.record, m.hasRead = Lease{}, 0, leaseRecord{}, false
	m.releaseAfterCall = false
}

// isCurrent reports whether the last known record was written in the known era. In one of an
// earlier era, or where there is none, the record of another holder may be lost.
func (m *Model) isCurrent() (current bool) { return eraOf(m.record.Fence) >= m.era }

// nextFence returns a fencing number above all known ones and above those of earlier eras.
func (m *Model) nextFence() (fence uint64) {
	return max(m.record.Fence, m.highestFence, uint64(m.era)<<eraShift) + 1
}

// eraOf returns the era in a fencing number.
func eraOf(fence uint64) (era banyanplank.Era) { return banyanplank.Era(fence >> eraShift) }

// isReadable reports whether an object is a lease, or there is none.
func isReadable(object banyanplank.Object) (ok bool) {
	var record leaseRecord
	return object.Version == 0 || (json.Unmarshal(object.Value, &record) == nil && record.Fence > 0)
}

// updateRecord stores the lease as read. If the value is that of a write whose
// reply was lost, that write has taken effect and extends the lease.
func (m *Model) updateRecord(now time.Time, object banyanplank.Object) {
	if object.Version == 0 && m.version > 0 && slices.Contains(m.uncertainWrites, uncertainWrite{}) {
		// The write before conflicted, so the lease was deleted. The fencing number goes on.
		m.version, m.record, m.uncertainWrites, m.lease = 0, leaseRecord{Fence: m.record.Fence}, nil, Lease{}
		return
	}
	if object.Version < m.version {
		return // a stale read
	}
	if !m.hasRead || object.Version != m.version {
		m.hasRead, m.version, m.unchangedSince = true, object.Version, now
		m.record = leaseRecord{}
		// A lease that does not exist has no value.
		_ = json.Unmarshal(object.Value, &m.record)
		m.highestFence = max(m.highestFence, m.record.Fence)
	}
	for _, p := range m.uncertainWrites {
		if p.value == string(object.Value) {
			m.extendLease(now, p.sentAt, p.frozen)
		}
	}
	m.uncertainWrites = nil
	if !m.isOwnRecord() {
		m.lease = Lease{}
	}
}

// isOwnRecord reports whether the last known holder is this incarnation of the
// daemon.
func (m *Model) isOwnRecord() (own bool) {
	return m.record.Holder == m.holder && m.record.Incarnation == m.incarnation
}

// extendLease extends the lease by a successful write that was sent at the given
// time. One that was sent in an earlier era extends nothing.
func (m *Model) extendLease(now, sentAt time.Time, frozen time.Duration) {
	if m.released || now.Before(m.resumeAt) || !m.isCurrent() {
		return
	}
	if m.lease.Fence != m.record.Fence || !m.lease.IsHeld(now) {
		m.lease.Fence, m.lease.heldSince = m.record.Fence, now
	}
	if heldUntil := sentAt.Add(m.timing.Term); heldUntil.After(m.lease.heldUntil) {
		m.lease.heldUntil, m.lease.frozen = heldUntil, frozen
	}
}

// handleWrite processes the result of a write.
func (m *Model) handleWrite(now time.Time, msg WriteResultMsg) {
	m.callInFlight = false
	m.nextCallAt = now.Add(m.timing.Retry)
	if msg.Err == nil {
		m.enterEra(msg.Position.Era)
	}
	switch {
	case msg.Err == nil && msg.Position.Era < m.era:
		// The store may have lost this write.
	case msg.Err == nil:
		m.nextCallAt = now.Add(m.timing.Renew)
		m.version, m.hasRead, m.unchangedSince, m.uncertainWrites = msg.Position.Revision, true, now, nil
		if json.Unmarshal(msg.Command.Value, &m.record) == nil && m.isOwnRecord() {
			m.highestFence = max(m.highestFence, m.record.Fence)
			m.extendLease(now, msg.Sent, msg.Frozen)
		}
	case errors.Is(msg.Err, banyanplank.ErrConflict):
		m.uncertainWrites = append(m.uncertainWrites, uncertainWrite{})
		m.nextCallAt = now
	case errors.Is(msg.Err, banyanplank.ErrUnavailable):
	default:
		m.uncertainWrites = append(m.uncertainWrites, uncertainWrite{value: string(msg.Command.Value), sentAt: msg.Sent, frozen: msg.Frozen})
	}
}

// release gives up the lease. A record without a holder lets the next candidate
// take over without waiting for [Timing.Takeover].
func (m *Model) release(now time.Time, msg ReleaseMsg) (commands []banyanplank.Command) {
	held := m.lease.IsHeld(now)
	m.released = msg.Resume.IsZero()
	m.lease = Lease{}
	m.resumeAt = msg.Resume
	m.releaseAfterCall = held && !msg.IsSilent
	return m.continueRelease(now)
}

// continueRelease returns the command that writes a record without a holder, once no other
// write is in flight whose version it would not know.
func (m *Model) continueRelease(now time.Time) (commands []banyanplank.Command) {
	if !m.releaseAfterCall || m.callInFlight {
		return nil
	}
	m.releaseAfterCall = false
	if !m.isOwnRecord() || len(m.uncertainWrites) > 0 {
		return nil
	}
	m.lease = Lease{}
	prior := m.record.Prior
	if m.timing.Rest > 0 {
		prior = append(slices.Clone(prior), m.holder)
	}
	value, err := json.Marshal(leaseRecord{Fence: m.record.Fence, Prior: prior})
	if err != nil {
		return nil
	}
	m.callInFlight = true
	return []banyanplank.Command{WriteCmd{Value: value, Expect: m.version}}
}
