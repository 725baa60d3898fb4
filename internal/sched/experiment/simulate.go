package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/savorypass/savorypass/internal/minheap"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// outcome records the decision on a job and its execution. Times are in seconds.
type outcome struct {
	verdict sched.Verdict
	expect  sched.Estimate
	at      float64   // time of the submission that was admitted
	first   float64   // start of the first task, negative if none started
	end     float64   // end of the last task; 0 if it did not finish
	starts  []float64 // start of each task, negative if it never started
}

// admission configures the admission control of a simulation.
type admission struct {
	bounds  sched.Bounds
	retries int // number of times that a refused caller submits the job again, each after the verdict's RetryAfter
}

// event is the arrival of a job or the end of a task.
type event struct {
	at       float64
	order    int               // number in the order of creation; decides between events at the same time
	job      int               // index of the job
	attempts int               // number of earlier submissions of the job
	a        *sched.Assignment // assignment of the task that ends; nil for an arrival
}

// before reports whether event a takes effect before event b.
func before(a, b event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

// simulation is a discrete-event simulation of one scheduler.
type simulation struct {
	s                sched.Scheduler
	jobs             []*job
	out              []outcome // by index of the job
	events           *minheap.Heap[event]
	order            int
	unfinished       []int      // number of tasks that have not ended, by job
	admissionControl *admission // nil admits every job
	random           *rand.Rand
	emptiedAt        []float64 // times at which the queue became empty
	hasQueue         bool      // the queue is not empty
}

// simulate runs the jobs on the scheduler until all events are processed, and returns the simulation with the outcomes.
// If admissionControl is nil, every job is admitted.
func simulate(s sched.Scheduler, jobs []*job, admissionControl *admission) *simulation {
	m := &simulation{s: s, jobs: jobs, admissionControl: admissionControl, random: rand.New(rand.NewPCG(7, 7)), events: minheap.New(before)}
	m.out = make([]outcome, len(jobs))
	m.unfinished = make([]int, len(jobs))
	for i := range workers {
		s.SetWorker(at(0), sched.Worker{
			Name:  fmt.Sprintf("w%02d", i),
			Rack:  fmt.Sprintf("r%d", i/workersPerRack),
			Slots: slotsPerWorker,
			Size:  sched.Size{Cores: 16, MemoryMB: 64 << 10},
		})
	}
	for i, j := range jobs {
		m.unfinished[i] = len(j.run)
		m.out[i].first = -1
		m.out[i].at = j.at
		m.out[i].starts = make([]float64, len(j.run))
		for t := range j.run {
			m.out[i].starts[t] = -1
		}
		m.push(event{at: j.at, job: i})
	}
	for m.events.Len() > 0 {
		m.step(m.events.Pop())
	}
	return m
}

func (m *simulation) push(e event) {
	m.order++
	e.order = m.order
	m.events.Push(e)
}

func (m *simulation) step(e event) {
	if e.a == nil {
		m.arrive(e)
	} else {
		m.finish(e)
	}
	if x, ok := m.s.(sched.Expirer); ok {
		x.Expire(at(e.at))
	}
	m.dispatch(e.at)
	hasQueue := m.s.Stats().Queued > 0
	if m.hasQueue && !hasQueue {
		m.emptiedAt = append(m.emptiedAt, e.at)
	}
	m.hasQueue = hasQueue
}

func (m *simulation) arrive(e event) {
	j, o := m.jobs[e.job], &m.out[e.job]
	now := at(e.at)
	if m.admissionControl != nil {
		deadline := at(e.at + j.deadline)
		j.spec.Deadline = deadline
		o.expect = m.s.Estimate(now, &j.spec)
		o.verdict = sched.Admit(now, o.expect, len(j.run), deadline, m.admissionControl.bounds, m.random.Float64)
		if !o.verdict.OK() {
			if e.attempts < m.admissionControl.retries {
				m.push(event{at: e.at + o.verdict.RetryAfter.Seconds(), job: e.job, attempts: e.attempts + 1})
			}
			return
		}
		o.at = e.at
	}
	m.s.Submit(now, &j.spec)
}

func (m *simulation) finish(e event) {
	i := e.job
	m.s.Finish(at(e.at), *e.a, sched.Outcome{
		Kind:    platform.Succeeded,
		RunTime: time.Duration(m.jobs[i].run[e.a.Task] * float64(time.Second)),
		Usage:   sched.Size{Cores: 0.8, MemoryMB: 1500},
	})
	if m.unfinished[i]--; m.unfinished[i] == 0 {
		m.out[i].end = e.at
	}
}

func (m *simulation) dispatch(now float64) {
	for {
		a, ok := m.s.Next(at(now))
		if !ok {
			return
		}
		i := int(a.Job) - 1
		o := &m.out[i]
		if o.first < 0 {
			o.first = now
		}
		o.starts[a.Task] = now
		m.push(event{at: now + m.jobs[i].run[a.Task], job: i, a: &a})
	}
}
