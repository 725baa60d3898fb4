package pause

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a clock that stands still while the machine is suspended, and against one that follows the time of day.
func TestClockCountsSuspensions(t *testing.T) {
	is := is.New(t)
	suspended := time.Hour
	c := newClock(func() time.Duration { return suspended })
	at := func(monotonic, timeOfDay time.Duration) time.Duration {
		return monotonic + c.suspensions(timeOfDay-monotonic)
	}
	is.Equal(at(time.Second, time.Second), time.Second)
	suspended += 3 * time.Second
	is.Equal(at(2*time.Second, 5*time.Second), 5*time.Second)
	is.Equal(at(3*time.Second, 6*time.Second), 6*time.Second)
	is.Equal(at(4*time.Second, 4*time.Second), 7*time.Second) // the time of day was set back
}
