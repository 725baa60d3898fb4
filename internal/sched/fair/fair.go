// Package fair is the product's scheduler.
//
// Teams share resources by weighted dominant-resource fairness. Within a team, jobs are ordered by expected remaining
// work with ageing. A share of the slots is kept free of long tasks. Workers are ranked by load, rack and health. All
// run times and sizes are learned.
package fair

import (
	"time"

	"github.com/savorypass/savorypass/internal/estimate"
	"github.com/savorypass/savorypass/internal/sched"
)

// Options configures a scheduler. Zero values select the defaults.
type Options struct {
	Teams         []sched.Team
	ShortReserve  float64       // share of slots that never take long tasks; default 0.1, negative for none
	LongThreshold time.Duration // tasks expected to run at least this long are long; default 2 s
	Ageing        float64       // see ByRemainingWork; default 0.05
	Rank          Rank          // order of jobs; default ByRemainingWork(Ageing)
}

const (
	defaultShortReserve = 0.1
	defaultLongAfter    = 2 * time.Second
	defaultAgeing       = 0.05
)

// Scheduler implements sched.Scheduler, sched.Expirer and sched.Sharer.
type Scheduler struct {
	opts      Options
	longAfter float64
	base      time.Time // origin of the scheduler's clock
	seq       uint64

	estimates   *estimate.Estimator
	services    map[*estimate.Class]*service
	serviceList []*service
	jobs        map[sched.JobID]*job
	deadlines   deadlines
	expired     []sched.Expired
	taken       map[taskKey]sched.Size

	teams        map[string]*team
	active       []*team // teams with queued tasks
	activeWeight float64
	epoch        uint64 // changes when the choice of any team may have changed
	refreshed    uint64 // epoch in which the teams' choices were last used
	queues       int    // non-empty queues
	horizon      float64
	teamList     []*team // all teams, in order of their first use
	inflowOrigin float64

	workers   map[string]*worker
	racks     map[string]*rack
	plain     index // workers without accelerators
	special   index // workers with accelerators
	shapes    map[sched.Size]*shape
	listed    []*shape
	open      []*shape           // shapes with queued tasks that some worker may have room for
	kinds     map[sched.Size]int // workers of each size
	capacity  vector
	elsewhere sched.PeerState
	ageSlots  float64 // slots that the jobs' keys were computed for
	held      *worker
	nextHold  float64
	ids       []int // unused worker numbers
	lastID    int

	now        float64 // of the last call that depends on the time
	queued     int
	running    int
	slots      int
	free       int
	long       int // running tasks that count as long
	stuck      int // running tasks far beyond their estimate
	overruns   overruns
	reserve    reserve
	quarantine quarantine
}

type taskKey struct {
	job  sched.JobID
	task int
}

var (
	_ sched.Scheduler = (*Scheduler)(nil)
	_ sched.Expirer   = (*Scheduler)(nil)
	_ sched.Sharer    = (*Scheduler)(nil)
)

// New returns an empty scheduler.
func New(o Options) *Scheduler {
	o.setDefaults()
	s := &Scheduler{
		opts:      o,
		longAfter: o.LongThreshold.Seconds(),
		estimates: estimate.New(),
		services:  map[*estimate.Class]*service{},
		jobs:      map[sched.JobID]*job{},
		taken:     map[taskKey]sched.Size{},
		teams:     map[string]*team{},
		workers:   map[string]*worker{},
		racks:     map[string]*rack{},
		shapes:    map[sched.Size]*shape{},
		kinds:     map[sched.Size]int{},
	}
	s.SetTeams(o.Teams)
	return s
}

// clock converts a time to seconds since the first call.
func (s *Scheduler) clock(now time.Time) float64 {
	if s.base.IsZero() {
		s.base = now
	}
	return now.Sub(s.base).Seconds()
}

// tick brings everything that depends on time up to date.
func (s *Scheduler) tick(now float64) {
	s.now = now
	s.expire(now)
	s.overdue(now)
	s.sampleReserve(now)
	s.restore(now)
	s.holdForStarved(now)
	if now > s.horizon {
		s.rebase(now)
	}
}

