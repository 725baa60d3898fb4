package pool

import (
	"container/heap"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	// minProgress is the progress, in percent, from which a run's own speed predicts its end better than the estimate.
	minProgress = 5
	// overdueShare is the share of a run's expected run time that is assumed to remain once that time has passed and the
	// run has reported less than minProgress.
	overdueShare = 0.25
)

// release is capacity that becomes free at a time.
type release struct {
	at       time.Duration
	milliCPU int
}

// releases is a heap with the earliest release first.
type releases []release

func (h releases) Len() int           { return len(h) }
func (h releases) Less(i, j int) bool { return h[i].at < h[j].at }
func (h releases) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *releases) Push(x any) { *h = append(*h, x.(release)) }

// Pop implements heap.Interface.
func (h *releases) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// forecast simulates the waiting jobs of a service, with all its endpoints taken as one, to predict when tasks start.
type forecast struct {
	pool      *Pool
	at        time.Duration // start of the last simulated task
	free      int           // capacity that is free at that time, in thousandths of a core
	endpoints int           // number of endpoints that the capacity belongs to
	isolated  int           // number of further endpoints that are kept for suspects
	releases  releases
}

// forecast returns a simulation that begins with the capacity that tasks of a size can use now on the endpoints of a
// service.
func (p *Pool) forecast(service string, task work.Size, now time.Duration) *forecast {
	f := &forecast{pool: p, at: now}
	serves := map[work.EndpointID]bool{}
	for _, e := range p.order {
		if e.Service != service || !e.counts() || e.leaseEnds || e.unsized+e.superseded > 0 || now < e.health.heldOffUntil {
			continue
		}
		if e.isolation.active() {
			f.isolated++
			continue
		}
		serves[e.ID] = true
		freeMilliCPU := max(e.Size.MilliCPU-e.used.MilliCPU, 0) // the endpoint may have shrunk below what its runs use
		f.free += freeMilliCPU - freeMilliCPU%max(task.MilliCPU, 1)
	}
	f.endpoints = len(serves)
	for _, r := range p.runs {
		if serves[r.Endpoint] {
			f.releases = append(f.releases, release{now + r.remaining(now) + r.followingTime(), r.Size.MilliCPU})
		}
	}
	heap.Init(&f.releases)
	return f
}

// reserve reserves the capacity that later steps of jobs in progress will need beyond what their runs occupy, if these
// steps begin before a time. Each reservation ends at the expected end of its job.
//
// Without this reservation, when demand far above capacity comes from jobs of several steps, a new job would take the
// capacity of tasks that end early, and the next step of the job in progress would start late.
func (f *forecast) reserve(service string, now, until time.Duration) {
	for _, j := range f.pool.jobs {
		if j.Service != service || !j.started {
			continue
		}
		later := j.reservation(now)
		if later.milliCPU <= 0 || later.begin >= until {
			continue
		}
		f.free -= later.milliCPU
		heap.Push(&f.releases, release{later.begin + later.run, later.milliCPU})
	}
}

// reservation is the capacity that later steps of a job in progress will need beyond what its runs occupy.
type reservation struct {
	begin    time.Duration // when the steps in progress are expected to end
	run      time.Duration // time from begin to the expected end of the job
	milliCPU int
}

func (j *job) reservation(now time.Duration) reservation {
	later := reservation{begin: now}
	held := 0
	for _, r := range j.runs {
		held += r.Size.MilliCPU
		later.begin = max(later.begin, now+r.remaining(now))
		later.run = max(later.run, r.followingTime())
	}
	for i := range j.steps {
		if waiting := len(j.steps[i].waiting) * j.Steps[i].Size.MilliCPU; !j.ready(i) {
			later.milliCPU = max(later.milliCPU, waiting)
		}
	}
	later.milliCPU -= held
	return later
}

// remaining returns the expected remaining run time of a run.
func (r *Run) remaining(now time.Duration) time.Duration {
	elapsed := now - r.Ordered
	if r.Percent >= minProgress {
		total := elapsed * 100 / time.Duration(r.Percent)
		return max(total-elapsed, 0)
	}
	if elapsed < r.Expected {
		return r.Expected - elapsed
	}
	return time.Duration(overdueShare * float64(r.Expected))
}

// followingTime returns the expected run time of the steps that follow the run's step in its job. They use the capacity that
// the run leaves.
func (r *Run) followingTime() time.Duration {
	if r.job == nil {
		return 0
	}
	return r.job.steps[r.Task.Step].followingTime
}

// add simulates the starts of a job's waiting tasks and returns when the last one starts. Tasks of steps that are not ready
// need no additional capacity: they use that of the steps before. Suspects need none either, since they get endpoints of their own,
// which do not count in the simulation.
func (f *forecast) add(j *job) time.Duration {
	for i := range j.steps {
		if j.ready(i) {
			f.start(j.waitingUnsuspected(i), j.Steps[i].Size.MilliCPU, j.steps[i].runTime+j.steps[i].followingTime)
		}
	}
	return f.at
}

// waitingUnsuspected returns the number of a step's tasks to start that are not suspects.
func (j *job) waitingUnsuspected(step int) int {
	waiting := j.steps[step].waiting
	if len(j.suspects) == 0 {
		return len(waiting)
	}
	n := 0
	for _, index := range waiting {
		if !j.suspects[work.TaskID{Job: j.ID, Step: step, Index: index}] {
			n++
		}
	}
	return n
}

// start simulates the starts of tasks of one size, each as soon as there is capacity and no earlier than the tasks added before
// it. Tasks that start at the same time are handled together.
func (f *forecast) start(tasks, milliCPU int, run time.Duration) {
	for tasks > 0 {
		f.awaitCapacity(milliCPU)
		together := tasks
		if milliCPU > 0 {
			together = max(min(tasks, f.free/milliCPU), 1)
		}
		tasks -= together
		f.free -= together * milliCPU
		heap.Push(&f.releases, release{f.at + run, together * milliCPU})
	}
}

// awaitCapacity moves the time on until an amount is free, with all that is released by then.
func (f *forecast) awaitCapacity(milliCPU int) {
	if f.free >= milliCPU {
		return
	}
	for len(f.releases) > 0 && (f.free < milliCPU || f.releases[0].at <= f.at) {
		next := heap.Pop(&f.releases).(release)
		f.free += next.milliCPU
		f.at = max(f.at, next.at)
	}
}
