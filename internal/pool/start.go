package pool

import (
	"time"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// Next returns the runs to order now and records them as ordered. Jobs are served in the order of their latest start, and those that
// yield after the others; a task that fits on no endpoint at the moment does not block the tasks behind it.
func (p *Pool) Next(now time.Duration) []*Run {
	full := map[placement]bool{}
	p.decisions++
	p.releaseReservations()
	starts, others := p.startQueued(nil, full, now, false)
	if others {
		starts, _ = p.startQueued(starts, full, now, true)
	}
	return starts
}

// startQueued appends the runs that start now of the queued jobs that yield, or of those that do not, and returns whether there are others.
func (p *Pool) startQueued(starts []*Run, full map[placement]bool, now time.Duration, yielding bool) (all []*Run, others bool) {
	for i := 0; i < len(p.queue); i++ {
		j := p.queue[i]
		if now < j.notBefore || p.holds(j) {
			continue
		}
		if j.yields(now) != yielding {
			others = true
			continue
		}
		starts = p.startJob(starts, j, full, now)
		if !j.hasWaiting() {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			i--
		}
	}
	return starts, others
}

// placement is what the choice of an endpoint for a task depends on, suspects and steps with MaxPerEndpoint apart.
type placement struct {
	service, label string
	size           work.Size
}

// startJob appends the runs of a job's tasks that start now. full holds the placements for which no endpoint has been found: as
// starts only take capacity, tasks with the same placement find none either.
func (p *Pool) startJob(starts []*Run, j *job, full map[placement]bool, now time.Duration) []*Run {
	for step := range j.steps {
		if j.ready(step) && len(j.steps[step].waiting) > 0 {
			starts = p.startStep(starts, j, step, full, now)
		}
	}
	return starts
}

func (p *Pool) startStep(starts []*Run, j *job, step int, full map[placement]bool, now time.Duration) []*Run {
	s, st := &j.Steps[step], &j.steps[step]
	place := placement{j.Service, s.Label, s.Size}
	found := started
	if full[place] {
		found = noRoom
	}
	stillWaiting := st.waiting[:0]
	for i, index := range st.waiting {
		if found != started && len(j.suspects) == 0 {
			stillWaiting = append(stillWaiting, st.waiting[i:]...)
			break
		}
		task := work.TaskID{Job: j.ID, Step: step, Index: index}
		r, result := p.tryStart(j, task, found, now)
		found = max(found, result)
		if r == nil {
			stillWaiting = append(stillWaiting, index)
			continue
		}
		starts = append(starts, r)
	}
	st.waiting = stillWaiting
	full[place] = full[place] || found == noRoom && s.MaxPerEndpoint == 0
	return starts
}

// startResult is what came of the start of a task, with regard to the other tasks of its step.
type startResult int

const (
	started startResult = iota // the task has started, or did not for reasons of its own
	delayed                    // the task waits for a faster endpoint, as the others of its step do
	noRoom                     // no endpoint has room for the task, nor for any with the same placement
)

// tryStart starts a task unless an earlier run of it may still exist or no endpoint is to start it now. found is the result of the tasks
// of its step so far; it does not apply to suspects.
func (p *Pool) tryStart(j *job, task work.TaskID, found startResult, now time.Duration) (*Run, startResult) {
	suspect := j.suspects[task]
	if p.runs[task] != nil || found != started && !suspect {
		return nil, started
	}
	r, result := p.startTask(j, task, now)
	if suspect {
		result = started
	}
	return r, result
}

// startTask creates a run of a task that has none and returns it, or nil if no endpoint is to start the task now.
func (p *Pool) startTask(j *job, task work.TaskID, now time.Duration) (*Run, startResult) {
	e, result := p.pickEndpoint(j, task, now)
	if e == nil {
		return nil, result
	}
	size := j.Steps[task.Step].Size
	p.numbers[task]++
	r := &Run{
		Task: task, Number: p.numbers[task], Endpoint: e.ID, State: Ordered, Size: size, Ordered: now, ProgressedAt: now,
	}
	p.expect(r, j, e, now)
	p.runs[task] = r
	j.addRun(r)
	e.used = e.used.Plus(size)
	e.runs[task] = r
	if j.suspects[task] {
		e.isolation.started(task)
	}
	return r, started
}

// RunSent records that the request to start a run is sent now.
func (p *Pool) RunSent(r *Run, now time.Duration) {
	r.Ordered, r.ProgressedAt, r.sent = now, now, true
	if r.job != nil {
		r.job.sent = true
	}
}

// Fits reports whether the runs on a run's endpoint, the run included, are within the endpoint's size, which may have shrunk since
// the run was ordered.
func (p *Pool) Fits(r *Run) bool {
	e := p.endpoints[r.Endpoint]
	return e != nil && e.used.Fits(e.Size)
}

// RunStarted records that an endpoint has confirmed the start of a run.
func (p *Pool) RunStarted(r *Run) {
	r.started = true
	if r.State == Ordered {
		r.State = Confirmed
	}
}

// RunRefused ends a run that the endpoint has refused to start. After work.OldRun the next run number is runNumberGap
// higher, because an earlier dispatcher has used numbers that this one does not know.
func (p *Pool) RunRefused(r *Run, why work.Refusal, now time.Duration) []Outcome {
	const runNumberGap = 16
	if why == work.OldRun {
		p.numbers[r.Task] = r.Number + runNumberGap
	}
	if e := p.endpoints[r.Endpoint]; e != nil && why == work.Overloaded {
		e.health.failed(now, r.Task.Job)
	}
	return p.RunLost(r, now)
}

// RunProgressed records the progress of a run in percent.
func (p *Pool) RunProgressed(task work.TaskID, number, percent int, now time.Duration) {
	r := p.runs[task]
	if r == nil || r.Number != number {
		return
	}
	p.RunStarted(r)
	if percent != r.Percent {
		r.Percent, r.ProgressedAt = percent, now
		p.learnFromProgress(r, now)
	}
}

// RunEnded records the end of a run, as reported by an endpoint's process. It returns the outcome of the job if the end decides it.
func (p *Pool) RunEnded(by attempt.Process, end work.End, now time.Duration) []Outcome {
	if end.Reason == work.EndFailed {
		p.history.Add(attempt.Attempt{Task: end.Task, Run: end.Run, Process: by, Outcome: attempt.Failed}, now)
	}
	r := p.runs[end.Task]
	if r == nil || r.Number != end.Run || r.Endpoint != by.Endpoint {
		return p.unknownRunEnded(end, now)
	}
	j := r.job
	e := p.endpoints[by.Endpoint]
	p.release(r)
	if j == nil {
		return p.unknownRunEnded(end, now)
	}
	switch end.Reason {
	case work.EndSucceeded:
		p.learn(j, e, r, now)
		return p.succeeded(j, end.Task)
	case work.EndFailed:
		if e != nil {
			e.health.failed(now, j.ID)
		}
		return p.failed(j, end.Task)
	}
	p.requeue(j, end.Task)
	return nil
}

// unknownRunEnded records the end of a run that no job waits for. If the run succeeded and
// its task belongs to a job that was submitted again, the task does not start again; if it failed, the run counts as an attempt of its task.
func (p *Pool) unknownRunEnded(end work.End, now time.Duration) []Outcome {
	j := p.jobs[end.Task.Job]
	if j != nil {
		p.numbers[end.Task] = max(p.numbers[end.Task], end.Run) // the store tells failed runs apart by their numbers
		j.started, j.sent = true, true
	}
	if end.Reason == work.EndFailed && j != nil && p.runs[end.Task] == nil {
		return p.exhausted(j, end.Task)
	}
	if end.Reason != work.EndSucceeded || p.runs[end.Task] != nil || j == nil || !j.countSuccess(end.Task) {
		p.keepSuccess(end, now)
		return nil
	}
	if j.remaining > 0 {
		return nil
	}
	p.finish(j)
	return []Outcome{{Job: j.ID, State: work.Completed, Task: end.Task}}
}

// keepSuccess stores the success of a task until its job is submitted.
func (p *Pool) keepSuccess(end work.End, now time.Duration) {
	if end.Reason == work.EndSucceeded {
		p.unclaimed[end.Task] = now
	}
}

// ForgetSuccesses deletes the stored successes that were reported before a time.
func (p *Pool) ForgetSuccesses(before time.Duration) {
	for task, at := range p.unclaimed {
		if at < before {
			delete(p.unclaimed, task)
		}
	}
}

// Stalled marks the runs whose progress has not changed since a time as Stopping and returns them. Their endpoints are
// held off. The tasks start elsewhere once the runs have been stopped.
func (p *Pool) Stalled(since, now time.Duration) []*Run {
	var stalled []*Run
	for _, r := range p.runs {
		e := p.endpoints[r.Endpoint]
		if r.State != Confirmed || r.job == nil || r.ProgressedAt >= since || e == nil || e.silent {
			continue
		}
		r.State = Stopping
		stalled = append(stalled, r)
		e.health.startHoldOff(now)
	}
	sortByTask(stalled)
	return stalled
}

// Unwanted marks the runs without a job that were ordered before a time as Stopping. It returns all runs in that state,
// which the caller has to stop.
func (p *Pool) Unwanted(before time.Duration) []*Run {
	var unwanted []*Run
	for _, r := range p.runs {
		if r.job == nil && r.State != Stopping && r.Ordered < before {
			r.State = Stopping
		}
		if r.State == Stopping {
			unwanted = append(unwanted, r)
		}
	}
	sortByTask(unwanted)
	return unwanted
}

func (p *Pool) succeeded(j *job, task work.TaskID) []Outcome {
	j.taskSucceeded(task.Step)
	if j.remaining > 0 {
		if j.hasWaiting() {
			p.enqueue(j)
		}
		return nil
	}
	p.finish(j)
	return []Outcome{{Job: j.ID, State: work.Completed, Task: task}}
}

func (p *Pool) failed(j *job, task work.TaskID) []Outcome {
	if out := p.exhausted(j, task); out != nil {
		return out
	}
	p.requeue(j, task)
	return nil
}

// Spec returns the job's specification for a run, or "" if no job waits for the run.
func (p *Pool) Spec(r *Run) string {
	if r.job == nil {
		return ""
	}
	return r.job.Job.Spec
}

// QueueWait returns the time from the arrival of a run's job to the order of the run, or 0 if no job waits for the run.
func (p *Pool) QueueWait(r *Run) time.Duration {
	if r.job == nil {
		return 0
	}
	return r.Ordered - r.job.arrived
}

// Withdraw marks a run whose start was not confirmed as Stopping and returns it. Its task starts again once the run is known
// not to exist.
func (p *Pool) Withdraw(r *Run) *Run {
	r.State, r.Unanswered = Stopping, true
	return r
}

// RunImpossible ends a run whose order no endpoint can carry out. Its job fails.
func (p *Pool) RunImpossible(r *Run) []Outcome {
	j := r.job
	p.release(r)
	if j == nil {
		return nil
	}
	return []Outcome{{Job: j.ID, State: work.Failed, Task: r.Task}}
}
