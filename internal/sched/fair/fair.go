// Package fair is the scheduler that the service uses.
//
// Teams share resources by weighted dominant-resource fairness: a team's dominant share is the largest share of the
// capacity that it uses of any resource. Within a team, jobs are ordered by rank, that is, by expected remaining work
// with ageing. A share of the slots, the short reserve, is kept free of long tasks. Workers are chosen by load, rack
// and health. Run times and sizes are estimated from finished tasks.
//
// Tasks of one size form a shape. Each team has a queue for the short and one for the long tasks of each shape. Work
// is measured in slot seconds: the expected run time of tasks, multiplied by the number of average slots whose
// resources a task uses.
package fair

import (
	"time"

	"github.com/savorypass/savorypass/internal/estimate"
	"github.com/savorypass/savorypass/internal/sched"
)

// Options configures a scheduler. Zero values select the defaults.
type Options struct {
	Teams         []sched.Team
	ShortReserve  float64       // share of the slots that long tasks may not use; default 0.1, negative for none
	LongThreshold time.Duration // tasks expected to run at least this long are long; default 2 s
	AgeingRate    float64       // divisor of the remaining work in a rank, see ByRemainingWork; default 0.05
	Rank          Rank          // order of jobs; default ByRemainingWork(AgeingRate)
}

const (
	defaultShortReserve  = 0.1
	defaultLongThreshold = 2 * time.Second
	defaultAgeing        = 0.05
)

// Scheduler implements sched.Scheduler, sched.Expirer and sched.Sharer.
type Scheduler struct {
	opts          Options
	longThreshold float64   // seconds, from Options.LongThreshold
	base          time.Time // time of the first call; the scheduler counts seconds from it
	seq           uint64    // number of the last job or reserved slot

	estimates   *estimate.Estimator
	services    map[*estimate.Class]*service
	serviceList []*service
	jobs        map[sched.JobID]*job
	deadlines   deadlines
	expired     []sched.Expired        // not yet returned by Expire
	taken       map[taskKey]sched.Size // tasks handed over to peers, with the charged size

	teams          map[string]*team
	active         []*team // teams with queued tasks
	activeWeight   float64 // sum of the active teams' weights
	epoch          uint64  // incremented when any team's cached choice may be out of date
	refreshedEpoch uint64  // epoch in which choose last used the teams' cached choices
	queues         int     // number of non-empty queues
	nextRebase     float64 // time of the next rebase, in seconds
	teamList       []*team // all teams in the order in which they were first named
	inflowOrigin   float64 // time at which the inflow weight is 1, in seconds

	workers          map[string]*worker
	racks            map[string]*rack
	cpuIndex         index // workers without accelerators
	acceleratorIndex index // workers with accelerators
	shapes           map[sched.Size]*shape
	listed           []*shape           // shapes that have their own list of workers
	open             []*shape           // shapes with queued tasks for which some worker may have room
	sizeCounts       map[sched.Size]int // number of workers of each size
	capacity         vector             // total of all ready workers
	elsewhere        sched.PeerState    // last report on the other instances
	rankSlots        float64            // number of slots that the jobs' ranks were computed with
	heldWorker       *worker            // kept free for a starved shape, see holdForStarved
	nextHoldCheck    float64            // time of the next check for starved shapes, in seconds
	freeNumbers      []int              // worker numbers that can be reused
	lastNumber       int                // highest worker number used so far

	now        float64 // time of the last tick, in seconds since base
	queued     int     // number of queued tasks
	running    int     // number of running tasks
	slots      int     // number of usable slots
	free       int     // number of usable slots without a run
	long       int     // number of running tasks that may not use the short reserve
	stuck      int     // number of running tasks that take far longer than expected, see overruns
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
		deadlines:     newDeadlines(),
		opts:          o,
		longThreshold: o.LongThreshold.Seconds(),
		estimates:     estimate.New(),
		services:      map[*estimate.Class]*service{},
		jobs:          map[sched.JobID]*job{},
		taken:         map[taskKey]sched.Size{},
		teams:         map[string]*team{},
		workers:       map[string]*worker{},
		racks:         map[string]*rack{},
		shapes:        map[sched.Size]*shape{},
		sizeCounts:    map[sched.Size]int{},
	}
	s.SetTeams(o.Teams)
	return s
}

// clock converts a time to seconds since the first call of the scheduler.
func (s *Scheduler) clock(now time.Time) float64 {
	if s.base.IsZero() {
		s.base = now
	}
	return now.Sub(s.base).Seconds()
}

// tick updates everything that depends on the time.
func (s *Scheduler) tick(now float64) {
	s.now = now
	s.expire(now)
	s.markOverdue(now)
	s.sampleReserve(now)
	s.endQuarantines(now)
	s.holdForStarved(now)
	if now > s.nextRebase {
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
	slot := w.occupy(run{
		job:      j,
		team:     j.team,
		service:  j.service,
		task:     task,
		size:     q.shape.size,
		declared: declared,
		long:     expect.Mean >= s.longThreshold,
	})
	s.charge(j.team, q.shape.size)
	s.recordStart(now, w, slot, expect.P90)
	s.unhold(w)
	return sched.Assignment{Job: j.id, Task: task, Worker: w.Name, Slot: slot}
}

// recordStart updates the totals after a run has started on a slot.
func (s *Scheduler) recordStart(now float64, w *worker, slot int, p90 float64) {
	s.running++
	if w.runs[slot].long {
		s.setLong(s.long + 1)
	}
	s.overruns.watch(now, w, slot, p90)
	s.reindex(w)
}

// vacate frees the slot of an assignment and returns its run. ok is false, and nothing changes, if the slot is free or
// runs something else.
func (s *Scheduler) vacate(a sched.Assignment) (w *worker, r run, ok bool) {
	w = s.workers[a.Worker]
	if w == nil || a.Slot >= len(w.runs) {
		return nil, run{}, false
	}
	r = w.runs[a.Slot]
	if !r.busy || r.id() != a.Job || r.task != a.Task {
		return nil, run{}, false
	}
	w.vacate(a.Slot)
	s.recordEnd(r)
	s.reindex(w)
	return w, r, true
}

// recordEnd removes a run from the totals.
func (s *Scheduler) recordEnd(r run) {
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
	s.unchargeTaken(a)
	j := s.jobs[a.Job]
	if j == nil || j.state[a.Task] != started {
		return
	}
	j.state[a.Task] = done
	s.countDone(j, 1)
}

// Requeue implements sched.Scheduler. It counts as a failure of the worker. A task of a cancelled job ends instead of
// returning to the queue.
func (s *Scheduler) Requeue(now time.Time, a sched.Assignment) {
	t := s.clock(now)
	if w, _, ok := s.vacate(a); ok {
		s.failed(t, w)
	}
	s.unchargeTaken(a)
	j := s.jobs[a.Job]
	if j == nil || j.state[a.Task] != started {
		return
	}
	if j.cancelled {
		j.state[a.Task] = done
		s.countDone(j, 1)
		return
	}
	s.push(j, []int{a.Task})
}

// unchargeTaken ends the team's charge for a task that was handed over to a peer by TakeQueued.
func (s *Scheduler) unchargeTaken(a sched.Assignment) {
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
		HoldOffs:  s.quarantine.holdOffs,
	}
}
