package recorder

import (
	"context"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/holder"
)

// Handover holds the records that an agent passes to its next incarnation at a
// planned stop. It is complete for the incarnations that it names: a key that it
// does not list never ran there and never will.
type Handover struct {
	Incarnations []banyanplank.Incarnation `json:"incarnations"`
	Keys         []SavedRecord             `json:"keys"`
}

// SavedRecord is the record of one key that may have run.
type SavedRecord struct {
	Incarnation banyanplank.Incarnation `json:"incarnation"`
	Key         banyanplank.Digest      `json:"key"`
	Call        banyanplank.Digest      `json:"call"`
	Deadline    time.Time               `json:"until"`
	Outcome     banyanplank.Outcome     `json:"outcome"`
	Answer      *SavedAnswer            `json:"answer,omitempty"`
}

// SavedAnswer is the complete answer to the request of a [SavedRecord].
type SavedAnswer struct {
	Account banyanplank.AccountID `json:"account"`
	Head    banyanplank.Head      `json:"head"`
	Parts   [][]byte              `json:"parts"`
}

// adoptedRecord is the record of a key from an earlier incarnation. The stream is
// nil if the answer is not held.
type adoptedRecord struct {
	saved  SavedRecord
	stream *holder.Stream
}

// Seal makes the recorder refuse every further request and returns the records for
// the next incarnation of the agent. Call it when no request runs any more; a
// request that still does is saved with an unknown outcome.
func (r *Recorder) Seal(now time.Time) (handover Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	handover.Incarnations = []banyanplank.Incarnation{r.incarnation}
	for key, rec := range r.records {
		if rec.stage != stageReleased && rec.stage != stageWaiting {
			handover.Keys = append(handover.Keys, r.saveRecord(key, rec))
		}
	}
	for incarnation, keys := range r.adopted {
		handover.Incarnations = append(handover.Incarnations, incarnation)
		for _, a := range keys {
			if now.Before(a.saved.Deadline.Add(r.retention)) {
				handover.Keys = append(handover.Keys, a.saved)
			}
		}
	}
	handover.dropOldestIncarnations()
	return handover
}

// maxIncarnations limits the incarnations of an agent in a handover.
const maxIncarnations = 64

// dropOldestIncarnations keeps the newest [maxIncarnations] incarnations and their
// keys.
func (h *Handover) dropOldestIncarnations() {
	slices.Sort(h.Incarnations)
	if len(h.Incarnations) <= maxIncarnations {
		return
	}
	h.Incarnations = h.Incarnations[len(h.Incarnations)-maxIncarnations:]
	h.Keys = slices.DeleteFunc(h.Keys, func(s SavedRecord) bool { return s.Incarnation < h.Incarnations[0] })
}

// saveRecord returns the saved form of a started or ended record.
func (r *Recorder) saveRecord(key banyanplank.Digest, rec *record) (saved SavedRecord) {
	saved = SavedRecord{
		Incarnation: r.incarnation,
		Key:         key,
		Call:        rec.call,
		Deadline:    rec.deadline,
		Outcome:     banyanplank.OutcomeUnknown,
	}
	if rec.stage != stageEnded || rec.stream == nil {
		return saved
	}
	ended, failure := rec.stream.Ended()
	if !ended || failure != nil {
		return saved
	}
	saved.Outcome = banyanplank.Ran
	head, parts, err := rec.stream.ReadAll()
	if err == nil {
		saved.Answer = &SavedAnswer{Account: rec.stream.Account(), Head: head, Parts: parts}
	}
	return saved
}

// Adopt takes over the records of earlier incarnations of the agent and stores
// their answers in h as far as its budgets allow. It may be called at any time,
// preferably before the agent serves: until then keys of earlier incarnations are
// refused with an unknown outcome.
func (r *Recorder) Adopt(h *holder.Holder, handover Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, incarnation := range handover.Incarnations {
		if incarnation < r.incarnation {
			r.adopted[incarnation] = make(map[banyanplank.Digest]adoptedRecord)
		}
	}
	for _, saved := range handover.Keys {
		keys, ok := r.adopted[saved.Incarnation]
		if ok {
			keys[saved.Key] = adoptedRecord{saved: saved, stream: restoreStream(h, saved.Answer)}
		}
	}
}

// restoreStream returns a stream with a saved answer, or nil if there is no answer
// or it exceeds the budgets of h. Append gets a canceled context, so that it fails
// instead of waiting for room.
func restoreStream(h *holder.Holder, answer *SavedAnswer) (stream *holder.Stream) {
	if answer == nil {
		return nil
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	stream = h.Open(answer.Account)
	stream.SetHead(answer.Head)
	for _, part := range answer.Parts {
		if stream.Append(canceled, part) != nil {
			stream.Drop()
			return nil
		}
	}
	stream.Finish()
	stream.Ack(stream.NextOffset())
	return stream
}

// resolveAdopted returns the answer or the refusal for a binding to an earlier
// incarnation of the agent.
func (r *Recorder) resolveAdopted(now time.Time, key banyanplank.Digest, binding banyanplank.Binding) (earlier *holder.Stream, err error) {
	keys, ok := r.adopted[binding.Incarnation]
	if binding.Daemon != r.daemon || !ok {
		return nil, r.refuseForeign()
	}
	a, ok := keys[key]
	switch {
	case !ok && !now.Before(binding.StartDeadline.Add(r.retention)):
		// The key may have run: it is no longer kept.
		return nil, r.checkDeadline(now, binding)
	case !ok:
		return nil, newRefusal(banyanplank.NotRun, banyanplank.ReasonStale, "The agent restarted before the call reached it.")
	case a.saved.Call != binding.Call:
		return nil, newRefusal(banyanplank.NotRun, banyanplank.ReasonConflict,
			"The Idempotency-Key was used before with another call; use a new key for a new call.")
	case a.stream != nil:
		return a.stream, nil
	case a.saved.Outcome == banyanplank.Ran:
		return nil, newRefusal(banyanplank.Ran, banyanplank.ReasonExpired, "The request ran to its end; its answer is no longer kept.")
	default:
		return nil, r.refuseForeign()
	}
}
