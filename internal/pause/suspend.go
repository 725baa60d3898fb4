package pause

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns for how long the machine has been suspended since it was started. The monotonic clock, and with it the
// difference of two times, does not count that time.
func Suspended() time.Duration {
	return clock(unix.CLOCK_BOOTTIME) - clock(unix.CLOCK_MONOTONIC)
}

// clock returns the time of a clock of the kernel, 0 if the kernel does not have it.
func clock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
