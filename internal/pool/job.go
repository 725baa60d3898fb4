package pool

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// job is an accepted job. The cost of each operation on a job is bounded by its tasks, steps and dependencies, whatever the
// shape of its graph of steps: a dispatcher carries it out under its lock, and callers choose the graph.
type job struct {
	*work.Job
	arrived     time.Duration
	notBefore   time.Duration // the tasks do not start earlier: until then they may run on endpoints that have not reported
	resumed     bool          // another dispatcher may have started tasks of the job
	steps       []stepState
	remaining   int // tasks that have not succeeded
	runs        map[work.TaskID]*Run
	suspects    map[work.TaskID]bool // tasks under which an endpoint has crashed; they run alone
	started     bool
	sent        bool          // a request to start a task of the job was sent, or a run or an end of one is known
	held        bool          // see Hold
	delayed     bool          // a task has waited for a faster endpoint
	stored      bool          // see OfferStored
	weighed     bool          // see WeighBy
	kept        bool          // see KeepHere
	expected    time.Duration // expected run time of the longest chain of steps
	latestStart time.Duration // latest start with which the objective is likely met
	firstStart  time.Duration // see Timing
	lastStart   time.Duration
}

// stepState is the state of one step. A dependency that a step lists twice counts twice, in blockers and in dependents.
type stepState struct {
	waiting       []int                   // indices of the tasks to start, in order
	remaining     int                     // tasks that have not succeeded
	blockers      int                     // number of dependencies with tasks that have not succeeded
	dependents    []int                   // the steps that depend on this one
	runTime       time.Duration           // expected run time of one task when the job was submitted
	followingTime time.Duration           // expected run time of the steps that follow this one
	runsOn        map[work.EndpointID]int // number of runs by endpoint; nil for a step without MaxPerEndpoint
}

func (p *Pool) newJob(w *work.Job, arrived, notBefore time.Duration) *job {
	j := &job{
		Job: w, arrived: arrived, notBefore: notBefore, resumed: notBefore > 0, runs: map[work.TaskID]*Run{},
		steps: make([]stepState, len(w.Steps)), weighed: p.weighs(w.Service),
	}
	for i := range w.Steps {
		j.remaining += w.Steps[i].Count
		j.steps[i] = p.newStepState(w, i)
	}
	j.connectSteps()
	j.setExpectedTimes()
	j.latestStart = arrived + slack(w.Objective, j.expected)
	return j
}

// resume records that another dispatcher may have started the job, unless notBefore is 0. See Pool.Submit.
func (j *job) resume(notBefore time.Duration) {
	j.resumed = j.resumed || notBefore > 0
	j.notBefore = max(j.notBefore, notBefore)
}

func (p *Pool) newStepState(w *work.Job, step int) stepState {
	s := &w.Steps[step]
	st := stepState{remaining: s.Count, runTime: p.estimates.of(w.Queue, s.Estimate), waiting: make([]int, s.Count)}
	for index := range st.waiting {
		st.waiting[index] = index
	}
	if s.MaxPerEndpoint > 0 {
		st.runsOn = map[work.EndpointID]int{}
	}
	return st
}

// connectSteps records which steps wait for which.
func (j *job) connectSteps() {
	for i := range j.steps {
		for _, d := range j.Steps[i].DependsOn {
			if j.steps[d].remaining > 0 {
				j.steps[i].blockers++
				j.steps[d].dependents = append(j.steps[d].dependents, i)
			}
		}
	}
}

// setExpectedTimes computes the expected run time that follows each step and that of the longest chain of steps, in one pass
// over the dependencies. Steps depend on earlier ones only.
func (j *job) setExpectedTimes() {
	for i := len(j.steps) - 1; i >= 0; i-- {
		run := j.steps[i].runTime + j.steps[i].followingTime
		j.expected = max(j.expected, run)
		for _, d := range j.Steps[i].DependsOn {
			j.steps[d].followingTime = max(j.steps[d].followingTime, run)
		}
	}
}

// slack returns how long a job may wait without missing its objective.
func slack(o work.Objective, expected time.Duration) time.Duration {
	return time.Duration(math.Max(o.Stretch-1, 0)*float64(expected)) + o.Extra
}

// due returns when the tasks of a step have to end for the job to meet its objective.
func (j *job) due(step int) time.Duration {
	return j.latestStart + j.expected - j.steps[step].followingTime
}

// ready reports whether all steps that a step depends on have succeeded.
func (j *job) ready(step int) bool { return j.steps[step].blockers == 0 }

func (j *job) hasWaiting() bool {
	for i := range j.steps {
		if len(j.steps[i].waiting) > 0 {
			return true
		}
	}
	return false
}

// hasReady reports whether the job has tasks to start whose steps are ready.
func (j *job) hasReady() bool {
	for i := range j.steps {
		if len(j.steps[i].waiting) > 0 && j.ready(i) {
			return true
		}
	}
	return false
}

// waitingWork returns the expected work of the job's unstarted tasks, in thousandths of a core times nanoseconds.
func (j *job) waitingWork() float64 {
	sum := 0.0
	for i := range j.steps {
		st := &j.steps[i]
		sum += float64(len(st.waiting)) * float64(j.Steps[i].Size.MilliCPU) * float64(st.runTime)
	}
	return sum
}

// largest returns the size of the job's task with the most processors.
func (j *job) largest() work.Size {
	var largest work.Size
	for i := range j.Steps {
		if j.Steps[i].Size.MilliCPU > largest.MilliCPU {
			largest = j.Steps[i].Size
		}
	}
	return largest
}

func (j *job) hasTask(task work.TaskID) bool {
	return task.Occurrence == 0 && task.Step < len(j.Steps) && task.Index < j.Steps[task.Step].Count
}

func (j *job) removeWaiting(task work.TaskID) bool {
	waiting := j.steps[task.Step].waiting
	for i, index := range waiting {
		if index == task.Index {
			j.steps[task.Step].waiting = append(waiting[:i], waiting[i+1:]...)
			return true
		}
	}
	return false
}

// countSuccess counts a task that succeeded under another dispatcher. It returns whether the job was waiting for the task.
func (j *job) countSuccess(task work.TaskID) bool {
	if !j.hasTask(task) || !j.removeWaiting(task) {
		return false
	}
	j.started, j.sent = true, true
	j.taskSucceeded(task.Step)
	return true
}

// taskSucceeded counts a task of a step that has succeeded.
func (j *job) taskSucceeded(step int) {
	j.remaining--
	st := &j.steps[step]
	st.remaining--
	if st.remaining > 0 {
		return
	}
	for _, i := range st.dependents {
		j.steps[i].blockers--
	}
}

// addRun adds a run that the job waits for.
func (j *job) addRun(r *Run) {
	r.job = j
	j.runs[r.Task] = r
	j.started = true
	if j.firstStart == 0 {
		j.firstStart = r.Ordered
	}
	j.lastStart = max(j.lastStart, r.Ordered)
	if on := j.steps[r.Task.Step].runsOn; on != nil {
		on[r.Endpoint]++
	}
}

// removeRun removes a run that has ended.
func (j *job) removeRun(r *Run) {
	r.job = nil
	delete(j.runs, r.Task)
	if on := j.steps[r.Task.Step].runsOn; on != nil {
		on[r.Endpoint]--
	}
}
