package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/retrier"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRetrier(options ...retrier.Option) *retrier.Retrier {
	return retrier.New(rand.New(rand.NewPCG(1, 2)), options...)
}

func refusal(outcome banyanplank.Outcome, reason banyanplank.Reason) error {
	return errors.Wrap(&banyanplank.Refusal{Outcome: outcome, Reason: reason}, "attempt")
}

func TestNext(t *testing.T) {
	notRun, unknown := banyanplank.NotRun, banyanplank.OutcomeUnknown
	tests := map[string]struct {
		attempt retrier.Attempt
		err     error
		want    bool
	}{
		"not run":            {retrier.Attempt{Number: 1}, refusal(notRun, banyanplank.ReasonOverload), true},
		"not run, once":      {retrier.Attempt{Number: 1, Once: true}, refusal(notRun, banyanplank.ReasonUnreachable), true},
		"unknown":            {retrier.Attempt{Number: 1}, refusal(unknown, banyanplank.ReasonEndpoint), true},
		"unknown, once":      {retrier.Attempt{Number: 1, Once: true}, refusal(unknown, banyanplank.ReasonEndpoint), false},
		"unknown, begun":     {retrier.Attempt{Number: 1, Begun: true}, refusal(unknown, banyanplank.ReasonEndpoint), false},
		"canceled":           {retrier.Attempt{Number: 1}, refusal(unknown, banyanplank.ReasonCanceled), false},
		"ran":                {retrier.Attempt{Number: 1}, refusal(banyanplank.Ran, banyanplank.ReasonConflict), false},
		"limit":              {retrier.Attempt{Number: 1}, refusal(notRun, banyanplank.ReasonLimit), false},
		"suspect":            {retrier.Attempt{Number: 1}, refusal(notRun, banyanplank.ReasonSuspect), false},
		"invalid":            {retrier.Attempt{Number: 1}, refusal(notRun, banyanplank.ReasonInvalid), false},
		"no endpoint":        {retrier.Attempt{Number: 1}, refusal(notRun, banyanplank.ReasonNoEndpoint), false},
		"too many":           {retrier.Attempt{Number: 3}, refusal(notRun, banyanplank.ReasonOverload), false},
		"many closed":        {retrier.Attempt{Number: 7}, refusal(notRun, banyanplank.ReasonLeaving), true},
		"too many closed":    {retrier.Attempt{Number: 8}, refusal(notRun, banyanplank.ReasonLeaving), false},
		"deadline in time":   {retrier.Attempt{Number: 1, Deadline: epoch.Add(1)}, refusal(notRun, banyanplank.ReasonOverload), true},
		"deadline has gone":  {retrier.Attempt{Number: 1, Deadline: epoch}, refusal(notRun, banyanplank.ReasonOverload), false},
		"some other failure": {retrier.Attempt{Number: 1}, errors.New("bad"), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, ok := newRetrier().Next(epoch, test.attempt, test.err)
			is.Equal(ok, test.want)
		})
	}
}

func TestDelaysAreRandomAndBounded(t *testing.T) {
	is := is.New(t)
	r := newRetrier(retrier.WithAttempts(100), retrier.WithShare(1))
	failed := refusal(banyanplank.NotRun, banyanplank.ReasonOverload)
	delay, ok := r.Next(epoch, retrier.Attempt{Number: 1}, failed)
	is.True(ok)
	is.Equal(delay, time.Duration(0))
	distinct := map[time.Duration]bool{}
	for number := 2; number < 40; number++ {
		r.Fresh("")
		delay, ok := r.Next(epoch, retrier.Attempt{Number: number}, failed)
		is.True(ok)
		is.True(delay < 200*time.Millisecond)
		distinct[delay] = true
	}
	is.True(len(distinct) > 30)
}

// TestBudget checks that retries which cost an endpoint something stay within
// their share however requests fail, as when answers are lost with a whole zone.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRetrier(retrier.WithShare(0.25), retrier.WithBurst(10), retrier.WithAttempts(1000))
		costly := []error{
			refusal(banyanplank.NotRun, banyanplank.ReasonOverload),
			refusal(banyanplank.NotRun, banyanplank.ReasonDeadline),
			refusal(banyanplank.NotRun, banyanplank.ReasonEndpoint),
			refusal(banyanplank.OutcomeUnknown, banyanplank.ReasonEndpoint),
			refusal(banyanplank.OutcomeUnknown, banyanplank.ReasonUnreachable),
		}
		fresh, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "requests") {
			r.Fresh("")
			fresh++
			for number := range rapid.IntRange(0, 10).Draw(t, "failures") {
				failed := rapid.SampledFrom(costly).Draw(t, "failure")
				if _, ok := r.Next(epoch, retrier.Attempt{Number: number + 1}, failed); ok {
					retries++
				}
			}
		}
		if bound := 10 + float64(fresh)/4; float64(retries) > bound {
			t.Fatalf("%d retries of %d requests, bound %.1f", retries, fresh, bound)
		}
	})
}

// TestFreeAttempts checks that closed agents, as in a zone that is taken out,
// use up no budget, and that their number is bounded.
func TestFreeAttempts(t *testing.T) {
	is := is.New(t)
	r := newRetrier(retrier.WithShare(0), retrier.WithBurst(1))
	closed := refusal(banyanplank.NotRun, banyanplank.ReasonZoneOut)
	for number := 1; number < 8; number++ {
		_, ok := r.Next(epoch, retrier.Attempt{Number: number}, closed)
		is.True(ok)
	}
	_, ok := r.Next(epoch, retrier.Attempt{Number: 8}, closed)
	is.True(!ok)
	_, ok = r.Next(epoch, retrier.Attempt{Number: 1}, refusal(banyanplank.NotRun, banyanplank.ReasonOverload))
	is.True(ok) // the budget is still there
	_, ok = r.Next(epoch, retrier.Attempt{Number: 1}, refusal(banyanplank.NotRun, banyanplank.ReasonOverload))
	is.True(!ok)
}

func TestBudgetsAreSeparate(t *testing.T) {
	is := is.New(t)
	r := newRetrier()
	failed := refusal(banyanplank.NotRun, banyanplank.ReasonOverload)
	for range 1000 {
		r.Fresh("flood")
		r.Next(epoch, retrier.Attempt{Account: "flood", Number: 1}, failed)
	}
	_, ok := r.Next(epoch, retrier.Attempt{Account: "flood", Number: 1}, failed)
	is.True(!ok)
	_, ok = r.Next(epoch, retrier.Attempt{Account: "small", Number: 1}, failed)
	is.True(ok)
}
