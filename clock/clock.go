// Package clock reads a clock that neither jumps nor stands still while the
// machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspension included, as a time. Only
// differences between two such times mean something, and only on one machine.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has the clock; without it nothing that this
		// program promises holds.
		panic("clock: could not read the clock since boot: " + err.Error())
	}
	return time.Unix(t.Unix())
}
