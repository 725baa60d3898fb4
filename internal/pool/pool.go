// Package pool makes the scheduling decisions of a shard's dispatcher: which jobs it accepts, in which order their tasks
// start and on which endpoint. It holds the state of jobs, runs and endpoints and does no I/O. Callers pass the current
// time, measured on the process's monotonic clock.
//
// A shard is one partition of a zone, see package shard. An endpoint is a process that runs tasks; each start of a task on
// an endpoint is a run. A job consists of steps, which are sets of identical tasks. A step is ready, so that its tasks may
// start, once all tasks of the steps that it depends on have succeeded. A job belongs to a queue, and run times are
// estimated for each queue. A resumed job is one that its instance submits again after the loss of its dispatcher, so runs
// of its tasks may still exist.
package pool

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/repetition"
	"github.com/savorypass/savorypass/internal/work"
)

// RunState is the dispatcher's knowledge of a run.
type RunState int

// The states of runs.
const (
	Ordered   RunState = iota // the start was ordered and the endpoint has not answered
	Confirmed                 // the endpoint confirmed the start or reported the run
	Stopping                  // the run is to be stopped and may still exist
)

// Run is one start of a task on an endpoint. It occupies capacity there until the dispatcher knows that it has ended.
type Run struct {
	Task         work.TaskID
	Number       int // number of the start among the task's starts, from 1
	Endpoint     work.EndpointID
	State        RunState
	Size         work.Size
	Ordered      time.Duration // when the start was ordered
	Expected     time.Duration // expected run time on its endpoint; 0 if not known
	Percent      int           // progress as last reported
	ProgressedAt time.Duration // when the progress last changed
	Unanswered   bool          // the request to start it got no answer
	normal       time.Duration // expected run time on an endpoint of normal speed near the task's data; 0 if not known
	slow         bool          // its progress has shown that it is slow
	job          *job          // nil if no job waits for the result
	unsized      bool          // Size is not known
	started      bool          // the endpoint has confirmed the start or reported the run
	sent         bool          // the request to start it was sent, by this dispatcher or another one, so the endpoint may have started it
}

// Wanted reports whether a job waits for the run.
func (r *Run) Wanted() bool { return r.job != nil }

type endpoint struct {
	work.Endpoint
	usable     bool // the endpoint may get new runs: it answers and its runs are known
	awaited    bool // see SetAwaited
	used       work.Size
	runs       map[work.TaskID]*Run // the runs that occupy capacity
	unsized    int                  // number of runs whose size is not known
	leaseEnds  bool                 // see SetLeaseEnding
	superseded int                  // number of superseded runs that the endpoint reports, see SetSupersededRuns; they are being stopped
	silent     bool                 // the endpoint does not answer, so the progress of its runs is not known
	health     health
	speed      speed
	isolation  isolation
	nextEnd    time.Duration // see Pool.nextEnd
	nextEndOf  int           // the decision for which nextEnd was calculated
}

// Pool is the scheduling state of a shard. It is not safe for concurrent use.
type Pool struct {
	endpoints   map[work.EndpointID]*endpoint
	order       []*endpoint // sorted by ID, so that decisions do not depend on map order
	jobs        map[work.JobID]*job
	queue       []*job // jobs with tasks to start, by latest start
	runs        map[work.TaskID]*Run
	numbers     map[work.TaskID]int // highest run number of each unfinished task
	estimates   estimates
	speeds      speeds
	farFactor   float64            // factor by which a task takes longer on a rack other than that of its data
	decisions   int                // number of calls of Next
	delayed     int                // number of jobs of which a task has waited for a faster endpoint
	demand      map[string]*demand // by queue
	repetitions *repetition.Detector
	history     *attempt.History
	// unclaimed holds the tasks that succeeded while their job was not here, with the time of the report. They count as done
	// when the job is submitted again after the loss of its dispatcher.
	unclaimed map[work.TaskID]time.Duration
	weighs    func(service string) bool // see WeighBy
	timings   map[work.JobID]Timing     // of the jobs that have succeeded since ForgetTimings

	storedPaused bool // see PauseStored
}

