package gateway

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// Limits on the probes of endpoints whose responses broke off.
const (
	// probeWorkers is the number of concurrent probes. One takes a round trip, or the
	// connect timeout if nothing answers.
	probeWorkers = 4
	// maxQueuedProbes bounds the queue of probes. The loss of one rank breaks the
	// calls at all other ranks of its group.
	maxQueuedProbes = 64
)

// retryAfterTrial is the retry advice while another request is tried. A trial ends with
// the first event of an answer.
const retryAfterTrial = 500 * time.Millisecond

// refuseCrashing returns a refusal if the request, or a part of its prompt, is known or
// suspected to crash endpoints.
func (f *forwarder) refuseCrashing() (err error) {
	now, tracker := time.Now(), f.gateway.crashTracker
	if convicted, remaining := tracker.IsConvicted(now, f.fingerprint); convicted {
		return newSuspectRefusal(remaining, "endpoints crashed while running this request")
	}
	verdict, remaining := tracker.PartsVerdict(now, f.info.SharedParts)
	if verdict == suspecter.VerdictRefused {
		return newSuspectRefusal(remaining, "endpoints crashed on a part of this prompt")
	}
	f.needsTrial = verdict == suspecter.VerdictAlone
	return nil
}

func newSuspectRefusal(retryAfter time.Duration, detail string) (refusal *banyanplank.Refusal) {
	return &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonSuspect, RetryAfter: retryAfter, Detail: detail}
}

// claimTrial makes the next attempt the only one of all entries with suspect parts.
func (f *forwarder) claimTrial() (err error) {
	tracker, id := f.gateway.crashTracker, suspecter.TrialID(rand.Uint64())
	busy := newSuspectRefusal(retryAfterTrial, "another request is being tried whose prompt may crash endpoints")
	if !tracker.ClaimTrial(time.Now(), id, f.info.SharedParts) {
		return busy
	}
	f.trial = id
	if err := banyanplank.Sleep(f.ctx, suspecter.TrialDelay); err != nil {
		f.endTrial()
		return newSuspectRefusal(0, "the caller canceled the call before its trial")
	}
	if !tracker.ConfirmTrial(time.Now(), id) {
		f.trial = 0
		return busy
	}
	return nil
}

// endTrial ends the trial of the call, if there is one.
func (f *forwarder) endTrial() {
	if f.trial != 0 {
		f.gateway.crashTracker.EndTrial(f.trial)
		f.trial = 0
	}
}

// recordAnswered records that the answer has begun.
func (f *forwarder) recordAnswered() {
	f.gateway.unanswered.remove(f)
	f.gateway.crashTracker.RecordAnswered(time.Now(), f.info.SharedParts)
	f.endTrial()
}

// errSuspect cancels calls that wait for an answer to a prompt that may crash endpoints.
var errSuspect = errors.New("endpoints crashed on a part of this prompt")

// unansweredCalls holds the calls at endpoints whose answers have not begun, with the
// functions that cancel them. Calls whose prompts share no parts are left out.
type unansweredCalls struct {
	mutex sync.Mutex
	calls map[*forwarder]context.CancelCauseFunc
	// changed holds a token when some of the calls may have become suspect.
	changed chan struct{}
}

func newUnansweredCalls() *unansweredCalls {
	return &unansweredCalls{calls: make(map[*forwarder]context.CancelCauseFunc), changed: make(chan struct{}, 1)}
}

func (u *unansweredCalls) add(f *forwarder) {
	if len(f.info.SharedParts) == 0 {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.calls[f] = f.cancelCause
}

func (u *unansweredCalls) remove(f *forwarder) {
	if len(f.info.SharedParts) == 0 {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.calls, f)
}

// markChanged has the calls be checked. It does not block.
func (u *unansweredCalls) markChanged() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// refutationTime is how long calls with new suspects go on: a round trip between
// availability zones, in which other entries report the parts that were answered there.
const refutationTime = 10 * time.Millisecond

// cancelSuspects cancels the calls at endpoints that have become suspect, until ctx ends.
// Otherwise they would crash these endpoints too.
func (g *Gateway) cancelSuspects(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.unanswered.changed:
		}
		if banyanplank.Sleep(ctx, refutationTime) != nil {
			return nil
		}
		g.unanswered.mutex.Lock()
		for f, cancel := range g.unanswered.calls {
			if verdict, _ := g.crashTracker.PartsVerdict(time.Now(), f.info.SharedParts); verdict == suspecter.VerdictRefused {
				cancel(errSuspect)
			}
		}
		g.unanswered.mutex.Unlock()
	}
}

