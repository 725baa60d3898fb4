package repetition

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	ms         = time.Millisecond
	retransmit = 1300 * ms
)

var testOptions = Options{Quantile: 0.75, Share: 0.75, Memory: 5 * time.Second, MinWaits: 8}

func detector() *Detector { return New(testOptions) }

// usually makes a number of jobs of a queue declare waits around a mean.
func usually(d *Detector, queue string, n int, mean, now time.Duration) {
	for i := range n {
		d.Repeats(queue, mean+time.Duration(i%5-2)*50*ms, retransmit, now)
	}
}

// Guards against jobs taken for repetitions because their callers wait a little less than usual, and against repetitions taken for new jobs.
func TestRepeatedJobsAreToldByTheirDeclaredWait(t *testing.T) {
	for _, c := range []struct {
		name     string
		wait     time.Duration
		repeated bool
	}{
		{"usual", 2000 * ms, false},
		{"shorter", 1400 * ms, false},
		{"longer", 9000 * ms, false},
		{"one retransmit time less", 700 * ms, true},
		{"three retransmit times less", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := detector()
			usually(d, "q", 20, 2000*ms, 0)
			is.Equal(d.Repeats("q", c.wait, retransmit, 0), c.repeated)
			is.True(!d.Repeats("other", c.wait, retransmit, 0)) // nothing is known of another queue
			is.True(!d.Repeats("q", c.wait, 0, 0))              // nor of a deployment without a retransmit time
		})
	}
}

// Guards against a dispatcher that takes the repetitions for the usual jobs because it gets more of them than of new ones.
func TestRepetitionsAreToldWhenMostJobsAreRepetitions(t *testing.T) {
	is := is.New(t)
	d := detector()
	taken := 0
	for i := range 60 {
		wait := 2000 * ms
		if i%5 < 3 {
			wait -= retransmit
		}
		if d.Repeats("q", wait, retransmit, 0) != (i%5 < 3) {
			taken++
		}
	}
	t.Log(taken, "of 36 repetitions were not told")
	is.True(taken <= testOptions.MinWaits)
}

// Guards against jobs that are refused for ever after their callers have changed how long they wait.
func TestShorterWaitsBecomeUsual(t *testing.T) {
	is := is.New(t)
	d := detector()
	usually(d, "q", declaredWaits, 3000*ms, 0)
	is.True(d.Repeats("q", 1000*ms, retransmit, 0))
	later := testOptions.Memory + ms
	is.True(!d.Repeats("q", 1000*ms, retransmit, later))
	usually(d, "q", declaredWaits, 1000*ms, later)
	is.True(!d.Repeats("q", 1000*ms, retransmit, later))
}
