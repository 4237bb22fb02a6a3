package switcher

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// fill adds the orders that the pace allows since the last call. At most one
// second's worth, and at least one order, is saved up.
func (c *Coordinator) fill(now time.Time) {
	if !c.filled.IsZero() {
		c.saved += c.pace * now.Sub(c.filled).Seconds()
	}
	c.saved = min(c.saved, max(1, c.pace))
	c.filled = now
}

// beginSettling starts a survey of all ranks.
func (c *Coordinator) beginSettling() {
	c.phase = Settling
	c.round = c.serial
}

// settle asks every rank to forget what it has prepared. When all have done so
// none is armed any more, so the map that they all name stays in use.
func (c *Coordinator) settle(now time.Time) (commands []banyanplank.Command) {
	if c.isSurveyed() {
		if id, ok := c.agreedMap(); ok {
			return c.endSettling(now, id)
		}
		c.round = c.serial
	}
	for _, rank := range c.byTurn() {
		if c.ranks[rank].accepted > c.round {
			continue
		}
		order := banyanplank.Order{Kind: banyanplank.OrderAbort, Fence: c.fence}
		commands = append(commands, c.order(now, rank, OrderCmd{Order: order})...)
	}
	return commands
}

// isSurveyed reports whether every rank has answered since the survey began.
func (c *Coordinator) isSurveyed() bool {
	for i := range c.ranks {
		if c.ranks[i].accepted <= c.round {
			return false
		}
	}
	return true
}

// agreedMap returns the map that all ranks use, if none has another prepared.
func (c *Coordinator) agreedMap() (id banyanplank.MapID, ok bool) {
	id = c.ranks[0].status.Map
	for i := range c.ranks {
		s := c.ranks[i].status
		if s.Map != id || s.Prepared != 0 || s.Armed != 0 {
			return 0, false
		}
	}
	return id, true
}

// endSettling takes note of the map in use.
func (c *Coordinator) endSettling(now time.Time, id banyanplank.MapID) (commands []banyanplank.Command) {
	c.inUse = id
	c.phase = Recording
	kind := EventSettled
	if _, ok := c.record.Map(id); !ok {
		kind = EventUnknown
	}
	commands = []banyanplank.Command{EventCmd{Kind: kind, Fence: c.fence, Map: id}}
	if c.record.Current == id && c.record.Pending == 0 {
		c.phase = Idle
		c.polled = now
		return commands
	}
	return append(commands, c.write(now, c.record.settled(id))...)
}

// watch asks the ranks for their status now and then.
func (c *Coordinator) watch(now time.Time) (commands []banyanplank.Command) {
	if now.Sub(c.polled) >= c.poll {
		c.polled = now
		c.round = c.serial
	}
	for _, rank := range c.byTurn() {
		if c.ranks[rank].accepted > c.round || !c.mayAsk(now, rank) {
			continue
		}
		commands = append(commands, StatusCmd{Rank: rank, Serial: c.next(now, rank), Fence: c.fence})
	}
	return commands
}

// bring gives each rank the order that it needs next on the way to the target
// map. No order to switch goes out before all ranks have it prepared.
func (c *Coordinator) bring(now time.Time) (commands []banyanplank.Command) {
	if !now.Before(c.deadline) {
		c.beginSettling()
		return append([]banyanplank.Command{EventCmd{Kind: EventGivenUp, Fence: c.fence, Map: c.target.ID}}, c.settle(now)...)
	}
	ready := c.isPrepared()
	if ready && !c.prepared {
		c.prepared = true
		commands = append(commands, EventCmd{Kind: EventPrepared, Fence: c.fence, Map: c.target.ID})
	}
	for _, rank := range c.byTurn() {
		commands = append(commands, c.serve(now, rank, ready)...)
	}
	return commands
}

// need is what a rank needs next on the way to the target map.
type need uint8

// The needs of a rank, the most urgent first.
const (
	needPrepare need = iota
	needArm
	needQuery
)

// needOf returns what a rank needs. A rank that is loading, or is armed, only
// needs to be asked now and then.
func (c *Coordinator) needOf(rank int, ready bool) (n need) {
	s := c.ranks[rank].status
	switch {
	case s.Prepared != c.target.ID && s.Loading != c.target.ID:
		return needPrepare
	case ready && s.Armed != c.target.ID:
		return needArm
	default:
		return needQuery
	}
}

