// Package naive is the baseline scheduler: one queue in order of arrival, declared sizes taken as true, each task
// started on the first worker with a free slot that is large enough. Differential tests and measurements compare
// package fair with it.
package naive

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// defaultRunTime is the run time that estimates assume for each queued task, and the shortest that they give for a job.
const defaultRunTime = 200 * time.Millisecond

// entry is a queued task.
type entry struct {
	job  *sched.Job
	task int
}

type worker struct {
	sched.Worker
	slotInUse []bool // by slot number
	running   int
}

// Scheduler implements sched.Scheduler. It does not learn from outcomes and does not share slots with other instances.
type Scheduler struct {
	queue      []entry
	order      []string // names of the workers, in the order in which the workers were added
	workers    map[string]*worker
	jobs       map[sched.JobID]*sched.Job
	unfinished map[sched.JobID]int // number of tasks that have not ended
	running    int                 // number of running tasks
}

var _ sched.Scheduler = (*Scheduler)(nil)

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{
		workers:    map[string]*worker{},
		jobs:       map[sched.JobID]*sched.Job{},
		unfinished: map[sched.JobID]int{},
	}
}

// SetWorker implements sched.Scheduler.
func (s *Scheduler) SetWorker(_ time.Time, w sched.Worker) {
	have := s.workers[w.Name]
	if have == nil {
		have = &worker{}
		s.workers[w.Name] = have
		s.order = append(s.order, w.Name)
	}
	have.Worker = w
	for len(have.slotInUse) < w.Slots {
		have.slotInUse = append(have.slotInUse, false)
	}
}

// RemoveWorker implements sched.Scheduler.
func (s *Scheduler) RemoveWorker(name string) {
	w := s.workers[name]
	if w == nil {
		return
	}
	s.running -= w.running
	delete(s.workers, name)
	s.order = slices.DeleteFunc(s.order, func(n string) bool { return n == name })
}

// Estimate implements sched.Scheduler.
func (s *Scheduler) Estimate(_ time.Time, j *sched.Job) sched.Estimate {
	st := s.Stats()
	e := sched.Estimate{Feasible: s.feasible(j), Queued: st.Queued, Slots: st.Slots, FreeSlots: st.FreeSlots}
	if st.Slots > 0 && st.Queued >= st.FreeSlots {
		e.Wait = defaultRunTime * time.Duration(st.Queued) / time.Duration(st.Slots)
		e.Drain = e.Wait
	}
	for _, t := range j.Tasks {
		e.Run = max(e.Run, t.Declared, defaultRunTime)
	}
	return e
}

func (s *Scheduler) feasible(j *sched.Job) bool {
	for _, t := range j.Tasks {
		fits := func(w *worker) bool { return sched.Fits(t.Size, w.Size) }
		if !slices.ContainsFunc(s.list(), fits) {
			return false
		}
	}
	return true
}

func (s *Scheduler) list() []*worker {
	out := make([]*worker, 0, len(s.order))
	for _, name := range s.order {
		out = append(out, s.workers[name])
	}
	return out
}

// Submit implements sched.Scheduler.
func (s *Scheduler) Submit(_ time.Time, j *sched.Job) {
	s.jobs[j.ID] = j
	s.unfinished[j.ID] = len(j.Tasks)
	for i := range j.Tasks {
		s.queue = append(s.queue, entry{j, i})
	}
}

// Requeue implements sched.Scheduler.
func (s *Scheduler) Requeue(_ time.Time, a sched.Assignment) {
	s.release(a)
	if j := s.jobs[a.Job]; j != nil {
		s.queue = slices.Insert(s.queue, 0, entry{j, a.Task})
	}
}

// Cancel implements sched.Scheduler.
func (s *Scheduler) Cancel(_ time.Time, id sched.JobID) []int {
	var dropped []int
	s.queue = slices.DeleteFunc(s.queue, func(e entry) bool {
		if e.job.ID != id {
			return false
		}
		dropped = append(dropped, e.task)
		return true
	})
	s.ended(id, len(dropped))
	return dropped
}

// Next implements sched.Scheduler.
func (s *Scheduler) Next(time.Time) (sched.Assignment, bool) {
	if len(s.queue) == 0 {
		return sched.Assignment{}, false
	}
	e := s.queue[0]
	for _, name := range s.order {
		w := s.workers[name]
		if w.State != sched.WorkerReady || w.running >= w.Slots || !sched.Fits(e.job.Tasks[e.task].Size, w.Size) {
			continue
		}
		slot := slices.Index(w.slotInUse, false)
		w.slotInUse[slot] = true
		w.running++
		s.running++
		s.queue = s.queue[1:]
		return sched.Assignment{Job: e.job.ID, Task: e.task, Worker: name, Slot: slot}, true
	}
	return sched.Assignment{}, false
}

// Finish implements sched.Scheduler.
func (s *Scheduler) Finish(_ time.Time, a sched.Assignment, _ sched.Outcome) {
	s.release(a)
	s.ended(a.Job, 1)
}

func (s *Scheduler) release(a sched.Assignment) {
	w := s.workers[a.Worker]
	if w == nil || a.Slot >= len(w.slotInUse) || !w.slotInUse[a.Slot] {
		return
	}
	w.slotInUse[a.Slot] = false
	w.running--
	s.running--
}

func (s *Scheduler) ended(id sched.JobID, n int) {
	s.unfinished[id] -= n
	if s.unfinished[id] <= 0 {
		delete(s.unfinished, id)
		delete(s.jobs, id)
	}
}

// Stats implements sched.Scheduler.
func (s *Scheduler) Stats() sched.Stats {
	st := sched.Stats{Queued: len(s.queue), Running: s.running, Workers: len(s.workers)}
	for _, w := range s.workers {
		if w.State == sched.WorkerReady {
			st.Slots += w.Slots
			st.FreeSlots += max(0, w.Slots-w.running)
		}
	}
	return st
}
