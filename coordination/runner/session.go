package runner

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/holder"
)

// session is one attempt at the endpoint and the answer that it produces.
type session struct {
	runner     *Runner
	key        sessionKey
	request    *banyanplank.Request
	callDigest banyanplank.Digest
	stream     *holder.Stream
	// bodyReservation accounts for the memory of the request's body.
	bodyReservation *holder.Reservation
	// firstOffset is the offset of the first part that the stream holds.
	firstOffset uint64
	// cancel ends the wait for admission. It also ends the run, except that of
	// an at-most-once request.
	cancel context.CancelFunc
	// done is closed when the session has ended.
	done chan struct{}
	// shared is set when another session owns the stream.
	shared bool

	// The fields below are guarded by the runner's mutex.
	readers    int
	ended      bool
	graceTimer *time.Timer
	// cancelRun ends the run of an at-most-once request.
	cancelRun context.CancelFunc
}

// run runs the request at the endpoint and ends the stream with its result.
func (s *session) run(ctx context.Context) {
	defer s.close()
	err := s.admitAndRun(ctx)
	if err == nil {
		s.stream.Finish()
		return
	}
	s.stream.Fail(s.truncationError(err))
}

// truncationError returns the refusal for an answer that err truncated.
func (s *session) truncationError(err error) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonDeadline, "The deadline passed before the answer was complete.")
	case errors.Is(err, context.Canceled) && s.runner.stopped.Load():
		return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonLeaving, "The agent stopped before the answer was complete.")
	case errors.Is(err, context.Canceled):
		return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonCanceled, "The caller disconnected before the answer was complete.")
	default:
		return toRefusal(err)
	}
}

// admitAndRun waits for admission and runs the request.
func (s *session) admitAndRun(ctx context.Context) (err error) {
	grant, err := s.runner.admitter.Admit(ctx, s.request)
	if err != nil {
		s.releaseRecord(err)
		return err
	}
	healthy := true
	defer func() { grant.Release(healthy) }()
	ctx, err = s.markStarted(ctx)
	if err != nil {
		return err
	}
	answer, err := s.runner.endpoint.Run(ctx, s.request)
	if err != nil {
		healthy = isNotRun(err) || ctx.Err() != nil
		if isNotRun(err) {
			s.releaseRecord(err)
		}
		return err
	}
	defer answer.Close()
	err = s.copyAnswer(ctx, answer, grant)
	healthy = err == nil || ctx.Err() != nil
	return err
}

// markStarted marks the request as started, immediately before it is sent to the
// endpoint. It returns the context to run under.
func (s *session) markStarted(ctx context.Context) (running context.Context, err error) {
	if ctx.Err() != nil {
		err = newRefusal(banyanplank.NotRun, banyanplank.ReasonCanceled, "The caller disconnected before the request started.")
		s.releaseRecord(err)
		return nil, err
	}
	if !s.request.AtMostOnce {
		return ctx, nil
	}
	if !s.runner.recorder.Start(s.request.RecordKey(), s.request.Binding.Generation) {
		return nil, newRefusal(banyanplank.NotRun, banyanplank.ReasonCanceled, "The request was released before it started.")
	}
	limit := s.request.Deadline.Add(s.runner.maxOverrun)
	running, cancel := context.WithDeadline(context.WithoutCancel(ctx), limit)
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	s.cancelRun = cancel
	return running, nil
}

// releaseRecord records that an at-most-once request will never be started, if
// err is a refusal.
func (s *session) releaseRecord(err error) {
	var refusal *banyanplank.Refusal
	if s.request.AtMostOnce && errors.As(err, &refusal) {
		s.runner.recorder.Release(s.request.RecordKey(), s.request.Binding.Generation, refusal)
	}
}

// copyAnswer copies the answer to the stream.
func (s *session) copyAnswer(ctx context.Context, answer banyanplank.Answer, grant banyanplank.Grant) (err error) {
	s.stream.SetHead(answer.Head())
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.stream.Append(ctx, part.Data); err != nil {
			return err
		}
		grant.Progress(1)
	}
}

