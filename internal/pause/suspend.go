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

// SinceBoot returns the time since the machine was started, with the time for which it has been suspended.
func SinceBoot() time.Duration {
	if t := clock(unix.CLOCK_BOOTTIME); t > 0 {
		return t
	}
	return clock(unix.CLOCK_MONOTONIC)
}

// clock returns the time of a clock of the kernel, 0 if the kernel does not have it.
func clock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Gaps measures times that include suspensions of the machine. It is not safe for concurrent use.
type Gaps struct {
	suspended func() time.Duration // see Suspended
	before    time.Duration        // result of the last look
}

// NewGaps returns a Gaps that looks at the machine's suspensions with a function, usually Suspended.
func NewGaps(suspended func() time.Duration) *Gaps { return &Gaps{suspended, suspended()} }

// Length returns the length of a time that took as long on the monotonic clock and by the time of day, which may have been set
// meanwhile. It looks for a suspension only if the time of day has advanced by more than a threshold.
func (g *Gaps) Length(monotonic, timeOfDay, threshold time.Duration) time.Duration {
	if timeOfDay <= threshold {
		return monotonic
	}
	before := g.before
	g.before = g.suspended()
	return monotonic + g.before - before
}
