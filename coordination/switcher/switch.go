package switcher

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// refillOrderTokens adds the tokens accrued since the last call. The bucket
// holds the tokens of one second, but at least one, so that a rate below one
// order per second still sends.
func (c *Coordinator) refillOrderTokens(now time.Time) {
	if !c.refilledAt.IsZero() {
		c.orderTokens += c.ordersPerSecond * now.Sub(c.refilledAt).Seconds()
	}
	c.orderTokens = min(c.orderTokens, max(1, c.ordersPerSecond))
	c.refilledAt = now
}

// startSettling starts a survey of all ranks to find the map in use.
func (c *Coordinator) startSettling() {
	c.phase = Settling
	c.surveyStartSerial = c.lastSerial
}

// continueSettling orders every rank to abort. Once all ranks have replied, none
// is armed any more, so the map that they all report stays in use. Replies that
// differ start the survey again.
func (c *Coordinator) continueSettling(now time.Time) (commands []banyanplank.Command) {
	if c.hasSurveyCompleted() {
		if id, ok := c.agreedMap(); ok {
			return c.finishSettling(now, id)
		}
		c.surveyStartSerial = c.lastSerial
	}
	for _, rank := range c.ranksBySendTime() {
		if c.ranks[rank].repliedSerial > c.surveyStartSerial {
			continue
		}
		order := banyanplank.Order{Kind: banyanplank.OrderAbort, Fence: c.fence}
		commands = append(commands, c.sendOrder(now, rank, OrderCmd{Order: order})...)
	}
	return commands
}

// hasSurveyCompleted reports whether every rank has replied to a call sent since
// the survey started.
func (c *Coordinator) hasSurveyCompleted() bool {
	for i := range c.ranks {
		if c.ranks[i].repliedSerial <= c.surveyStartSerial {
			return false
		}
	}
	return true
}

// agreedMap returns the map that all ranks use. It returns false if they use
// different maps or if any rank has a map prepared or armed.
func (c *Coordinator) agreedMap() (id banyanplank.MapID, ok bool) {
	id = c.ranks[0].status.Map
	for i := range c.ranks {
		status := c.ranks[i].status
		if status.Map != id || status.Prepared != 0 || status.Armed != 0 {
			return 0, false
		}
	}
	return id, true
}

// finishSettling sets the map in use and writes it into the record unless the
// record already has it as current with none pending.
func (c *Coordinator) finishSettling(now time.Time, id banyanplank.MapID) (commands []banyanplank.Command) {
	c.mapInUse = id
	c.phase = Recording
	kind := EventSettled
	if _, ok := c.record.Map(id); !ok {
		kind = EventUnknown
	}
	commands = []banyanplank.Command{EventCmd{Kind: kind, Fence: c.fence, Map: id}}
	if c.record.Current == id && c.record.Pending == 0 {
		c.phase = Idle
		c.polledAt = now
		return commands
	}
	return append(commands, c.writeRecord(now, c.record.settled(id))...)
}

// pollStatus requests the status of every rank once per poll interval.
func (c *Coordinator) pollStatus(now time.Time) (commands []banyanplank.Command) {
	if now.Sub(c.polledAt) >= c.pollInterval {
		c.polledAt = now
		c.surveyStartSerial = c.lastSerial
	}
	for _, rank := range c.ranksBySendTime() {
		if c.ranks[rank].repliedSerial > c.surveyStartSerial || !c.canSend(now, rank) {
			continue
		}
		commands = append(commands, StatusCmd{Rank: rank, Serial: c.recordSend(now, rank), Fence: c.fence})
	}
	return commands
}

// driveSwitch sends each rank its next order towards the target map. No order to
// switch is sent before all ranks have the map prepared. After the deadline the
// switch is abandoned.
func (c *Coordinator) driveSwitch(now time.Time) (commands []banyanplank.Command) {
	if !now.Before(c.switchDeadline) {
		c.startSettling()
		return append([]banyanplank.Command{EventCmd{Kind: EventGivenUp, Fence: c.fence, Map: c.target.ID}}, c.continueSettling(now)...)
	}
	allPrepared := c.hasAllPrepared()
	if allPrepared && !c.preparedLogged {
		c.preparedLogged = true
		commands = append(commands, EventCmd{Kind: EventPrepared, Fence: c.fence, Map: c.target.ID})
	}
	for _, rank := range c.ranksBySendTime() {
		commands = append(commands, c.sendNextAction(now, rank, allPrepared)...)
	}
	return commands
}

// rankAction is the next order or query for a rank during a switch.
type rankAction uint8

const (
	actionPrepare rankAction = iota
	actionArm
	actionQuery
)

// nextAction returns the next action for a rank. A rank that is loading or armed
// is only queried.
func (c *Coordinator) nextAction(rank int, allPrepared bool) (action rankAction) {
	status := c.ranks[rank].status
	switch {
	case status.Prepared != c.target.ID && status.Loading != c.target.ID:
		return actionPrepare
	case allPrepared && status.Armed != c.target.ID:
		return actionArm
	default:
		return actionQuery
	}
}

