package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// movable returns the movable jobs by ID.
func movable(p *Pool, now time.Duration) map[work.JobID]Movable {
	all := map[work.JobID]Movable{}
	for _, m := range p.Movable(now) {
		all[m.Job] = m
	}
	return all
}

// Guards against a job that is given back as not run although a request to start one of its tasks was sent, and against one that is kept, or
// taken for begun, because its starts were decided and not sent.
func TestMovableAtACrest(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 2000))
	for i := range 5 {
		j := jobOf(fmt.Sprint(i), 1, 1000, 100*ms)
		j.Objective.Extra = time.Hour
		mustSubmit(t, p, j, 0)
	}
	runs := p.Next(0)
	is.Equal(len(runs), 2)
	p.RunSent(runs[0], 0)
	is.Equal(len(movable(p, 0)), 3)
	p.RunLost(runs[1], 0) // its request waited for the window and is not sent any more
	all := movable(p, 0)
	is.Equal(len(all), 4)
	is.True(!all[runs[1].Task.Job].HasRun)
	p.RunLost(runs[0], 0) // stopped
	is.True(movable(p, 0)[runs[0].Task.Job].HasRun)
}

// twoSteps returns a job of two tasks and one that follows them.
func twoSteps() *work.Job {
	return &work.Job{
		ID: "j", Queue: "q", Service: "survey", Objective: work.Objective{Stretch: 3, Extra: time.Second, Attempts: 2},
		Steps: []work.Step{{Count: 2, Size: work.Size{MilliCPU: 1000}}, {Count: 1, Size: work.Size{MilliCPU: 1000}, DependsOn: []int{0}}},
	}
}

// Guards against a job in progress that moves while a run of it goes on, so that a task may run twice, and against one that runs a task again
// in the other zone, or its last step before the others.
func TestRestOfAJobInProgress(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	mustSubmit(t, p, twoSteps(), 0)
	first := p.Next(0)[0]
	p.RunSent(first, 0)
	is.Equal(len(p.Movable(0)), 0)
	p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: first.Task, Run: 1, Reason: work.EndSucceeded}, ms)
	m := movable(p, ms)["j"]
	is.True(m.HasRun)
	is.Equal(m.Succeeded, []work.TaskID{first.Task})

	other := poolOf(endpointOf("b", 8000))
	other.NoteSuccesses(m.Succeeded, ms)
	v, _ := other.Submit(twoSteps(), ms, 0, 1)
	is.True(v.Accepted())
	runs := other.Next(ms)
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Task, work.TaskID{Job: "j", Index: 1})
	other.RunEnded(attempt.Process{Endpoint: "b"}, work.End{Task: runs[0].Task, Run: 1, Reason: work.EndSucceeded}, 2*ms)
	last := other.Next(2 * ms)
	is.Equal(last[0].Task, work.TaskID{Job: "j", Step: 1})
	m = movable(other, 2*ms)["j"]
	is.Equal(m.Job, work.JobID("")) // it runs
	out := other.RunEnded(attempt.Process{Endpoint: "b"}, work.End{Task: last[0].Task, Run: 1, Reason: work.EndSucceeded}, 3*ms)
	is.Equal(out[0].State, work.Completed)
}

// Guards against a job that moves before it is known where its tasks run: after the loss of its dispatcher, or while an endpoint reports runs
// that were replaced by others. It also guards against a stored job that leaves the dispatcher that records its ends.
func TestNotMovable(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	p.Submit(twoSteps(), 0, 0, 100*ms)
	is.Equal(len(p.Movable(99*ms)), 0)
	is.True(movable(p, 100*ms)["j"].HasRun) // it may have run
	p.SetSupersededRuns("a", 1)
	is.Equal(len(p.Movable(100*ms)), 0)
	p.SetSupersededRuns("a", 0)
	p.Hold("j", true)
	is.Equal(len(p.Movable(100*ms)), 0)
	p.Cancel("j")
	p.OfferStored(storedJob(), 0, 0)
	p.Hold("a", false)
	is.Equal(len(p.Movable(100*ms)), 0)
}
