package fair

import (
	"math"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/estimate"
	"github.com/savorypass/savorypass/internal/sched"
)

// RankInput holds the values that a job's rank may depend on. Times are in seconds since the scheduler's first call.
type RankInput struct {
	Arrival  float64
	Work     float64 // expected run time of the queued tasks, summed
	TaskTime float64 // expected run time of one task
	Slots    float64 // usable slots
}

// Rank returns the rank of a job in seconds; the job with the lowest rank is served first. It must not depend on the
// current time, since ranks are not recomputed as time passes: ageing is expressed by adding the arrival time.
type Rank func(RankInput) float64

// ByRemainingWork ranks a job by its arrival time, plus the time that all slots together need for its remaining work
// divided by ageing, plus the expected run time of one task. Only jobs that arrive before the rank of a job can
// overtake it, so every job is served in the end; the smaller ageing is, the longer large jobs may be overtaken. The
// run time of one task puts jobs with short tasks first among those with similar work.
func ByRemainingWork(ageing float64) Rank {
	return func(r RankInput) float64 { return r.Arrival + r.Work/(r.Slots*ageing) + r.TaskTime }
}

// States of a task.
const (
	queued = iota
	started
	done
)

type job struct {
	id         sched.JobID
	seq        uint64 // order of submission
	team       *team
	service    *service
	arrival    float64 // in seconds of the scheduler's clock, as are deadline and rank
	deadline   float64
	tasks      []sched.Task
	state      []uint8
	groups     []*group // queued tasks, by shape
	queued     int
	unfinished int     // tasks that are queued or started
	work       float64 // work of the queued tasks, in slot seconds
	summedWork float64 // work that is included in team.workByRank
	slice      int     // slice of team.workByRank that includes summedWork
	rank       float64 // see Rank
	heapIndex  int     // index in Scheduler.deadlines, -1 if absent
	listIndex  int     // index in service.jobs, -1 if absent
	cancelled  bool
}

// group holds the queued tasks of a job that are in one queue.
type group struct {
	job   *job
	queue *queue
	tasks []int
	work  float64
	pos   int // index in the queue's heap
}

// service holds the jobs with queued tasks that share a run time estimate, those of one service of one team.
type service struct {
	class *estimate.Class
	jobs  []*job
	mean  float64    // estimated run time in seconds that the jobs' ranks were computed with
	size  sched.Size // estimated size that the jobs' shapes were chosen with
}

// queue is a heap of a team's jobs that have queued tasks of one shape that are either all short or all long.
type queue struct {
	team       *team
	shape      *shape
	long       bool // the tasks are long: they may not use the short reserve
	heap       []item
	pos        int // index in team.queues, -1 while the queue is empty
	shapeIndex int // index in shape.queues
}

type item struct {
	rank float64
	g    *group
}

func (a item) less(b item) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.g.job.seq < b.g.job.seq
}

func (q *queue) set(i int, it item) {
	q.heap[i] = it
	it.g.pos = i
}

func (q *queue) add(g *group) {
	q.heap = append(q.heap, item{})
	q.up(len(q.heap)-1, item{g.job.rank, g})
}

func (q *queue) fix(g *group) {
	it := item{g.job.rank, g}
	if i := g.pos; i > 0 && it.less(q.heap[(i-1)/2]) {
		q.up(i, it)
		return
	}
	q.down(g.pos, it)
}

func (q *queue) remove(g *group) {
	i, last := g.pos, len(q.heap)-1
	moved := q.heap[last]
	q.heap[last] = item{}
	q.heap = q.heap[:last]
	if i < last {
		q.set(i, moved)
		q.fix(moved.g)
	}
}

func (q *queue) up(i int, it item) {
	for i > 0 {
		parent := (i - 1) / 2
		if !it.less(q.heap[parent]) {
			break
		}
		q.set(i, q.heap[parent])
		i = parent
	}
	q.set(i, it)
}

func (q *queue) down(i int, it item) {
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			break
		}
		if r := child + 1; r < len(q.heap) && q.heap[r].less(q.heap[child]) {
			child = r
		}
		if !q.heap[child].less(it) {
			break
		}
		q.set(i, q.heap[child])
		i = child
	}
	q.set(i, it)
}

func (s *Scheduler) service(team, name string) *service {
	c := s.estimates.Class(team, name)
	v := s.services[c]
	if v == nil {
		v = &service{class: c}
		s.services[c] = v
		s.serviceList = append(s.serviceList, v)
	}
	return v
}

// Submit implements sched.Scheduler.
func (s *Scheduler) Submit(now time.Time, j *sched.Job) {
	t := s.clock(now)
	s.seq++
	n := &job{
		id:         j.ID,
		seq:        s.seq,
		team:       s.team(j.Team),
		service:    s.service(j.Team, j.Service),
		arrival:    t,
		deadline:   math.Inf(1),
		tasks:      j.Tasks,
		state:      make([]uint8, len(j.Tasks)),
		unfinished: len(j.Tasks),
		heapIndex:  -1,
		listIndex:  -1,
	}
	if !j.Deadline.IsZero() {
		n.deadline = s.clock(j.Deadline)
	}
	if len(j.Tasks) == 0 {
		return
	}
	s.jobs[j.ID] = n
	all := make([]int, len(j.Tasks))
	for i := range all {
		all[i] = i
	}
	s.push(n, all)
	s.enterInflow(t, n)
}

