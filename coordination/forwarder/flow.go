package forwarder

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/arbiter"
	"github.com/banyanplank/banyanplank/coordination/retrier"
	"github.com/banyanplank/banyanplank/protocol/assembler"
)

// flow is one request on its way, over all its attempts and connections. It is
// the answer that the caller reads.
type flow struct {
	ctx       context.Context
	cancel    context.CancelFunc
	forwarder *Forwarder
	request   *banyanplank.Request
	query     banyanplank.Query
	assembler *assembler.Assembler
	path      uint64

	// member is where the attempt is; picked tells that choice must be counted
	// out.
	member banyanplank.Member
	choice banyanplank.Choice
	picked bool
	answer Answer
	head   banyanplank.Head
	step   arbiter.Step
	// kind is what ties the request to its agent.
	kind arbiter.Binding
	// sent tells that an agent may have the request and has not promised never
	// to run it.
	sent bool
	// doubt tells that an earlier agent may have run the request.
	doubt bool
	// unused tells that the key of the request has not run so far.
	unused    bool
	delivered bool
	tries     int
	attempts  int
	rejoins   int
	began     time.Time
	first     time.Duration
}

func newFlow(ctx context.Context, cancel context.CancelFunc, f *Forwarder, request *banyanplank.Request) *flow {
	return &flow{
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
		assembler: assembler.New(request.Offset),
		delivered: request.Offset > 0,
		kind:      kindOf(request),
	}
}

// begin opens attempts until one has a head.
func (l *flow) begin() (err error) {
	err = l.try()
	for err != nil {
		if err = l.settle(err); err != nil {
			return err
		}
		err = l.try()
	}
	return nil
}

// try brings the attempt to the head of its answer from wherever it stands.
func (l *flow) try() (err error) {
	l.tries++
	if !l.request.Join && l.member.ID == "" {
		if err := l.pick(); err != nil {
			return err
		}
	}
	if err := l.open(); err != nil {
		return err
	}
	head, err := l.answer.Begin()
	if err != nil {
		return err
	}
	if l.step < arbiter.StepAnswer {
		l.step = arbiter.StepAnswer
	}
	if l.delivered && l.head.Status != 0 && head != l.head {
		return &banyanplank.Refusal{
			Outcome: banyanplank.OutcomeUnknown,
			Reason:  banyanplank.ReasonEndpoint,
			Detail:  fmt.Sprintf("The endpoint went on with status %d in place of the answer.", head.Status),
		}
	}
	l.head = head
	return nil
}

// pick chooses an agent for a new attempt and binds the request to it.
func (l *flow) pick() (err error) {
	l.request.Attempt = banyanplank.AttemptID(fmt.Sprintf("%s.%d", l.request.ID, l.attempts))
	l.attempts++
	if l.kind == arbiter.BindingTicket {
		return l.bindTicket()
	}
	l.step = arbiter.StepPick
	err = l.choose()
	if err != nil && l.kind == arbiter.BindingClaim && !l.request.Binding.Bound() {
		return l.find(err)
	}
	if err != nil || !l.request.Once {
		return err
	}
	return l.bind()
}

// choose picks an agent. One that a request is to be bound to must answer
// first, so that no key is bound to an agent that has restarted or is gone.
func (l *flow) choose() (err error) {
	for range l.forwarder.attempts {
		l.choice, err = l.forwarder.picker.Pick(time.Now(), l.query)
		if err != nil {
			return err
		}
		l.picked, l.member = true, l.choice.Member
		l.began, l.first = time.Now(), 0
		if !l.request.Once {
			return nil
		}
		l.member.Incarnation, err = l.forwarder.opener.Identify(l.ctx, l.member)
		if err == nil {
			return nil
		}
		l.countOut(asRefusal(err))
		l.query.Avoid = append(l.query.Avoid, l.member.ID)
		l.member = banyanplank.Member{}
	}
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonNoEndpoint,
		RetryAfter: time.Second,
		Detail:     "No agent that was asked answered: " + err.Error(),
	}
}

