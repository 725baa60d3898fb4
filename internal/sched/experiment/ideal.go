package experiment

import (
	"container/heap"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// ideal is a scheduler that knows the true run times and whose slots form one pool. It serves jobs either in order of
// arrival or the one with the shortest remaining work first, and within a job the longest task first.
type ideal struct {
	sched.Scheduler // nil; the experiment does not call the methods that ideal does not define
	jobs            []*job
	shortest        bool // shortest remaining work first, else in order of arrival
	queue           idealQueue
	free            int
	queued          int
}

type idealJob struct {
	key   float64 // the lowest is served first
	id    sched.JobID
	tasks []int // indexes of the queued tasks, the longest last
}

type idealQueue []*idealJob

// Len implements heap.Interface.
func (q idealQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q idealQueue) Less(a, b int) bool {
	if q[a].key != q[b].key {
		return q[a].key < q[b].key
	}
	return q[a].id < q[b].id
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

// SetWorker implements sched.Scheduler.
func (d *ideal) SetWorker(_ time.Time, w sched.Worker) { d.free += w.Slots }

// Submit implements sched.Scheduler.
func (d *ideal) Submit(_ time.Time, s *sched.Job) {
	j := d.jobs[s.ID-1]
	x := &idealJob{id: s.ID, tasks: byRunTime(j.run), key: j.at}
	if d.shortest {
		x.key = j.work
	}
	d.queued += len(x.tasks)
	heap.Push(&d.queue, x)
}

// Next implements sched.Scheduler.
func (d *ideal) Next(time.Time) (sched.Assignment, bool) {
	if d.free == 0 || len(d.queue) == 0 {
		return sched.Assignment{}, false
	}
	x := d.queue[0]
	last := len(x.tasks) - 1
	task := x.tasks[last]
	x.tasks = x.tasks[:last]
	if d.shortest {
		x.key -= d.jobs[x.id-1].run[task]
	}
	if last == 0 {
		heap.Pop(&d.queue)
	}
	d.free--
	d.queued--
	return sched.Assignment{Job: x.id, Task: task}, true
}

// Finish implements sched.Scheduler.
func (d *ideal) Finish(time.Time, sched.Assignment, sched.Outcome) { d.free++ }

// Stats implements sched.Scheduler.
func (d *ideal) Stats() sched.Stats { return sched.Stats{Queued: d.queued, FreeSlots: d.free} }
