package engine

import (
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/minheap"
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
	lost          // started, outcome unknown
)

// Job is a submission in progress. Only the engine's loop may use its fields after Submit.
type Job struct {
	Identity   string
	Team       string
	Service    string
	Idempotent bool
	Arrived    time.Time
	Deadline   time.Time
	Payloads   []string
	Shape      sched.Job // the caller sets Tasks, Team, Service and Deadline, the engine sets ID

	OnQueued func() // called in the engine's loop when the job is admitted; may be nil

	done       AnswerFunc
	phases     []phase
	outputs    []string
	runningOn  []*worker // worker or peer of each running task
	unfinished int       // number of tasks that have not ended
	longestRun time.Duration
	heapIndex  int // index in Engine.deadlines

	queuedAt time.Time // time of the batch of events in which the engine queued the job
	waited   bool      // a task started in a later batch of events than the one that queued the job
}

// LongestRun returns the longest run time among the tasks that have ended, for Observer.Answered.
func (j *Job) LongestRun() time.Duration { return j.longestRun }

// Waited reports whether a task had to wait for a slot, for Observer.Answered.
func (j *Job) Waited() bool { return j.waited }

// TaskID returns the name under which endpoints and peers know a task: IDENTITY/INDEX.
func (j *Job) TaskID(i int) string { return j.Identity + "/" + strconv.Itoa(i) }

// IdentityOf returns the submission identity in a task name made by TaskID.
func IdentityOf(task string) string {
	identity, _, _ := strings.Cut(task, "/")
	return identity
}

// Submit queues a job. done receives the answer: a refusal if the job is not admitted, otherwise the outcome.
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
	j.runningOn = make([]*worker, n)
	j.unfinished = n
	j.queuedAt = now
	e.jobs[j.Shape.ID] = j
	e.byIdentity[j.Identity] = j
	e.deadlines.Push(j)
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

// Cancel ends a job early and stops its running tasks; the answer reports that these may have run. The done function passed
// to Submit receives the answer. An unknown identity has no effect.
func (e *Engine) Cancel(identity string) {
	e.post(func(now time.Time) {
		if j := e.byIdentity[identity]; j != nil {
			e.fail(now, j, result.Cancelled, "cancelled by the caller")
		}
	})
}

// Drain makes the engine refuse further jobs and grant no more slots to peers. Open jobs continue.
func (e *Engine) Drain() {
	e.post(func(time.Time) { e.draining = true })
}

// expire fails the jobs whose deadline has passed.
func (e *Engine) expire(now time.Time) {
	if x, ok := e.opts.Scheduler.(sched.Expirer); ok {
		x.Expire(now) // the result is not needed: the loop below finds the same jobs
	}
	for e.deadlines.Len() > 0 && !now.Before(e.deadlines.First().Deadline) {
		e.fail(now, e.deadlines.First(), result.DeadlineExceeded, "the deadline passed") // removes the job from the heap
	}
}

// newDeadlines returns the empty heap of the open jobs, earliest deadline first.
func newDeadlines() *minheap.Heap[*Job] {
	return minheap.NewIndexed(func(a, b *Job) bool { return a.Deadline.Before(b.Deadline) }, func(j *Job, index int) { j.heapIndex = index })
}

// taskEnded records the outcome of a task that was started. It completes the job with its last task, and fails the job if
// the task failed or was lost.
func (e *Engine) taskEnded(now time.Time, j *Job, i int, r *platform.RunResult) {
	j.unfinished--
	j.longestRun = max(j.longestRun, r.RunTime)
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
	if j.unfinished == 0 {
		e.complete(now, j)
	}
}

func (e *Engine) complete(now time.Time, j *Job) {
	a := api.NewAnswer(result.Complete, "")
	a.Identity = j.Identity
	a.Outputs = j.outputs
	a.Tasks = &api.ExecutionCounts{Ran: len(j.phases)}
	e.finish(now, j, a)
}

// fail answers a job that can no longer complete. Queued tasks are dropped, running ones are stopped.
func (e *Engine) fail(now time.Time, j *Job, code result.Code, message string) {
	for _, i := range e.opts.Scheduler.Cancel(now, j.Shape.ID) {
		j.phases[i] = dropped
	}
	counts := &api.ExecutionCounts{}
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
			e.pendingStops[j.runningOn[i]] = append(e.pendingStops[j.runningOn[i]], j.TaskID(i))
		}
	}
	a := api.NewAnswer(notRunCode(code, counts), message)
	a.Identity = j.Identity
	a.Tasks = counts
	e.finish(now, j, a)
}

// notRunCode returns the variant of code that says "not run" if no task of the job has started, otherwise code itself.
func notRunCode(code result.Code, c *api.ExecutionCounts) result.Code {
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
	e.deadlines.Remove(j.heapIndex)
	e.opts.Observe.Answered(j, a, now.Sub(j.Arrived))
	j.done(a)
	// Calls that have not returned still refer to the job. Clear its large fields so that they can be freed.
	j.Payloads, j.outputs, j.phases, j.runningOn = nil, nil, nil, nil
}
