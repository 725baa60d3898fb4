package pool

import (
	"sort"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Next returns the runs to order now and counts them as ordered. Jobs go by their latest start; a task that fits no
// free endpoint lets others pass.
func (p *Pool) Next(now time.Duration) []*Run {
	var starts []*Run
	for i := 0; i < len(p.queue); i++ {
		j := p.queue[i]
		if now < j.mayRun {
			continue
		}
		starts = p.startJob(starts, j, now)
		if !j.hasWaiting() {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			i--
		}
	}
	return starts
}

func (p *Pool) startJob(starts []*Run, j *job, now time.Duration) []*Run {
	for step := range j.steps {
		if !j.ready(step) {
			continue
		}
		st := &j.steps[step]
		kept := st.waiting[:0]
		for _, index := range st.waiting {
			if r := p.startTask(j, step, index, now); r != nil {
				starts = append(starts, r)
				continue
			}
			kept = append(kept, index)
		}
		st.waiting = kept
	}
	return starts
}

// ready reports whether the steps before a step have ended.
func (j *job) ready(step int) bool {
	for _, d := range j.Steps[step].DependsOn {
		if j.steps[d].left > 0 {
			return false
		}
	}
	return true
}

// startTask orders a task if it fits an endpoint and no earlier run of it may be left.
func (p *Pool) startTask(j *job, step, index int, now time.Duration) *Run {
	task := work.TaskID{Job: j.ID, Step: step, Index: index}
	if p.runs[task] != nil {
		return nil
	}
	s := &j.Steps[step]
	e := p.place(j, step, now)
	if e == nil {
		return nil
	}
	p.numbers[task]++
	r := &Run{
		Task: task, Number: p.numbers[task], Endpoint: e.ID, State: Ordered, Size: s.Size, Ordered: now, ProgressedAt: now,
		Expected: p.estimates.of(j.Queue, s.Estimate), job: j,
	}
	p.runs[task] = r
	j.runs[task] = r
	j.started = true
	e.used = e.used.Plus(s.Size)
	e.runs++
	return r
}

// place returns the endpoint for a task, or nil. Feasible endpoints are ranked by the run time that is expected there
// and then by the room that is left, least first, so that large tasks still find room.
func (p *Pool) place(j *job, step int, now time.Duration) *endpoint {
	s := &j.Steps[step]
	var best *endpoint
	var bestRank rank
	for _, e := range p.order {
		if !p.feasible(j, step, e, now) {
			continue
		}
		r := rank{e.health.slowness() * farness(s, e), e.Size.MilliCPU - e.used.MilliCPU - s.Size.MilliCPU}
		if best == nil || r.less(bestRank) {
			best, bestRank = e, r
		}
	}
	return best
}

func (p *Pool) feasible(j *job, step int, e *endpoint, now time.Duration) bool {
	s := &j.Steps[step]
	if e.Service != j.Service || !e.usable || e.Draining || e.unsized+e.strays > 0 || !e.health.trusted(now, e.runs) {
		return false
	}
	if !e.HasLabel(s.Label) || !e.used.Plus(s.Size).Fits(e.Size) {
		return false
	}
	return s.MaxPerEndpoint == 0 || j.runsOn(step, e.ID) < s.MaxPerEndpoint
}

func (j *job) runsOn(step int, id work.EndpointID) int {
	n := 0
	for task, r := range j.runs {
		if task.Step == step && r.Endpoint == id {
			n++
		}
	}
	return n
}

type rank struct {
	slowness float64
	left     int // thousandths of a core
}

func (a rank) less(b rank) bool {
	if a.slowness != b.slowness {
		return a.slowness < b.slowness
	}
	return a.left < b.left
}

// farFactor is how much longer a task takes away from its data.
const farFactor = 1.5

func farness(s *work.Step, e *endpoint) float64 {
	if s.DataRack == "" || e.HasLabel(s.DataRack) {
		return 1
	}
	return farFactor
}

// RunStarted records that an endpoint has confirmed a run.
func (p *Pool) RunStarted(r *Run) {
	if r.State == Ordered {
		r.State = Confirmed
	}
}

// RunRefused ends a run that the endpoint has not started and never will. For OldRun the next number is chosen well above,
// because an earlier dispatcher has used some.
func (p *Pool) RunRefused(r *Run, why work.Refusal, now time.Duration) {
	const runNumberGap = 16
	if why == work.OldRun {
		p.numbers[r.Task] = r.Number + runNumberGap
	}
	if e := p.endpoints[r.Endpoint]; e != nil && why == work.Overloaded {
		e.health.failed(now, r.Task.Job)
	}
	p.RunLost(r, now)
}

// RunProgressed records how far a run is.
func (p *Pool) RunProgressed(task work.TaskID, number, percent int, now time.Duration) {
	r := p.runs[task]
	if r == nil || r.Number != number {
		return
	}
	p.RunStarted(r)
	if percent != r.Percent {
		r.Percent, r.ProgressedAt = percent, now
	}
}

// RunEnded records the end of a run and returns the job's end if it was the last one.
func (p *Pool) RunEnded(id work.EndpointID, end work.End, now time.Duration) []Outcome {
	r := p.runs[end.Task]
	if r == nil || r.Number != end.Run || r.Endpoint != id {
		return p.endedElsewhere(end, now)
	}
	j := r.job
	e := p.endpoints[id]
	p.release(r)
	if j == nil {
		p.keep(end, now)
		return nil
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

// endedElsewhere records the end of a run that this pool has not ordered or has given up. The task of a resumed job that
// has succeeded does not start again.
func (p *Pool) endedElsewhere(end work.End, now time.Duration) []Outcome {
	j := p.jobs[end.Task.Job]
	if end.Reason != work.EndSucceeded || p.runs[end.Task] != nil || j == nil || !j.countPast(end.Task) {
		p.keep(end, now)
		return nil
	}
	if j.left > 0 {
		return nil
	}
	p.finish(j)
	return []Outcome{{Job: j.ID, State: work.Completed, Task: end.Task}}
}

// keep remembers a success that no job has counted.
func (p *Pool) keep(end work.End, now time.Duration) {
	if end.Reason == work.EndSucceeded {
		p.past[end.Task] = now
	}
}

// ForgetSuccesses drops the successes that no job has asked for since a time.
func (p *Pool) ForgetSuccesses(before time.Duration) {
	for task, at := range p.past {
		if at < before {
			delete(p.past, task)
		}
	}
}

// Stalled returns the wanted runs whose progress has not changed since a time. Their endpoints are held off, and the
// runs are to be stopped so that their tasks start elsewhere.
func (p *Pool) Stalled(since, now time.Duration) []*Run {
	var stalled []*Run
	for _, r := range p.runs {
		if r.State != Confirmed || r.job == nil || r.ProgressedAt >= since {
			continue
		}
		r.State = Stopping
		stalled = append(stalled, r)
		if e := p.endpoints[r.Endpoint]; e != nil {
			e.health.suspend(now)
		}
	}
	sort.Slice(stalled, func(i, j int) bool { return stalled[i].Task.String() < stalled[j].Task.String() })
	return stalled
}

// Unwanted returns the runs that are to be stopped: those without a job that were ordered before a time, and those that
// are being stopped already.
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
	sort.Slice(unwanted, func(i, j int) bool { return unwanted[i].Task.String() < unwanted[j].Task.String() })
	return unwanted
}

func (p *Pool) learn(j *job, e *endpoint, r *Run, now time.Duration) {
	took := now - r.Ordered
	if e == nil || r.Expected == 0 {
		return
	}
	p.estimates.add(j.Queue, j.Steps[r.Task.Step].Estimate, took)
	e.health.succeeded(float64(took) / float64(r.Expected))
}

func (p *Pool) succeeded(j *job, task work.TaskID) []Outcome {
	j.left--
	j.steps[task.Step].left--
	if j.left > 0 {
		if j.hasWaiting() {
			p.enqueue(j)
		}
		return nil
	}
	p.finish(j)
	return []Outcome{{Job: j.ID, State: work.Completed, Task: task}}
}

func (p *Pool) failed(j *job, task work.TaskID) []Outcome {
	j.failures[task]++
	if j.failures[task] < j.Objective.Attempts {
		p.requeue(j, task)
		return nil
	}
	return []Outcome{{Job: j.ID, State: work.Failed, Task: task}}
}

// Spec returns what a wanted run is to do.
func (p *Pool) Spec(r *Run) string {
	if r.job == nil {
		return ""
	}
	return r.job.Job.Spec
}

// QueueWait returns the time from the submission of a run's job to its order.
func (p *Pool) QueueWait(r *Run) time.Duration {
	if r.job == nil {
		return 0
	}
	return r.Ordered - r.job.arrived
}

// Withdraw marks a run that is not known to have started as one to be stopped. Its task starts again when it is gone.
func (p *Pool) Withdraw(r *Run) *Run {
	r.State = Stopping
	return r
}

// RunImpossible ends a run whose order no endpoint can carry out, and with it the job.
func (p *Pool) RunImpossible(r *Run) []Outcome {
	j := r.job
	p.release(r)
	if j == nil {
		return nil
	}
	return []Outcome{{Job: j.ID, State: work.Failed, Task: r.Task}}
}
