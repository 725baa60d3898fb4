package pool

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// SucceededTasks returns the tasks of a job that have succeeded.
func (p *Pool) SucceededTasks(id work.JobID) []work.TaskID {
	if j := p.jobs[id]; j != nil && j.started {
		return j.succeededTasks()
	}
	return nil
}

// succeededTasks returns the tasks that neither wait nor run.
func (j *job) succeededTasks() []work.TaskID {
	var succeeded []work.TaskID
	for step := range j.steps {
		waiting := make(map[int]bool, len(j.steps[step].waiting))
		for _, index := range j.steps[step].waiting {
			waiting[index] = true
		}
		for index := range j.Steps[step].Count {
			task := work.TaskID{Job: j.ID, Step: step, Index: index}
			if !waiting[index] && j.runs[task] == nil {
				succeeded = append(succeeded, task)
			}
		}
	}
	return succeeded
}

// NoteSuccesses records that tasks of a job that is about to be submitted have succeeded at another dispatcher.
func (p *Pool) NoteSuccesses(tasks []work.TaskID, now time.Duration) {
	for _, task := range tasks {
		p.unclaimed[task] = now
	}
}
