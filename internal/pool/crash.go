package pool

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// A process that crashes takes all its runs with it, and nothing tells which of them caused the crash. Their tasks are suspects:
// each starts again alone on an endpoint, so that a second crash shows the culprit and takes no other run with it. Without this, one
// task that crashes each process that starts it would take one endpoint after the other out of service, with the runs beside it.

// GiveUp is the reason why a task is not started again. The values are part of the log.
type GiveUp string

// The reasons.
const (
	GiveUpCrashes  GiveUp = "crashes"  // attempt.MaxCrashes or MaxCrashesStored processes have crashed under the task
	GiveUpFailures GiveUp = "failures" // the task has failed as often as its queue allows
	// GiveUpTooLate means that a process has crashed under the task and that its result would be of no use any more. The job has not
	// failed; it ends without a result.
	GiveUpTooLate GiveUp = "too_late"
)

// CrashedRun is a run under which its endpoint's process crashed, and what becomes of its task.
type CrashedRun struct {
	Task    work.TaskID
	Run     int
	Crashes int    // processes that have crashed under the task
	Wanted  bool   // a job waited for the run
	Counted bool   // the crash counts against the task
	GivenUp GiveUp // empty if the task starts again, or if no job waited for the run
}

// isolation keeps an endpoint for one suspect task.
type isolation struct {
	running  bool // the task runs
	reserved bool // the endpoint gets no new runs, so that the task can start when the present ones have ended
	task     work.TaskID
}

func (i *isolation) active() bool { return i.running || i.reserved }

func (i *isolation) started(task work.TaskID) { *i = isolation{running: true, task: task} }

func (i *isolation) ended(task work.TaskID) {
	if i.running && i.task == task {
		*i = isolation{}
	}
}

// suspectsPerEndpoints is the number of endpoints for each suspect that may be isolated at the same time.
const suspectsPerEndpoints = 8

// pickIsolated returns an endpoint without runs for a suspect task. If there is none, it reserves the feasible one that has the
// fewest runs and returns nil. The number of isolated endpoints is bounded, since a suspect takes a whole one and may crash it.
func (p *Pool) pickIsolated(j *job, task work.TaskID, now time.Duration) *endpoint {
	s := &j.Steps[task.Step]
	var best *endpoint
	isolated, accepting := 0, 0
	for _, e := range p.order {
		if e.isolation.reserved && e.isolation.task == task {
			if len(e.runs) == 0 && e.accepts(j, now) && s.Size.Fits(e.Size) {
				return e
			}
			return nil
		}
		if !e.accepts(j, now) {
			continue
		}
		accepting++
		if e.isolation.active() {
			isolated++
			continue
		}
		if e.HasLabel(s.Label) && s.Size.Fits(e.Size) && (best == nil || len(e.runs) < len(best.runs)) {
			best = e
		}
	}
	if best == nil || isolated >= max(accepting/suspectsPerEndpoints, 1) {
		return nil
	}
	if len(best.runs) == 0 {
		return best
	}
	best.isolation = isolation{reserved: true, task: task}
	return nil
}

// releaseReservations ends the reservations of tasks that do not wait any more, and of endpoints that get no new runs or have become
// too small.
func (p *Pool) releaseReservations() {
	for _, e := range p.order {
		if !e.isolation.reserved {
			continue
		}
		task := e.isolation.task
		j := p.jobs[task.Job]
		if j == nil || !j.isWaiting(task) || !e.usable || e.Draining || !j.Steps[task.Step].Size.Fits(e.Size) {
			e.isolation = isolation{}
		}
	}
}

func (j *job) isWaiting(task work.TaskID) bool {
	return slices.Contains(j.steps[task.Step].waiting, task.Index)
}

