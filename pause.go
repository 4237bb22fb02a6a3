package banyanplank

import (
	"context"
	"time"
)

// Pause waits for a time, or until ctx ends and returns its error.
func Pause(ctx context.Context, d time.Duration) (err error) {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
