package leaser

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxClockReadTime is how far apart two readings of the monotonic clock around one of
	// CLOCK_BOOTTIME may be. A longer gap means that the thread was descheduled.
	maxClockReadTime = time.Millisecond
	// clockReadAttempts is the number of readings before one with a longer gap is used.
	clockReadAttempts = 4
)

// FrozenTime returns for how long the machine has been frozen in total: CLOCK_BOOTTIME counts
// that time, the monotonic clock does not. It may return too much if the thread is descheduled,
// and returns 0 if a clock can't be read.
func FrozenTime() (frozen time.Duration) {
	for range clockReadAttempts {
		before, boot, after := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_BOOTTIME), readClock(unix.CLOCK_MONOTONIC)
		frozen = boot - before
		if after-before <= maxClockReadTime {
			break
		}
	}
	return max(0, frozen)
}

// readClock returns the reading of a clock, or 0 if it can't be read.
func readClock(id int32) (reading time.Duration) {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
