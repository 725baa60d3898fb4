// Package engine carries jobs out: it owns the queue, the slots and the tasks in flight of one process.
//
// One goroutine runs all decisions. Callers, lanes and controllers post events to it; it runs the scheduler, hands
// starts to the lanes and answers each job exactly once.
package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// AnswerFunc receives the answer of a job. It is called once, from the engine's goroutine, and must not block.
type AnswerFunc func(a *api.Answer)

// Options configures an Engine.
type Options struct {
	Scheduler sched.Scheduler
	Dialer    platform.Dialer
	Clock     clockwork.Clock
	Log       logrus.FieldLogger
	// MayStart is asked ahead of every round of starts. It is false after the process was paused, until its view of
	// the system is current again.
	MayStart func(now time.Time) bool
	// Fenced is asked ahead of every batch of events. Once it is true the engine stops and gives no more answers. It may
	// be nil.
	Fenced func(now time.Time) bool
	// Admit decides on a new job. It runs in the engine's goroutine with the estimate of that moment.
	Admit func(now time.Time, j *Job, e sched.Estimate) *api.Answer
	// Observe is told of each event that a measure counts. It may be nil.
	Observe Observer
	Timing  Timing
	// Sharing sends grants and backlog reports to peers; nil keeps all slots for the own queue. It needs a Scheduler
	// that implements sched.Sharer.
	Sharing       Sharing
	SharingTiming SharingTiming
	// Owner is told of the use of workers' slots, so that it can hand them over. It may be nil.
	Owner Owner
	// Spawn runs f beside the loop; nil starts a goroutine. Tests wait for what was spawned.
	Spawn func(f func())
}

// Observer counts what the measures of the documentation need.
type Observer interface {
	// Started is told of each task of a job of this instance. delegated says that a peer runs it.
	Started(team, service string, wait time.Duration, delegated bool)
	Ended(team, service string, outcome platform.Outcome, run time.Duration)
	Answered(j *Job, a *api.Answer, took time.Duration)
	Wasted(kind metric.Kind)
	Delegated(tasks int)
	DelegationLost()
	ForeignStarted(team, service string)
	// Replaced is told of each silent connection that is closed although its task has ended.
	Replaced()
}

// Owner decides how many slots of a worker this instance may use, by SetWorker and DropWorker.
type Owner interface {
	// SlotsApplied confirms one SetWorker with the number of tasks that run on the worker.
	SlotsApplied(worker string, busy int)
	// TaskEnded reports that a task has ended on a worker that runs as many tasks as its limit allows, or more.
	TaskEnded(worker string, busy int)
}

type noOwner struct{}

func (noOwner) SlotsApplied(string, int) {}
func (noOwner) TaskEnded(string, int)    {}

// Timing holds the intervals of the engine's housekeeping.
type Timing struct {
	Tick           time.Duration // expiry of deadlines, batches of stops
	IdleTick       time.Duration // the same without work
	RenewBusy      time.Duration // lease renewal of a worker with tasks older than this
	RenewIdle      time.Duration // lease renewal of other workers
	Lease          time.Duration // lease of a task
	SuspectAfter   time.Duration // time without an answer to a renewal after which a worker gets no new task
	CallGrace      time.Duration // how long a call may lag behind the worker's own report of the task's end
	ControlTimeout time.Duration // one renewal, fetch or stop
}

// DefaultTiming returns the intervals of the design page.
func DefaultTiming() Timing {
	return Timing{
		Tick: 5 * time.Millisecond, IdleTick: 50 * time.Millisecond, RenewBusy: time.Second, RenewIdle: 2 * time.Second, Lease: 5 * time.Second,
		// Below the 3 s after which a leaving endpoint must get no new work, also when renewals go unanswered.
		SuspectAfter: 2800 * time.Millisecond, CallGrace: 250 * time.Millisecond, ControlTimeout: time.Second,
	}
}

