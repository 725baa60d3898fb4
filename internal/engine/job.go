package engine

import (
	"container/heap"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/sched"
)

// phase is the progress of one task.
type phase uint8

const (
	queued  phase = iota
	running       // a byte may have reached a worker
	ran           // ended, with an output or a failure
	dropped       // never started and never will be
	lost          // started, fate unknown
)

// Job is a submission in progress. Fields are owned by the engine's loop after Submit.
type Job struct {
	Identity   string
	Team       string
	Service    string
	Idempotent bool
	Arrived    time.Time
	Deadline   time.Time
	Payloads   []string
	Shape      sched.Job // Tasks, Team, Service, Deadline; the engine sets ID

	OnQueued func() // called in the engine's loop when the job is admitted; may be nil

	done    AnswerFunc
	phases  []phase
	outputs []string
	where   []*worker // of running tasks
	left    int       // tasks without an end
	longest time.Duration
	place   int // in Engine.deadlines

	submitted time.Time // when the engine queued the job
	waited    bool      // a task did not start in the round in which the job was queued
}

// LongestRun returns the longest run time among the tasks that have ended, for Observer.Answered.
func (j *Job) LongestRun() time.Duration { return j.longest }

// Waited reports whether a task had to wait for a slot, for Observer.Answered.
func (j *Job) Waited() bool { return j.waited }

// TaskID returns the name of a task at endpoints.
func (j *Job) TaskID(i int) string { return j.Identity + "/" + strconv.Itoa(i) }

// IdentityOf returns the submission identity of a task that TaskID has named.
func IdentityOf(task string) string {
	identity, _, _ := strings.Cut(task, "/")
	return identity
}

// Submit queues a job. done gets its answer: a refusal at once, or the outcome later.
func (e *Engine) Submit(j *Job, done AnswerFunc) {
	j.done = done
	e.post(func(now time.Time) { e.submit(now, j) })
}

func (e *Engine) submit(now time.Time, j *Job) {
	if refusal := e.admit(now, j); refusal != nil {
		refusal.Identity = j.Identity
		j.done(refusal)
		return
	}
	e.nextJob++
	j.Shape.ID = e.nextJob
	n := len(j.Payloads)
	j.phases = make([]phase, n)
	j.outputs = make([]string, n)
	j.where = make([]*worker, n)
	j.left = n
	j.submitted = now
	e.jobs[j.Shape.ID] = j
	e.byIdentity[j.Identity] = j
	heap.Push(&e.deadlines, j)
	e.opts.Scheduler.Submit(now, &j.Shape)
	if j.OnQueued != nil {
		j.OnQueued()
	}
}

func (e *Engine) admit(now time.Time, j *Job) *api.Answer {
	if e.draining {
		return api.NewAnswer(result.Draining, "the instance is stopping")
	}
	if !now.Before(j.Deadline) {
		return api.NewAnswer(result.DeadlineExpired, "the deadline passed before the job was queued")
	}
	if e.opts.Admit == nil {
		return nil
	}
	return e.opts.Admit(now, j, e.opts.Scheduler.Estimate(now, &j.Shape))
}

// Cancel ends a job early. Started tasks are stopped and reported as such; done of Submit gets the answer.
func (e *Engine) Cancel(identity string) {
	e.post(func(now time.Time) {
		if j := e.byIdentity[identity]; j != nil {
			e.fail(now, j, result.Cancelled, "cancelled by the caller")
		}
	})
}

// Drain refuses further jobs.
func (e *Engine) Drain() {
	e.post(func(time.Time) { e.draining = true })
}

// expire fails the jobs whose deadline has passed.
func (e *Engine) expire(now time.Time) {
	if x, ok := e.opts.Scheduler.(sched.Expirer); ok {
		x.Expire(now) // its result repeats what the loop below finds
	}
	for len(e.deadlines) > 0 && !now.Before(e.deadlines[0].Deadline) {
		e.fail(now, e.deadlines[0], result.DeadlineExceeded, "the deadline passed") // takes the job out of the heap
	}
}

// deadlines is a heap of the open jobs.
type deadlines []*Job

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(a, b int) bool { return d[a].Deadline.Before(d[b].Deadline) }

// Swap implements heap.Interface.
func (d deadlines) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].place, d[b].place = a, b
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	j := x.(*Job)
	j.place = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return j
}

// taskEnded records the end of a task that ran.
func (e *Engine) taskEnded(now time.Time, j *Job, i int, r *platform.RunResult) {
	j.left--
	j.longest = max(j.longest, r.RunTime)
	switch r.Outcome {
	case platform.Succeeded:
		j.phases[i] = ran
		j.outputs[i] = r.Output
	case platform.Failed:
		j.phases[i] = ran
		e.fail(now, j, result.TaskFailed, "task "+strconv.Itoa(i)+" failed: "+r.Output)
		return
	default:
		j.phases[i] = lost
		e.fail(now, j, result.WorkerLost, "the worker of task "+strconv.Itoa(i)+" was lost: "+r.Output)
		return
	}
	if j.left == 0 {
		e.complete(now, j)
	}
}

func (e *Engine) complete(now time.Time, j *Job) {
	a := api.NewAnswer(result.Complete, "")
	a.Identity = j.Identity
	a.Outputs = j.outputs
	a.Tasks = &api.Counts{Ran: len(j.phases)}
	e.finish(now, j, a)
}

// fail answers a job that cannot complete any more: queued tasks are dropped, running ones are stopped.
func (e *Engine) fail(now time.Time, j *Job, code result.Code, message string) {
	for _, i := range e.opts.Scheduler.Cancel(now, j.Shape.ID) {
		j.phases[i] = dropped
	}
	counts := &api.Counts{}
	for i, p := range j.phases {
		switch p {
		case ran:
			counts.Ran++
		case queued, dropped:
			counts.NotRun++
		case lost:
			counts.MayHaveRun++
		case running:
			counts.MayHaveRun++
			e.stops[j.where[i]] = append(e.stops[j.where[i]], j.TaskID(i))
		}
	}
	a := api.NewAnswer(notStarted(code, counts), message)
	a.Identity = j.Identity
	a.Tasks = counts
	e.finish(now, j, a)
}

// notStarted returns the code that says "not run" in place of code when no task of the job has started.
func notStarted(code result.Code, c *api.Counts) result.Code {
	if c.Ran+c.MayHaveRun > 0 {
		return code
	}
	switch code {
	case result.Cancelled:
		return result.CancelledNotRun
	case result.DeadlineExceeded:
		return result.DeadlineExpired
	}
	return code
}

func (e *Engine) finish(now time.Time, j *Job, a *api.Answer) {
	delete(e.jobs, j.Shape.ID)
	delete(e.byIdentity, j.Identity)
	heap.Remove(&e.deadlines, j.place)
	e.opts.Observe.Answered(j, a, now.Sub(j.Arrived))
	j.done(a)
	// Calls that have not returned keep the job; they must not keep what is large in it.
	j.Payloads, j.outputs, j.phases, j.where = nil, nil, nil, nil
}
