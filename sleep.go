package banyanplank

import (
	"context"
	"time"
)

// Sleep waits for the duration or until ctx ends. It returns the error of ctx
// if that ended first or had already ended.
func Sleep(ctx context.Context, duration time.Duration) (err error) {
	if err := ctx.Err(); err != nil || duration <= 0 {
		return err
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
