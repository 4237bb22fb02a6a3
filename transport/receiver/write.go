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

// Failure is the JSON form of an error.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes a request that failed or got an incomplete answer.
type FailureDetail struct {
	Outcome banyanplank.Outcome `json:"outcome"`
	Reason  banyanplank.Reason  `json:"reason"`
	Message string              `json:"message"`
	// Retry is how long to wait before a retry, in seconds, or zero if unknown.
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

// httpStatus returns the HTTP status for a refusal.
func httpStatus(refusal *banyanplank.Refusal) (status int) {
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

// writeRefusal responds with the refusal in err. Nothing may have been written
// before.
func writeRefusal(w http.ResponseWriter, err error) {
	refusal := banyanplank.AsRefusal(err)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(refusal))
	_ = json.NewEncoder(w).Encode(newFailure(refusal))
}

// answerWriter writes one answer. It flushes each event of an event stream.
type answerWriter struct {
	out           http.ResponseWriter
	control       *http.ResponseController
	isEventStream bool
}

func newAnswerWriter(w http.ResponseWriter, head banyanplank.Head) *answerWriter {
	if head.Type != "" {
		w.Header().Set("Content-Type", head.Type)
	}
	w.WriteHeader(head.Status)
	return &answerWriter{
		out:           w,
		control:       http.NewResponseController(w),
		isEventStream: strings.HasPrefix(head.Type, "text/event-stream"),
	}
}

// writePart writes one part. The id of an event encodes where to resume after it.
func (w *answerWriter) writePart(part banyanplank.Part, location forwarder.Location) (err error) {
	if !w.isEventStream {
		_, err = w.out.Write(part.Data)
		return err
	}
	if _, err := fmt.Fprintf(w.out, "id: %s\n", formatEventID(part.Offset+1, location)); err != nil {
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

// writeEnd writes the final event of a complete event stream.
func (w *answerWriter) writeEnd() (err error) {
	if !w.isEventStream {
		return nil
	}
	if _, err := w.out.Write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return w.control.Flush()
}

// writeError writes an error event to an event stream that ends early. It returns
// cause.
func (w *answerWriter) writeError(cause error) (err error) {
	if !w.isEventStream {
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
