package runner_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/runner"
	"github.com/banyanplank/banyanplank/state/holder"
	"github.com/banyanplank/banyanplank/state/recorder"
)

// partSize and parts are the shape of the answers in these tests, in bytes.
const (
	partSize = 1 << 10
	parts    = 8
)

// maker answers every request with the same number of parts.
type maker struct{ banyanplank.Endpoint }

func (maker) Run(context.Context, *banyanplank.Request) (answer banyanplank.Answer, err error) {
	return &made{}, nil
}

type made struct{ next int }

func (*made) Head() (head banyanplank.Head) { return banyanplank.Head{Status: 200} }

func (*made) Close() (err error) { return nil }

// Next returns parts that have nothing in common, so that none is held as a
// difference from the one before.
func (m *made) Next() (part banyanplank.Part, err error) {
	if m.next == parts {
		return part, io.EOF
	}
	data := make([]byte, partSize)
	for i := range data {
		data[i] = byte(i*(2*m.next+1) + m.next)
	}
	part = banyanplank.Part{Offset: uint64(m.next), Data: data}
	m.next++
	return part, nil
}

// open admits everything.
type open struct{ banyanplank.Admitter }

func (open) Admit(context.Context, *banyanplank.Request) (grant banyanplank.Grant, err error) {
	return free{}, nil
}

type free struct{}

func (free) Progress(int) {}

func (free) Release(bool) {}

// reader takes every part and acknowledges none, as an entry does with the last
// parts of an answer.
type reader struct{ parts int }

func (*reader) Accepted(context.Context) (err error) { return nil }

func (*reader) Head(context.Context, banyanplank.Head) (err error) { return nil }

func (r *reader) Part(context.Context, banyanplank.Part) (err error) {
	r.parts++
	return nil
}

func (*reader) Follow(func(offset uint64)) {}

// TestDeliveredAnswersGiveWay delivers more answers than the budget of their
// account holds, without any time in which they could be forgotten.
func TestDeliveredAnswersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := 4 * parts * partSize
		held := holder.New(holder.WithAccountBytes(budget), holder.WithDaemonBytes(4*budget))
		r := runner.New(maker{}, open{}, recorder.New("agent", 1), runner.WithHolder(held))
		began := time.Now()
		for i := range 20 {
			sink := &reader{}
			end, err := r.Run(t.Context(), &banyanplank.Request{
				Attempt: banyanplank.AttemptID(fmt.Sprint(i)), Account: "himal", Deadline: time.Now().Add(time.Minute),
			}, sink)
			is.NoErr(err)
			is.Equal(end.Parts, uint64(parts))
			is.Equal(sink.parts, parts)
			is.True(held.AccountBytes("himal") <= budget)
		}
		is.Equal(time.Since(began), time.Duration(0))
		r.Wait()
	})
}
