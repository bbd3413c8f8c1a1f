package endpoint

import (
	"syscall"
	"time"
)

// timerMargin is the last part of a sleep, which uses nanosleep: in an idle
// process the runtime's timers are up to a millisecond late.
const timerMargin = 2 * time.Millisecond

// sleepUntil sleeps until t with the resolution of the kernel's timers.
func sleepUntil(t time.Time) {
	for {
		d := time.Until(t)
		if d <= 0 {
			return
		}
		if d > timerMargin {
			time.Sleep(d - timerMargin)
			continue
		}
		short := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&short, nil)
	}
}
