package banyanplank_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

func TestPause(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	tests := map[string]struct {
		ctx  context.Context
		d    time.Duration
		took time.Duration
		err  error
	}{
		"a time":                {context.Background(), time.Second, time.Second, nil},
		"no time":               {context.Background(), 0, 0, nil},
		"less than none":        {context.Background(), -time.Second, 0, nil},
		"ended before":          {ended, time.Second, 0, context.Canceled},
		"no time, ended before": {ended, 0, 0, context.Canceled},
		"ends in the time":      {nil, time.Second, time.Second / 2, context.DeadlineExceeded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := test.ctx
				if ctx == nil {
					limited, cancel := context.WithTimeout(t.Context(), time.Second/2)
					defer cancel()
					ctx = limited
				}
				began := time.Now()
				is.Equal(banyanplank.Pause(ctx, test.d), test.err)
				is.Equal(time.Since(began), test.took)
			})
		})
	}
}
