package forwarder

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/arbiter"
	"github.com/banyanplank/banyanplank/coordination/claimer"
)

// unkeyedStartLimit is how long after the bind an agent may start a request that
// has no key.
const unkeyedStartLimit = 10 * time.Minute

// bindingKindOf returns how the request is bound to an agent.
func bindingKindOf(request *banyanplank.Request) (kind arbiter.Binding) {
	switch {
	case !request.AtMostOnce:
		return arbiter.BindingNone
	case request.Key == "":
		return arbiter.BindingEntry
	case claimer.IsTicket(request.Key):
		return arbiter.BindingTicket
	default:
		return arbiter.BindingClaim
	}
}

// bindTicket selects the agent named in the ticket.
func (c *call) bindTicket() (err error) {
	c.step = arbiter.StepBind
	ticket, err := claimer.ParseTicket(c.request.Key)
	if err != nil {
		return refuseInvalidKey(err)
	}
	c.pickedAt = time.Now()
	return c.useBinding(ticket.Binding(c.request.CallDigest()))
}

// findBinding looks up an earlier binding of the key when no agent could be
// picked. A key without a binding was never used: it returns cause.
func (c *call) findBinding(cause error) (err error) {
	c.step = arbiter.StepBind
	binding, found, err := c.forwarder.claimer.Find(c.ctx, c.key())
	if err != nil {
		return err
	}
	if !found {
		c.step = arbiter.StepPick
		c.keyUnused = true
		return cause
	}
	if binding.Call != c.request.CallDigest() {
		return refuseReusedKey()
	}
	return c.useBinding(binding)
}

// bind binds the request to the picked agent, or selects the agent to which its
// key was bound before.
func (c *call) bind() (err error) {
	c.step = arbiter.StepBind
	binding := banyanplank.Binding{
		Daemon:        c.member.ID,
		Incarnation:   c.member.Incarnation,
		Generation:    c.request.Binding.Generation + 1,
		Call:          c.request.CallDigest(),
		StartDeadline: time.Now().Add(unkeyedStartLimit),
	}
	if c.bindingKind == arbiter.BindingClaim {
		binding, err = c.claimBinding(binding)
		if err != nil {
			return err
		}
	}
	return c.useBinding(binding)
}

func (c *call) key() (key claimer.Key) {
	return claimer.Key{Account: c.request.Account, Text: c.request.Key}
}

// claimBinding claims the key for the proposal. If the request was bound before,
// that agent has confirmed that it will never run it, so the key is rebound.
func (c *call) claimBinding(proposal banyanplank.Binding) (binding banyanplank.Binding, err error) {
	if c.request.Binding.IsBound() {
		return c.forwarder.claimer.Rebind(c.ctx, c.key(), c.request.Binding, proposal)
	}
	return c.forwarder.claimer.Claim(c.ctx, time.Now(), c.key(), proposal)
}

// useBinding selects the agent of the binding if it is not the picked one.
func (c *call) useBinding(binding banyanplank.Binding) (err error) {
	c.request.Binding = binding
	c.keyUnused = false
	if binding.Daemon == c.member.ID {
		return nil
	}
	c.finishPick(nil)
	member, ok := c.forwarder.locate(binding.Daemon)
	if !ok {
		c.step = arbiter.StepDial
		return &banyanplank.Refusal{
			Outcome:    banyanplank.OutcomeUnknown,
			Reason:     banyanplank.ReasonStale,
			RetryAfter: time.Second,
			Detail:     "The agent to which the key is bound is unknown to this entry.",
		}
	}
	c.member = member
	return nil
}

// resume attaches the call to the attempt of an earlier call. A repeatable
// request is run again if the attempt is unknown to the agent. An at-most-once
// request with a key is forwarded by its key instead.
func (c *call) resume(location Location) {
	if c.request.AtMostOnce && c.request.Key != "" {
		return
	}
	c.request.Attempt = location.Attempt
	c.request.AttachOnly = true
	c.pickedAt = time.Now()
	c.step = arbiter.StepAnswer
	c.sent = true
	if member, ok := c.forwarder.locate(location.Daemon); ok {
		c.member = member
		return
	}
	c.member = banyanplank.Member{ID: location.Daemon}
}

// refuseReusedKey refuses a key that is bound to another call.
func refuseReusedKey() (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  banyanplank.ReasonConflict,
		Detail:  "The Idempotency-Key was used before with another call; use a new key for a new call.",
	}
}

func refuseInvalidKey(err error) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  banyanplank.ReasonInvalid,
		Detail:  err.Error(),
	}
}