// push queues tasks of a job.
func (s *Scheduler) push(j *job, tasks []int) {
	if j.queued == 0 {
		s.linkJob(j)
	}
	for _, i := range tasks {
		j.state[i] = queued
	}
	s.groupTasks(j, tasks)
	j.queued += len(tasks)
	s.addQueued(j.team, len(tasks))
	s.updateRank(j)
}

// linkJob adds a job to the lists of jobs with queued tasks.
func (s *Scheduler) linkJob(j *job) {
	s.deadlines.add(j)
	j.listIndex = len(j.service.jobs)
	j.service.jobs = append(j.service.jobs, j)
	if len(j.service.jobs) == 1 {
		j.service.mean = j.service.class.Expect(0).Mean
		j.service.size = j.service.class.Size(sched.Size{})
	}
}

// unlinkJob removes a job from the lists of jobs with queued tasks.
func (s *Scheduler) unlinkJob(j *job) {
	s.deadlines.remove(j)
	list := j.service.jobs
	last := list[len(list)-1]
	list[j.listIndex] = last
	last.listIndex = j.listIndex
	list[len(list)-1] = nil
	j.service.jobs = list[:len(list)-1]
	j.listIndex = -1
}

// groupTasks adds queued tasks to the job's groups, one for each queue. The caller must call updateRank afterwards.
func (s *Scheduler) groupTasks(j *job, tasks []int) {
	var g *group
	var spec sched.Task
	work := 0.0
	for _, i := range tasks {
		if g == nil || j.tasks[i] != spec {
			spec = j.tasks[i]
			g, work = s.groupOf(j, spec)
		}
		g.tasks = append(g.tasks, i)
		g.work += work
	}
}

// groupOf returns the group for a task of the job, which it creates if needed, and the task's expected work.
func (s *Scheduler) groupOf(j *job, spec sched.Task) (*group, float64) {
	mean := j.service.class.Expect(spec.Declared).Mean
	shape := s.shape(j.service.class, spec.Size)
	work := mean * s.slotsOf(shape.size)
	q := j.team.queue(queueKey{shape, mean >= s.longThreshold})
	for _, g := range j.groups {
		if g.queue == q {
			return g, work
		}
	}
	g := &group{job: j, queue: q}
	j.groups = append(j.groups, g)
	shape.groupCount++
	q.add(g)
	if len(q.heap) == 1 {
		s.openQueue(q)
	}
	return g, work
}

// pop removes the next task from a group, marks it as started and returns its index in the job.
func (s *Scheduler) pop(g *group) int {
	j := g.job
	last := len(g.tasks) - 1
	task := g.tasks[last]
	g.work -= g.work / float64(len(g.tasks))
	g.tasks = g.tasks[:last]
	j.state[task] = started
	j.queued--
	s.addQueued(j.team, -1)
	if last == 0 {
		s.closeGroup(g)
	}
	s.updateRank(j)
	if j.queued == 0 {
		s.unlinkJob(j)
	}
	return task
}

func (s *Scheduler) closeGroup(g *group) {
	j := g.job
	g.queue.remove(g)
	if len(g.queue.heap) == 0 {
		s.closeQueue(g.queue)
	}
	g.queue.shape.groupCount--
	i := slices.Index(j.groups, g)
	j.groups = slices.Delete(j.groups, i, i+1)
	j.team.dirty = true
}

// updateRank recomputes the job's remaining work and rank, and updates its position in the queues.
func (s *Scheduler) updateRank(j *job) {
	j.work = 0
	for _, g := range j.groups {
		j.work += g.work
	}
	if j.queued > 0 {
		j.rank = s.opts.Rank(RankInput{
			Arrival:  j.arrival,
			Work:     j.work,
			TaskTime: j.work / float64(j.queued),
			Slots:    max(1, s.rankSlots),
		})
	}
	for _, g := range j.groups {
		g.queue.fix(g)
	}
	j.team.dirty = true
	j.team.updateWork(j)
}

// drop removes all queued tasks of a job and returns their indexes in ascending order.
func (s *Scheduler) drop(j *job) []int {
	if j.queued == 0 {
		return nil
	}
	out := make([]int, 0, j.queued)
	for len(j.groups) > 0 {
		g := j.groups[0]
		out = append(out, g.tasks...)
		s.closeGroup(g)
	}
	for _, i := range out {
		j.state[i] = done
	}
	s.addQueued(j.team, -len(out))
	j.queued = 0
	s.updateRank(j)
	s.unlinkJob(j)
	slices.Sort(out)
	s.countDone(j, len(out))
	return out
}

// Cancel implements sched.Scheduler.
func (s *Scheduler) Cancel(now time.Time, id sched.JobID) []int {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	j.cancelled = true
	return s.drop(j)
}

// countDone records that n tasks of a job are done and removes the job with its last one.
func (s *Scheduler) countDone(j *job, n int) {
	j.unfinished -= n
	if j.unfinished <= 0 {
		delete(s.jobs, j.id)
	}
}

// regroup recomputes the shapes, work and rank of a job after its estimates have changed.
func (s *Scheduler) regroup(j *job) {
	tasks := make([]int, 0, j.queued)
	for len(j.groups) > 0 {
		g := j.groups[0]
		tasks = append(tasks, g.tasks...)
		s.closeGroup(g)
	}
	slices.Sort(tasks)
	slices.Reverse(tasks)
	s.groupTasks(j, tasks)
	s.updateRank(j)
}
