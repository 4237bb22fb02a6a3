package forwarder

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/arbiter"
	"github.com/banyanplank/banyanplank/coordination/claimer"
)

// ownLifetime is how long an agent may start a request that has no key.
const ownLifetime = 10 * time.Minute

// kindOf tells what ties the request to an agent.
func kindOf(request *banyanplank.Request) (kind arbiter.Binding) {
	switch {
	case !request.Once:
		return arbiter.BindingNone
	case request.Key == "":
		return arbiter.BindingOwn
	case claimer.IsTicket(request.Key):
		return arbiter.BindingTicket
	default:
		return arbiter.BindingClaim
	}
}

// bind binds the request to the picked agent, or finds the agent to which its
// key was bound before.
func (l *flow) bind() (err error) {
	offer := banyanplank.Binding{
		Daemon:      l.member.ID,
		Incarnation: l.member.Incarnation,
		Generation:  l.request.Binding.Generation + 1,
		Call:        l.request.CallDigest(),
		Until:       time.Now().Add(ownLifetime),
	}
	binding := offer
	switch l.kind {
	case arbiter.BindingTicket:
		ticket, err := claimer.ParseTicket(l.request.Key)
		if err != nil {
			return refuseKey(err)
		}
		binding = ticket.Binding(offer.Call)
	case arbiter.BindingClaim:
		binding, err = l.claim(offer)
		if err != nil {
			return err
		}
	}
	l.request.Binding = binding
	return l.turn(binding)
}

// claim asks the claimer. After a first binding the agent has promised never
// to run the request, so the key moves.
func (l *flow) claim(offer banyanplank.Binding) (binding banyanplank.Binding, err error) {
	key := claimer.Key{Account: l.request.Account, Text: l.request.Key}
	if l.request.Binding.Bound() {
		return l.forwarder.claimer.Move(l.ctx, key, l.request.Binding, offer)
	}
	return l.forwarder.claimer.Claim(l.ctx, time.Now(), key, offer)
}

// turn goes to the agent of the binding if that is not the picked one.
func (l *flow) turn(binding banyanplank.Binding) (err error) {
	if binding.Daemon == l.member.ID {
		return nil
	}
	l.countOut(nil)
	member, ok := l.forwarder.locate(binding.Daemon)
	if !ok {
		l.step = arbiter.StepDial
		return &banyanplank.Refusal{
			Outcome:    banyanplank.OutcomeUnknown,
			Reason:     banyanplank.ReasonStale,
			RetryAfter: time.Second,
			Detail:     "The agent to which the key is bound is not known here.",
		}
	}
	l.member = member
	return nil
}

// resume goes on with an answer that an earlier call left at an agent. A
// request that may be repeated is run anew when the agent does not know it.
func (l *flow) resume(place Place) {
	if l.request.Once && l.request.Key != "" {
		return
	}
	l.request.Attempt = place.Attempt
	l.request.Join = true
	l.began = time.Now()
	l.step = arbiter.StepAnswer
	l.sent = true
	if member, ok := l.forwarder.locate(place.Daemon); ok {
		l.member = member
		return
	}
	l.member = banyanplank.Member{ID: place.Daemon}
}

func refuseKey(err error) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  banyanplank.ReasonInvalid,
		Detail:  err.Error(),
	}
}
