package prober_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank/transport/prober"
)

func TestRunNoticesSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		p := prober.New(started)
		var probes int
		err := p.Run(t.Context(), func(context.Context) error { probes++; return nil })
		is.True(errors.Is(err, prober.ErrSilent))
		is.Equal(time.Since(started), prober.DefaultTimeout)
		is.Equal(probes, 3)
	})
}

// TestRunKeepsSlowConnection answers each probe just before the timeout.
func TestRunKeepsSlowConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := prober.New(time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		var group conc.WaitGroup
		group.Go(func() {
			ticker := time.NewTicker(prober.DefaultTimeout - time.Millisecond)
			defer ticker.Stop()
			for ctx.Err() == nil {
				select {
				case <-ctx.Done():
				case <-ticker.C:
					p.Heard(time.Now())
				}
			}
		})
		is.NoErr(p.Run(ctx, func(context.Context) error { return nil }))
		group.Wait()
	})
}

func TestDue(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		after  time.Duration
		action prober.Action
		wait   time.Duration
	}{
		"fresh":   {after: 200 * time.Millisecond, action: prober.Wait, wait: 300 * time.Millisecond},
		"quiet":   {after: 500 * time.Millisecond, action: prober.Probe, wait: 500 * time.Millisecond},
		"late":    {after: 1800 * time.Millisecond, action: prober.Probe, wait: 200 * time.Millisecond},
		"silent":  {after: 2 * time.Second, action: prober.Fail},
		"woke up": {after: time.Hour, action: prober.Probe, wait: 500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			action, wait := prober.New(start).Due(start.Add(test.after))
			is.Equal(action, test.action)
			is.Equal(wait, test.wait)
		})
	}
}
