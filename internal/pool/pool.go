// Package pool decides what the dispatcher of a shard does: which jobs it takes, in which order their tasks start and
// on which endpoint. It keeps the state of jobs, runs and endpoints and does no I/O; the time is an argument, measured
// on the process's monotonic clock.
package pool

import (
	"sort"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// RunState is what is known of a run.
type RunState int

// The states of runs.
const (
	Ordered   RunState = iota // the order was sent and not answered
	Confirmed                 // the endpoint has it
	Stopping                  // it is not wanted any more and may still run
)

// Run is one start of a task on an endpoint. It takes room there until it is known to be over.
type Run struct {
	Task         work.TaskID
	Number       int // of the task's starts, from 1
	Endpoint     work.EndpointID
	State        RunState
	Size         work.Size
	Ordered      time.Duration // when the order was made
	Expected     time.Duration // run time that was expected on a sound endpoint
	Percent      int           // progress, as last reported
	ProgressedAt time.Duration // when the progress last changed
	job          *job          // nil when nobody waits for the result
	unsized      bool          // Size is not known
}

// Wanted reports whether a job waits for the run.
func (r *Run) Wanted() bool { return r.job != nil }

type endpoint struct {
	work.Endpoint
	usable  bool // it answers and what runs there is known
	used    work.Size
	runs    int
	unsized int // runs whose size is not known
	strays  int // runs beside those that count, which are being stopped
	health  health
}

type job struct {
	*work.Job
	arrived  time.Duration
	mayRun   time.Duration // until then, tasks of it may run on endpoints that have not reported yet
	resumed  bool          // another dispatcher may have started tasks of it
	steps    []stepState
	left     int // tasks that have not succeeded
	runs     map[work.TaskID]*Run
	failures map[work.TaskID]int
	started  bool
	expected time.Duration
	latest   time.Duration // start after which the objective is likely missed
}

type stepState struct {
	waiting []int         // indices of tasks to start, in order
	left    int           // tasks that have not succeeded
	after   time.Duration // expected run time of the steps that follow it
}

// Pool is the state of a shard. It is not safe for concurrent use.
type Pool struct {
	endpoints map[work.EndpointID]*endpoint
	order     []*endpoint // by ID, so that decisions do not depend on map order
	jobs      map[work.JobID]*job
	queue     []*job // jobs with tasks to start, by latest start
	runs      map[work.TaskID]*Run
	numbers   map[work.TaskID]int // highest run number of unfinished tasks
	estimates estimates
	demand    map[string]*demand // by queue
	// past holds the tasks that succeeded without a job to count them for, with the time of the report. A job whose
	// dispatcher was lost finds its results here.
	past map[work.TaskID]time.Duration
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		endpoints: map[work.EndpointID]*endpoint{},
		jobs:      map[work.JobID]*job{},
		runs:      map[work.TaskID]*Run{},
		numbers:   map[work.TaskID]int{},
		estimates: estimates{},
		demand:    map[string]*demand{},
		past:      map[work.TaskID]time.Duration{},
	}
}

// Update adds an endpoint or replaces its registration.
func (p *Pool) Update(e work.Endpoint) {
	if old, ok := p.endpoints[e.ID]; ok {
		old.Endpoint = e
		return
	}
	added := &endpoint{Endpoint: e, health: health{ratio: 1}}
	p.endpoints[e.ID] = added
	p.order = append(p.order, added)
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].ID < p.order[j].ID })
}

// SetUsable says whether an endpoint may get new runs.
func (p *Pool) SetUsable(id work.EndpointID, usable bool) {
	if e, ok := p.endpoints[id]; ok {
		e.usable = usable
	}
}

// SetSupersededRuns notes how many runs an endpoint lists beside those that count. It gets no new ones until they are gone, since
// their sizes are not known.
func (p *Pool) SetSupersededRuns(id work.EndpointID, n int) {
	if e, ok := p.endpoints[id]; ok {
		e.strays = n
	}
}

// Remove forgets an endpoint that has ended, together with all that ran there.
func (p *Pool) Remove(id work.EndpointID, now time.Duration) []Outcome {
	outcomes := p.EndRunsOn(id, now)
	delete(p.endpoints, id)
	for i, e := range p.order {
		if e.ID == id {
			p.order = append(p.order[:i], p.order[i+1:]...)
			break
		}
	}
	return outcomes
}

