package engine

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// maxFetches bounds the tries to learn the fate of one task; with time-outs of 1 s it stays below the lease.
const maxFetches = 3

const reasonSilent = "the connection is silent"

// renewDue starts the renewal of leases for each worker whose interval has passed.
func (e *Engine) renewDue(now time.Time) {
	for _, w := range e.workers {
		if !w.peer && w.state == sched.WorkerReady && now.Sub(w.renewedAt) >= e.opts.Timing.SuspectAfter {
			e.setState(now, w, sched.WorkerSuspect, "no answer to renewals")
		}
		if w.renewing || now.Sub(w.triedAt) < e.renewInterval(now, w) {
			continue
		}
		w.renewing, w.triedAt = true, now
		tasks := w.tasksSince(now.Add(-e.opts.Timing.RenewBusy))
		e.opts.Spawn(func() { e.renew(w, tasks) })
	}
}

func (e *Engine) renewInterval(now time.Time, w *worker) time.Duration {
	if w.state == sched.WorkerSuspect {
		return e.opts.Timing.RenewBusy / 2
	}
	for f := range w.flights {
		if now.Sub(f.started) >= e.opts.Timing.RenewBusy {
			return e.opts.Timing.RenewBusy
		}
	}
	return e.opts.Timing.RenewIdle
}

// tasksSince returns the names of the tasks that have been in flight since a time or longer. Younger ones need no renewal,
// as a lease is five times as long; naming them all was nine tenths of an instance's control traffic at 1,200 workers.
func (w *worker) tasksSince(at time.Time) []string {
	var out []string
	for f := range w.flights {
		if !f.started.After(at) {
			out = append(out, f.task)
		}
	}
	return out
}

// tasks returns the names of the tasks in flight.
func (w *worker) tasks() []string {
	var out []string
	for f := range w.flights {
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
	e.log.WithField("event", "renewal_failed").WithError(err).WithField("worker", w.instance.Name).Debug("leases not renewed")
	if now.Sub(w.renewedAt) >= e.opts.Timing.Lease {
		e.loseAll(now, w, "no answer from the worker for the time of its lease")
	}
}

// renewed takes in the worker's report of itself and of its tasks.
func (e *Engine) renewed(now time.Time, w *worker, s *platform.EndpointStatus) {
	restarted := w.incarnation != 0 && s.Incarnation != w.incarnation
	w.renewedAt, w.status, w.incarnation = now, *s, s.Incarnation
	switch {
	case s.Leaving || w.instance.State == platform.StateLeaving:
		e.setState(now, w, sched.WorkerLeaving, "report of the worker")
	default:
		e.setState(now, w, sched.WorkerReady, "report of the worker")
	}
	states := make(map[string]platform.TaskStatus, len(s.Tasks))
	for _, t := range s.Tasks {
		states[t.Task] = t
	}
	for f := range w.flights {
		if st, ok := states[f.task]; ok {
			e.compare(now, w, f, st, restarted)
		}
	}
}

// compare sets the worker's report of a task against the call that is still open for it.
func (e *Engine) compare(now time.Time, w *worker, f *flight, st platform.TaskStatus, restarted bool) {
	if st.State == platform.TaskRunning {
		f.reported = time.Time{}
		if e.unwanted(f) {
			// The stop was lost, or overtook the start.
			e.stops[w] = append(e.stops[w], f.task)
		}
		return
	}
	if restarted && st.State == platform.TaskUnknown {
		e.giveUp(now, f, "the worker has restarted")
		return
	}
	if f.reported.IsZero() {
		f.reported = now
		// The answer may be on its way; looking again after the grace avoids a fetch for most tasks.
		e.after(now, e.opts.Timing.CallGrace, func(now time.Time) { e.recheck(now, w, f) })
	}
}

func (e *Engine) recheck(now time.Time, w *worker, f *flight) {
	if !f.settled && !f.reported.IsZero() && e.workers[w.instance.Name] == w {
		e.resolve(now, f, reasonSilent)
	}
}

// resolve asks the worker over a new connection what became of a task whose call brought no answer. It returns false
// when there is nobody to ask.
func (e *Engine) resolve(now time.Time, f *flight, reason string) bool {
	w := f.at
	if e.workers[w.instance.Name] != w {
		return false
	}
	if f.fetching {
		return true
	}
	f.fetching = true
	e.opts.Observe.Wasted(metric.WastedFetch)
	e.log.WithField("event", "task_fetch").WithField("worker", w.instance.Name).WithField("task", f.task).WithField("reason", reason).Warn("fetching the state of a task")
	e.opts.Spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timing.ControlTimeout)
		defer cancel()
		st, err := w.target.fetch(ctx, f.task)
		e.post(func(now time.Time) { e.fetched(now, w, f, st, err, reason) })
	})
	return true
}

// fetched settles a task by the worker's own record of it.
func (e *Engine) fetched(now time.Time, w *worker, f *flight, st platform.TaskStatus, err error, reason string) {
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
		// The call is gone but the task runs on: renewals go on reporting it, and its end is fetched.
		f.reported = time.Time{}
		return
	case st.State == platform.TaskDone:
		r = platform.RunResult{Outcome: platform.Succeeded, Output: st.Output}
	case st.State == platform.TaskFailed:
		r = platform.RunResult{Outcome: platform.Failed, Output: st.Output}
	}
	if reason == reasonSilent && r.Outcome != platform.Lost {
		e.opts.Observe.Replaced()
	}
	e.cutOff(f)
	e.settle(now, f, &r)
}

// fetchFailed tries again a few times: the worker may be slow, but an answer must come in bounded time.
func (e *Engine) fetchFailed(now time.Time, w *worker, f *flight, reason string) {
	f.misses++
	if f.misses >= maxFetches || e.workers[w.instance.Name] != w {
		e.giveUp(now, f, reason)
		return
	}
	e.after(now, e.opts.Timing.CallGrace, func(now time.Time) {
		if !f.settled && !e.resolve(now, f, reason) {
			e.giveUp(now, f, reason)
		}
	})
}

// cutOff ends the call for a task. It is revoked first, so that a call which has not begun cannot begin afterwards.
func (e *Engine) cutOff(f *flight) {
	f.end()
	f.at.target.abandon(f)
}

// giveUp settles a task as lost.
func (e *Engine) giveUp(now time.Time, f *flight, reason string) {
	if f.settled {
		return
	}
	e.cutOff(f)
	e.settle(now, f, &platform.RunResult{Outcome: platform.Lost, Output: reason})
}

// loseAll gives up all tasks on a worker.
func (e *Engine) loseAll(now time.Time, w *worker, reason string) {
	for f := range w.flights {
		e.giveUp(now, f, reason)
	}
}

func (w *worker) markStopping(tasks []string) {
	stopped := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		stopped[t] = true
	}
	for f := range w.flights {
		f.stopping = f.stopping || stopped[f.task]
	}
}

// flushStops sends the stops that have come together since the last tick, one message per worker.
func (e *Engine) flushStops() {
	for w, tasks := range e.stops {
		delete(e.stops, w)
		if e.workers[w.instance.Name] != w {
			continue
		}
		w.markStopping(tasks)
		e.opts.Spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timing.ControlTimeout)
			defer cancel()
			if err := w.target.stop(ctx, tasks); err != nil {
				e.log.WithField("event", "stop_failed").WithError(err).WithField("worker", w.instance.Name).Warn("tasks could not be stopped")
			}
		})
	}
}
