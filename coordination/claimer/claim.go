package claimer

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// maxWrites bounds the writes of one claim, after which the call is refused.
const maxWrites = 4

// claimRecord is the stored value of a claim object. The version of the object
// is the generation of the binding.
type claimRecord struct {
	Daemon      banyanplank.DaemonID    `json:"daemon"`
	Incarnation banyanplank.Incarnation `json:"incarnation"`
	Call        banyanplank.Digest      `json:"call"`
	Until       time.Time               `json:"until"`
}

// encodeClaim returns the claim object's value for the binding.
func encodeClaim(binding banyanplank.Binding) (value []byte, err error) {
	return json.Marshal(claimRecord{
		Daemon:      binding.Daemon,
		Incarnation: binding.Incarnation,
		Call:        binding.Call,
		Until:       binding.StartDeadline,
	})
}

// decodeClaim returns the binding stored in a claim object.
func decodeClaim(object banyanplank.Object) (binding banyanplank.Binding, err error) {
	defer func() { err = errors.Wrapf(err, "decode claim %s", object.Name) }()
	var r claimRecord
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return binding, err
	}
	return banyanplank.Binding{
		Daemon:        r.Daemon,
		Incarnation:   r.Incarnation,
		Generation:    uint64(object.Version),
		Call:          r.Call,
		StartDeadline: r.Until,
	}, nil
}

// claim is the state machine that binds one key. It does no I/O: each reply
// from the store yields the next command.
type claim struct {
	proposal banyanplank.Binding
	expect   banyanplank.Version
	writes   int
}

// putMsg is the store's reply to a [putCmd].
type putMsg struct {
	version banyanplank.Version
	err     error
}

// getMsg is the store's reply to a [getCmd].
type getMsg struct {
	object banyanplank.Object
	err    error
}

// putCmd writes the binding if the object still has version expect.
type putCmd struct {
	binding banyanplank.Binding
	expect  banyanplank.Version
}

// getCmd reads the claim object.
type getCmd struct{}

// bindCmd ends the claim with the binding of the key.
type bindCmd struct{ binding banyanplank.Binding }

// refuseCmd ends the claim without a binding.
type refuseCmd struct{ refusal *banyanplank.Refusal }

// start returns the first command.
func (c claim) start() (next claim, command banyanplank.Command) {
	return c.put()
}

// update processes a reply of the store and returns the next command.
func (c claim) update(msg banyanplank.Msg) (next claim, command banyanplank.Command) {
	switch m := msg.(type) {
	case putMsg:
		return c.handlePut(m)
	case getMsg:
		return c.handleGet(m)
	default:
		return c, refuseCmd{storeRefusal(errors.Newf("unexpected message %T", msg))}
	}
}

// put writes the proposal, or refuses the call after maxWrites writes.
func (c claim) put() (next claim, command banyanplank.Command) {
	if c.writes == maxWrites {
		return c, refuseCmd{storeRefusal(errors.New("no write of the claim was confirmed"))}
	}
	c.writes++
	return c, putCmd{binding: c.proposal, expect: c.expect}
}

// handlePut processes the result of a write. After a conflict or a lost reply
// the object is read, and the binding found there holds, whoever wrote it.
func (c claim) handlePut(m putMsg) (next claim, command banyanplank.Command) {
	switch {
	case m.err == nil:
		binding := c.proposal
		binding.Generation = uint64(m.version)
		return c, bindCmd{binding}
	case errors.Is(m.err, banyanplank.ErrConflict), errors.Is(m.err, banyanplank.ErrUncertain):
		return c, getCmd{}
	default:
		return c, refuseCmd{storeRefusal(m.err)}
	}
}

// handleGet processes the result of a read. An object that still has the
// expected version was not replaced, so the write is repeated.
func (c claim) handleGet(m getMsg) (next claim, command banyanplank.Command) {
	if errors.Is(m.err, banyanplank.ErrNotFound) {
		c.expect = 0
		return c.put()
	}
	if m.err != nil {
		return c, refuseCmd{storeRefusal(m.err)}
	}
	if m.object.Version == c.expect {
		return c.put()
	}
	binding, err := decodeClaim(m.object)
	if err != nil {
		return c, refuseCmd{storeRefusal(err)}
	}
	if binding.Call != c.proposal.Call {
		return c, refuseCmd{conflictRefusal()}
	}
	return c, bindCmd{binding}
}

// storeRefusal refuses a call because a store failure leaves it unknown whether
// the key was used before.
func storeRefusal(cause error) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.OutcomeUnknown,
		Reason:     banyanplank.ReasonStore,
		RetryAfter: storeRetryDelay,
		Detail: "This call was not sent to an endpoint, but the platform's store did not confirm whether " +
			"an earlier call with the same key was: " + cause.Error() + ".",
	}
}

// conflictRefusal refuses a key that is bound to a different call.
func conflictRefusal() (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  banyanplank.ReasonConflict,
		Detail:  "The Idempotency-Key was used before with another call; use a new key for a new call.",
	}
}

// expiredRefusal refuses a key older than the retention: its claim may have
// been deleted, so whether it was used is unknown.
func expiredRefusal() (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{
		Outcome: banyanplank.OutcomeUnknown,
		Reason:  banyanplank.ReasonExpired,
		Detail:  "The Idempotency-Key is older than the time for which keys are kept.",
	}
}
