package forwarder

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/arbiter"
	"github.com/banyanplank/banyanplank/protocol/assembler"
)

// call is one forwarded request over all its attempts and connections. It is
// also the answer that the caller reads.
type call struct {
	ctx       context.Context
	cancel    context.CancelFunc
	forwarder *Forwarder
	request   *banyanplank.Request
	query     banyanplank.Query
	assembler *assembler.Assembler
	connID    uint64

	// member is the agent of the attempt. picked is set while the picker still
	// waits for the result of choice.
	member banyanplank.Member
	choice banyanplank.Choice
	picked bool
	answer Answer
	head   banyanplank.Head
	step   arbiter.Step
	// bindingKind is how the request is bound to its agent.
	bindingKind arbiter.Binding
	// sent is set when an agent may have the request and has not confirmed that it
	// will never run it.
	sent bool
	// mayHaveRun is set when an earlier agent may have run the request.
	mayHaveRun bool
	// keyUnused is set when no request with the same key has run so far.
	keyUnused bool
	// delivered is set when the caller has received a part, possibly in an earlier call.
	delivered bool
	// tries counts the calls of openOnce and reconnects the repeated connections to the
	// same agent, both since the last delivered part. attempts counts all attempts.
	tries         int
	attempts      int
	reconnects    int
	pickedAt      time.Time
	firstPartTime time.Duration
}

func newCall(ctx context.Context, cancel context.CancelFunc, f *Forwarder, request *banyanplank.Request) *call {
	return &call{
		ctx:       ctx,
		cancel:    cancel,
		forwarder: f,
		request:   request,
		query: banyanplank.Query{
			Service:     request.Service,
			Account:     request.Account,
			Zone:        f.zone,
			Demand:      request.Demand,
			Fingerprint: request.Fingerprint(),
		},
		assembler:   assembler.New(request.Offset),
		delivered:   request.Offset > 0,
		bindingKind: bindingKindOf(request),
	}
}

// openUntilHead opens connections and attempts until the head of the answer has
// arrived.
func (c *call) openUntilHead() (err error) {
	err = c.openOnce()
	for err != nil {
		if err = c.handleFailure(err); err != nil {
			return err
		}
		err = c.openOnce()
	}
	return nil
}

// openOnce opens one connection, at a newly picked agent if there is none, and
// reads the head of the answer.
func (c *call) openOnce() (err error) {
	c.tries++
	if !c.request.AttachOnly && c.member.ID == "" {
		if err := c.startAttempt(); err != nil {
			return err
		}
	}
	if err := c.connect(); err != nil {
		return err
	}
	head, err := c.answer.ReadHead()
	if err != nil {
		return err
	}
	c.step = arbiter.StepAnswer
	if c.delivered && c.head.Status != 0 && head != c.head {
		return &banyanplank.Refusal{
			Outcome: banyanplank.OutcomeUnknown,
			Reason:  banyanplank.ReasonEndpoint,
			Detail:  fmt.Sprintf("The endpoint resumed with status %d instead of the answer.", head.Status),
		}
	}
	c.head = head
	return nil
}

// startAttempt picks an agent for a new attempt and binds the request to it.
func (c *call) startAttempt() (err error) {
	c.request.Attempt = banyanplank.AttemptID(fmt.Sprintf("%s.%d", c.request.ID, c.attempts))
	c.attempts++
	if c.bindingKind == arbiter.BindingTicket {
		return c.bindTicket()
	}
	c.step = arbiter.StepPick
	err = c.pickAgent()
	if err != nil && c.bindingKind == arbiter.BindingClaim && !c.request.Binding.IsBound() {
		return c.findBinding(err)
	}
	if err != nil || !c.request.AtMostOnce {
		return err
	}
	return c.bind()
}

// pickAgent picks an agent. For an at-most-once request the agent must first
// respond to Identify, so that no key is bound to one that has restarted or is
// gone.
func (c *call) pickAgent() (err error) {
	for range c.forwarder.maxAttempts {
		c.choice, err = c.forwarder.picker.Pick(time.Now(), c.query)
		if err != nil {
			return err
		}
		c.picked, c.member = true, c.choice.Member
		c.pickedAt, c.firstPartTime = time.Now(), 0
		if !c.request.AtMostOnce {
			return nil
		}
		c.member.Incarnation, err = c.forwarder.opener.Identify(c.ctx, c.member)
		if err == nil {
			return nil
		}
		c.finishPick(banyanplank.AsRefusal(err))
		c.query.Tried = append(c.query.Tried, c.member.ID)
		c.member = banyanplank.Member{}
	}
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonNoEndpoint,
		RetryAfter: time.Second,
		Detail:     "No picked agent responded: " + err.Error(),
	}
}

