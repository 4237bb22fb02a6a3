package receiver

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
)

// Failure is the JSON form of every error.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail tells what is known of a request that got no whole answer.
type FailureDetail struct {
	Outcome banyanplank.Outcome `json:"outcome"`
	Reason  banyanplank.Reason  `json:"reason"`
	Message string              `json:"message"`
	// Retry is when to come back, in seconds. Zero gives no advice.
	Retry float64 `json:"retry,omitempty"`
}

func newFailure(refusal *banyanplank.Refusal) (failure Failure) {
	return Failure{Error: FailureDetail{
		Outcome: refusal.Outcome,
		Reason:  refusal.Reason,
		Message: refusal.Detail,
		Retry:   refusal.RetryAfter.Seconds(),
	}}
}

// statusOf maps a refusal to an HTTP status.
func statusOf(refusal *banyanplank.Refusal) (status int) {
	switch refusal.Reason {
	case banyanplank.ReasonInvalid:
		return http.StatusBadRequest
	case banyanplank.ReasonForbidden:
		return http.StatusUnauthorized
	case banyanplank.ReasonLimit:
		return http.StatusTooManyRequests
	case banyanplank.ReasonConflict, banyanplank.ReasonInProgress, banyanplank.ReasonExpired:
		return http.StatusConflict
	}
	if refusal.Outcome == banyanplank.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeRefusal answers a call of which nothing was written yet.
func writeRefusal(w http.ResponseWriter, err error) {
	refusal := banyanplank.AsRefusal(err)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(refusal))
	_ = json.NewEncoder(w).Encode(newFailure(refusal))
}

// writer writes one answer and flushes each part.
type writer struct {
	out     http.ResponseWriter
	control *http.ResponseController
	events  bool
}

func newWriter(w http.ResponseWriter, head banyanplank.Head) *writer {
	if head.Type != "" {
		w.Header().Set("Content-Type", head.Type)
	}
	w.WriteHeader(head.Status)
	return &writer{
		out:     w,
		control: http.NewResponseController(w),
		events:  strings.HasPrefix(head.Type, "text/event-stream"),
	}
}

// part writes one part. An event's id tells how to get the parts after it.
func (w *writer) part(part banyanplank.Part, place forwarder.Place) (err error) {
	if !w.events {
		_, err = w.out.Write(part.Data)
		return err
	}
	if _, err := fmt.Fprintf(w.out, "id: %s\n", formatEventID(part.Offset+1, place)); err != nil {
		return err
	}
	for line := range strings.Lines(string(part.Data)) {
		if _, err := fmt.Fprintf(w.out, "data: %s\n", strings.TrimSuffix(line, "\n")); err != nil {
			return err
		}
	}
	if _, err := w.out.Write([]byte("\n")); err != nil {
		return err
	}
	return w.control.Flush()
}

// end closes a whole answer.
func (w *writer) end() (err error) {
	if !w.events {
		return nil
	}
	if _, err := w.out.Write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return w.control.Flush()
}

// cut tells a reader of events why the answer ends early, and returns cause.
func (w *writer) cut(cause error) (err error) {
	if !w.events {
		return cause
	}
	data, err := json.Marshal(newFailure(banyanplank.AsRefusal(cause)))
	if err != nil {
		return cause
	}
	if _, err := fmt.Fprintf(w.out, "event: error\ndata: %s\n\n", data); err != nil {
		return cause
	}
	_ = w.control.Flush()
	return cause
}
