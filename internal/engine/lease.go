package engine

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// maxFetches is the maximum number of attempts to fetch the outcome of one task. With a timeout of 1 s each, they take less
// time together than a lease.
const maxFetches = 3

const reasonNoAnswer = "no answer on the open connection"

// renewDue starts a lease renewal for each worker and peer whose interval has passed. Workers that have not answered for
// SuspectAfter become suspect.
func (e *Engine) renewDue(now time.Time) {
	for _, w := range e.workers {
		if !w.peer && w.state == sched.WorkerReady && now.Sub(w.renewedAt) >= e.opts.Timing.SuspectAfter {
			e.setState(now, w, sched.WorkerSuspect, "no answer to lease renewals")
		}
		if w.renewing || now.Sub(w.renewTriedAt) < e.renewInterval(now, w) {
			continue
		}
		w.renewing, w.renewTriedAt = true, now
		tasks := w.tasksSince(now.Add(-e.opts.Timing.RenewBusy))
		e.opts.Spawn(func() { e.renew(w, tasks) })
	}
}

func (e *Engine) renewInterval(now time.Time, w *worker) time.Duration {
	if w.state == sched.WorkerSuspect {
		return e.opts.Timing.RenewBusy / 2
	}
	for f := range w.attempts {
		if now.Sub(f.started) >= e.opts.Timing.RenewBusy {
			return e.opts.Timing.RenewBusy
		}
	}
	return e.opts.Timing.RenewIdle
}

// tasksSince returns the names of the tasks in progress that started at the given time or earlier. Newer tasks need no
// renewal yet, as a lease is five times as long as the renewal interval. Naming all tasks made up nine tenths of an
// instance's control traffic at 1,200 workers.
func (w *worker) tasksSince(at time.Time) []string {
	var out []string
	for f := range w.attempts {
		if !f.started.After(at) {
			out = append(out, f.task)
		}
	}
	return out
}

// tasks returns the names of the tasks in progress.
func (w *worker) tasks() []string {
	var out []string
	for f := range w.attempts {
		out = append(out, f.task)
	}
	return out
}

func (e *Engine) renew(w *worker, tasks []string) {
	ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timing.ControlTimeout)
	defer cancel()
	status, err := w.target.renew(ctx, tasks)
	e.post(func(now time.Time) {
		w.renewing = false
		if e.workers[w.instance.Name] != w {
			return
		}
		if err != nil {
			e.renewFailed(now, w, err)
			return
		}
		e.renewed(now, w, &status)
	})
}

func (e *Engine) renewFailed(now time.Time, w *worker, err error) {
	e.log.WithField("event", "renewal_failed").WithError(err).WithField("worker", w.instance.Name).Debug("lease renewal failed")
	if now.Sub(w.renewedAt) >= e.opts.Timing.Lease {
		e.settleAllLost(now, w, "the worker did not answer for the duration of the lease")
	}
}

// renewed applies the worker's report of itself and of its tasks.
func (e *Engine) renewed(now time.Time, w *worker, s *platform.EndpointStatus) {
	restarted := w.incarnation != 0 && s.Incarnation != w.incarnation
	w.renewedAt, w.status, w.incarnation = now, *s, s.Incarnation
	switch {
	case s.Leaving || w.instance.State == platform.StateLeaving:
		e.setState(now, w, sched.WorkerLeaving, "the worker is leaving")
	default:
		e.setState(now, w, sched.WorkerReady, "the worker answered a lease renewal")
	}
	states := make(map[string]platform.TaskStatus, len(s.Tasks))
	for _, t := range s.Tasks {
		states[t.Task] = t
	}
	for f := range w.attempts {
		if st, ok := states[f.task]; ok {
			e.reconcileTask(now, w, f, st, restarted)
		}
	}
}

// reconcileTask handles the worker's report of a task whose call is still open. A task that has ended is fetched if the call
// does not return within CallGrace.
func (e *Engine) reconcileTask(now time.Time, w *worker, f *attempt, st platform.TaskStatus, restarted bool) {
	if st.State == platform.TaskRunning {
		f.endReportedAt = time.Time{}
		if e.unwanted(f) {
			// The stop message was lost, or arrived before the task.
			e.pendingStops[w] = append(e.pendingStops[w], f.task)
		}
		return
	}
	if restarted && st.State == platform.TaskUnknown {
		e.settleLost(now, f, "the worker has restarted")
		return
	}
	if f.endReportedAt.IsZero() {
		f.endReportedAt = now
		// The call's answer may still arrive. Checking again after CallGrace saves the fetch for most tasks.
		e.runAfter(now, e.opts.Timing.CallGrace, func(now time.Time) { e.recheck(now, w, f) })
	}
}

