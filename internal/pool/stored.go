package pool

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// A stored job is kept in the store until it has ended, and no caller waits for it on a connection. It is refused only before it is
// stored; afterwards it waits for capacity however late it is, and only failed runs count as attempts of its tasks.

// maxUnplaced is the number of jobs in the pool from which a stored job is refused while no endpoint takes new runs.
const maxUnplaced = 200

// OfferStored adds a job that is about to be stored, unless its result would come too late for any use. It is held until Hold releases
// it. A job that comes while no endpoint takes new runs, as after a takeover, is accepted: it can wait.
//
// A stored job belongs to one dispatcher and cannot go to another one that has room. A job that would miss its objective there is
// therefore accepted if it can end while it is still of use, and gives way to the jobs that can meet theirs.
func (p *Pool) OfferStored(w *work.Job, now, arrived time.Duration) Verdict {
	if p.jobs[w.ID] != nil {
		return Verdict{}
	}
	j := p.newStored(w, arrived, 0)
	v := p.decide(j, now, false)
	if v.Reason == ReasonNoRoom {
		j.latestStart = arrived + maxWait(j)
		v = p.decide(j, now, false)
	}
	if v.Accepted() || v.Reason == ReasonNoRoom {
		p.recordDemand(j, v.Accepted(), now)
	}
	if v.Reason == ReasonNoEndpoint && len(p.jobs) < maxUnplaced {
		v = Verdict{Slack: v.Slack}
	}
	if v.Accepted() {
		j.held = true
		p.jobs[w.ID] = j
		p.enqueue(j)
	}
	return v
}

func (p *Pool) newStored(w *work.Job, arrived, notBefore time.Duration) *job {
	j := p.newJob(w, arrived, notBefore)
	j.stored = true
	return j
}

// ResumeStored adds a stored job, or continues it if the pool holds it: the tasks in succeeded are not started any more, and those that
// wait do not start before notBefore. runs holds the highest number of an unsuccessful run of each task.
func (p *Pool) ResumeStored(w *work.Job, succeeded []work.TaskID, runs map[work.TaskID]int, now, notBefore time.Duration) []Outcome {
	for task, run := range runs {
		p.numbers[task] = max(p.numbers[task], run)
	}
	j := p.jobs[w.ID]
	if j == nil {
		j = p.newStored(w, now, notBefore)
		if out := p.givenUpBefore(j); out != nil {
			return out
		}
		p.jobs[w.ID] = j
		p.adopt(j)
	}
	j.notBefore, j.held = notBefore, false
	j.started = j.started || len(runs) > 0
	for _, task := range succeeded {
		p.countStored(j, task)
	}
	if j.remaining == 0 {
		p.finish(j)
		return []Outcome{{Job: j.ID, State: work.Completed}}
	}
	if j.hasWaiting() {
		p.enqueue(j)
	}
	return nil
}

// StoredSuccess counts a task of a stored job whose success is recorded, whichever of its runs has succeeded. Another run of it is to be
// stopped.
func (p *Pool) StoredSuccess(task work.TaskID) []Outcome {
	j := p.jobs[task.Job]
	if j == nil || !j.stored || !p.countStored(j, task) || j.remaining > 0 {
		return nil
	}
	p.finish(j)
	return []Outcome{{Job: j.ID, State: work.Completed, Task: task}}
}

// EndElsewhere counts the end of a run of a stored job's task on an endpoint that another dispatcher polls.
func (p *Pool) EndElsewhere(end work.End, now time.Duration) []Outcome {
	if end.Reason == work.EndSucceeded {
		return p.StoredSuccess(end.Task)
	}
	p.history.Add(attempt.Attempt{Task: end.Task, Run: end.Run, Outcome: attempt.Failed}, now)
	return p.unknownRunEnded(end, now)
}

// countStored returns whether the task had not been counted yet.
func (p *Pool) countStored(j *job, task work.TaskID) bool {
	if j.countSuccess(task) {
		return true
	}
	r := p.runs[task]
	if r == nil || r.job != j {
		return false
	}
	j.removeRun(r)
	r.State = Stopping
	j.taskSucceeded(task.Step)
	if j.hasWaiting() {
		p.enqueue(j)
	}
	return true
}

// StartStoredFrom lets a stored job that waits start from a time on, if that is earlier than before.
func (p *Pool) StartStoredFrom(id work.JobID, notBefore time.Duration) {
	if j := p.jobs[id]; j != nil && j.stored {
		j.notBefore = min(j.notBefore, notBefore)
	}
}

// PauseStored sets whether no task of a stored job starts. If so, it marks the runs of stored jobs as Stopping and returns them; the caller
// has to stop them.
func (p *Pool) PauseStored(paused bool) []*Run {
	p.storedPaused = paused
	if !paused {
		return nil
	}
	var stopping []*Run
	for _, r := range p.runs {
		if r.job != nil && r.job.stored && r.MayHaveStarted() {
			r.State = Stopping
			stopping = append(stopping, r)
		}
	}
	sortByTask(stopping)
	return stopping
}

// StoredToMove returns the stored jobs that have a task to start and no run, and whose tasks to start fit on no endpoint that counts selects. Jobs
// that are held, and those of which an earlier run may go on, are left out.
func (p *Pool) StoredToMove(counts func(work.EndpointID) bool, now time.Duration) []work.JobID {
	superseded := slices.ContainsFunc(p.order, func(e *endpoint) bool { return e.superseded > 0 })
	if superseded {
		return nil // one of these runs may be of any job
	}
	runs := map[work.JobID]bool{}
	for task := range p.runs {
		runs[task.Job] = true
	}
	var all []work.JobID
	for _, j := range p.queue {
		if !j.stored || j.held || now < j.notBefore || runs[j.ID] || !j.hasReady() {
			continue
		}
		if !p.fitsNextTask(j, counts) {
			all = append(all, j.ID)
		}
	}
	return all
}

// fitsNextTask reports whether one of a job's tasks to start fits on an endpoint that counts selects and that is not draining.
func (p *Pool) fitsNextTask(j *job, counts func(work.EndpointID) bool) bool {
	for i := range j.steps {
		s := &j.Steps[i]
		if !j.ready(i) || len(j.steps[i].waiting) == 0 {
			continue
		}
		if slices.ContainsFunc(p.order, func(e *endpoint) bool { return !e.Draining && e.Fits(j.Service, s) && counts(e.ID) }) {
			return true
		}
	}
	return false
}