// EndRunsOn ends all runs of an endpoint that is known to run nothing.
func (p *Pool) EndRunsOn(id work.EndpointID, now time.Duration) []Outcome {
	var outcomes []Outcome
	for _, r := range p.RunsOn(id) {
		outcomes = append(outcomes, p.RunLost(r, now)...)
	}
	return outcomes
}

// RunsOn returns the runs that take room on an endpoint.
func (p *Pool) RunsOn(id work.EndpointID) []*Run {
	var on []*Run
	for _, r := range p.runs {
		if r.Endpoint == id {
			on = append(on, r)
		}
	}
	sort.Slice(on, func(i, j int) bool { return on[i].Task.String() < on[j].Task.String() })
	return on
}

// Busy reports whether any run takes room on an endpoint.
func (p *Pool) Busy(id work.EndpointID) bool {
	e := p.endpoints[id]
	return e != nil && e.runs > 0
}

// Run returns the run of a task that may be on an endpoint, or nil.
func (p *Pool) Run(task work.TaskID) *Run { return p.runs[task] }

// Jobs returns the number of jobs that are not finished and of those that have not started.
func (p *Pool) Jobs() (all, waiting int) {
	for _, j := range p.jobs {
		if !j.started {
			waiting++
		}
	}
	return len(p.jobs), waiting
}

// Waiting returns the unstarted jobs of a queue.
func (p *Pool) Waiting(queue string) int {
	n := 0
	for _, j := range p.jobs {
		if !j.started && j.Queue == queue {
			n++
		}
	}
	return n
}

// HasStarted reports whether a task of a job has been ordered to start.
func (p *Pool) HasStarted(id work.JobID) bool {
	j := p.jobs[id]
	return j != nil && j.started
}

// HasJob reports whether a job is here.
func (p *Pool) HasJob(id work.JobID) bool { return p.jobs[id] != nil }

// Outcome is the end of a job.
type Outcome struct {
	Job   work.JobID
	State work.State // Completed or Failed
	Task  work.TaskID
}

// Cancel forgets a job and returns its runs, which are to be stopped.
func (p *Pool) Cancel(id work.JobID) []*Run {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	return p.finish(j)
}

// finish forgets a job and returns the runs that it leaves behind.
func (p *Pool) finish(j *job) []*Run {
	delete(p.jobs, j.ID)
	p.dequeue(j)
	var left []*Run
	for _, r := range j.runs {
		r.job = nil
		r.State = Stopping
		left = append(left, r)
	}
	for step := range j.steps {
		for i := 0; i < j.Steps[step].Count; i++ {
			task := work.TaskID{Job: j.ID, Step: step, Index: i}
			if p.runs[task] == nil {
				delete(p.numbers, task)
			}
		}
	}
	return left
}

// RunLost ends a run that is certain not to run any more and has no result. Its task starts again.
func (p *Pool) RunLost(r *Run, now time.Duration) []Outcome {
	j := r.job
	p.release(r)
	if j != nil {
		p.requeue(j, r.Task)
	}
	return nil
}

// release gives back the room of a run.
func (p *Pool) release(r *Run) {
	if p.runs[r.Task] != r {
		return
	}
	delete(p.runs, r.Task)
	if e := p.endpoints[r.Endpoint]; e != nil {
		e.used = e.used.Minus(r.Size)
		e.runs--
		if r.unsized {
			e.unsized--
		}
	}
	if r.job != nil {
		delete(r.job.runs, r.Task)
		r.job = nil
	} else if p.jobs[r.Task.Job] == nil {
		delete(p.numbers, r.Task)
	}
}

// requeue lets a task of a job start again.
func (p *Pool) requeue(j *job, task work.TaskID) {
	j.steps[task.Step].waiting = append(j.steps[task.Step].waiting, task.Index)
	p.enqueue(j)
}

// enqueue puts a job into the queue by its latest start.
func (p *Pool) enqueue(j *job) {
	p.dequeue(j)
	at := sort.Search(len(p.queue), func(i int) bool { return before(j, p.queue[i]) })
	p.queue = append(p.queue, nil)
	copy(p.queue[at+1:], p.queue[at:])
	p.queue[at] = j
}

func (p *Pool) dequeue(j *job) {
	for i, q := range p.queue {
		if q == j {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// before orders jobs by the latest start that keeps their objective: short work, which has the least time to spare,
// overtakes long work, and long work comes first once its own time is up.
func before(a, b *job) bool {
	if a.latest != b.latest {
		return a.latest < b.latest
	}
	return a.ID < b.ID
}
