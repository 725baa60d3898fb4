package pool

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

// Guards against tasks that run again because the dispatcher that gave their job back had received their ends: they count at the successor,
// and no others do.
func TestSucceededTasksCountAtTheSuccessor(t *testing.T) {
	is := is.New(t)
	first := poolOf(endpointOf("a", 2000))
	job := jobOf("x", 3, 1000, 100*ms)
	job.Objective.Extra = 1000 * ms
	mustSubmit(t, first, job, 0)
	is.Equal(len(first.SucceededTasks("x")), 0)
	starts := first.Next(0)
	is.Equal(len(starts), 2)
	is.Equal(len(first.SucceededTasks("x")), 0) // two run, one waits
	first.RunEnded(processOf(starts[0]), endOf(starts[0]), 100*ms)
	is.Equal(first.SucceededTasks("x"), []work.TaskID{starts[0].Task})
	first.RunEnded(processOf(starts[1]), work.End{Task: starts[1].Task, Run: 1, Reason: work.EndFailed}, 100*ms)
	is.Equal(len(first.SucceededTasks("x")), 1) // the failed one is to run again

	second := poolOf(endpointOf("a", 2000))
	for _, task := range first.SucceededTasks("x") {
		second.NoteSuccesses([]work.TaskID{task}, 150*ms)
	}
	v, _ := second.Submit(job, 150*ms, 0, 1)
	is.True(v.Accepted())
	for _, r := range second.Next(150 * ms) {
		is.True(r.Task != starts[0].Task)
	}
	is.Equal(len(second.runs), 2)
}

// Guards against a job that waits although all its tasks had succeeded when its dispatcher's term ended.
func TestJobWhoseTasksAreAllDone(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 2000))
	job := jobOf("x", 2, 1000, 100*ms)
	for index := range 2 {
		p.NoteSuccesses([]work.TaskID{{Job: "x", Index: index}}, 0)
	}
	_, outcomes := p.Submit(job, 0, 0, 1)
	is.Equal(outcomes, []Outcome{{Job: "x", State: work.Completed}})
}