// connect opens a connection for the attempt. Every connection after the first
// one of an attempt is a new one, never one from the pool.
func (c *call) connect() (err error) {
	c.step = max(c.step, arbiter.StepDial)
	c.request.Offset = c.assembler.NextOffset()
	c.connID = c.assembler.StartConnection(c.request.Attempt)
	answer, err := c.forwarder.opener.Open(c.ctx, c.member, c.request, c.reconnects > 0)
	if err != nil {
		if !isUnsent(err) {
			c.step = max(c.step, arbiter.StepSend)
			c.sent = c.sent || !isReleased(err)
		}
		return err
	}
	c.answer = answer
	c.sent = true
	c.step = max(c.step, arbiter.StepAccept)
	return nil
}

// isUnsent reports whether err means that the request was not sent.
func isUnsent(err error) bool {
	refusal := banyanplank.AsRefusal(err)
	return refusal.Reason == banyanplank.ReasonUnreachable && refusal.Outcome == banyanplank.NotRun
}

// isReleased reports whether err is an agent's confirmation that it will never run
// the request.
func isReleased(err error) bool {
	refusal := banyanplank.AsRefusal(err)
	return refusal.Reason != banyanplank.ReasonUnreachable && refusal.Outcome == banyanplank.NotRun
}

// Location implements [Delivery].
func (c *call) Location() (location Location) {
	return Location{Daemon: c.member.ID, Attempt: c.request.Attempt}
}

// Head implements [banyanplank.Answer].
func (c *call) Head() (head banyanplank.Head) { return c.head }

// Next implements [banyanplank.Answer].
func (c *call) Next() (part banyanplank.Part, err error) {
	for {
		part, deliver, err := c.readPart()
		if errors.Is(err, io.EOF) {
			return part, io.EOF
		}
		if err == nil && deliver {
			c.delivered = true
			c.reconnects, c.tries = 0, 0
			return part, nil
		}
		if err == nil {
			continue
		}
		if err := c.handleFailure(err); err != nil {
			return part, err
		}
		if err := c.openUntilHead(); err != nil {
			return part, err
		}
	}
}

// readPart reads the next part from the current connection. deliver is false if
// the part is late or a duplicate.
func (c *call) readPart() (part banyanplank.Part, deliver bool, err error) {
	part, err = c.answer.Next()
	if c.firstPartTime == 0 {
		c.firstPartTime = time.Since(c.pickedAt)
	}
	if errors.Is(err, io.EOF) {
		if _, err := c.assembler.Finish(c.connID, c.request.Attempt, c.answer.End()); err != nil {
			return part, false, gapRefusal(err)
		}
		return part, false, io.EOF
	}
	if err != nil {
		return part, false, err
	}
	deliver, err = c.assembler.Accept(c.connID, c.request.Attempt, part)
	if err != nil {
		return part, false, gapRefusal(err)
	}
	return part, deliver, nil
}

// gapRefusal returns the refusal for a connection on which parts are missing.
func gapRefusal(err error) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome: banyanplank.OutcomeUnknown,
		Reason:  banyanplank.ReasonUnreachable,
		Detail:  err.Error(),
	}
}

// detach closes the connection and lets the attempt run on.
func (c *call) detach() {
	if c.answer != nil {
		c.answer.Detach()
		c.answer = nil
	}
}

// finishPick reports the result of the choice to the picker.
func (c *call) finishPick(refusal *banyanplank.Refusal) {
	if !c.picked {
		return
	}
	c.picked = false
	result := banyanplank.Result{Reached: true, Started: c.step >= arbiter.StepAnswer, FirstTokenTime: c.firstPartTime}
	if refusal != nil {
		result.Reached = refusal.Reason != banyanplank.ReasonUnreachable
		result.Started = result.Started || refusal.Outcome != banyanplank.NotRun
	}
	c.forwarder.picker.Finish(time.Now(), c.choice, result)
}

// Close implements [banyanplank.Answer].
func (c *call) Close() (err error) {
	defer c.cancel()
	if c.answer != nil {
		err = c.answer.Close()
		c.answer = nil
	}
	c.finishPick(nil)
	return err
}