// byTurn returns the ranks in the order in which they are served: those that
// have waited longest first, so that the pace starves none.
func (c *Coordinator) byTurn() (order []int) {
	order = make([]int, len(c.ranks))
	for rank := range order {
		order[rank] = rank
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return c.ranks[a].sentAt.Compare(c.ranks[b].sentAt)
	})
	return order
}

// serve gives a rank what it needs. A need that has not changed since the last
// order is served again only after the retry time.
func (c *Coordinator) serve(now time.Time, rank int, ready bool) (commands []banyanplank.Command) {
	n := c.needOf(rank, ready)
	r := &c.ranks[rank]
	if r.asked == n && now.Sub(r.sentAt) < c.retry || !c.mayAsk(now, rank) {
		return nil
	}
	r.asked = n
	switch n {
	case needPrepare:
		return c.order(now, rank, c.prepareCmd())
	case needArm:
		order := banyanplank.Order{Kind: banyanplank.OrderSwitch, Fence: c.fence, Map: uint64(c.target.ID), Step: c.nextStep()}
		return c.order(now, rank, OrderCmd{Order: order})
	default:
		return c.query(now, rank)
	}
}

// prepareCmd returns the order to prepare the target map.
func (c *Coordinator) prepareCmd() OrderCmd {
	order := banyanplank.Order{Kind: banyanplank.OrderPrepare, Fence: c.fence, Map: uint64(c.target.ID)}
	command := OrderCmd{Order: order, Map: &c.target}
	if base, ok := c.record.Map(c.inUse); ok {
		command.Base = &base
	}
	return command
}

// isPrepared reports whether all ranks have the target map prepared.
func (c *Coordinator) isPrepared() bool {
	for i := range c.ranks {
		if c.ranks[i].status.Prepared != c.target.ID {
			return false
		}
	}
	return true
}

// nextStep returns the first step that no rank is known to have begun.
func (c *Coordinator) nextStep() (step uint64) {
	for i := range c.ranks {
		step = max(step, c.ranks[i].status.Step)
	}
	return step + 1
}

// order gives a rank an order, unless it still owes a reply or the pace does
// not allow it.
func (c *Coordinator) order(now time.Time, rank int, command OrderCmd) (commands []banyanplank.Command) {
	if !c.mayAsk(now, rank) {
		return nil
	}
	command.Rank = rank
	command.Serial = c.next(now, rank)
	return []banyanplank.Command{command}
}

// query asks a rank for its status.
func (c *Coordinator) query(now time.Time, rank int) (commands []banyanplank.Command) {
	return []banyanplank.Command{StatusCmd{Rank: rank, Serial: c.next(now, rank), Fence: c.fence}}
}

// mayAsk reports whether a rank may get another order or query now.
func (c *Coordinator) mayAsk(now time.Time, rank int) bool {
	r := &c.ranks[rank]
	waits := r.sent > r.accepted && now.Sub(r.sentAt) < c.retry
	return !waits && c.saved >= 1
}

// next counts an order or query to a rank and returns its serial number.
func (c *Coordinator) next(now time.Time, rank int) (serial uint64) {
	c.saved--
	c.serial++
	c.ranks[rank].sent = c.serial
	c.ranks[rank].sentAt = now
	return c.serial
}

// takeReply takes in what a rank has answered.
func (c *Coordinator) takeReply(msg ReplyMsg) (commands []banyanplank.Command) {
	if c.phase == Standby || msg.Serial <= c.since || msg.Rank < 0 || msg.Rank >= len(c.ranks) {
		return nil
	}
	r := &c.ranks[msg.Rank]
	if errors.Is(msg.Err, ErrOldFence) {
		c.resign()
		return []banyanplank.Command{EventCmd{Kind: EventResigned, Fence: c.fence, Err: msg.Err}}
	}
	if msg.Err != nil || msg.Serial <= r.accepted || msg.Serial > r.sent {
		return nil
	}
	r.accepted = msg.Serial
	r.status = msg.Status
	return c.judgeStatus(r.status)
}

// judgeStatus decides what a rank's status means for the phase.
func (c *Coordinator) judgeStatus(status banyanplank.RankStatus) (commands []banyanplank.Command) {
	switch c.phase {
	case Idle:
		if status.Map != c.inUse || status.Prepared != 0 || status.Armed != 0 {
			c.beginSettling()
		}
	case Switching:
		if status.Map == c.inUse {
			return nil
		}
		c.beginSettling()
		if status.Map == c.target.ID {
			return []banyanplank.Command{EventCmd{Kind: EventSwitched, Fence: c.fence, Map: c.target.ID}}
		}
	}
	return nil
}