// Engine runs jobs. Its methods are safe for concurrent use.
type Engine struct {
	opts    Options
	log     logrus.FieldLogger
	inbox   inbox
	closed  chan struct{}
	load    atomic.Pointer[Load]
	stopped chan struct{}

	// Below: owned by the loop.
	jobs       map[sched.JobID]*Job
	byIdentity map[string]*Job
	workers    map[string]*worker
	nextJob    sched.JobID
	stops      map[*worker][]string // tasks to stop, sent each tick
	timers     []timer
	deadlines  deadlines

	sharer       sched.Sharer // nil without sharing
	demand       map[string]*Demand
	grants       map[uint64]*grant
	nextGrant    uint64
	foreign      map[string]*foreignState
	foreignEnded []string // in the order of their ends
	reported     int      // tasks in the last backlog report
	reportedAt   time.Time
	backlogSince time.Time  // zero without a backlog
	reportedSize sched.Size // that granted slots have room for
	loadedAt     time.Time
	tickedAt     time.Time

	draining bool
}

// New returns an engine. Run starts it.
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
		opts: opts, log: opts.Log, closed: make(chan struct{}), stopped: make(chan struct{}),
		jobs: map[sched.JobID]*Job{}, byIdentity: map[string]*Job{}, workers: map[string]*worker{}, stops: map[*worker][]string{},
		demand: map[string]*Demand{}, grants: map[uint64]*grant{}, foreign: map[string]*foreignState{},
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

// Run processes events until ctx ends.
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
			e.log.WithField("event", "fenced").WithField("jobs", len(e.jobs)).Error("the process was paused for too long; its jobs are not answered")
			e.closeAll()
			return
		}
		for i := range batch {
			batch[i](now)
			batch[i] = nil
		}
		// Housekeeping comes before starts, so that no start follows from a state that should have lapsed.
		if now.Sub(e.tickedAt) >= e.opts.Timing.Tick {
			e.tick(now)
		}
		e.lendFirst(now)
		e.start(now)
		e.lendRest(now)
		e.report(now)
		if next := e.tickInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

// tickInterval returns the time until the next housekeeping. Without work only renewals and the load are due, and 200
// ticks a second cost an idle instance more than all its control messages.
func (e *Engine) tickInterval() time.Duration {
	if len(e.jobs) > 0 || len(e.stops) > 0 || len(e.timers) > 0 || len(e.grants) > 0 || len(e.foreign) > len(e.foreignEnded) {
		return e.opts.Timing.Tick
	}
	return e.opts.Timing.IdleTick
}

func (e *Engine) closeAll() {
	close(e.closed)
	for _, w := range e.workers {
		w.target.close()
	}
}

// post hands an event to the loop.
func (e *Engine) post(ev event) { e.inbox.put(ev) }

// Configure runs f in the engine's loop, so that it may change the scheduler's settings.
func (e *Engine) Configure(f func(now time.Time, s sched.Scheduler)) {
	e.post(func(now time.Time) { f(now, e.opts.Scheduler) })
}

// call runs f in the loop and waits for it. It returns false when the engine has stopped.
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

// tick runs the periodic work.
func (e *Engine) tick(now time.Time) {
	e.tickedAt = now
	e.runTimers(now)
	e.expire(now)
	e.expireGrants(now)
	e.renewDue(now)
	e.flushStops()
	e.publishLoad(now)
}

// timer is work for a later tick.
type timer struct {
	due time.Time
	run event
}

// after runs f at the first tick after d.
func (e *Engine) after(now time.Time, d time.Duration, f event) {
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

// start hands queued tasks to free slots.
func (e *Engine) start(now time.Time) {
	if !e.opts.MayStart(now) {
		return
	}
	for {
		a, ok := e.opts.Scheduler.Next(now)
		if !ok {
			return
		}
		e.startOne(now, a)
	}
}

type nopObserver struct{}

func (nopObserver) Started(string, string, time.Duration, bool)           {}
func (nopObserver) Ended(string, string, platform.Outcome, time.Duration) {}
func (nopObserver) Answered(*Job, *api.Answer, time.Duration)             {}
func (nopObserver) Delegated(int)                                         {}
func (nopObserver) ForeignStarted(string, string)                         {}
func (nopObserver) Wasted(metric.Kind)                                    {}
func (nopObserver) DelegationLost()                                       {}
func (nopObserver) Replaced()                                             {}
