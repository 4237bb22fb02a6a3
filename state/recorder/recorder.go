// Package recorder records the non-repeatable requests of one incarnation of an
// agent, so that the agent starts each of them at most once. A record is never
// evicted while a second start is possible: when the recorder is full, it refuses
// new requests.
package recorder

import (
	"maps"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/holder"
)

// Default limits of a [Recorder].
const (
	DefaultCapacity = 100_000
	// DefaultRetention is how long a record is kept after its start deadline.
	DefaultRetention = time.Hour
	// DefaultHorizon is how far ahead a start deadline may be.
	DefaultHorizon = 25 * time.Hour
)

// releasedPerRecord limits the released records to a multiple of the capacity.
const releasedPerRecord = 2

// stage is the progress of a request.
type stage uint8

const (
	stageWaiting stage = iota
	stageStarted
	stageEnded
	stageReleased
)

// record is the state of one idempotency key.
type record struct {
	generation uint64
	call       banyanplank.Digest
	deadline   time.Time
	stage      stage
	stream     *holder.Stream
	refusal    *banyanplank.Refusal
}

// Recorder holds the records of one incarnation of an agent. It is safe for
// concurrent use.
type Recorder struct {
	daemon      banyanplank.DaemonID
	incarnation banyanplank.Incarnation
	capacity    int
	retention   time.Duration
	horizon     time.Duration

	mu            sync.Mutex
	records       map[banyanplank.Digest]*record
	releasedCount int
	lastSweep     time.Time
	// sealed is set once the records have been handed over.
	sealed bool
	// adopted holds the keys of earlier incarnations of the agent.
	adopted map[banyanplank.Incarnation]map[banyanplank.Digest]adoptedRecord
}

// Option configures a [Recorder].
type Option func(*Recorder)

// WithCapacity limits the records of requests that may have run. Raise it with
// the rate of non-repeatable requests at one endpoint. The default is
// [DefaultCapacity].
func WithCapacity(records int) Option {
	return func(r *Recorder) { r.capacity = records }
}

// WithRetention sets how long a record is kept after its start deadline. It must
// exceed the clock skew between any two daemons. The default is
// [DefaultRetention].
func WithRetention(retention time.Duration) Option {
	return func(r *Recorder) { r.retention = retention }
}

// WithHorizon limits how far ahead a start deadline may be. It must exceed the
// retention of claims. The default is [DefaultHorizon].
func WithHorizon(horizon time.Duration) Option {
	return func(r *Recorder) { r.horizon = horizon }
}

// New returns an empty recorder for the given incarnation of an agent.
func New(daemon banyanplank.DaemonID, incarnation banyanplank.Incarnation, options ...Option) *Recorder {
	r := &Recorder{
		daemon:      daemon,
		incarnation: incarnation,
		capacity:    DefaultCapacity,
		retention:   DefaultRetention,
		horizon:     DefaultHorizon,
		records:     make(map[banyanplank.Digest]*record),
		adopted:     make(map[banyanplank.Incarnation]map[banyanplank.Digest]adoptedRecord),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Owner returns the agent and incarnation that the records belong to.
func (r *Recorder) Owner() (daemon banyanplank.DaemonID, incarnation banyanplank.Incarnation) {
	return r.daemon, r.incarnation
}

// Begin reports whether the request of key may start under the binding. If start
// is true, the caller owns the request, writes its answer to stream, and must call
// [Recorder.Start] or [Recorder.Release]. If start is false without an error, an
// earlier call owns the request, and earlier is its answer. The error is a
// [*banyanplank.Refusal].
func (r *Recorder) Begin(now time.Time, key banyanplank.Digest, binding banyanplank.Binding, stream *holder.Stream) (start bool, earlier *holder.Stream, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if binding.Daemon != r.daemon || binding.Incarnation != r.incarnation {
		earlier, err = r.resolveAdopted(now, key, binding)
		return false, earlier, err
	}
	if r.sealed {
		return false, nil, newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonLeaving, "The agent has stopped.")
	}
	existing, ok := r.records[key]
	if ok && existing.call != binding.Call {
		return false, nil, newRefusal(banyanplank.NotRun, banyanplank.ReasonConflict,
			"The Idempotency-Key was used before with another call; use a new key for a new call.")
	}
	if ok && existing.stage != stageReleased {
		return false, existing.stream, nil
	}
	if ok && binding.Generation <= existing.generation {
		return false, nil, existing.refusal
	}
	if refusal := r.checkDeadline(now, binding); refusal != nil {
		return false, nil, refusal
	}
	return r.admit(key, binding, stream)
}

// admit adds a waiting record, or refuses the request if the recorder is full.
func (r *Recorder) admit(key banyanplank.Digest, binding banyanplank.Binding, stream *holder.Stream) (start bool, earlier *holder.Stream, err error) {
	// A record that exists has been released: it does not count against the capacity yet.
	_, released := r.records[key]
	if len(r.records)-r.releasedCount >= r.capacity {
		return false, nil, r.refuseFull(key, binding, released)
	}
	if released {
		r.releasedCount--
	}
	r.records[key] = &record{
		generation: binding.Generation,
		call:       binding.Call,
		deadline:   binding.StartDeadline,
		stream:     stream,
	}
	return true, nil, nil
}

// refuseFull refuses a request because the recorder is full. The outcome is not-run
// only if there is a released record that keeps the request from running later, or
// one can be added.
func (r *Recorder) refuseFull(key banyanplank.Digest, binding banyanplank.Binding, released bool) (refusal *banyanplank.Refusal) {
	if !released && r.releasedCount >= releasedPerRecord*r.capacity {
		return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonLimit,
			"The agent holds the maximum number of records of non-repeatable calls.")
	}
	refusal = newRefusal(banyanplank.NotRun, banyanplank.ReasonLimit,
		"The agent holds the maximum number of records of non-repeatable calls.")
	r.records[key] = &record{
		generation: binding.Generation,
		call:       binding.Call,
		deadline:   binding.StartDeadline,
		stage:      stageReleased,
		refusal:    refusal,
	}
	if !released {
		r.releasedCount++
	}
	return refusal
}

