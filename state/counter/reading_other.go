//go:build !linux

package counter

import "time"

// startedAt is the elapsed time zero.
var startedAt = time.Now()

// Read reads the clocks of the machine.
func Read() (reading Reading) {
	now := time.Now()
	return Reading{Wall: now.Round(0), Elapsed: now.Sub(startedAt)}
}
