package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/minheap"
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
	s := &idealScheduler{
		order: order, freeSlots: slots, times: make([]IdealTimes, len(jobs)), jobs: make([]*idealJob, len(jobs)),
		queue: minheap.New(servedBefore), events: minheap.New(takesEffectBefore),
	}
	for i, j := range jobs {
		s.times[i] = IdealTimes{Tasks: slices.Repeat([]time.Duration{-1}, len(j.RunTimes)), Job: -1}
		s.events.Push(idealEvent{at: j.At, kind: arrival, job: i})
		s.jobs[i] = newIdealJob(j, i, order)
		if j.CancelAfter > 0 {
			s.events.Push(idealEvent{at: j.At + j.CancelAfter, kind: cancellation, job: i})
		}
	}
	for s.events.Len() > 0 {
		s.step(s.events.Pop())
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
	queue     *minheap.Heap[*idealJob]
	events    *minheap.Heap[idealEvent]
	times     []IdealTimes
}

// servedBefore reports whether job a is served before job b.
func servedBefore(a, b *idealJob) bool {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.index, b.index)) < 0
}

// takesEffectBefore reports whether event x takes effect before event y.
func takesEffectBefore(x, y idealEvent) bool {
	return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.kind, y.kind), cmp.Compare(x.job, y.job), cmp.Compare(x.task, y.task)) < 0
}

func (s *idealScheduler) step(e idealEvent) {
	j := s.jobs[e.job]
	switch {
	case e.kind == arrival:
		s.queue.Push(j)
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
	for s.freeSlots > 0 && s.queue.Len() > 0 {
		j := s.queue.First()
		if j.cancelled {
			s.queue.Pop()
			continue
		}
		last := len(j.waiting) - 1
		t := j.waiting[last]
		j.waiting = j.waiting[:last]
		if s.order == ShortestRemaining {
			j.key -= j.RunTimes[t]
		}
		if last == 0 {
			s.queue.Pop()
		}
		s.freeSlots--
		j.running++
		s.events.Push(idealEvent{at: now + j.RunTimes[t], kind: taskEnd, job: j.index, task: t})
	}
}