// New returns an empty pool. The history holds the unsuccessful runs of tasks; it outlives the pool.
func New(history *attempt.History) *Pool {
	return &Pool{
		history:     history,
		endpoints:   map[work.EndpointID]*endpoint{},
		jobs:        map[work.JobID]*job{},
		runs:        map[work.TaskID]*Run{},
		numbers:     map[work.TaskID]int{},
		estimates:   estimates{},
		speeds:      speeds{noise: initialNoise},
		farFactor:   DefaultFarFactor,
		demand:      map[string]*demand{},
		repetitions: newRepetitions(),
		unclaimed:   map[work.TaskID]time.Duration{},
		weighs:      func(string) bool { return false },
		timings:     map[work.JobID]Timing{},
	}
}

// Update adds an endpoint or replaces its registration.
func (p *Pool) Update(e work.Endpoint) {
	if old, ok := p.endpoints[e.ID]; ok {
		if e.StartedUnixMS > old.speed.process {
			old.speed.restart(e.StartedUnixMS)
		}
		old.Endpoint = e
		return
	}
	added := &endpoint{Endpoint: e, runs: map[work.TaskID]*Run{}, speed: speed{process: e.StartedUnixMS}}
	p.endpoints[e.ID] = added
	p.order = append(p.order, added)
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].ID < p.order[j].ID })
}

// SetUsable sets whether an endpoint may get new runs.
func (p *Pool) SetUsable(id work.EndpointID, usable bool) {
	if e, ok := p.endpoints[id]; ok {
		e.usable, e.awaited = usable, false
	}
}

// SetSilent sets whether an endpoint does not answer, so that its runs' progress is not known.
func (p *Pool) SetSilent(id work.EndpointID, silent bool) {
	if e, ok := p.endpoints[id]; ok {
		e.silent = silent
	}
}

// SetSupersededRuns sets how many runs an endpoint reports that the pool has replaced by other runs of the same tasks. The
// endpoint gets no new runs while there are any, because their sizes are not known.
func (p *Pool) SetSupersededRuns(id work.EndpointID, n int) {
	if e, ok := p.endpoints[id]; ok {
		e.superseded = n
	}
}

// HasRunsWithoutJob reports whether an endpoint may have runs that no job waits for. Their jobs may be submitted elsewhere, so they must end
// soon: the lease of the endpoint must not be extended while there are any.
func (p *Pool) HasRunsWithoutJob(id work.EndpointID) bool {
	e := p.endpoints[id]
	if e == nil {
		return false
	}
	if e.superseded > 0 {
		return true
	}
	for _, r := range e.runs {
		if r.job == nil && r.MayHaveStarted() {
			return true
		}
	}
	return false
}

// HasRunsWithoutJobOf reports whether there may be runs that no job of the pool waits for, of jobs that owns selects.
func (p *Pool) HasRunsWithoutJobOf(owns func(work.JobID) bool) bool {
	for task, r := range p.runs {
		if r.job == nil && r.MayHaveStarted() && owns(task.Job) {
			return true
		}
	}
	return false
}

// isUnclaimed reports whether another dispatcher has ordered the run and no job of the pool waits for it.
func (r *Run) isUnclaimed() bool { return r.job == nil && r.unsized }

// FoundJobs returns the jobs of the runs that another dispatcher has ordered and no job of the pool waits for.
func (p *Pool) FoundJobs() []work.JobID {
	jobs := map[work.JobID]bool{}
	for task, r := range p.runs {
		if r.isUnclaimed() {
			jobs[task.Job] = true
		}
	}
	return slices.Sorted(maps.Keys(jobs))
}

