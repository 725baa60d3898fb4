package engine

import (
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// flight is a task in progress at a worker, or at a peer that runs it on one of its own workers.
type flight struct {
	job      *Job     // nil for a task of a peer
	foreign  *foreign // nil for a task of a job of this instance
	index    int
	task     string
	assigned sched.Assignment
	at       *worker
	started  time.Time
	reported time.Time // the worker reported the task's end while the call was still open; zero before
	fetching bool
	misses   int         // fetches in a row without an answer
	stopping bool        // the worker was asked to stop the task, so that its end says nothing about the worker
	settled  bool        // the outcome is known; a late end of the call is ignored
	revoked  atomic.Bool // set with settled; a lane that has not begun the call skips it
}

// unwanted reports whether nobody waits for the task's result any more.
func (e *Engine) unwanted(f *flight) bool {
	if f.foreign != nil {
		return f.foreign.stopped
	}
	return e.jobs[f.job.Shape.ID] != f.job
}

func (f *flight) end() {
	f.settled = true
	f.revoked.Store(true)
}

// worker is a worker whose slots this instance assigns, or a peer that lends slots of its workers.
type worker struct {
	instance    platform.Instance
	target      target
	peer        bool
	flights     map[*flight]struct{}
	state       sched.WorkerState
	slots       int
	gone        bool // no longer in the list, or silent for a peer; forgotten when its last task has ended
	renewing    bool
	renewedAt   time.Time // last answer to a renewal
	triedAt     time.Time
	incarnation uint64
	status      platform.EndpointStatus
}

// SetWorker adds a worker or changes the number of its slots that this instance may use.
func (e *Engine) SetWorker(inst platform.Instance, slots int) {
	e.post(func(now time.Time) { e.setWorker(now, inst, slots) })
}

func (e *Engine) setWorker(now time.Time, inst platform.Instance, slots int) {
	w := e.workers[inst.Name]
	if w != nil && w.instance.Address != inst.Address {
		e.forget(now, w, "the worker has another address")
		w = nil
	}
	if w == nil {
		w = &worker{target: newLanes(e, inst.Address, max(inst.Slots, slots)), renewedAt: now, flights: map[*flight]struct{}{}}
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
	e.publish(now, w)
	e.opts.Owner.SlotsApplied(inst.Name, len(w.flights))
}

// publish tells the scheduler what it may use of a worker.
func (e *Engine) publish(now time.Time, w *worker) {
	e.opts.Scheduler.SetWorker(now, sched.Worker{
		Name: w.instance.Name, Rack: w.instance.Rack, Slots: w.slots, Size: w.instance.Size, State: w.state,
	})
}

// DropWorker forgets a worker. Tasks on it are followed to their ends, or until their leases run out.
func (e *Engine) DropWorker(name string) {
	e.post(func(now time.Time) { e.dropWorker(now, name) })
}

func (e *Engine) dropWorker(now time.Time, name string) {
	w := e.workers[name]
	if w == nil || w.peer {
		return
	}
	if len(w.flights) == 0 {
		e.forget(now, w, "")
		return
	}
	w.gone, w.slots = true, 0
	e.publish(now, w)
}

// forget removes a worker; tasks on it count as lost.
func (e *Engine) forget(now time.Time, w *worker, reason string) {
	e.loseAll(now, w, reason)
	e.opts.Scheduler.RemoveWorker(w.instance.Name)
	delete(e.workers, w.instance.Name)
	w.target.close()
}

// TasksAt returns the names of the tasks that run on a worker.
func (e *Engine) TasksAt(name string) (tasks []string) {
	e.call(func(time.Time) {
		if w := e.workers[name]; w != nil {
			tasks = w.tasks()
		}
	})
	return tasks
}

// setState changes whether the worker gets new tasks.
func (e *Engine) setState(now time.Time, w *worker, s sched.WorkerState, reason string) {
	if w.state == s {
		return
	}
	e.log.WithField("event", "worker_state").WithField("worker", w.instance.Name).WithField("state", s.String()).WithField("reason", reason).Info("worker state changed")
	w.state = s
	e.publish(now, w)
}

// startOne hands a task to its lane. From here on the task counts as started.
func (e *Engine) startOne(now time.Time, a sched.Assignment) {
	j, w := e.jobs[a.Job], e.workers[a.Worker]
	f := e.launch(now, j, w, a)
	if !w.target.run(f, e.request(f)) {
		// The lane still hangs in an earlier call, which was given up; the loop must not wait for it.
		e.setState(now, w, sched.WorkerSuspect, "a lane does not return from its call")
		e.notStarted(now, f, platform.Unreached)
	}
}

// launch marks a task as started at a worker or peer.
func (e *Engine) launch(now time.Time, j *Job, w *worker, a sched.Assignment) *flight {
	f := &flight{job: j, index: a.Task, task: j.TaskID(a.Task), assigned: a, at: w, started: now}
	j.phases[a.Task] = running
	j.where[a.Task] = w
	j.waited = j.waited || !now.Equal(j.submitted)
	w.flights[f] = struct{}{}
	e.opts.Observe.Started(j.Team, j.Service, now.Sub(j.Arrived), w.peer)
	return f
}

func (e *Engine) request(f *flight) *platform.RunRequest {
	j := f.job
	return &platform.RunRequest{
		Task: f.task, Service: j.Service, Size: j.Shape.Tasks[f.index].Size, Lease: e.opts.Timing.Lease,
		Payload: j.Payloads[f.index],
	}
}

// callEnded handles the return of a call.
func (e *Engine) callEnded(now time.Time, f *flight, r *platform.RunResult) {
	if f.settled {
		e.opts.Observe.Wasted(metric.WastedLateAnswer)
		return
	}
	if r.Leaving {
		e.setState(now, f.at, sched.WorkerLeaving, "answer of the endpoint")
	}
	if r.Outcome == platform.Unreached && !f.at.peer {
		e.setState(now, f.at, sched.WorkerSuspect, r.Output)
	}
	if r.Outcome == platform.Refused || r.Outcome == platform.Unreached {
		e.notStarted(now, f, r.Outcome)
		return
	}
	if r.Outcome == platform.Lost && e.resolve(now, f, r.Output) {
		return
	}
	e.settle(now, f, r)
}

// notStarted returns a task to the queue that provably did not start.
func (e *Engine) notStarted(now time.Time, f *flight, why platform.Outcome) {
	e.land(f)
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

// wastedBy returns the kind of message that was wasted on a task that did not start.
func wastedBy(f *flight, why platform.Outcome) metric.Kind {
	switch {
	case f.at.peer:
		return metric.WastedDelegationFailed
	case why == platform.Refused:
		return metric.WastedEndpointRefused
	}
	return metric.WastedEndpointMissed
}

// lesson returns what the scheduler learns from an outcome. A worker fails a task that it was asked to stop; counted as
// failures, a wave of cancellations would take healthy workers out of service.
func (f *flight) lesson(r *platform.RunResult) sched.Outcome {
	return sched.Outcome{Kind: r.Outcome, RunTime: r.RunTime, Stopped: f.stopping && r.Outcome == platform.Failed}
}

// settle records the outcome of a task and frees its slot.
func (e *Engine) settle(now time.Time, f *flight, r *platform.RunResult) {
	e.land(f)
	if r.RunTime == 0 {
		r.RunTime = now.Sub(f.started)
	}
	e.opts.Scheduler.Finish(now, f.assigned, f.lesson(r))
	if f.foreign != nil {
		f.foreign.ended(r)
		return
	}
	if f.at.peer && r.Outcome == platform.Lost {
		e.opts.Observe.DelegationLost()
	}
	e.opts.Observe.Ended(f.job.Team, f.job.Service, r.Outcome, r.RunTime)
	if e.jobs[f.job.Shape.ID] == f.job {
		e.taskEnded(now, f.job, f.index, r)
	}
}

func (e *Engine) land(f *flight) {
	f.end()
	w := f.at
	delete(w.flights, f)
	if w.peer {
		e.forgetPeer(w)
		return
	}
	if len(w.flights) >= w.slots {
		e.opts.Owner.TaskEnded(w.instance.Name, len(w.flights))
	}
	if w.gone && len(w.flights) == 0 {
		// Not at once: the scheduler still has to be told of this task's end.
		e.after(e.tickedAt, 0, func(now time.Time) {
			if w.gone && len(w.flights) == 0 && e.workers[w.instance.Name] == w {
				e.forget(now, w, "")
			}
		})
	}
}
