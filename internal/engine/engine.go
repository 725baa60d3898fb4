// Package engine runs jobs: it holds the queue, the slots and the tasks in progress of one process.
//
// One goroutine makes all decisions. Callers, lanes and controllers post events to it. It runs the scheduler, passes tasks
// to the lanes and answers each job exactly once. A slot is a worker's capacity for one task at a time; a lane is the
// connection over which this instance calls one slot.
//
// Instances share slots. An instance whose queued tasks have no free slot reports this backlog to its peers. A peer with
// free slots, or with less urgent tasks, reserves slots for it: this is a grant. The instance then delegates tasks to the
// peer under the grant. It remains the home of these tasks, which answers their job; at the peer they are foreign tasks.
package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/minheap"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// AnswerFunc receives the answer to a job. It is called once, from the engine's goroutine, and must not block.
type AnswerFunc func(a *api.Answer)

// Options configures an Engine.
type Options struct {
	Scheduler sched.Scheduler
	Dialer    platform.Dialer
	Clock     clockwork.Clock
	Log       logrus.FieldLogger
	// MayStart is called before each round of starts and grants; no task starts while it returns false. It returns false
	// after a pause of the process, until the process's view of the system is up to date again. nil allows all starts.
	MayStart func(now time.Time) bool
	// Fenced is called before each batch of events. Once it returns true the engine stops and answers no more jobs. It may
	// be nil.
	Fenced func(now time.Time) bool
	// Admit decides on a new job: it returns nil to admit the job, otherwise the refusal. It runs in the engine's goroutine
	// with the estimate at that time. nil admits all jobs.
	Admit func(now time.Time, j *Job, e sched.Estimate) *api.Answer
	// Observe receives the events that metrics count. It may be nil.
	Observe Observer
	Timing  Timing // DefaultTiming if zero
	// Sharing sends grants and backlog reports to peers; nil keeps all slots for this instance's queue. It needs a
	// Scheduler that implements sched.Sharer.
	Sharing       Sharing
	SharingTiming SharingTiming // DefaultSharingTiming if zero
	// Owner receives reports of how many slots of each worker are in use, so that it can hand free ones over. It may be
	// nil.
	Owner Owner
	// Spawn runs f outside the loop. nil starts a goroutine. Tests set it to wait for the spawned functions.
	Spawn func(f func())
}

// Observer receives the events that metrics count. Its methods are called in the engine's loop and must not block.
type Observer interface {
	// Started reports an attempt at a task of this instance's jobs. wait is the time since the job arrived; delegated is
	// true if a peer runs the task.
	Started(team, service string, wait time.Duration, delegated bool)
	// Ended reports the outcome of a task of this instance's jobs, with its run time.
	Ended(team, service string, outcome platform.Outcome, run time.Duration)
	// Answered reports the answer to a job and the time since the job arrived.
	Answered(j *Job, a *api.Answer, took time.Duration)
	// Wasted reports a message that led to no start.
	Wasted(kind metric.Kind)
	// Delegated reports the number of tasks sent to a peer.
	Delegated(tasks int)
	// DelegationLost reports a delegated task that was lost.
	DelegationLost()
	// ForeignStarted reports a peer's task that is about to start on a worker of this instance.
	ForeignStarted(team, service string)
	// Replaced reports a connection that was closed because it did not deliver the outcome of a task that had ended.
	Replaced()
}

// Owner decides how many slots of each worker this instance may use; it calls SetWorker and DropWorker to apply that.
type Owner interface {
	// SlotsApplied confirms one SetWorker call. busy is the number of tasks that run on the worker.
	SlotsApplied(worker string, busy int)
	// TaskEnded reports that a task has ended on a worker that still runs busy tasks. It is only called if busy is not below
	// the worker's limit.
	TaskEnded(worker string, busy int)
}

// noOwner is used if Options.Owner is nil.
type noOwner struct{}

func (noOwner) SlotsApplied(string, int) {}
func (noOwner) TaskEnded(string, int)    {}

