package pool

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Movable is a job that another pool may continue: it has tasks to start, and no run of it can go on.
type Movable struct {
	Job work.JobID
	// HasRun is true if a request to start a task of the job was sent, here or by another dispatcher.
	HasRun    bool
	Succeeded []work.TaskID // tasks that need not run again
}

// Movable returns the jobs that another pool may continue, in the order of their latest start. Stored jobs are left out, since they belong
// to the dispatcher of their part of the log, and so are jobs that are held.
func (p *Pool) Movable(now time.Duration) []Movable {
	var all []Movable
	superseded := slices.ContainsFunc(p.order, func(e *endpoint) bool { return e.superseded > 0 })
	for _, j := range p.queue {
		if j.stored || j.held || now < j.notBefore || len(j.runs) > 0 || p.hasRunsOf(j.ID) {
			continue
		}
		m := Movable{Job: j.ID, HasRun: j.sent || j.resumed}
		if m.HasRun && superseded {
			continue // one of the superseded runs may be of this job
		}
		if m.HasRun {
			m.Succeeded = j.succeededTasks()
		}
		all = append(all, m)
	}
	return all
}

// hasRunsOf reports whether there is a run of a task of a job.
func (p *Pool) hasRunsOf(id work.JobID) bool {
	for task := range p.runs {
		if task.Job == id {
			return true
		}
	}
	return false
}
