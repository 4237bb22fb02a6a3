//go:build !linux

package leaser

import "time"

// FrozenTime returns 0, as CLOCK_BOOTTIME exists only on Linux.
func FrozenTime() (frozen time.Duration) { return 0 }
