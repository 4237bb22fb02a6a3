package switcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// claim reads the group's record and writes the own fencing number into it.
func (c *Coordinator) claim(now time.Time) (commands []banyanplank.Command) {
	if !c.known {
		return c.read(now)
	}
	if c.record.Fence == c.fence {
		c.beginSettling()
		return append([]banyanplank.Command{EventCmd{Kind: EventClaimed, Fence: c.fence, Map: c.record.Current}}, c.settle(now)...)
	}
	return c.write(now, c.record.claimed(c.fence))
}

// read asks for the record, one call at a time.
func (c *Coordinator) read(now time.Time) (commands []banyanplank.Command) {
	if c.storing || now.Before(c.storeAt) {
		return nil
	}
	c.storing = true
	return []banyanplank.Command{ReadRecordCmd{}}
}

// write asks to replace the record, one call at a time.
func (c *Coordinator) write(now time.Time, next Record) (commands []banyanplank.Command) {
	if !c.known {
		return c.read(now)
	}
	if c.storing || now.Before(c.storeAt) {
		return nil
	}
	c.storing = true
	return []banyanplank.Command{WriteRecordCmd{Record: next.clone(), Expect: c.version}}
}

// takeRecord takes in the outcome of a read or write.
func (c *Coordinator) takeRecord(now time.Time, msg RecordMsg) (commands []banyanplank.Command) {
	c.storing = false
	if c.phase == Standby {
		return nil
	}
	switch {
	case msg.Err == nil && msg.Version < c.version:
		return nil
	case msg.Err == nil:
		c.record, c.version, c.known = msg.Record.clone(), msg.Version, true
	case errors.Is(msg.Err, banyanplank.ErrNotFound):
		c.record, c.version, c.known = c.firstRecord(), 0, true
	case errors.Is(msg.Err, banyanplank.ErrConflict), errors.Is(msg.Err, banyanplank.ErrUncertain):
		c.known = false
		return nil
	default:
		c.storeAt = now.Add(c.retry)
		return nil
	}
	return c.judgeRecord(now)
}

// takePanic ends a call to the store that failed in the middle. A write may
// have taken effect.
func (c *Coordinator) takePanic(msg banyanplank.PanicMsg) {
	switch msg.Command.(type) {
	case ReadRecordCmd, WriteRecordCmd:
		c.storing = false
		c.known = false
	}
}

// firstRecord is the record of a group that no coordinator has claimed.
func (c *Coordinator) firstRecord() Record {
	return Record{
		Group:   c.group,
		Current: c.initial.ID,
		Maps:    []banyanplank.ExpertMap{c.initial},
	}
}

// judgeRecord decides what the record as it now stands means for the phase.
func (c *Coordinator) judgeRecord(now time.Time) (commands []banyanplank.Command) {
	if c.record.Fence > c.fence {
		fence := c.record.Fence
		c.resign()
		return []banyanplank.Command{EventCmd{Kind: EventResigned, Fence: fence, Err: ErrOldFence}}
	}
	if err := c.record.check(c.group, c.shape); err != nil {
		c.known = false
		c.storeAt = now.Add(c.retry)
		return []banyanplank.Command{EventCmd{Kind: EventRefused, Fence: c.fence, Map: c.record.Current, Err: err}}
	}
	switch {
	case c.phase == Recording && c.record.Current == c.inUse && c.record.Pending == 0:
		c.phase = Idle
		c.polled = now
	case c.phase == Announcing && c.record.Pending == c.target.ID:
		c.phase = Switching
	}
	return nil
}
