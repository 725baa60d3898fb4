package fair

import (
	"container/heap"
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// deadlines is a heap of the jobs that have queued tasks and a deadline, the earliest deadline first.
type deadlines []*job

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(a, b int) bool {
	if d[a].deadline != d[b].deadline {
		return d[a].deadline < d[b].deadline
	}
	return d[a].seq < d[b].seq
}

// Swap implements heap.Interface.
func (d deadlines) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].heapIndex = a
	d[b].heapIndex = b
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	j.heapIndex = -1
	return j
}

func (d *deadlines) add(j *job) {
	if !math.IsInf(j.deadline, 1) {
		heap.Push(d, j)
	}
}

func (d *deadlines) remove(j *job) {
	if j.heapIndex >= 0 {
		heap.Remove(d, j.heapIndex)
	}
}

// expire drops the queued tasks of jobs whose deadline has passed, and keeps them for the next call of Expire.
func (s *Scheduler) expire(now float64) {
	for len(s.deadlines) > 0 && s.deadlines[0].deadline <= now {
		j := s.deadlines[0]
		s.expired = append(s.expired, sched.Expired{Job: j.id, Tasks: s.drop(j)})
	}
}

// Expire implements sched.Expirer.
func (s *Scheduler) Expire(now time.Time) []sched.Expired {
	s.expire(s.clock(now))
	out := s.expired
	s.expired = nil
	return out
}

// NextDeadline implements sched.Expirer.
func (s *Scheduler) NextDeadline() (time.Time, bool) {
	if len(s.deadlines) == 0 {
		return time.Time{}, false
	}
	return s.base.Add(time.Duration(s.deadlines[0].deadline * float64(time.Second))), true
}
