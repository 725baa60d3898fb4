package bench

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Order is an order of service of the ideal scheduler.
type Order int

// The orders of service.
const (
	FirstCome         Order = iota
	ShortestRemaining       // the job whose tasks that have not started have the least total run time goes first
)

// IdealTimes are the ends of one job's tasks, counted from its arrival. They are negative for tasks that were cancelled.
type IdealTimes struct {
	Tasks []time.Duration
	Job   time.Duration // end of the last task; negative if the job was cancelled before it
}

// Ideal simulates a scheduler that serves the jobs from one queue with all slots, knows the true run times, and takes no time
// itself. Its times are the reference for those of the product. The round trip of 3 ms to slots in other availability zones is left out, which favours the ideal scheduler. Within a
// job the longest task goes first. The result has the order of the jobs.
func Ideal(jobs []*Job, slots int, order Order) []IdealTimes {
	s := &idealScheduler{order: order, freeSlots: slots, times: make([]IdealTimes, len(jobs)), jobs: make([]*idealJob, len(jobs))}
	for i, j := range jobs {
		s.times[i] = IdealTimes{Tasks: slices.Repeat([]time.Duration{-1}, len(j.RunTimes)), Job: -1}
		s.push(idealEvent{at: j.At, kind: arrival, job: i})
		s.jobs[i] = newIdealJob(j, i, order)
		if j.CancelAfter > 0 {
			s.push(idealEvent{at: j.At + j.CancelAfter, kind: cancellation, job: i})
		}
	}
	for len(s.events) > 0 {
		s.step(heap.Pop(&s.events).(idealEvent))
	}
	return s.times
}

type eventKind int

// Events at the same time take effect in this order.
const (
	taskEnd eventKind = iota
	cancellation
	arrival
)

type idealEvent struct {
	at   time.Duration // from the start of the run
	kind eventKind
	job  int // index of the job
	task int // index of the task that ends
}

type idealJob struct {
	*Job
	index      int
	key        time.Duration // arrival or remaining work, depending on the order; the lowest key is served first
	waiting    []int         // tasks that have not started; the longest is last
	running    int
	unfinished int
	cancelled  bool
}

func newIdealJob(j *Job, index int, order Order) *idealJob {
	x := &idealJob{Job: j, index: index, key: j.At, unfinished: len(j.RunTimes)}
	if order == ShortestRemaining {
		x.key = j.Work()
	}
	for t := range j.RunTimes {
		x.waiting = append(x.waiting, t)
	}
	slices.SortFunc(x.waiting, func(a, b int) int { return cmp.Compare(j.RunTimes[a], j.RunTimes[b]) })
	return x
}

type idealScheduler struct {
	order     Order
	freeSlots int
	jobs      []*idealJob
	queue     idealQueue
	events    idealEvents
	times     []IdealTimes
}

func (s *idealScheduler) push(e idealEvent) { heap.Push(&s.events, e) }

func (s *idealScheduler) step(e idealEvent) {
	j := s.jobs[e.job]
	switch {
	case e.kind == arrival:
		heap.Push(&s.queue, j)
	case j.cancelled:
	case e.kind == cancellation:
		s.cancel(j)
	default:
		s.end(j, e)
	}
	s.dispatch(e.at)
}

func (s *idealScheduler) end(j *idealJob, e idealEvent) {
	s.freeSlots++
	j.running--
	j.unfinished--
	s.times[j.index].Tasks[e.task] = e.at - j.At
	if j.unfinished == 0 {
		s.times[j.index].Job = e.at - j.At
	}
}

// cancel stops the running tasks at once. The job stays in the queue until dispatch finds it at the head and removes it.
func (s *idealScheduler) cancel(j *idealJob) {
	if j.unfinished == 0 {
		return
	}
	j.cancelled = true
	s.freeSlots += j.running
}

func (s *idealScheduler) dispatch(now time.Duration) {
	for s.freeSlots > 0 && len(s.queue) > 0 {
		j := s.queue[0]
		if j.cancelled {
			heap.Pop(&s.queue)
			continue
		}
		last := len(j.waiting) - 1
		t := j.waiting[last]
		j.waiting = j.waiting[:last]
		if s.order == ShortestRemaining {
			j.key -= j.RunTimes[t]
		}
		if last == 0 {
			heap.Pop(&s.queue)
		}
		s.freeSlots--
		j.running++
		s.push(idealEvent{at: now + j.RunTimes[t], kind: taskEnd, job: j.index, task: t})
	}
}

type idealQueue []*idealJob

// Len implements heap.Interface.
func (q idealQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q idealQueue) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(q[a].key, q[b].key), cmp.Compare(q[a].index, q[b].index)) < 0
}

// Swap implements heap.Interface.
func (q idealQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *idealQueue) Push(x any) { *q = append(*q, x.(*idealJob)) }

// Pop implements heap.Interface.
func (q *idealQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

type idealEvents []idealEvent

// Len implements heap.Interface.
func (e idealEvents) Len() int { return len(e) }

// Less implements heap.Interface.
func (e idealEvents) Less(a, b int) bool {
	x, y := &e[a], &e[b]
	return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.kind, y.kind), cmp.Compare(x.job, y.job), cmp.Compare(x.task, y.task)) < 0
}

// Swap implements heap.Interface.
func (e idealEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *idealEvents) Push(x any) { *e = append(*e, x.(idealEvent)) }

// Pop implements heap.Interface.
func (e *idealEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
