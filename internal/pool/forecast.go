package pool

import (
	"container/heap"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	// minProgress is the progress, in percent, from which a run's own speed tells its end better than the estimate.
	minProgress = 5
	// overdueShare is the part of its expected run time that a run without known progress still takes when that is over.
	overdueShare = 0.25
)

// release is room that becomes free.
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

// forecast plays the waiting work of a service on its endpoints, taken as one, to tell when tasks start.
type forecast struct {
	pool      *Pool
	at        time.Duration // to which the work before has been played; room that it left is free from then on
	free      int           // thousandths of a core
	endpoints int           // that the room is on
	releases  releases
}

// forecast begins with the room that tasks of a size find on the endpoints of a service.
func (p *Pool) forecast(service string, task work.Size, now time.Duration) *forecast {
	f := &forecast{pool: p, at: now}
	serves := map[work.EndpointID]bool{}
	for _, e := range p.order {
		if e.Service != service || !e.usable || e.Draining || e.unsized+e.strays > 0 || now < e.health.until {
			continue
		}
		serves[e.ID] = true
		left := e.Size.MilliCPU - e.used.MilliCPU
		f.free += left - left%max(task.MilliCPU, 1)
	}
	f.endpoints = len(serves)
	for _, r := range p.runs {
		if serves[r.Endpoint] {
			f.releases = append(f.releases, release{now + r.remaining(now) + r.after(), r.Size.MilliCPU})
		}
	}
	heap.Init(&f.releases)
	return f
}

// reserve takes the room that later steps of jobs in progress will need beyond what their runs hold, if they begin before a
// time. Each gives it back at its job's expected end.
//
// It answers demand far above capacity by jobs of several steps: tasks of a step that end early leave room which a new job
// would take, and the next step of the job in progress would come late.
func (f *forecast) reserve(service string, now, until time.Duration) {
	for _, j := range f.pool.jobs {
		if j.Service != service || !j.started {
			continue
		}
		c := j.claim(now)
		if c.milliCPU <= 0 || c.begin >= until {
			continue
		}
		f.free -= c.milliCPU
		heap.Push(&f.releases, release{c.begin + c.run, c.milliCPU})
	}
}

// claim is room that later steps of a job in progress will need beyond what its runs hold.
type claim struct {
	begin    time.Duration // when the steps in progress are expected to end
	run      time.Duration // from then to the expected end of the job
	milliCPU int
}

func (j *job) claim(now time.Duration) claim {
	c := claim{begin: now}
	held := 0
	for _, r := range j.runs {
		held += r.Size.MilliCPU
		c.begin = max(c.begin, now+r.remaining(now))
		c.run = max(c.run, r.after())
	}
	for i := range j.steps {
		if waiting := len(j.steps[i].waiting) * j.Steps[i].Size.MilliCPU; !j.ready(i) {
			c.milliCPU = max(c.milliCPU, waiting)
		}
	}
	c.milliCPU -= held
	return c
}

// remaining returns the expected rest of a run.
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

// after returns the expected run time of the steps that follow the run's in its job. They take the room that it leaves.
func (r *Run) after() time.Duration {
	if r.job == nil {
		return 0
	}
	return r.job.steps[r.Task.Step].after
}

// add starts the waiting tasks of a job when there is room and returns when the last one does. Those of steps whose turn
// has not come take the room of the steps before.
func (f *forecast) add(j *job) time.Duration {
	for i := range j.steps {
		if !j.ready(i) {
			continue
		}
		s := &j.Steps[i]
		run := f.pool.estimates.of(j.Queue, s.Estimate) + j.steps[i].after
		for range j.steps[i].waiting {
			f.start(s.Size.MilliCPU, run)
		}
	}
	return f.at
}

// start starts one task as soon as there is room, not before those that go first.
func (f *forecast) start(milliCPU int, run time.Duration) {
	for f.free < milliCPU && len(f.releases) > 0 {
		next := heap.Pop(&f.releases).(release)
		f.free += next.milliCPU
		f.at = max(f.at, next.at)
	}
	f.free -= milliCPU
	heap.Push(&f.releases, release{f.at + run, milliCPU})
}