// sendAnswer sends the answer to sink, from the caller's offset on.
func (s *session) sendAnswer(ctx context.Context, offset uint64, sink Sink) (end banyanplank.End, err error) {
	if offset < s.firstOffset {
		return end, newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonExpired, "The attempt began at a later part of the answer.")
	}
	sink.HandleAcks(func(acked uint64) { s.stream.Ack(acked - min(acked, s.firstOffset)) })
	reader := s.stream.Reader(offset - s.firstOffset)
	head, err := reader.Head(ctx)
	if err != nil {
		return end, s.missingPartError(err)
	}
	if err := sink.Head(ctx, head); err != nil {
		return end, err
	}
	for {
		part, err := reader.Next(ctx)
		if errors.Is(err, io.EOF) {
			return banyanplank.End{Parts: s.firstOffset + s.stream.NextOffset()}, nil
		}
		if err != nil {
			return end, s.missingPartError(err)
		}
		part.Offset += s.firstOffset
		if err := sink.Part(ctx, part); err != nil {
			return end, err
		}
	}
}

// missingPartError turns the error of a reader whose parts were dropped into a
// refusal with the outcome of the request.
func (s *session) missingPartError(err error) error {
	if !errors.Is(err, holder.ErrTrimmed) && !errors.Is(err, holder.ErrDropped) {
		return err
	}
	ended, failure := s.stream.Ended()
	if ended && failure == nil {
		return newRefusal(banyanplank.Ran, banyanplank.ReasonExpired, "The request ran to its end; its answer is no longer kept.")
	}
	return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonExpired, "The answer is no longer kept.")
}

// sessionEndGrace is how long a caller waits for the session to end after the
// deadline.
const sessionEndGrace = 50 * time.Millisecond

// deadlineError returns the refusal for a caller whose deadline has passed.
func (s *session) deadlineError() (err error) {
	// A request that still waits for admission ends at the same deadline.
	select {
	case <-s.done:
	case <-time.After(sessionEndGrace):
	}
	ended, failure := s.stream.Ended()
	if ended && isNotRun(failure) {
		return failure
	}
	if s.request.AtMostOnce {
		return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonInProgress,
			"The request is still in progress; ask again with the same key for its answer.")
	}
	return newRefusal(banyanplank.OutcomeUnknown, banyanplank.ReasonDeadline, "The deadline passed before the answer was complete.")
}

// removeReader counts out a reader. After the last one the session runs on for
// the grace period, or is canceled at once if the caller disconnected. An
// at-most-once request that has started runs on in any case.
func (s *session) removeReader(callerGone bool) {
	if s.shared {
		return
	}
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.ended {
		return
	}
	s.stream.SetDiscardUnread(s.request.AtMostOnce)
	if callerGone {
		s.cancel()
		return
	}
	if s.graceTimer != nil {
		s.graceTimer.Stop()
	}
	s.graceTimer = time.AfterFunc(r.reconnectGrace, s.cancelUnread)
}

// cancelUnread cancels a session to which no entry has reconnected.
func (s *session) cancelUnread() {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	if s.readers == 0 {
		s.cancel()
	}
}

// stop cancels the session at once. The runner's mutex must be held.
func (s *session) stop() {
	s.cancel()
	if s.cancelRun != nil {
		s.cancelRun()
	}
}

// close ends the session and schedules the discard of its answer.
func (s *session) close() {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	close(s.done)
	s.ended = true
	s.bodyReservation.Release()
	s.stop()
	r.running--
	retention := r.retention
	if s.request.AtMostOnce {
		r.recorder.End(s.request.RecordKey(), s.request.Binding.Generation)
		retention = r.resultRetention
	}
	time.AfterFunc(retention, s.discard)
}

// discard drops the answer of an ended session that has no reader. The record
// of an at-most-once request stays.
func (s *session) discard() {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.readers > 0 {
		time.AfterFunc(r.retention, s.discard)
		return
	}
	delete(r.sessions, s.key)
	s.stream.Drop()
}