// open opens a connection for the attempt. Every connection after the first
// one of an attempt is fresh.
func (l *flow) open() (err error) {
	l.step = max(l.step, arbiter.StepDial)
	l.request.Offset = l.assembler.Next()
	l.path = l.assembler.Switch(l.request.Attempt)
	answer, err := l.forwarder.opener.Open(l.ctx, l.member, l.request, l.rejoins > 0)
	if err != nil {
		if !neverSent(err) {
			l.step = max(l.step, arbiter.StepSend)
			l.sent = l.sent || !promised(err)
		}
		return err
	}
	l.answer = answer
	l.sent = true
	l.step = max(l.step, arbiter.StepAccept)
	return nil
}

// neverSent reports whether the opener sent nothing.
func neverSent(err error) bool {
	refusal := asRefusal(err)
	return refusal.Reason == banyanplank.ReasonUnreachable && refusal.Outcome == banyanplank.NotRun
}

// promised reports whether the agent has promised never to run the request.
func promised(err error) bool {
	refusal := asRefusal(err)
	return refusal.Reason != banyanplank.ReasonUnreachable && refusal.Outcome == banyanplank.NotRun
}

// Place implements [Delivery].
func (l *flow) Place() (place Place) {
	return Place{Daemon: l.member.ID, Attempt: l.request.Attempt}
}

// Head implements [banyanplank.Answer].
func (l *flow) Head() (head banyanplank.Head) { return l.head }

// Next implements [banyanplank.Answer].
func (l *flow) Next() (part banyanplank.Part, err error) {
	for {
		part, deliver, err := l.receive()
		if errors.Is(err, io.EOF) {
			return part, io.EOF
		}
		if err == nil && deliver {
			l.delivered = true
			l.rejoins, l.tries = 0, 0
			return part, nil
		}
		if err == nil {
			continue
		}
		if err := l.settle(err); err != nil {
			return part, err
		}
		if err := l.begin(); err != nil {
			return part, err
		}
	}
}

// receive takes the next message of the current connection.
func (l *flow) receive() (part banyanplank.Part, deliver bool, err error) {
	part, err = l.answer.Next()
	if l.first == 0 {
		l.first = time.Since(l.began)
	}
	if errors.Is(err, io.EOF) {
		if _, err := l.assembler.Finish(l.path, l.request.Attempt, l.answer.End()); err != nil {
			return part, false, damaged(err)
		}
		return part, false, io.EOF
	}
	if err != nil {
		return part, false, err
	}
	deliver, err = l.assembler.Accept(l.path, l.request.Attempt, part)
	if err != nil {
		return part, false, damaged(err)
	}
	return part, deliver, nil
}

// damaged tells that a connection delivered an answer with a gap.
func damaged(err error) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome: banyanplank.OutcomeUnknown,
		Reason:  banyanplank.ReasonUnreachable,
		Detail:  err.Error(),
	}
}

// settle follows the arbiter after a failure. Without an error the caller goes
// on with begin; the error is the final refusal.
func (l *flow) settle(cause error) (err error) {
	refusal := asRefusal(cause)
	if promised(cause) && l.step >= arbiter.StepSend {
		l.sent = false
		l.unused = true
	}
	verdict := arbiter.Judge(l.describe(refusal))
	switch verdict.Action {
	case arbiter.ActionRejoin:
		l.drop()
		l.rejoins++
		l.request.Join = l.step >= arbiter.StepSend && !l.request.Once
		l.wait()
		return nil
	case arbiter.ActionElsewhere:
		l.drop()
		l.countOut(refusal)
		if !l.allowed(refusal) {
			return l.final(refusal)
		}
		l.query.Avoid = append(l.query.Avoid, l.member.ID)
		l.member = banyanplank.Member{}
		l.doubt = l.doubt || l.sent
		l.sent = false
		l.rejoins = 0
		l.request.Join = false
		return nil
	case arbiter.ActionCancel, arbiter.ActionLeave:
		_ = l.Close()
		return &banyanplank.Refusal{Outcome: banyanplank.OutcomeUnknown, Reason: banyanplank.ReasonCanceled, Detail: "The caller went away."}
	default:
		l.countOut(refusal)
		return verdict.Refusal
	}
}