// EndpointCrashed ends the runs of an endpoint whose process has ended under them. Tasks that are not given up start again. A run whose
// start was not confirmed does not count as a crash, since the process may have ended without it: its job must not be answered as failed
// for it. Its task starts again alone all the same.
func (p *Pool) EndpointCrashed(id work.EndpointID, process attempt.Process, now time.Duration) ([]CrashedRun, []Outcome) {
	var crashed []CrashedRun
	var outcomes []Outcome
	failed := map[work.JobID]bool{}
	for _, r := range p.RunsOn(id) {
		if !r.MayHaveStarted() {
			outcomes = append(outcomes, p.RunLost(r, now)...)
			continue
		}
		j := r.job
		if r.HasStarted() {
			p.history.Add(attempt.Attempt{Task: r.Task, Run: r.Number, Process: process, Outcome: attempt.Crashed}, now)
		}
		c := CrashedRun{
			Task: r.Task, Run: r.Number, Crashes: p.history.Count(r.Task, attempt.Crashed), Wanted: j != nil, Counted: r.HasStarted(),
		}
		p.release(r)
		if j != nil {
			c.GivenUp = p.afterCrash(j, r.Task, now)
		}
		if c.GivenUp != "" && !failed[j.ID] {
			failed[j.ID] = true
			outcomes = append(outcomes, givenUp(j, r.Task, c.GivenUp))
		}
		crashed = append(crashed, c)
	}
	return crashed, outcomes
}

// MayHaveStarted reports whether the endpoint may have started the run.
func (r *Run) MayHaveStarted() bool { return r.sent }

// HasStarted reports whether the endpoint has confirmed the start or has reported the run.
func (r *Run) HasStarted() bool { return r.started }

// afterCrash decides what becomes of a task under which a process has crashed: it starts again as a suspect, or the reason to give
// it up is returned. A stored job is given up for crashes and failures only, however late it is.
func (p *Pool) afterCrash(j *job, task work.TaskID, now time.Duration) GiveUp {
	if p.history.Count(task, attempt.Crashed) >= j.maxCrashes() {
		return GiveUpCrashes
	}
	if !j.stored && now-j.arrived > maxWait(j) {
		return GiveUpTooLate
	}
	j.suspect(task)
	p.requeue(j, task)
	return ""
}

// maxCrashes returns the number of crashed processes after which a task of the job is given up.
func (j *job) maxCrashes() int {
	if j.stored {
		return attempt.MaxCrashesStored
	}
	return attempt.MaxCrashes
}

// Suspect records that a process has crashed under an earlier run of a task. If the task starts again, it starts alone. It returns the
// failure of the job if the task has to be given up.
func (p *Pool) Suspect(task work.TaskID) []Outcome {
	j := p.jobs[task.Job]
	if j == nil || !j.hasTask(task) {
		return nil
	}
	j.suspect(task)
	return p.exhausted(j, task)
}

func (j *job) suspect(task work.TaskID) {
	if j.suspects == nil {
		j.suspects = map[work.TaskID]bool{}
	}
	j.suspects[task] = true
}

// exhausted returns the failure of a job if one of its tasks is not started again after its attempts on record.
func (p *Pool) exhausted(j *job, task work.TaskID) []Outcome {
	why := GiveUp("")
	switch {
	case p.history.Count(task, attempt.Crashed) >= j.maxCrashes():
		why = GiveUpCrashes
	case p.history.Count(task, attempt.Failed) >= j.Objective.Attempts:
		why = GiveUpFailures
	default:
		return nil
	}
	return []Outcome{givenUp(j, task, why)}
}

// givenUp returns the end of a job one of whose tasks is not started again.
func givenUp(j *job, task work.TaskID, why GiveUp) Outcome {
	o := Outcome{Job: j.ID, State: work.Failed, Task: task, Why: why}
	if why == GiveUpTooLate {
		o.State = ""
	}
	return o
}

// givenUpBefore returns the failure of a job that is submitted again after one of its tasks was given up. Otherwise it marks the
// tasks that are suspects.
func (p *Pool) givenUpBefore(j *job) []Outcome {
	for _, a := range p.history.OfJob(j.ID) {
		if !j.hasTask(a.Task) {
			continue
		}
		if out := p.exhausted(j, a.Task); out != nil {
			return out
		}
		if a.Outcome == attempt.Crashed {
			j.suspect(a.Task)
		}
	}
	return nil
}
