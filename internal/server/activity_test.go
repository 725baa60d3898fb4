package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pause"
)

// Guards against requests that a stopped process reads late and takes for new ones, after a stop by a signal and after a
// suspension of the machine, and against requests of a running process that are taken for old ones.
func TestStopsAreNoticed(t *testing.T) {
	is := is.New(t)
	begun := time.Now()
	var suspended time.Duration
	a := &activity{gaps: pause.NewGaps(func() time.Duration { return time.Hour + suspended })}
	at := func(after time.Duration) time.Duration {
		return a.observe(begun.Add(after))
	}
	is.Equal(at(0), time.Duration(0))
	is.Equal(at(time.Second), time.Duration(0)) // the next tick
	is.Equal(at(4*time.Second), 3*time.Second)
	is.Equal(at(4*time.Second+100*time.Millisecond), 3*time.Second) // read in the same round
	is.Equal(at(5*time.Second), time.Duration(0))
	suspended = 2 * time.Second
	a.last = a.last.Round(0).Add(-2 * time.Second) // the time of day has advanced by 2 s more than the monotonic clock
	is.True(at(5*time.Second+100*time.Millisecond) > 2*time.Second)
}