// lastRun returns the latest attempt of the call for the crash tracker.
func (f *forwarder) lastRun() (r suspecter.Run) {
	b := f.lease.Backend
	return suspecter.Run{
		Request: f.fingerprint, Endpoint: b.ID, Address: b.Address, Born: b.Born, Began: f.sentAt,
		Parts: f.info.SharedParts, Answered: f.stream.events > 0,
	}
}

// reportBroken reports a broken response to the crash tracker, and queues a probe of
// the endpoint if the tracker needs one. Errors that no crash can cause are ignored.
func (f *forwarder) reportBroken(err error) {
	switch {
	case errors.Is(err, errCallerConnection), errors.Is(err, errBufferLimit), errors.Is(err, errSlowRank):
		return
	case errors.Is(err, requester.ErrSilent), errors.Is(err, os.ErrDeadlineExceeded):
		f.gateway.crashTracker.RecordStalled(time.Now(), f.lastRun())
		return
	case !f.gateway.crashTracker.RecordBroken(time.Now(), f.lastRun()):
		return
	case f.mayCrashEndpoints():
		return // handleBroken probes the endpoint itself, as a retry depends on it
	}
	select {
	case f.gateway.probeQueue <- f.lease.Backend:
	default:
		f.gateway.crashTracker.EndProbe(f.lease.Backend.ID, f.lease.Backend.Born)
		f.gateway.counters.set.GetOrCreateCounter("banyanplank_probes_dropped_total").Inc()
	}
}

// mayCrashEndpoints reports whether the answer has not begun and some part of the prompt
// is not known to be sound.
func (f *forwarder) mayCrashEndpoints() bool {
	return f.stream.events == 0 && len(f.info.SharedParts) > 0 && !f.gateway.crashTracker.AreAnswered(f.info.SharedParts)
}

// reportUnreached reports an endpoint as dead if its address refuses connections.
func (f *forwarder) reportUnreached(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.gateway.crashTracker.RecordDeath(time.Now(), f.lease.Backend.ID, f.lease.Backend.Born)
	}
}

// runProbes probes the queued endpoints until ctx ends.
func (g *Gateway) runProbes(ctx context.Context) (err error) {
	work := pool.New()
	for range probeWorkers {
		work.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case backend := <-g.probeQueue:
					_ = g.probeEndpoint(ctx, backend) // logged there
				}
			}
		})
	}
	work.Wait()
	return nil
}

// probeEndpoint checks whether an endpoint accepts connections and reports the result
// to the crash tracker.
func (g *Gateway) probeEndpoint(ctx context.Context, backend *banyanplank.Backend) (err error) {
	err = g.requester.Probe(ctx, backend)
	g.counters.set.GetOrCreateCounter("banyanplank_probes_total").Inc()
	switch {
	case err == nil:
		g.crashTracker.EndProbe(backend.ID, backend.Born)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.crashTracker.RecordDeath(time.Now(), backend.ID, backend.Born)
	default:
		g.crashTracker.EndProbe(backend.ID, backend.Born)
		g.logger.Warn().Err(err).Str("endpoint", string(backend.ID)).Msg("probe failed")
	}
	return err
}

// crashLogger returns a function that logs and counts the events of the crash tracker.
func crashLogger(logger *log.Logger, c *counters) func(event suspecter.Event) {
	return func(event suspecter.Event) {
		requests := make([]string, len(event.Requests))
		for i, r := range event.Requests {
			requests[i] = r.String()
		}
		switch event.Name {
		case suspecter.EventDied:
			c.set.GetOrCreateCounter("banyanplank_endpoint_deaths_total").Inc()
		case suspecter.EventConvicted:
			c.set.GetOrCreateCounter("banyanplank_convictions_total").Add(len(requests))
		case suspecter.EventPartConvicted:
			c.set.GetOrCreateCounter("banyanplank_part_convictions_total").Inc()
		case suspecter.EventPartCleared:
			c.set.GetOrCreateCounter("banyanplank_parts_cleared_total").Add(len(event.Parts))
		case suspecter.EventTried:
			c.set.GetOrCreateCounter("banyanplank_part_trials_total").Inc()
		}
		logger.Warn().Str("endpoint", string(event.Endpoint)).Strs("requests", requests).Strs("parts", partNames(event.Parts)).Str("how", event.Evidence).Dur("age", event.Age).Msg(event.Name)
	}
}
