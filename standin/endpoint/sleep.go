package endpoint

import (
	"syscall"
	"time"
)

// coarse is how much of a sleep the runtime's timers do not take over; in an
// idle process they are up to a millisecond late.
const coarse = 2 * time.Millisecond

// sleepUntil sleeps with the resolution of the kernel's timers.
func sleepUntil(t time.Time) {
	for {
		d := time.Until(t)
		if d <= 0 {
			return
		}
		if d > coarse {
			time.Sleep(d - coarse)
			continue
		}
		short := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&short, nil)
	}
}