// Timing holds the intervals of the engine's housekeeping.
type Timing struct {
	Tick           time.Duration // time between two rounds of periodic work: deadlines, stops, renewals, grants
	IdleTick       time.Duration // time between two rounds of periodic work of an engine without jobs, grants and peers' tasks
	RenewBusy      time.Duration // time between two renewals for a worker on which a task has run for at least this time
	RenewIdle      time.Duration // time between two renewals for other workers
	Lease          time.Duration // duration of a task's lease, from the start or the last renewal
	SuspectAfter   time.Duration // time without an answer to renewals after which a worker gets no new tasks
	CallGrace      time.Duration // time from the report of a task's end to the fetch of the outcome if the call is still open
	ControlTimeout time.Duration // timeout of one renewal, fetch or stop
}

// DefaultTiming returns the default intervals.
func DefaultTiming() Timing {
	return Timing{
		Tick: 5 * time.Millisecond, IdleTick: 50 * time.Millisecond, RenewBusy: time.Second, RenewIdle: 2 * time.Second, Lease: 5 * time.Second,
		// Below 3 s: after that time a leaving endpoint must get no new work, even if renewals are not answered.
		SuspectAfter: 2800 * time.Millisecond, CallGrace: 250 * time.Millisecond, ControlTimeout: time.Second,
	}
}

// Engine runs jobs. Its methods are safe for concurrent use.
type Engine struct {
	opts    Options
	log     logrus.FieldLogger
	inbox   inbox
	load    atomic.Pointer[Load]
	stopped chan struct{} // closed when Run returns

	// The fields below are owned by the loop.
	jobs         map[sched.JobID]*Job
	byIdentity   map[string]*Job      // open jobs by submission identity
	workers      map[string]*worker   // workers and peers, by name
	nextJob      sched.JobID          // ID of the last job
	pendingStops map[*worker][]string // tasks to stop, sent at the next tick
	timers       []timer
	deadlines    *minheap.Heap[*Job]

	sharer           sched.Sharer             // nil if slots are not shared
	demands          map[string]*Demand       // by peer
	grants           map[uint64]*grant        // open grants, by id
	nextGrant        uint64                   // id of the last grant
	foreign          map[string]*foreignState // peers' tasks, by task name
	foreignEnded     []string                 // ended tasks in foreign, in the order in which they ended
	reportedQueued   int                      // number of queued tasks in the last backlog report
	reportedAt       time.Time
	backlogSince     time.Time  // when the current backlog arose; zero without one
	reportedTaskSize sched.Size // task size in the last backlog report; granted slots have room for it
	loadPublishedAt  time.Time
	tickedAt         time.Time

	draining bool
}

// New returns an engine. It does nothing until Run is called.
func New(opts Options) *Engine {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	if opts.MayStart == nil {
		opts.MayStart = func(time.Time) bool { return true }
	}
	if opts.Observe == nil {
		opts.Observe = nopObserver{}
	}
	if opts.Owner == nil {
		opts.Owner = noOwner{}
	}
	if opts.Spawn == nil {
		opts.Spawn = func(f func()) { go f() }
	}
	e := &Engine{
		opts: opts, log: opts.Log, stopped: make(chan struct{}),
		jobs: map[sched.JobID]*Job{}, byIdentity: map[string]*Job{}, workers: map[string]*worker{}, pendingStops: map[*worker][]string{},
		demands: map[string]*Demand{}, grants: map[uint64]*grant{}, foreign: map[string]*foreignState{}, deadlines: newDeadlines(),
	}
	if e.opts.Sharing != nil {
		e.sharer, _ = opts.Scheduler.(sched.Sharer)
	}
	if e.opts.SharingTiming == (SharingTiming{}) {
		e.opts.SharingTiming = DefaultSharingTiming()
	}
	e.inbox.wake = make(chan struct{}, 1)
	return e
}