// allowed asks for one more attempt after a refusal and waits as long as it
// must.
func (l *flow) allowed(refusal *banyanplank.Refusal) (ok bool) {
	delay, ok := l.forwarder.retrier.Allow(time.Now(), retrier.Attempt{
		Account:  l.request.Account,
		Number:   l.attempts,
		Free:     retrier.IsFree(refusal),
		Deadline: l.request.Deadline,
	})
	if !ok {
		return false
	}
	l.pause(delay)
	return true
}

// final returns what the caller is told when a refusal is not followed by
// another attempt.
func (l *flow) final(refusal *banyanplank.Refusal) error {
	final := *refusal
	if l.sent || l.doubt {
		final.Outcome = banyanplank.OutcomeUnknown
	}
	return &final
}

// describe states the case for the arbiter.
func (l *flow) describe(refusal *banyanplank.Refusal) (c arbiter.Case) {
	c = arbiter.Case{
		Step:      l.step,
		Cause:     l.causeOf(refusal),
		Binding:   l.kind,
		Refusal:   refusal,
		Delivered: l.delivered,
		Resumable: l.request.Resumable(),
		Sent:      l.sent || l.doubt,
		Unused:    l.unused,
		Left:      time.Until(l.request.Deadline),
		Tries:     l.forwarder.attempts - l.tries,
	}
	return c
}

// causeOf tells what ended the attempt.
func (l *flow) causeOf(refusal *banyanplank.Refusal) (cause arbiter.Cause) {
	switch {
	case errors.Is(l.ctx.Err(), context.DeadlineExceeded):
		return arbiter.CauseDeadline
	case l.ctx.Err() != nil:
		return arbiter.CauseCaller
	case neverSent(refusal):
		return arbiter.CauseDial
	case refusal.Reason == banyanplank.ReasonUnreachable:
		return arbiter.CausePath
	case refusal.Outcome != banyanplank.OutcomeUnknown:
		return arbiter.CauseRefused
	}
	switch refusal.Reason {
	case banyanplank.ReasonStale, banyanplank.ReasonLeaving:
		return arbiter.CauseRestart
	case banyanplank.ReasonEndpoint:
		return arbiter.CauseEndpoint
	case banyanplank.ReasonExpired:
		if l.request.Resumable() {
			return arbiter.CauseRestart
		}
	}
	return arbiter.CauseRefused
}

// wait lets some time pass before another connection to the same agent.
func (l *flow) wait() {
	l.pause(rejoinWait << min(l.rejoins-1, 5))
}

// pause waits for d or until the request ends.
func (l *flow) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
}

// drop gives up the connection and lets the attempt go on.
func (l *flow) drop() {
	if l.answer != nil {
		l.answer.Leave()
		l.answer = nil
	}
}

// countOut tells the picker how its choice turned out.
func (l *flow) countOut(refusal *banyanplank.Refusal) {
	if !l.picked {
		return
	}
	l.picked = false
	result := banyanplank.Result{Reached: true, Started: l.step >= arbiter.StepAnswer, First: l.first}
	if refusal != nil {
		result.Reached = refusal.Reason != banyanplank.ReasonUnreachable
		result.Started = result.Started || refusal.Outcome != banyanplank.NotRun
	}
	l.forwarder.picker.Finish(time.Now(), l.choice, result)
}

// Close implements [banyanplank.Answer].
func (l *flow) Close() (err error) {
	defer l.cancel()
	if l.answer != nil {
		err = l.answer.Close()
		l.answer = nil
	}
	l.countOut(nil)
	return err
}
