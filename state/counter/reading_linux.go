package counter

import (
	"time"

	"golang.org/x/sys/unix"
)

// startedAt is the elapsed time zero where the machine's time since its boot can't be read.
var startedAt = time.Now()

// Limits on reading two clocks at one moment: a goroutine may be interrupted between them.
const (
	maxReadTime = time.Millisecond
	maxReads    = 3
)

// Read reads the clocks of the machine.
func Read() (reading Reading) {
	for range maxReads {
		now := time.Now()
		var boot unix.Timespec
		// Only CLOCK_BOOTTIME goes on while the process is frozen.
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
			return Reading{Wall: now.Round(0), Elapsed: now.Sub(startedAt)}
		}
		reading = Reading{Wall: now.Round(0), Elapsed: time.Duration(boot.Nano())}
		if time.Since(now) < maxReadTime {
			break
		}
	}
	return reading
}