// recheck fetches the outcome of a task if its call has not returned since the worker reported the task's end.
func (e *Engine) recheck(now time.Time, w *worker, f *attempt) {
	if !f.settled && !f.endReportedAt.IsZero() && e.workers[w.instance.Name] == w {
		e.resolve(now, f, reasonNoAnswer)
	}
}

// resolve fetches the state of a task whose call brought no answer, over another connection to the worker. It returns false
// if the engine no longer has the worker.
func (e *Engine) resolve(now time.Time, f *attempt, reason string) bool {
	w := f.runsOn
	if e.workers[w.instance.Name] != w {
		return false
	}
	if f.fetching {
		return true
	}
	f.fetching = true
	e.opts.Observe.Wasted(metric.WastedTaskFetch)
	e.log.WithField("event", "task_fetch").WithField("worker", w.instance.Name).WithField("task", f.task).WithField("reason", reason).Warn("fetching the state of a task")
	e.opts.Spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timing.ControlTimeout)
		defer cancel()
		st, err := w.target.fetch(ctx, f.task)
		e.post(func(now time.Time) { e.fetched(now, w, f, st, err, reason) })
	})
	return true
}

// fetched settles a task by the state that the worker returned for it. A task that is neither running nor done nor failed is
// lost.
func (e *Engine) fetched(now time.Time, w *worker, f *attempt, st platform.TaskStatus, err error, reason string) {
	f.fetching = false
	if f.settled {
		return
	}
	r := platform.RunResult{Outcome: platform.Lost, Output: reason}
	switch {
	case err != nil:
		e.fetchFailed(now, w, f, reason)
		return
	case st.State == platform.TaskRunning:
		// The call has ended but the task still runs. Renewals continue to report it; its outcome is fetched when it ends.
		f.endReportedAt = time.Time{}
		return
	case st.State == platform.TaskDone:
		r = platform.RunResult{Outcome: platform.Succeeded, Output: st.Output}
	case st.State == platform.TaskFailed:
		r = platform.RunResult{Outcome: platform.Failed, Output: st.Output}
	}
	if reason == reasonNoAnswer && r.Outcome != platform.Lost {
		e.opts.Observe.Replaced()
	}
	e.abandonCall(f)
	e.settle(now, f, &r)
}

// fetchFailed repeats a failed fetch, since the worker may only be slow. After maxFetches failures the task is lost, so that
// the job is answered in bounded time.
func (e *Engine) fetchFailed(now time.Time, w *worker, f *attempt, reason string) {
	f.failedFetches++
	if f.failedFetches >= maxFetches || e.workers[w.instance.Name] != w {
		e.settleLost(now, f, reason)
		return
	}
	e.runAfter(now, e.opts.Timing.CallGrace, func(now time.Time) {
		if !f.settled && !e.resolve(now, f, reason) {
			e.settleLost(now, f, reason)
		}
	})
}

// abandonCall ends the call for a task. It revokes the call first, so that a call which has not begun does not begin later.
func (e *Engine) abandonCall(f *attempt) {
	f.markSettled()
	f.runsOn.target.abandon(f)
}

// settleLost settles a task as lost, unless its outcome is known.
func (e *Engine) settleLost(now time.Time, f *attempt, reason string) {
	if f.settled {
		return
	}
	e.abandonCall(f)
	e.settle(now, f, &platform.RunResult{Outcome: platform.Lost, Output: reason})
}

// settleAllLost settles all tasks in progress on a worker as lost.
func (e *Engine) settleAllLost(now time.Time, w *worker, reason string) {
	for f := range w.attempts {
		e.settleLost(now, f, reason)
	}
}

// markStopping marks the attempts of the tasks as asked to stop.
func (w *worker) markStopping(tasks []string) {
	stopped := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		stopped[t] = true
	}
	for f := range w.attempts {
		f.stopping = f.stopping || stopped[f.task]
	}
}

// sendStops sends the stops that were collected since the last tick, one message for each worker.
func (e *Engine) sendStops() {
	for w, tasks := range e.pendingStops {
		delete(e.pendingStops, w)
		if e.workers[w.instance.Name] != w {
			continue
		}
		w.markStopping(tasks)
		e.opts.Spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timing.ControlTimeout)
			defer cancel()
			if err := w.target.stop(ctx, tasks); err != nil {
				e.log.WithField("event", "stop_failed").WithError(err).WithField("worker", w.instance.Name).Warn("stop request failed")
			}
		})
	}
}