// HasFoundRun reports whether another dispatcher has ordered a run of a job that no job of the pool waits for, and that is not being stopped.
func (p *Pool) HasFoundRun(id work.JobID) bool {
	for task, r := range p.runs {
		if task.Job == id && r.isUnclaimed() && r.State != Stopping {
			return true
		}
	}
	return false
}

// Arrived returns when the request for a job of the pool arrived; the zero time for another job.
func (p *Pool) Arrived(id work.JobID) time.Duration {
	if j := p.jobs[id]; j != nil {
		return j.arrived
	}
	return 0
}

// Hold sets whether no task of a job starts, because it is not known whether its caller still waits.
func (p *Pool) Hold(id work.JobID, held bool) {
	if j := p.jobs[id]; j != nil {
		j.held = held
	}
}

// Held reports whether the job of a run is held.
func (p *Pool) Held(r *Run) bool { return r.job != nil && p.holds(r.job) }

// holds reports whether no task of a job starts, see Hold and PauseStored.
func (p *Pool) holds(j *job) bool { return j.held || j.stored && p.storedPaused }

// JobsOn returns the jobs that wait for runs that an endpoint may have started; a job with several runs there comes several times.
func (p *Pool) JobsOn(id work.EndpointID) []work.JobID {
	e := p.endpoints[id]
	if e == nil {
		return nil
	}
	var on []work.JobID
	for _, r := range e.runs {
		if r.job != nil && r.MayHaveStarted() {
			on = append(on, r.job.ID)
		}
	}
	return on
}

// SetLeaseEnding sets whether the lease of an endpoint soon ends and must not be extended. The endpoint gets no new runs then.
func (p *Pool) SetLeaseEnding(id work.EndpointID, ending bool) {
	if e, ok := p.endpoints[id]; ok {
		e.leaseEnds = ending
	}
}

// Remove deletes an endpoint that has ended and ends its runs.
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

// EndRunsOn ends all runs of an endpoint that is known to run nothing, so that their tasks start again.
func (p *Pool) EndRunsOn(id work.EndpointID, now time.Duration) []Outcome {
	var outcomes []Outcome
	for _, r := range p.RunsOn(id) {
		outcomes = append(outcomes, p.RunLost(r, now)...)
	}
	return outcomes
}

// RunsOn returns the runs that occupy capacity on an endpoint, sorted by task.
func (p *Pool) RunsOn(id work.EndpointID) []*Run {
	e := p.endpoints[id]
	if e == nil {
		return nil
	}
	on := slices.Collect(maps.Values(e.runs))
	sortByTask(on)
	return on
}

// sortByTask sorts runs, so that decisions do not depend on the order of maps.
func sortByTask(runs []*Run) {
	slices.SortFunc(runs, func(a, b *Run) int { return a.Task.Compare(b.Task) })
}

// Busy reports whether any run occupies capacity on an endpoint.
func (p *Pool) Busy(id work.EndpointID) bool {
	e := p.endpoints[id]
	return e != nil && len(e.runs) > 0
}

// Run returns the run of a task that may still run on an endpoint, or nil.
func (p *Pool) Run(task work.TaskID) *Run { return p.runs[task] }

// Jobs returns the number of unfinished jobs and how many of them have not started.
func (p *Pool) Jobs() (all, waiting int) {
	for _, j := range p.jobs {
		if !j.started {
			waiting++
		}
	}
	return len(p.jobs), waiting
}

// Waiting returns the number of jobs of a queue that have not started.
func (p *Pool) Waiting(queue string) int {
	n := 0
	for _, j := range p.jobs {
		if !j.started && j.Queue == queue {
			n++
		}
	}
	return n
}

// HasStarted reports whether tasks of a job may have started, here or at another dispatcher: for the present submission, or for an earlier
// one whose runs are not known to be over.
func (p *Pool) HasStarted(id work.JobID) bool {
	if j := p.jobs[id]; j != nil && (j.started || j.resumed) {
		return true
	}
	for task, r := range p.runs {
		if task.Job == id && r.MayHaveStarted() {
			return true
		}
	}
	return false
}

