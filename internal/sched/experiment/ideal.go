package experiment

import (
	"time"

	"github.com/savorypass/savorypass/internal/minheap"
	"github.com/savorypass/savorypass/internal/sched"
)

// ideal is a scheduler that knows the true run times and whose slots form one pool. It serves jobs either in order of
// arrival or the one with the shortest remaining work first, and within a job the longest task first.
type ideal struct {
	sched.Scheduler // nil; the experiment does not call the methods that ideal does not define
	jobs            []*job
	shortest        bool // shortest remaining work first, else in order of arrival
	queue           *minheap.Heap[*idealJob]
	free            int
	queued          int
}

type idealJob struct {
	key   float64 // the lowest is served first
	id    sched.JobID
	tasks []int // indexes of the queued tasks, the longest last
}

// servedBefore reports whether job a is served before job b.
func servedBefore(a, b *idealJob) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.id < b.id
}

// newIdeal returns an ideal scheduler of the jobs.
func newIdeal(jobs []*job, shortest bool) *ideal {
	return &ideal{jobs: jobs, shortest: shortest, queue: minheap.New(servedBefore)}
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
	d.queue.Push(x)
}

// Next implements sched.Scheduler.
func (d *ideal) Next(time.Time) (sched.Assignment, bool) {
	if d.free == 0 || d.queue.Len() == 0 {
		return sched.Assignment{}, false
	}
	x := d.queue.First()
	last := len(x.tasks) - 1
	task := x.tasks[last]
	x.tasks = x.tasks[:last]
	if d.shortest {
		x.key -= d.jobs[x.id-1].run[task]
	}
	if last == 0 {
		d.queue.Pop()
	}
	d.free--
	d.queued--
	return sched.Assignment{Job: x.id, Task: task}, true
}

// Finish implements sched.Scheduler.
func (d *ideal) Finish(time.Time, sched.Assignment, sched.Outcome) { d.free++ }

// Stats implements sched.Scheduler.
func (d *ideal) Stats() sched.Stats { return sched.Stats{Queued: d.queued, FreeSlots: d.free} }