// Next implements sched.Scheduler.
func (s *Scheduler) Next(now time.Time) (sched.Assignment, bool) {
	t := s.clock(now)
	s.tick(t)
	for s.queued > 0 && s.free > 0 {
		q := s.choose()
		if q == nil {
			break
		}
		if w := s.place(q.shape); w != nil {
			return s.start(t, q, w), true
		}
	}
	return sched.Assignment{}, false
}

func (s *Scheduler) start(now float64, q *queue, w *worker) sched.Assignment {
	g := q.heap[0].g
	j := g.job
	task := s.pop(g)
	declared := j.tasks[task].Declared
	expect := j.service.class.Expect(declared)
	lane := w.take(run{
		job:      j,
		team:     j.team,
		service:  j.service,
		task:     task,
		size:     q.shape.size,
		declared: declared,
		long:     expect.Mean >= s.longAfter,
	})
	s.charge(j.team, q.shape.size)
	s.began(now, w, lane, expect.P90)
	s.unhold(w)
	return sched.Assignment{Job: j.id, Task: task, Worker: w.Name, Slot: lane}
}

// began updates the sums after a run was put on a lane.
func (s *Scheduler) began(now float64, w *worker, lane int, p90 float64) {
	s.running++
	if w.lanes[lane].long {
		s.setLong(s.long + 1)
	}
	s.overruns.watch(now, w, lane, p90)
	s.reindex(w)
}

// vacate frees the lane of an assignment and returns what ran on it. ok is false if something else or nothing did.
func (s *Scheduler) vacate(a sched.Assignment) (w *worker, r run, ok bool) {
	w = s.workers[a.Worker]
	if w == nil || a.Slot >= len(w.lanes) {
		return nil, run{}, false
	}
	r = w.lanes[a.Slot]
	if !r.busy || r.id() != a.Job || r.task != a.Task {
		return nil, run{}, false
	}
	w.vacate(a.Slot)
	s.ended(r)
	s.reindex(w)
	return w, r, true
}

// ended takes a run out of the sums.
func (s *Scheduler) ended(r run) {
	s.running--
	if r.long {
		s.setLong(s.long - 1)
	}
	if r.stuck {
		s.stuck--
	}
	if r.team != nil {
		s.uncharge(r.team, r.size)
	}
}

// Finish implements sched.Scheduler.
func (s *Scheduler) Finish(now time.Time, a sched.Assignment, o sched.Outcome) {
	t := s.clock(now)
	if w, r, ok := s.vacate(a); ok {
		s.learn(t, w, r, o)
	}
	s.handedBack(a)
	j := s.jobs[a.Job]
	if j == nil || j.state[a.Task] != started {
		return
	}
	j.state[a.Task] = over
	s.settle(j, 1)
}

// Requeue implements sched.Scheduler. It counts as a failure of the worker. A task of a cancelled job ends instead of
// returning to the queue.
func (s *Scheduler) Requeue(now time.Time, a sched.Assignment) {
	t := s.clock(now)
	if w, _, ok := s.vacate(a); ok {
		s.failed(t, w)
	}
	s.handedBack(a)
	j := s.jobs[a.Job]
	if j == nil || j.state[a.Task] != started {
		return
	}
	if j.cancelled {
		j.state[a.Task] = over
		s.settle(j, 1)
		return
	}
	s.push(j, []int{a.Task})
}

// handedBack ends the charge for a task that a peer had taken.
func (s *Scheduler) handedBack(a sched.Assignment) {
	if a.Worker != "" {
		return
	}
	k := taskKey{a.Job, a.Task}
	size, ok := s.taken[k]
	if !ok {
		return
	}
	delete(s.taken, k)
	if j := s.jobs[a.Job]; j != nil {
		s.uncharge(j.team, size)
	}
}

// Stats implements sched.Scheduler.
func (s *Scheduler) Stats() sched.Stats {
	return sched.Stats{
		Queued:    s.queued,
		Running:   s.running,
		Slots:     s.slots,
		FreeSlots: s.free,
		Workers:   len(s.workers),
		HeldOff:   s.quarantine.count,
	}
}