// IsKnownToHaveStarted reports whether tasks of a job are known to have started: a run of one was found or ordered, or an end of one is
// known. A resumed job has not started as far as is known, although HasStarted tells that it may have.
func (p *Pool) IsKnownToHaveStarted(id work.JobID) bool {
	j := p.jobs[id]
	return j != nil && j.started
}

// HasJob reports whether the pool holds a job that is not finished.
func (p *Pool) HasJob(id work.JobID) bool { return p.jobs[id] != nil }

// Outcome is the end of a job. Task is the task whose end decided it; it is unset if the job had succeeded before it was
// submitted.
type Outcome struct {
	Job   work.JobID
	State work.State // Completed or Failed; empty if the job was given up without a result, see GiveUpTooLate
	Task  work.TaskID
	Why   GiveUp // why a failed job was given up; empty if a run of its task has just failed
}

// Cancel deletes a job and returns its runs, which the caller has to stop.
func (p *Pool) Cancel(id work.JobID) []*Run {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	return p.finish(j)
}

// finish deletes a job and returns its remaining runs, which are marked as Stopping.
func (p *Pool) finish(j *job) []*Run {
	delete(p.jobs, j.ID)
	p.dequeue(j)
	if j.remaining == 0 {
		p.timings[j.ID] = j.timing()
	}
	var toStop []*Run
	for _, r := range j.runs {
		r.job = nil
		r.State = Stopping
		toStop = append(toStop, r)
	}
	for step := range j.steps {
		for i := 0; i < j.Steps[step].Count; i++ {
			task := work.TaskID{Job: j.ID, Step: step, Index: i}
			if p.runs[task] == nil {
				delete(p.numbers, task)
			}
		}
	}
	return toStop
}

// RunLost ends a run that certainly no longer runs and has no result. Its task starts again, unless its earlier attempts forbid it.
func (p *Pool) RunLost(r *Run, now time.Duration) []Outcome {
	j := r.job
	p.release(r)
	if j == nil {
		return nil
	}
	if out := p.exhausted(j, r.Task); out != nil {
		return out
	}
	p.requeue(j, r.Task)
	return nil
}

// release deletes a run and frees the capacity that it occupied.
func (p *Pool) release(r *Run) {
	if p.runs[r.Task] != r {
		return
	}
	delete(p.runs, r.Task)
	if e := p.endpoints[r.Endpoint]; e != nil {
		e.used = e.used.Minus(r.Size)
		delete(e.runs, r.Task)
		e.isolation.ended(r.Task)
		if r.unsized {
			e.unsized--
		}
	}
	if r.job != nil {
		r.job.removeRun(r)
	} else if p.jobs[r.Task.Job] == nil {
		delete(p.numbers, r.Task)
	}
}

// requeue puts a task of a job back among those to start.
func (p *Pool) requeue(j *job, task work.TaskID) {
	j.steps[task.Step].waiting = append(j.steps[task.Step].waiting, task.Index)
	p.enqueue(j)
}

// enqueue inserts a job into the queue, which is sorted by latest start.
func (p *Pool) enqueue(j *job) {
	if at, found := p.queuePosition(j); !found {
		p.queue = slices.Insert(p.queue, at, j)
	}
}

func (p *Pool) dequeue(j *job) {
	if at, found := p.queuePosition(j); found {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// queuePosition returns the position of a job in the queue, or the one at which it belongs there.
func (p *Pool) queuePosition(j *job) (at int, found bool) {
	at = sort.Search(len(p.queue), func(i int) bool { return !before(p.queue[i], j) })
	return at, at < len(p.queue) && p.queue[at] == j
}

// before orders jobs by the latest start that meets their objective. Short jobs, which have the least slack, overtake long
// ones; a long job comes first once its own slack is used up.
func before(a, b *job) bool {
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return a.ID < b.ID
}