// ranksBySendTime returns the ranks, the one whose last call is oldest first, so
// that the rate limit starves none.
func (c *Coordinator) ranksBySendTime() (order []int) {
	order = make([]int, len(c.ranks))
	for rank := range order {
		order[rank] = rank
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return c.ranks[a].sentAt.Compare(c.ranks[b].sentAt)
	})
	return order
}

// sendNextAction sends a rank its next order or query. The same action is
// repeated only after the retry interval.
func (c *Coordinator) sendNextAction(now time.Time, rank int, allPrepared bool) (commands []banyanplank.Command) {
	action := c.nextAction(rank, allPrepared)
	r := &c.ranks[rank]
	if r.lastAction == action && now.Sub(r.sentAt) < c.retryInterval || !c.canSend(now, rank) {
		return nil
	}
	r.lastAction = action
	switch action {
	case actionPrepare:
		return c.sendOrder(now, rank, c.prepareCmd())
	case actionArm:
		order := banyanplank.Order{Kind: banyanplank.OrderSwitch, Fence: c.fence, Map: uint64(c.target.ID), Step: c.nextStep()}
		return c.sendOrder(now, rank, OrderCmd{Order: order})
	default:
		return c.sendQuery(now, rank)
	}
}

// prepareCmd returns the order to prepare the target map. It includes the map in
// use as the base if the record has it.
func (c *Coordinator) prepareCmd() OrderCmd {
	order := banyanplank.Order{Kind: banyanplank.OrderPrepare, Fence: c.fence, Map: uint64(c.target.ID)}
	command := OrderCmd{Order: order, Map: &c.target}
	if base, ok := c.record.Map(c.mapInUse); ok {
		command.Base = &base
	}
	return command
}

// hasAllPrepared reports whether every rank has the target map prepared.
func (c *Coordinator) hasAllPrepared() bool {
	for i := range c.ranks {
		if c.ranks[i].status.Prepared != c.target.ID {
			return false
		}
	}
	return true
}

// nextStep returns the first step that no rank has reported as started.
func (c *Coordinator) nextStep() (step uint64) {
	for i := range c.ranks {
		step = max(step, c.ranks[i].status.Step)
	}
	return step + 1
}

// sendOrder sends a rank an order, unless a reply is outstanding or the rate
// limit is reached.
func (c *Coordinator) sendOrder(now time.Time, rank int, command OrderCmd) (commands []banyanplank.Command) {
	if !c.canSend(now, rank) {
		return nil
	}
	command.Rank = rank
	command.Serial = c.recordSend(now, rank)
	return []banyanplank.Command{command}
}

func (c *Coordinator) sendQuery(now time.Time, rank int) (commands []banyanplank.Command) {
	return []banyanplank.Command{StatusCmd{Rank: rank, Serial: c.recordSend(now, rank), Fence: c.fence}}
}

// canSend reports whether another order or query may be sent to a rank: no reply
// is outstanding, or the retry interval has passed, and a token is left.
func (c *Coordinator) canSend(now time.Time, rank int) bool {
	r := &c.ranks[rank]
	awaitsReply := r.sentSerial > r.repliedSerial && now.Sub(r.sentAt) < c.retryInterval
	return !awaitsReply && c.orderTokens >= 1
}

// recordSend takes a token for an order or query to a rank and returns the serial
// number assigned to it.
func (c *Coordinator) recordSend(now time.Time, rank int) (serial uint64) {
	c.orderTokens--
	c.lastSerial++
	c.ranks[rank].sentSerial = c.lastSerial
	c.ranks[rank].sentAt = now
	return c.lastSerial
}

// handleReply processes the reply of a rank. It ignores replies to calls of
// earlier fencing numbers and those older than the latest one processed.
func (c *Coordinator) handleReply(msg ReplyMsg) (commands []banyanplank.Command) {
	if c.phase == Standby || msg.Serial <= c.fenceStartSerial || msg.Rank < 0 || msg.Rank >= len(c.ranks) {
		return nil
	}
	r := &c.ranks[msg.Rank]
	if errors.Is(msg.Err, ErrOldFence) {
		c.resign()
		return []banyanplank.Command{EventCmd{Kind: EventResigned, Fence: c.fence, Err: msg.Err}}
	}
	if msg.Err != nil || msg.Serial <= r.repliedSerial || msg.Serial > r.sentSerial {
		return nil
	}
	r.repliedSerial = msg.Serial
	r.status = msg.Status
	return c.applyStatus(r.status)
}

// applyStatus starts a survey if the status of a rank contradicts the idle state
// or shows that the switch has happened.
func (c *Coordinator) applyStatus(status banyanplank.RankStatus) (commands []banyanplank.Command) {
	switch c.phase {
	case Idle:
		if status.Map != c.mapInUse || status.Prepared != 0 || status.Armed != 0 {
			c.startSettling()
		}
	case Switching:
		if status.Map == c.mapInUse {
			return nil
		}
		c.startSettling()
		if status.Map == c.target.ID {
			return []banyanplank.Command{EventCmd{Kind: EventSwitched, Fence: c.fence, Map: c.target.ID}}
		}
	}
	return nil
}
