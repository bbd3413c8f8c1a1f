// Package clock reads a monotonic clock that keeps running while the machine is
// suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time in suspension. Only the difference
// between two such times is meaningful, and only on the same machine.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. Without it none of this program's
		// guarantees holds.
		panic("clock: could not read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Unix())
}
