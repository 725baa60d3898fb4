package pool

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// DoneTasks returns the tasks of a job that have succeeded: those that neither wait nor run.
func (p *Pool) DoneTasks(id work.JobID) []work.TaskID {
	j := p.jobs[id]
	if j == nil || !j.started {
		return nil
	}
	var done []work.TaskID
	for step := range j.steps {
		waiting := make(map[int]bool, len(j.steps[step].waiting))
		for _, index := range j.steps[step].waiting {
			waiting[index] = true
		}
		for index := range j.Steps[step].Count {
			task := work.TaskID{Job: id, Step: step, Index: index}
			if !waiting[index] && j.runs[task] == nil {
				done = append(done, task)
			}
		}
	}
	return done
}

// NoteSuccess records that a task has succeeded under another dispatcher. It counts when the task's job is submitted.
func (p *Pool) NoteSuccess(task work.TaskID, now time.Duration) { p.unclaimed[task] = now }
