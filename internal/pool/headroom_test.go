package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

// Guards against capacity that counts as free although no task fits into it, and against waiting tasks that do not count.
func TestHeadroomCountsWhatTasksCanUse(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 32000), endpointOf("b", 32000))
	is.Equal(p.Headroom(), Headroom{Total: 64000, Free: 64000})
	mustSubmit(t, p, jobOf("x", 2, 17000, 100*ms), 0)
	is.Equal(len(p.Next(0)), 2)
	is.Equal(p.Headroom(), Headroom{Total: 64000, Free: 0, Rate: 340}) // 15 cores are free on each, and tasks take 17
	mustSubmit(t, p, jobAllowingLongWait("y", 17000), 0)
	is.Equal(p.Headroom().Free, -17000)
	p.SetUsable("b", false)
	is.Equal(p.Headroom().Total, 32000)
}

// Guards against a job that is accepted as one that starts at once and waits for a part of its tasks, and against one that is turned away
// although its tasks fit.
func TestStartsNow(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 32000), endpointOf("b", 32000, "gpu"))
	is.True(p.StartsNow(jobOf("x", 4, 16000, 100*ms), 0))
	is.True(!p.StartsNow(jobOf("x", 5, 16000, 100*ms), 0))
	is.True(!p.StartsNow(jobOf("x", 4, 17000, 100*ms), 0))
	labelled := jobOf("x", 3, 16000, 100*ms)
	labelled.Steps[0].Label = "gpu"
	is.True(!p.StartsNow(labelled, 0))
	spread := jobOf("x", 3, 1000, 100*ms)
	spread.Steps[0].MaxPerEndpoint = 1
	is.True(!p.StartsNow(spread, 0))
	later := jobOf("x", 4, 16000, 100*ms)
	later.Steps = append(later.Steps, work.Step{Count: 9, Size: work.Size{MilliCPU: 16000}, DependsOn: []int{0}})
	is.True(p.StartsNow(later, 0)) // the second step is not ready
	other := jobOf("x", 1, 1000, 100*ms)
	other.Service = "other"
	is.True(!p.StartsNow(other, 0))
}

// Guards against a pool that says that a job starts at once and then does not start it, while other jobs wait for larger pieces.
func TestStartsNowBesideWaitingJobs(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 32000))
	mustSubmit(t, p, jobAllowingLongWait("running", 20000), 0)
	is.Equal(len(p.Next(0)), 1)
	mustSubmit(t, p, jobAllowingLongWait("waiting", 20000), 0)
	is.Equal(len(p.Next(0)), 0)
	small := jobOf("small", 1, 10000, 100*ms)
	is.True(p.StartsNow(small, time.Millisecond))
	mustSubmit(t, p, small, time.Millisecond)
	is.Equal(len(p.Next(time.Millisecond)), 1)
}
