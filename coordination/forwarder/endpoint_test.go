package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// partsOf returns the answer to body, the same in every run.
func partsOf(body string) (parts []string) {
	for i := range 1 + len(body)%5 {
		parts = append(parts, fmt.Sprintf("%s#%d", body, i))
	}
	return parts
}

// endpoint counts what it runs.
type endpoint struct{ world *world }

func (e endpoint) Run(ctx context.Context, request *banyanplank.Request) (answer banyanplank.Answer, err error) {
	f := e.world.next(pointRun)
	if f == faultRefuse {
		return nil, &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonOverload}
	}
	if f == faultPause {
		time.Sleep(pause)
	}
	body := string(request.Body)
	e.world.mu.Lock()
	e.world.runs[body]++
	e.world.begun[body] = time.Now()
	e.world.mu.Unlock()
	if f == faultDeath {
		return nil, errors.New("endpoint died")
	}
	return &made{ctx: ctx, world: e.world, parts: partsOf(body), next: request.Offset}, nil
}

func (endpoint) Cancel(context.Context, banyanplank.AttemptID) (err error) { return nil }

func (endpoint) Report(context.Context) (report banyanplank.EndpointReport, err error) {
	return report, nil
}

func (endpoint) Order(context.Context, banyanplank.Order) (err error) { return nil }

// made is an answer in the making, a part every 10 ms.
type made struct {
	ctx   context.Context
	world *world
	parts []string
	next  uint64
}

func (m *made) Head() (head banyanplank.Head) {
	return banyanplank.Head{Status: 200, Type: "text/event-stream"}
}

func (m *made) Next() (part banyanplank.Part, err error) {
	pace := 10 * time.Millisecond
	switch m.world.next(pointMake) {
	case faultDelay, faultLate:
		pace = 5 * time.Second
	case faultDeath:
		return part, errors.New("endpoint died")
	}
	select {
	case <-time.After(pace):
	case <-m.ctx.Done():
		return part, m.ctx.Err()
	}
	if m.next >= uint64(len(m.parts)) {
		return part, io.EOF
	}
	part = banyanplank.Part{Offset: m.next, Data: []byte(m.parts[m.next])}
	m.next++
	return part, nil
}

func (m *made) Close() (err error) { return nil }