// Run processes events until ctx ends or Fenced returns true.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	ticker := e.opts.Clock.NewTicker(e.opts.Timing.Tick)
	defer ticker.Stop()
	var batch []event
	interval := e.opts.Timing.Tick
	for {
		select {
		case <-ctx.Done():
			e.closeAll()
			return
		case <-ticker.Chan():
		case <-e.inbox.wake:
		}
		batch = e.inbox.take(batch[:0])
		now := e.opts.Clock.Now()
		if e.opts.Fenced != nil && e.opts.Fenced(now) {
			e.log.WithField("event", "fenced").WithField("jobs", len(e.jobs)).Error("engine stopped after a process pause that was too long; open jobs are not answered")
			e.closeAll()
			return
		}
		for i := range batch {
			batch[i](now)
			batch[i] = nil
		}
		// Periodic work comes before starts, so that no task starts on a state that should have expired.
		if now.Sub(e.tickedAt) >= e.opts.Timing.Tick {
			e.tick(now)
		}
		e.grantToMoreUrgent(now)
		e.start(now)
		e.grantFreeSlots(now)
		e.reportBacklog(now)
		if next := e.tickInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

// tickInterval returns the interval of the periodic work. An engine without work needs it only for renewals and the load;
// at the busy interval, 200 ticks a second would cost an idle instance more processor time than all its control messages.
func (e *Engine) tickInterval() time.Duration {
	if len(e.jobs) > 0 || len(e.pendingStops) > 0 || len(e.timers) > 0 || len(e.grants) > 0 || len(e.foreign) > len(e.foreignEnded) {
		return e.opts.Timing.Tick
	}
	return e.opts.Timing.IdleTick
}

func (e *Engine) closeAll() {
	for _, w := range e.workers {
		w.target.close()
	}
}

// post queues an event for the loop. It does not block.
func (e *Engine) post(ev event) { e.inbox.put(ev) }

// Configure runs f in the engine's loop, where f may change the scheduler's settings. It does not wait for f.
func (e *Engine) Configure(f func(now time.Time, s sched.Scheduler)) {
	e.post(func(now time.Time) { f(now, e.opts.Scheduler) })
}

// call runs f in the loop and waits for it. It returns false if the engine has stopped.
func (e *Engine) call(f event) bool {
	done := make(chan struct{})
	e.post(func(now time.Time) {
		f(now)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-e.stopped:
		return false
	}
}

// tick does the periodic work.
func (e *Engine) tick(now time.Time) {
	e.tickedAt = now
	e.runTimers(now)
	e.expire(now)
	e.expireGrants(now)
	e.renewDue(now)
	e.sendStops()
	e.publishLoad(now)
}

// timer is an event to be run at a later tick.
type timer struct {
	due time.Time
	run event
}

// runAfter runs f in the loop at the first tick after d has passed.
func (e *Engine) runAfter(now time.Time, d time.Duration, f event) {
	e.timers = append(e.timers, timer{now.Add(d), f})
}

func (e *Engine) runTimers(now time.Time) {
	pending := e.timers
	e.timers = nil
	for _, t := range pending {
		if now.Before(t.due) {
			e.timers = append(e.timers, t)
			continue
		}
		t.run(now)
	}
}

// start starts queued tasks on free slots.
func (e *Engine) start(now time.Time) {
	if !e.opts.MayStart(now) {
		return
	}
	for {
		a, ok := e.opts.Scheduler.Next(now)
		if !ok {
			return
		}
		e.startTask(now, a)
	}
}

// nopObserver is used if Options.Observe is nil.
type nopObserver struct{}

func (nopObserver) Started(string, string, time.Duration, bool)           {}
func (nopObserver) Ended(string, string, platform.Outcome, time.Duration) {}
func (nopObserver) Answered(*Job, *api.Answer, time.Duration)             {}
func (nopObserver) Delegated(int)                                         {}
func (nopObserver) ForeignStarted(string, string)                         {}
func (nopObserver) Wasted(metric.Kind)                                    {}
func (nopObserver) DelegationLost()                                       {}
func (nopObserver) Replaced()                                             {}
