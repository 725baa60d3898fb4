package engine

import (
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// attempt is one start of a task, at a worker or at a peer that runs it on one of its own workers.
type attempt struct {
	job           *Job     // nil for a peer's task
	foreign       *foreign // a peer's task; nil for a task of this instance's jobs
	index         int
	task          string
	assigned      sched.Assignment
	runsOn        *worker
	started       time.Time
	endReportedAt time.Time // when the worker reported the task's end while the call was open; zero if it has not
	fetching      bool
	failedFetches int         // consecutive fetches without an answer
	stopping      bool        // the worker was asked to stop the task, so a failure is no evidence against the worker
	settled       bool        // the outcome is known; a later return of the call is ignored
	revoked       atomic.Bool // set together with settled, for the lane's goroutine: it skips a call that has not begun
}

// unwanted reports whether the task's result is no longer needed: its job has been answered, or StopForeign was called for
// the task.
func (e *Engine) unwanted(f *attempt) bool {
	if f.foreign != nil {
		return f.foreign.stopped
	}
	return e.jobs[f.job.Shape.ID] != f.job
}

func (f *attempt) markSettled() {
	f.settled = true
	f.revoked.Store(true)
}

// worker is a worker whose slots this instance assigns, or a peer that grants slots of its workers.
type worker struct {
	instance     platform.Instance
	target       target
	peer         bool
	attempts     map[*attempt]struct{}
	state        sched.WorkerState
	slots        int  // number of slots that this instance may use
	gone         bool // no longer assigned to this instance, or a dropped peer; removed when its last task has ended
	renewing     bool
	renewedAt    time.Time               // last answer to a renewal
	renewTriedAt time.Time               // start of the last renewal
	incarnation  uint64                  // incarnation in the last answer to a renewal
	status       platform.EndpointStatus // last answer to a renewal
}

// SetWorker adds a worker or updates it, with the number of its slots that this instance may use. Running tasks above that
// number continue. Owner.SlotsApplied is called when the limit is in force.
func (e *Engine) SetWorker(inst platform.Instance, slots int) {
	e.post(func(now time.Time) { e.setWorker(now, inst, slots) })
}

func (e *Engine) setWorker(now time.Time, inst platform.Instance, slots int) {
	w := e.workers[inst.Name]
	if w != nil && w.instance.Address != inst.Address {
		e.removeWorker(now, w, "the address of the worker has changed")
		w = nil
	}
	if w == nil {
		w = &worker{target: newLanes(e, inst.Address, max(inst.Slots, slots)), renewedAt: now, attempts: map[*attempt]struct{}{}}
		e.workers[inst.Name] = w
	}
	if l, ok := w.target.(*lanes); ok {
		l.grow(inst.Address, slots)
	}
	w.instance, w.slots, w.gone = inst, slots, false
	if inst.State == platform.StateLeaving {
		w.state = sched.WorkerLeaving
	} else if w.state == sched.WorkerLeaving && !w.status.Leaving {
		w.state = sched.WorkerReady
	}
	e.updateScheduler(now, w)
	e.opts.Owner.SlotsApplied(inst.Name, len(w.attempts))
}

// updateScheduler passes the worker's slots, size and state to the scheduler.
func (e *Engine) updateScheduler(now time.Time, w *worker) {
	e.opts.Scheduler.SetWorker(now, sched.Worker{
		Name: w.instance.Name, Rack: w.instance.Rack, Slots: w.slots, Size: w.instance.Size, State: w.state,
	})
}

// DropWorker removes a worker. If tasks run on it, it gets no new ones and is removed when they have ended or their leases
// have expired.
func (e *Engine) DropWorker(name string) {
	e.post(func(now time.Time) { e.dropWorker(now, name) })
}

func (e *Engine) dropWorker(now time.Time, name string) {
	w := e.workers[name]
	if w == nil || w.peer {
		return
	}
	if len(w.attempts) == 0 {
		e.removeWorker(now, w, "")
		return
	}
	w.gone, w.slots = true, 0
	e.updateScheduler(now, w)
}

// removeWorker removes a worker at once; its tasks in progress are settled as lost for the given reason.
func (e *Engine) removeWorker(now time.Time, w *worker, reason string) {
	e.settleAllLost(now, w, reason)
	e.opts.Scheduler.RemoveWorker(w.instance.Name)
	delete(e.workers, w.instance.Name)
	w.target.close()
}

// TasksAt returns the names of the tasks in progress on a worker, peers' tasks included.
func (e *Engine) TasksAt(name string) (tasks []string) {
	e.call(func(time.Time) {
		if w := e.workers[name]; w != nil {
			tasks = w.tasks()
		}
	})
	return tasks
}

// setState changes the state of a worker, which decides whether it gets new tasks, and logs the reason.
func (e *Engine) setState(now time.Time, w *worker, s sched.WorkerState, reason string) {
	if w.state == s {
		return
	}
	e.log.WithField("event", "worker_state").WithField("worker", w.instance.Name).WithField("state", s.String()).WithField("reason", reason).Info("worker state changed")
	w.state = s
	e.updateScheduler(now, w)
}

// startTask passes an assigned task to the lane of its slot. The task counts as started from here on.
func (e *Engine) startTask(now time.Time, a sched.Assignment) {
	j, w := e.jobs[a.Job], e.workers[a.Worker]
	f := e.beginAttempt(now, j, w, a)
	if !w.target.run(f, e.request(f)) {
		// The lane has not returned from an earlier call that was abandoned. The loop must not wait for it.
		e.setState(now, w, sched.WorkerSuspect, "an abandoned call to the worker has not returned")
		e.returnUnstarted(now, f, platform.Unreached)
	}
}

// beginAttempt marks a task as started at a worker or peer and returns its attempt.
func (e *Engine) beginAttempt(now time.Time, j *Job, w *worker, a sched.Assignment) *attempt {
	f := &attempt{job: j, index: a.Task, task: j.TaskID(a.Task), assigned: a, runsOn: w, started: now}
	j.phases[a.Task] = running
	j.runningOn[a.Task] = w
	j.waited = j.waited || !now.Equal(j.queuedAt)
	w.attempts[f] = struct{}{}
	e.opts.Observe.Started(j.Team, j.Service, now.Sub(j.Arrived), w.peer)
	return f
}

func (e *Engine) request(f *attempt) *platform.RunRequest {
	j := f.job
	return &platform.RunRequest{
		Task: f.task, Service: j.Service, Size: j.Shape.Tasks[f.index].Size, Lease: e.opts.Timing.Lease,
		Payload: j.Payloads[f.index],
	}
}

// callEnded handles the return of a call. A task that did not start goes back to the queue. An answer that was lost is
// fetched from the worker. Any other result settles the attempt.
func (e *Engine) callEnded(now time.Time, f *attempt, r *platform.RunResult) {
	if f.settled {
		e.opts.Observe.Wasted(metric.WastedLateAnswer)
		return
	}
	if r.Leaving {
		e.setState(now, f.runsOn, sched.WorkerLeaving, "the endpoint answered that it is leaving")
	}
	if r.Outcome == platform.Unreached && !f.runsOn.peer {
		e.setState(now, f.runsOn, sched.WorkerSuspect, r.Output)
	}
	if r.Outcome == platform.Refused || r.Outcome == platform.Unreached {
		e.returnUnstarted(now, f, r.Outcome)
		return
	}
	if r.Outcome == platform.Lost && e.resolve(now, f, r.Output) {
		return
	}
	e.settle(now, f, r)
}

// returnUnstarted puts a task that certainly did not start back into the queue. A peer's task is reported as refused
// instead.
func (e *Engine) returnUnstarted(now time.Time, f *attempt, why platform.Outcome) {
	e.endAttempt(f)
	e.opts.Observe.Wasted(wastedBy(f, why))
	if f.foreign != nil {
		e.sharer.Release(now, f.assigned)
		f.foreign.ended(&platform.RunResult{Outcome: platform.Refused, Output: "the worker refused the task"})
		return
	}
	if e.jobs[f.job.Shape.ID] != f.job {
		e.opts.Scheduler.Finish(now, f.assigned, sched.Outcome{Kind: platform.Refused})
		return
	}
	f.job.phases[f.index] = queued
	e.opts.Scheduler.Requeue(now, f.assigned)
}

// wastedBy returns the kind of wasted message that an attempt without a start counts as.
func wastedBy(f *attempt, why platform.Outcome) metric.Kind {
	switch {
	case f.runsOn.peer:
		return metric.WastedDelegationFailed
	case why == platform.Refused:
		return metric.WastedEndpointRefused
	}
	return metric.WastedEndpointUnreached
}

// schedulerOutcome returns the outcome as the scheduler needs it. A worker reports a task that it was asked to stop as
// failed; if these counted as failures, many cancellations at once would take healthy workers out of service.
func (f *attempt) schedulerOutcome(r *platform.RunResult) sched.Outcome {
	return sched.Outcome{Kind: r.Outcome, RunTime: r.RunTime, Stopped: f.stopping && r.Outcome == platform.Failed}
}

// settle records the outcome of a task and frees its slot.
func (e *Engine) settle(now time.Time, f *attempt, r *platform.RunResult) {
	e.endAttempt(f)
	if r.RunTime == 0 {
		r.RunTime = now.Sub(f.started)
	}
	e.opts.Scheduler.Finish(now, f.assigned, f.schedulerOutcome(r))
	if f.foreign != nil {
		f.foreign.ended(r)
		return
	}
	if f.runsOn.peer && r.Outcome == platform.Lost {
		e.opts.Observe.DelegationLost()
	}
	e.opts.Observe.Ended(f.job.Team, f.job.Service, r.Outcome, r.RunTime)
	if e.jobs[f.job.Shape.ID] == f.job {
		e.taskEnded(now, f.job, f.index, r)
	}
}

// endAttempt removes a settled attempt from its worker and reports the freed slot to the owner.
func (e *Engine) endAttempt(f *attempt) {
	f.markSettled()
	w := f.runsOn
	delete(w.attempts, f)
	if w.peer {
		e.removePeerIfIdle(w)
		return
	}
	if len(w.attempts) >= w.slots {
		e.opts.Owner.TaskEnded(w.instance.Name, len(w.attempts))
	}
	if w.gone && len(w.attempts) == 0 {
		// Deferred to the next tick, since the caller still passes the end of this task to the scheduler.
		e.runAfter(e.tickedAt, 0, func(now time.Time) {
			if w.gone && len(w.attempts) == 0 && e.workers[w.instance.Name] == w {
				e.removeWorker(now, w, "")
			}
		})
	}
}
