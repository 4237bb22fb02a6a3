package receiver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
	"github.com/banyanplank/banyanplank/transport/receiver"
)

// outcome is what one call was counted as.
type outcome struct {
	good           bool
	first, slowest time.Duration
}

// outcomes keeps what is recorded.
type outcomes struct{ list []outcome }

func (o *outcomes) Record(_ banyanplank.ServiceName, _ banyanplank.AccountID, good bool, first, slowest time.Duration) {
	o.list = append(o.list, outcome{good: good, first: first, slowest: slowest})
}

// paced is an answer, or a refusal, that takes its time.
type paced struct {
	recorded
	refusal error
	waits   []time.Duration
	end     error
	status  int
}

func (p *paced) Forward(ctx context.Context, _ *banyanplank.Request, _ *forwarder.Place) (delivery forwarder.Delivery, err error) {
	if p.refusal != nil {
		return nil, p.refusal
	}
	return &pacedAnswer{paced: p, ctx: ctx}, nil
}

type pacedAnswer struct {
	*paced
	ctx  context.Context
	next int
}

func (a *pacedAnswer) Head() (head banyanplank.Head) {
	return banyanplank.Head{Status: a.status, Type: "text/event-stream"}
}

func (a *pacedAnswer) Next() (part banyanplank.Part, err error) {
	if a.next >= len(a.waits) {
		return part, a.end
	}
	select {
	case <-time.After(a.waits[a.next]):
	case <-a.ctx.Done():
		return part, a.ctx.Err()
	}
	a.next++
	return banyanplank.Part{Offset: uint64(a.next - 1), Data: []byte("x")}, nil
}

func (a *pacedAnswer) Place() (place forwarder.Place) {
	return forwarder.Place{Daemon: "agent/1", Attempt: "r1.0"}
}

func (a *pacedAnswer) Close() (err error) { return nil }

// slowWriter takes a second to write each part.
type slowWriter struct {
	*httptest.ResponseRecorder
	err error
}

func (w slowWriter) Flush() { time.Sleep(time.Second) }

func (w slowWriter) Write(data []byte) (n int, err error) {
	if w.err != nil {
		return 0, w.err
	}
	return w.ResponseRecorder.Write(data)
}

func TestOutcomeOfCall(t *testing.T) {
	refusal := func(outcome banyanplank.Outcome, reason banyanplank.Reason) error {
		return &banyanplank.Refusal{Outcome: outcome, Reason: reason}
	}
	waits := []time.Duration{2 * time.Second, 10 * time.Millisecond, 30 * time.Millisecond}
	cases := map[string]struct {
		forward  paced
		patience time.Duration
		write    error
		want     []outcome
	}{
		"whole, read slowly": {
			forward: paced{waits: waits, end: io.EOF, status: http.StatusOK},
			want:    []outcome{{good: true, first: 2 * time.Second, slowest: 30 * time.Millisecond}},
		},
		"cut":              {forward: paced{waits: waits[:1], end: io.ErrUnexpectedEOF, status: http.StatusOK}, want: []outcome{{first: 2 * time.Second}}},
		"endpoint's error": {forward: paced{end: io.EOF, status: http.StatusInternalServerError}, want: []outcome{{}}},
		"endpoint refuses": {forward: paced{end: io.EOF, status: http.StatusBadRequest}, want: []outcome{{good: true}}},
		"no endpoint":      {forward: paced{refusal: refusal(banyanplank.NotRun, banyanplank.ReasonNoEndpoint)}, want: []outcome{{}}},
		"overload":         {forward: paced{refusal: refusal(banyanplank.NotRun, banyanplank.ReasonOverload)}, want: []outcome{{}}},
		"over its limit":   {forward: paced{refusal: refusal(banyanplank.NotRun, banyanplank.ReasonLimit)}},
		"key in use":       {forward: paced{refusal: refusal(banyanplank.NotRun, banyanplank.ReasonInProgress)}},
		"caller hangs up before the first part": {
			forward: paced{waits: []time.Duration{time.Minute}, status: http.StatusOK}, patience: 5 * time.Second,
			want: []outcome{{good: true, first: 5 * time.Second}},
		},
		"caller's connection breaks": {
			forward: paced{waits: waits, end: io.EOF, status: http.StatusOK}, write: errors.New("broken pipe"),
			want: []outcome{{good: true, first: 2 * time.Second}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				seen := &outcomes{}
				handler := newReceiver(&c.forward, receiver.WithOutcomes(seen))
				ctx := t.Context()
				if c.patience > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, c.patience)
					defer cancel()
				}
				body := strings.NewReader(`{"model":"guide","messages":[{"role":"user","content":"x"}],"stream":true}`)
				request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", body)
				request.Header.Set("Authorization", "Bearer "+secret)
				func() {
					defer func() { _ = recover() }() // a cut answer aborts the handler
					handler.ServeHTTP(slowWriter{httptest.NewRecorder(), c.write}, request)
				}()
				is.Equal(seen.list, c.want)
			})
		})
	}
}