// refuseForeign refuses a binding to another agent or another incarnation of this
// one. Whether the request ran there is unknown.
func (r *Recorder) refuseForeign() (refusal *banyanplank.Refusal) {
	return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonStale,
		"The call belongs to an incarnation of an agent that has ended.")
}

// checkDeadline refuses a binding whose start deadline has passed or is too far
// ahead, and returns nil otherwise. Within the retention time the absence of a
// record proves that the request never ran.
func (r *Recorder) checkDeadline(now time.Time, binding banyanplank.Binding) (refusal *banyanplank.Refusal) {
	switch {
	case binding.StartDeadline.After(now.Add(r.horizon)):
		return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonInvalid, "The key expires later than the agent accepts.")
	case now.Before(binding.StartDeadline):
		return nil
	case now.Before(binding.StartDeadline.Add(r.retention)):
		return newRefusal(banyanplank.NotRun, banyanplank.ReasonExpired, "The key expired before the call started.")
	default:
		return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonExpired, "The key is older than the retention time of records.")
	}
}

// Start records that the request is about to be sent to the endpoint. It returns
// false if the request must not be sent because it has been released or the
// recorder is sealed.
func (r *Recorder) Start(key banyanplank.Digest, generation uint64) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing, exists := r.records[key]
	if !exists || r.sealed || existing.generation != generation || existing.stage != stageWaiting {
		return false
	}
	existing.stage = stageStarted
	return true
}

// End records that the request has finished or failed at the endpoint. The answer
// stays readable for as long as the stream holds it.
func (r *Recorder) End(key banyanplank.Digest, generation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing, exists := r.records[key]
	if exists && existing.generation == generation && existing.stage == stageStarted {
		existing.stage = stageEnded
	}
}

// Release guarantees that the request will never start under the generation. The
// outcome of refusal must be [banyanplank.NotRun]. Only the owner may call it:
// before [Recorder.Start], or after it if the endpoint reported that it did not
// start the request. It returns false if there is nothing to release.
func (r *Recorder) Release(key banyanplank.Digest, generation uint64, refusal *banyanplank.Refusal) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing, exists := r.records[key]
	if !exists || existing.generation != generation || existing.stage > stageStarted {
		return false
	}
	existing.stage = stageReleased
	existing.refusal = refusal
	existing.stream = nil
	r.releasedCount++
	return true
}

// Len returns the number of records, including released ones and those of earlier
// incarnations.
func (r *Recorder) Len() (records int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records = len(r.records)
	for _, keys := range r.adopted {
		records += len(keys)
	}
	return records
}

// sweepInterval is the minimum time between two sweeps.
const sweepInterval = time.Minute

// sweep removes the ended, released and adopted records whose retention time has
// passed. Waiting and started records stay, since their requests may still run.
func (r *Recorder) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for key, rec := range r.records {
		done := rec.stage == stageEnded || rec.stage == stageReleased
		if !done || now.Before(rec.deadline.Add(r.retention)) {
			continue
		}
		r.remove(key, rec)
	}
	for _, keys := range r.adopted {
		maps.DeleteFunc(keys, func(_ banyanplank.Digest, a adoptedRecord) (expired bool) {
			expired = !now.Before(a.saved.Deadline.Add(r.retention))
			if expired && a.stream != nil {
				a.stream.Drop()
			}
			return expired
		})
	}
}

// remove deletes one record and drops its answer.
func (r *Recorder) remove(key banyanplank.Digest, rec *record) {
	if rec.stage == stageReleased {
		r.releasedCount--
	}
	if rec.stream != nil {
		rec.stream.Drop()
	}
	delete(r.records, key)
}

func newRefusal(outcome banyanplank.Outcome, reason banyanplank.Reason, detail string) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{Outcome: outcome, Reason: reason, Detail: detail}
}
