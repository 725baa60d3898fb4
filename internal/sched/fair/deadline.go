package fair

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/minheap"
	"github.com/savorypass/savorypass/internal/sched"
)

// deadlines is a heap of the jobs that have queued tasks and a deadline, the earliest deadline first.
type deadlines struct{ *minheap.Heap[*job] }

func newDeadlines() deadlines {
	return deadlines{minheap.NewIndexed(func(a, b *job) bool {
		if a.deadline != b.deadline {
			return a.deadline < b.deadline
		}
		return a.seq < b.seq
	}, func(j *job, index int) { j.heapIndex = index })}
}

func (d deadlines) add(j *job) {
	if !math.IsInf(j.deadline, 1) {
		d.Push(j)
	}
}

func (d deadlines) remove(j *job) {
	if j.heapIndex >= 0 {
		d.Remove(j.heapIndex)
	}
}

// expire drops the queued tasks of jobs whose deadline has passed, and keeps them for the next call of Expire.
func (s *Scheduler) expire(now float64) {
	for s.deadlines.Len() > 0 && s.deadlines.First().deadline <= now {
		j := s.deadlines.First()
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
	if s.deadlines.Len() == 0 {
		return time.Time{}, false
	}
	return s.base.Add(time.Duration(s.deadlines.First().deadline * float64(time.Second))), true
}
