package switcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// claimRecord reads the group's record and writes the coordinator's fencing
// number into it.
func (c *Coordinator) claimRecord(now time.Time) (commands []banyanplank.Command) {
	if !c.recordKnown {
		return c.readRecord(now)
	}
	if c.record.Fence == c.fence {
		c.startSettling()
		return append([]banyanplank.Command{EventCmd{Kind: EventClaimed, Fence: c.fence, Map: c.record.Current}}, c.continueSettling(now)...)
	}
	return c.writeRecord(now, c.record.claimed(c.fence))
}

// readRecord returns a command to read the record, one store call at a time.
func (c *Coordinator) readRecord(now time.Time) (commands []banyanplank.Command) {
	if c.storeCallPending || now.Before(c.storeRetryAt) {
		return nil
	}
	c.storeCallPending = true
	return []banyanplank.Command{ReadRecordCmd{}}
}

// writeRecord returns a command to replace the record, one store call at a time.
// It reads the record first if its version is unknown.
func (c *Coordinator) writeRecord(now time.Time, next Record) (commands []banyanplank.Command) {
	if !c.recordKnown {
		return c.readRecord(now)
	}
	if c.storeCallPending || now.Before(c.storeRetryAt) {
		return nil
	}
	c.storeCallPending = true
	return []banyanplank.Command{WriteRecordCmd{Record: next.clone(), Expect: c.recordVersion}}
}

// handleRecord processes the result of a read or write. After a conflict or an
// uncertain write the record is read again; other errors are retried after the
// retry interval.
func (c *Coordinator) handleRecord(now time.Time, msg RecordMsg) (commands []banyanplank.Command) {
	c.storeCallPending = false
	if c.phase == Standby {
		return nil
	}
	switch {
	case msg.Err == nil && msg.Version < c.recordVersion:
		return nil
	case msg.Err == nil:
		c.record, c.recordVersion, c.recordKnown = msg.Record.clone(), msg.Version, true
	case errors.Is(msg.Err, banyanplank.ErrNotFound):
		c.record, c.recordVersion, c.recordKnown = c.initialRecord(), 0, true
	case errors.Is(msg.Err, banyanplank.ErrConflict), errors.Is(msg.Err, banyanplank.ErrUncertain):
		c.recordKnown = false
		return nil
	default:
		c.storeRetryAt = now.Add(c.retryInterval)
		return nil
	}
	return c.applyRecord(now)
}

// handlePanic ends a store call that panicked. A write may have taken effect, so
// the record is read again.
func (c *Coordinator) handlePanic(msg banyanplank.PanicMsg) {
	switch msg.Command.(type) {
	case ReadRecordCmd, WriteRecordCmd:
		c.storeCallPending = false
		c.recordKnown = false
	}
}

// initialRecord returns the record of a group that no coordinator has claimed.
func (c *Coordinator) initialRecord() Record {
	return Record{
		Group:   c.group,
		Current: c.initial.ID,
		Maps:    []banyanplank.ExpertMap{c.initial},
	}
}

// applyRecord checks the record just read or written and advances the phase. A
// record with a later fencing number makes the coordinator resign.
func (c *Coordinator) applyRecord(now time.Time) (commands []banyanplank.Command) {
	if c.record.Fence > c.fence {
		fence := c.record.Fence
		c.resign()
		return []banyanplank.Command{EventCmd{Kind: EventResigned, Fence: fence, Err: ErrOldFence}}
	}
	if err := c.record.check(c.group, c.shape); err != nil {
		c.recordKnown = false
		c.storeRetryAt = now.Add(c.retryInterval)
		return []banyanplank.Command{EventCmd{Kind: EventRefused, Fence: c.fence, Map: c.record.Current, Err: err}}
	}
	switch {
	case c.phase == Recording && c.record.Current == c.mapInUse && c.record.Pending == 0:
		c.phase = Idle
		c.polledAt = now
	case c.phase == Announcing && c.record.Pending == c.target.ID:
		c.phase = Switching
	}
	return nil
}
