package pause

import (
	"sync"
	"time"
)

// maxClockDifference is how far the time of day and the monotonic clock may drift apart before Clock looks for a suspension. It is
// shorter than any suspension that matters.
const maxClockDifference = 10 * time.Millisecond

// process is the clock of Elapsed.
var process = NewClock()

// Elapsed returns the time since the process was started. It is above 0 and contains the time for which the machine was suspended.
func Elapsed() time.Duration { return process.Now() }

// Clock is a monotonic clock that also counts the time for which the machine was suspended. It is safe for concurrent use.
type Clock struct {
	started   time.Time
	suspended func() time.Duration // see Suspended

	mu         sync.Mutex
	difference time.Duration // time of day less monotonic clock at the last look, both since started
	before     time.Duration // result of the first look at suspended
	total      time.Duration // suspensions since started
}

// NewClock returns a clock that starts at 0.
func NewClock() *Clock { return newClock(Suspended) }

func newClock(suspended func() time.Duration) *Clock {
	return &Clock{started: time.Now(), suspended: suspended, before: suspended()}
}

// Now returns the time since the clock was made.
func (c *Clock) Now() time.Duration { return c.at(time.Now()) }

func (c *Clock) at(now time.Time) time.Duration {
	monotonic := now.Sub(c.started)
	timeOfDay := now.Round(0).Sub(c.started.Round(0))
	return monotonic + c.suspensions(timeOfDay-monotonic)
}

// suspensions returns for how long the machine was suspended since the clock was made. It asks the kernel only if the time of day and the
// monotonic clock differ by another amount than at the last look: a suspension makes them differ, and so does a change of the time of day.
func (c *Clock) suspensions(difference time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (difference - c.difference).Abs() > maxClockDifference {
		c.difference = difference
		c.total = c.suspended() - c.before
	}
	return c.total
}
