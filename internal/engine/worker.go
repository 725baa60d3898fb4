package engine

import (
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// flight is a task at a worker.
type flight struct {
	job      *Job
	index    int
	task     string
	assigned sched.Assignment
	started  time.Time
	reported time.Time // the worker reported the task's end while the call was still open; zero before
	fetching bool
	misses   int         // fetches in a row without an answer
	settled  bool        // the outcome is known; a late end of the call is ignored
	revoked  atomic.Bool // set with settled; a lane that has not begun the call skips it
}

// worker is a worker whose slots this instance assigns.
type worker struct {
	instance    platform.Instance
	endpoint    platform.Endpoint
	lanes       []chan *start
	flights     []*flight // by lane
	state       sched.WorkerState
	slots       int
	renewing    bool
	renewedAt   time.Time // last answer to a renewal
	triedAt     time.Time
	incarnation uint64
	status      platform.EndpointStatus
}

// start is the work of a lane.
type start struct {
	flight *flight
	req    platform.RunRequest
}

// SetWorker adds a worker or changes the number of its slots that this instance may use.
func (e *Engine) SetWorker(inst platform.Instance, slots int) {
	e.post(func(now time.Time) { e.setWorker(now, inst, slots) })
}

func (e *Engine) setWorker(now time.Time, inst platform.Instance, slots int) {
	w := e.workers[inst.Name]
	if w != nil && w.instance.Address != inst.Address {
		e.dropWorker(now, inst.Name)
		w = nil
	}
	if w == nil {
		w = &worker{endpoint: e.opts.Dialer.Dial(inst.Address, inst.Slots), renewedAt: now}
		e.workers[inst.Name] = w
	}
	w.instance, w.slots = inst, slots
	if inst.State == platform.StateLeaving {
		w.state = sched.WorkerLeaving
	} else if w.state == sched.WorkerLeaving && !w.status.Leaving {
		w.state = sched.WorkerReady
	}
	for len(w.lanes) < inst.Slots {
		ch := make(chan *start, 1)
		w.lanes = append(w.lanes, ch)
		w.flights = append(w.flights, nil)
		go e.runLane(w.endpoint, len(w.lanes)-1, ch)
	}
	e.publish(now, w)
}

// publish tells the scheduler what it may use of a worker.
func (e *Engine) publish(now time.Time, w *worker) {
	e.opts.Scheduler.SetWorker(now, sched.Worker{
		Name: w.instance.Name, Rack: w.instance.Rack, Slots: w.slots, Size: w.instance.Size, State: w.state,
	})
}

// DropWorker forgets a worker; tasks on it count as lost.
func (e *Engine) DropWorker(name string) {
	e.post(func(now time.Time) { e.dropWorker(now, name) })
}

func (e *Engine) dropWorker(now time.Time, name string) {
	w := e.workers[name]
	if w == nil {
		return
	}
	e.loseAll(now, w, "the worker left")
	e.opts.Scheduler.RemoveWorker(name)
	delete(e.workers, name)
	w.close()
}

func (w *worker) close() {
	for _, ch := range w.lanes {
		close(ch)
	}
	w.endpoint.Close()
}

// setState changes whether the worker gets new tasks.
func (e *Engine) setState(now time.Time, w *worker, s sched.WorkerState, reason string) {
	if w.state == s {
		return
	}
	e.log.WithField("worker", w.instance.Name).WithField("state", s.String()).WithField("reason", reason).Info("worker state changed")
	w.state = s
	e.publish(now, w)
}

// runLane carries one slot's calls.
func (e *Engine) runLane(ep platform.Endpoint, lane int, work <-chan *start) {
	for s := range work {
		f := s.flight
		if f.revoked.Load() {
			continue
		}
		res := ep.Run(lane, &s.req)
		e.post(func(now time.Time) { e.callEnded(now, f, &res) })
	}
}

// startOne hands a task to its lane. From here on the task counts as started.
func (e *Engine) startOne(now time.Time, a sched.Assignment) {
	j, w := e.jobs[a.Job], e.workers[a.Worker]
	f := &flight{job: j, index: a.Task, task: j.TaskID(a.Task), assigned: a, started: now}
	j.phases[a.Task] = running
	j.where[a.Task] = a
	w.flights[a.Lane] = f
	e.opts.Observe.Started(j.Team, j.Service, now.Sub(j.Arrived))
	s := &start{flight: f, req: platform.RunRequest{
		Task: f.task, Service: j.Service, Size: j.Shape.Tasks[a.Task].Size, Lease: e.opts.Timing.Lease,
		Payload: j.Payloads[a.Task],
	}}
	select {
	case w.lanes[a.Lane] <- s:
	default:
		// The lane still hangs in an earlier call, which was given up; the loop must not wait for it.
		e.setState(now, w, sched.WorkerSuspect, "a lane does not return from its call")
		e.notStarted(now, f)
	}
}

// callEnded handles the return of a lane's call.
func (e *Engine) callEnded(now time.Time, f *flight, r *platform.RunResult) {
	if f.settled {
		e.opts.Observe.Wasted("late_answer")
		return
	}
	w := e.workers[f.assigned.Worker]
	if r.Leaving && w != nil {
		e.setState(now, w, sched.WorkerLeaving, "answer of the endpoint")
	}
	if r.Outcome == platform.Unreached && w != nil {
		e.setState(now, w, sched.WorkerSuspect, r.Output)
	}
	if r.Outcome == platform.Refused || r.Outcome == platform.Unreached {
		e.notStarted(now, f)
		return
	}
	if r.Outcome == platform.Lost && e.resolve(now, f, r.Output) {
		return
	}
	e.settle(now, f, r)
}

// notStarted returns a task to the queue that provably did not start.
func (e *Engine) notStarted(now time.Time, f *flight) {
	f.end()
	e.release(f)
	e.opts.Observe.Wasted("refused_start")
	if e.jobs[f.job.Shape.ID] != f.job {
		e.opts.Scheduler.Finish(now, f.assigned, sched.Outcome{Kind: platform.Refused})
		return
	}
	f.job.phases[f.index] = queued
	e.opts.Scheduler.Requeue(now, f.assigned)
}

// settle records the outcome of a task and frees its slot.
func (e *Engine) settle(now time.Time, f *flight, r *platform.RunResult) {
	f.end()
	e.release(f)
	if r.RunTime == 0 {
		r.RunTime = now.Sub(f.started)
	}
	e.opts.Scheduler.Finish(now, f.assigned, sched.Outcome{Kind: r.Outcome, RunTime: r.RunTime})
	e.opts.Observe.Ended(f.job.Team, f.job.Service, r.Outcome, r.RunTime)
	if e.jobs[f.job.Shape.ID] == f.job {
		e.taskEnded(now, f.job, f.index, r)
	}
}

func (f *flight) end() {
	f.settled = true
	f.revoked.Store(true)
}

func (e *Engine) release(f *flight) {
	w := e.workers[f.assigned.Worker]
	if w != nil && w.flights[f.assigned.Lane] == f {
		w.flights[f.assigned.Lane] = nil
	}
}
