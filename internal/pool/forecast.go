package pool

import (
	"math"
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
	endpoint int // index in forecast.each; -1 for capacity that is only reserved
}

// releases is a heap with the earliest release first. It is written out because container/heap takes several times as long, and a
// submission behind many jobs simulates thousands of releases.
type releases []release

// add adds a release.
func (h *releases) add(r release) {
	all := append(*h, r)
	i := len(all) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if all[parent].at <= r.at {
			break
		}
		all[i] = all[parent]
		i = parent
	}
	all[i] = r
	*h = all
}

// next removes and returns the earliest release of a heap that is not empty.
func (h *releases) next() release {
	all := *h
	first, last := all[0], all[len(all)-1]
	all = all[:len(all)-1]
	i := 0
	for {
		child := 2*i + 1
		if child >= len(all) {
			break
		}
		if child+1 < len(all) && all[child+1].at < all[child].at {
			child++
		}
		if last.at <= all[child].at {
			break
		}
		all[i] = all[child]
		i = child
	}
	if len(all) > 0 {
		all[i] = last
	}
	*h = all
	return first
}

// forecast simulates the waiting jobs of a service to predict when tasks start.
type forecast struct {
	pool      *Pool
	at        time.Duration // start of the last simulated task
	free      int           // capacity that is free at that time and not reserved, in thousandths of a core
	usable    int           // capacity that is free at the begin, counted on each endpoint in multiples of the task's size
	endpoints int           // number of endpoints that the capacity belongs to
	isolated  int           // number of further endpoints that are kept for suspects
	releases  releases
	each      []int // capacity that is free on each endpoint, or in all if they are taken as one
	full      int   // each of them has less than this free
}

// forecast returns a simulation that begins with the capacity that tasks of a size can use now on the endpoints of a service. If costs
// of delays are not weighed for the service, all endpoints are taken as one.
func (p *Pool) forecast(service string, task work.Size, now time.Duration) *forecast {
	f := &forecast{pool: p, at: now, full: math.MaxInt, each: make([]int, 0, len(p.order)), releases: make(releases, 0, 2*len(p.runs)+64)}
	serves := make(map[work.EndpointID]int, len(p.order))
	apart := p.weighs(service)
	for _, e := range p.order {
		if e.Service != service || !e.counts() || e.leaseEnds || e.unsized+e.superseded > 0 || now < e.health.heldOffUntil {
			continue
		}
		if e.isolation.active() {
			f.isolated++
			continue
		}
		f.endpoints++
		free := max(e.Size.MilliCPU-e.used.MilliCPU, 0) // the endpoint may have shrunk below what its runs use
		usable := free - free%max(task.MilliCPU, 1)
		f.usable += usable
		if !apart {
			free = usable
		}
		if apart || len(f.each) == 0 {
			f.each = append(f.each, 0)
		}
		serves[e.ID] = len(f.each) - 1
		f.each[len(f.each)-1] += free
		f.free += free
	}
	for _, r := range p.runs {
		if i, ok := serves[r.Endpoint]; ok {
			f.releases.add(release{now + r.remaining(now) + r.followingTime(), r.Size.MilliCPU, i})
		}
	}
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
		f.releases.add(release{later.begin + later.run, later.milliCPU, -1})
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

// start simulates the starts of tasks of one size, each as soon as an endpoint has room and no earlier than the tasks added before it.
//
// Free capacity of several endpoints does not add up: tasks slightly larger than half an endpoint need one each. Counted together it
// promises starts that come much later.
func (f *forecast) start(tasks, milliCPU int, run time.Duration) {
	for tasks > 0 {
		together := 1
		endpoint := f.awaitRoom(milliCPU)
		if endpoint >= 0 {
			if milliCPU > 0 {
				together = max(min(tasks, min(f.free, f.each[endpoint])/milliCPU), 1)
			}
			f.each[endpoint] -= together * milliCPU
			f.full = max(f.full, f.each[endpoint]+1)
		}
		tasks -= together
		f.free -= together * milliCPU
		f.releases.add(release{f.at + run, together * milliCPU, endpoint})
	}
}

// awaitRoom moves the time on until an endpoint has room for a task and as much is not reserved. It returns the endpoint, for which full
// need not hold, or -1 if that is not expected to happen.
func (f *forecast) awaitRoom(milliCPU int) int {
	endpoint := f.roomFor(milliCPU)
	if endpoint >= 0 && f.free >= milliCPU {
		return endpoint
	}
	for len(f.releases) > 0 && (endpoint < 0 || f.free < milliCPU || f.releasesTogether()) {
		next := f.releases.next()
		f.at = max(f.at, next.at)
		f.free += next.milliCPU
		if next.endpoint < 0 {
			continue
		}
		free := f.each[next.endpoint] + next.milliCPU
		f.each[next.endpoint] = free
		if endpoint < 0 && free >= milliCPU {
			endpoint = next.endpoint
		} else {
			f.full = max(f.full, free+1)
		}
	}
	return endpoint
}

// releasesTogether reports whether the next release comes at the present time and adds to the room of the same tasks, which then start together.
func (f *forecast) releasesTogether() bool {
	return len(f.each) == 1 && f.releases[0].at <= f.at
}

// roomFor returns the first endpoint with enough free capacity for a task, or -1.
func (f *forecast) roomFor(milliCPU int) int {
	if milliCPU >= f.full {
		return -1
	}
	for i, free := range f.each {
		if free >= milliCPU {
			return i
		}
	}
	f.full = milliCPU
	return -1
}

// snapshot is the state of a forecast to which it can be taken back.
type snapshot struct {
	at       time.Duration
	free     int
	full     int
	releases releases
	each     []int
}

// save copies the state of the forecast into a snapshot, whose memory it reuses.
func (f *forecast) save(s *snapshot) {
	s.at, s.free, s.full = f.at, f.free, f.full
	s.releases = append(s.releases[:0], f.releases...)
	s.each = append(s.each[:0], f.each...)
}

// restore takes the forecast back to a snapshot.
func (f *forecast) restore(s *snapshot) {
	f.at, f.free, f.full = s.at, s.free, s.full
	f.releases = append(f.releases[:0], s.releases...)
	f.each = append(f.each[:0], s.each...)
}
