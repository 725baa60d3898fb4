package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// outcome is what happened to one job. Times are in seconds.
type outcome struct {
	verdict sched.Verdict
	expect  sched.Estimate
	at      float64   // time of the submission that was admitted
	first   float64   // start of the first task
	end     float64   // end of the last task; 0 if it did not finish
	starts  []float64 // start of each task, negative if it never started
}

// admission decides on jobs; nil admits all.
type admission struct {
	bounds  sched.Bounds
	retries int // times that a refused caller comes back when told to
}

type event struct {
	at    float64
	order int
	job   int
	tries int
	a     *sched.Assignment // nil for an arrival
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(a, b int) bool {
	if e[a].at != e[b].at {
		return e[a].at < e[b].at
	}
	return e[a].order < e[b].order
}

// Swap implements heap.Interface.
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type simulation struct {
	s      sched.Scheduler
	jobs   []*job
	out    []outcome
	events events
	order  int
	left   []int
	gate   *admission
	random *rand.Rand
	idle   []float64 // times at which the queue became empty
	full   bool      // the queue is not empty
}

// simulate feeds the jobs to a scheduler and returns what happened to each.
func simulate(s sched.Scheduler, jobs []*job, gate *admission) *simulation {
	m := &simulation{s: s, jobs: jobs, gate: gate, random: rand.New(rand.NewPCG(7, 7))}
	m.out = make([]outcome, len(jobs))
	m.left = make([]int, len(jobs))
	for i := range workers {
		s.SetWorker(at(0), sched.Worker{
			Name:  fmt.Sprintf("w%02d", i),
			Rack:  fmt.Sprintf("r%d", i/workersPerRack),
			Slots: slotsPerWorker,
			Size:  sched.Size{Cores: 16, MemoryMB: 64 << 10},
		})
	}
	for i, j := range jobs {
		m.left[i] = len(j.run)
		m.out[i].first = -1
		m.out[i].at = j.at
		m.out[i].starts = make([]float64, len(j.run))
		for t := range j.run {
			m.out[i].starts[t] = -1
		}
		m.push(event{at: j.at, job: i})
	}
	for len(m.events) > 0 {
		m.step(heap.Pop(&m.events).(event))
	}
	return m
}

func (m *simulation) push(e event) {
	m.order++
	e.order = m.order
	heap.Push(&m.events, e)
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
	full := m.s.Stats().Queued > 0
	if m.full && !full {
		m.idle = append(m.idle, e.at)
	}
	m.full = full
}

func (m *simulation) arrive(e event) {
	j, o := m.jobs[e.job], &m.out[e.job]
	now := at(e.at)
	if m.gate != nil {
		deadline := at(e.at + j.deadline)
		j.spec.Deadline = deadline
		o.expect = m.s.Estimate(now, &j.spec)
		o.verdict = sched.Admit(now, o.expect, len(j.run), deadline, m.gate.bounds, m.random.Float64)
		if !o.verdict.OK() {
			if e.tries < m.gate.retries {
				m.push(event{at: e.at + o.verdict.RetryAfter.Seconds(), job: e.job, tries: e.tries + 1})
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
	if m.left[i]--; m.left[i] == 0 {
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
