package engine

import (
	"time"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// Demand is a peer's report of tasks that it cannot place on its own slots.
type Demand struct {
	Queued int
	Best   float64    // rank of its best queued task, as sched.Backlog.Best, at the time of the report
	Size   sched.Size // size of that task
	Remote bool       // from another availability zone: served after all others
	at     time.Time
}

// SharingTiming holds the intervals of slot sharing.
type SharingTiming struct {
	GrantExpiry       time.Duration // of a grant
	DemandTTL         time.Duration // of a report that is not repeated
	RankMargin        float64       // seconds by which a peer's rank must beat the own best one
	MinReportInterval time.Duration // shortest time between two reports
	RepeatInterval    time.Duration // repetition of a report while the backlog lasts
	MinBacklogAge     time.Duration // a backlog that lasts less is not reported
}

// DefaultSharingTiming returns the intervals of the design page.
func DefaultSharingTiming() SharingTiming {
	return SharingTiming{
		GrantExpiry: 50 * time.Millisecond, DemandTTL: 500 * time.Millisecond, RankMargin: 0.05,
		MinReportInterval: 2 * time.Millisecond, RepeatInterval: 100 * time.Millisecond,
		// At 80% load half of the reports were withdrawn before they brought a grant.
		MinBacklogAge: 5 * time.Millisecond,
	}
}

// Sharing sends the engine's messages to peers. Its calls come from the engine's loop and must not block.
type Sharing interface {
	// Grant offers slots to a peer.
	Grant(peer string, id uint64, slots int)
	// Backlog reports the own backlog to the peers; with Queued 0 it withdraws the last report.
	Backlog(b sched.Backlog)
}

// grant is a set of slots that are held free for a peer.
type grant struct {
	peer  string
	slots []sched.Assignment
	due   time.Time
}

// foreign is a task of a peer on a worker of this instance.
type foreign struct {
	home    string
	task    Delegated
	ended   func(r *platform.RunResult)
	stopped bool // the home has asked to stop it, or is gone
}

// foreignState is what is kept of a peer's task, so that a lost answer can be asked for.
type foreignState struct {
	status platform.TaskStatus
	flight *flight
	ended  time.Time
}

// foreignTTL is how long the outcome of a peer's task is kept.
const foreignTTL = 60 * time.Second

// SetDemand takes in a peer's report.
func (e *Engine) SetDemand(peer string, d Demand) {
	e.post(func(now time.Time) {
		d.at = now
		if d.Queued <= 0 {
			delete(e.demand, peer)
			return
		}
		e.demand[peer] = &d
	})
}

// lendFirst grants slots to peers whose best task is more urgent than the own best one.
func (e *Engine) lendFirst(now time.Time) {
	if e.draining || len(e.demand) == 0 || e.sharer == nil || !e.opts.MayStart(now) {
		return
	}
	own := e.sharer.Backlog(now)
	if own.Queued == 0 {
		return
	}
	for {
		peer, d := e.mostUrgent(now, false)
		if d == nil || d.Best-now.Sub(d.at).Seconds() > own.Best-e.opts.SharingTiming.RankMargin {
			return
		}
		if !e.lend(now, peer, d, 1) {
			return
		}
	}
}

// lendRest grants the slots that the own queue leaves free.
func (e *Engine) lendRest(now time.Time) {
	if e.draining || len(e.demand) == 0 || e.sharer == nil || !e.opts.MayStart(now) {
		return
	}
	for {
		peer, d := e.mostUrgent(now, true)
		if d == nil || !e.lend(now, peer, d, d.Queued) {
			return
		}
	}
}

// mostUrgent returns the peer to serve next.
func (e *Engine) mostUrgent(now time.Time, remote bool) (string, *Demand) {
	var name string
	var best *Demand
	for peer, d := range e.demand {
		if now.Sub(d.at) > e.opts.SharingTiming.DemandTTL {
			delete(e.demand, peer)
			continue
		}
		if d.Remote && !remote {
			continue
		}
		if best == nil || before(d, best) || (!before(best, d) && peer < name) {
			name, best = peer, d
		}
	}
	return name, best
}

func before(a, b *Demand) bool {
	if a.Remote != b.Remote {
		return b.Remote
	}
	return a.Best < b.Best
}

// lend reserves up to n slots for a peer and offers them. It returns false when none is free.
func (e *Engine) lend(now time.Time, peer string, d *Demand, n int) bool {
	slots := e.sharer.Reserve(now, n, d.Size)
	if len(slots) == 0 {
		return false
	}
	d.Queued -= len(slots)
	if d.Queued <= 0 {
		delete(e.demand, peer)
	}
	e.nextGrant++
	e.grants[e.nextGrant] = &grant{peer: peer, slots: slots, due: now.Add(e.opts.SharingTiming.GrantExpiry)}
	e.opts.Sharing.Grant(peer, e.nextGrant, len(slots))
	return true
}

// ReturnGrant takes back slots that a peer does not need.
func (e *Engine) ReturnGrant(peer string, id uint64) {
	e.post(func(now time.Time) {
		if g := e.grants[id]; g != nil && g.peer == peer {
			e.opts.Observe.Wasted(metric.WastedGrantReturned)
			e.revoke(now, id, g)
		}
	})
}

func (e *Engine) revoke(now time.Time, id uint64, g *grant) {
	delete(e.grants, id)
	for _, a := range g.slots {
		e.sharer.Release(now, a)
	}
}

// expireGrants takes back the slots of grants that were not used in time, and forgets old outcomes.
func (e *Engine) expireGrants(now time.Time) {
	for id, g := range e.grants {
		if !now.Before(g.due) {
			e.opts.Observe.Wasted(metric.WastedGrantExpired)
			e.revoke(now, id, g)
		}
	}
	for len(e.foreignEnded) > 0 {
		st := e.foreign[e.foreignEnded[0]]
		if st != nil && now.Sub(st.ended) < foreignTTL {
			return
		}
		delete(e.foreign, e.foreignEnded[0])
		e.foreignEnded = e.foreignEnded[1:]
	}
}

// AcceptDelegated runs tasks of a peer under a grant. accepted is called once with the number of tasks, from the first on, that
// were taken; the others did not start. ended is called for each task that was taken.
func (e *Engine) AcceptDelegated(peer string, id uint64, tasks []Delegated, accepted func(n int), ended ResultFunc) {
	e.post(func(now time.Time) {
		g := e.grants[id]
		if g == nil || g.peer != peer || !e.opts.MayStart(now) {
			accepted(0)
			return
		}
		n := e.runForeign(now, g, tasks, ended)
		e.revoke(now, id, g)
		accepted(n)
	})
}

// runForeign starts tasks on the slots of a grant and leaves the unused slots in it.
func (e *Engine) runForeign(now time.Time, g *grant, tasks []Delegated, ended ResultFunc) int {
	for i := range tasks {
		if len(g.slots) == 0 || e.foreign[tasks[i].Task] != nil {
			return i
		}
		a := g.slots[0]
		w := e.workers[a.Worker]
		t := sched.Task{Size: tasks[i].Size, Declared: tasks[i].Expected}
		if w == nil || !e.sharer.Attach(now, a, sched.PeerTask{Team: tasks[i].Team, Service: tasks[i].Service, Task: t}) {
			return i
		}
		g.slots = g.slots[1:]
		e.startForeign(now, g.peer, w, a, &tasks[i], func(r *platform.RunResult) { ended(i, *r) })
	}
	return len(tasks)
}

func (e *Engine) startForeign(now time.Time, home string, w *worker, a sched.Assignment, t *Delegated, ended func(*platform.RunResult)) {
	f := &flight{task: t.Task, assigned: a, at: w, started: now}
	st := &foreignState{status: platform.TaskStatus{Task: t.Task, State: platform.TaskRunning}, flight: f}
	e.foreign[t.Task] = st
	f.foreign = &foreign{home: home, task: *t, ended: func(r *platform.RunResult) {
		if r.Outcome == platform.Refused {
			delete(e.foreign, t.Task) // it did not start, so it may come again under another grant
			ended(r)
			return
		}
		st.status.State, st.status.Output, st.ended, st.flight = stateOf(r.Outcome), r.Output, e.opts.Clock.Now(), nil
		e.foreignEnded = append(e.foreignEnded, t.Task)
		ended(r)
	}}
	w.flights[f] = struct{}{}
	e.opts.Observe.ForeignStarted(t.Team, t.Service)
	req := &platform.RunRequest{Task: t.Task, Service: t.Service, Size: t.Size, Lease: e.opts.Timing.Lease, Payload: t.Payload}
	if !w.target.run(f, req) {
		e.notStarted(now, f, platform.Unreached)
	}
}

// stateOf maps the outcome of an attempt to a state. A refused task stays unknown: it did not start here.
func stateOf(o platform.Outcome) platform.TaskState {
	switch o {
	case platform.Succeeded:
		return platform.TaskDone
	case platform.Failed:
		return platform.TaskFailed
	}
	return platform.TaskUnknown
}

// ForeignStatus returns the states of a peer's tasks.
func (e *Engine) ForeignStatus(tasks []string) []platform.TaskStatus {
	out := make([]platform.TaskStatus, len(tasks))
	e.call(func(time.Time) {
		for i, t := range tasks {
			out[i] = platform.TaskStatus{Task: t, State: platform.TaskUnknown}
			if st := e.foreign[t]; st != nil {
				out[i] = st.status
			}
		}
	})
	return out
}

// ForeignTasks returns the names of the peers' tasks that run here.
func (e *Engine) ForeignTasks() (tasks []string) {
	e.call(func(time.Time) {
		for name, st := range e.foreign {
			if st.flight != nil {
				tasks = append(tasks, name)
			}
		}
	})
	return tasks
}

// StopForeign stops tasks of a peer.
func (e *Engine) StopForeign(tasks []string) {
	e.post(func(time.Time) {
		for _, t := range tasks {
			if st := e.foreign[t]; st != nil && st.flight != nil {
				st.flight.foreign.stopped = true
				e.stops[st.flight.at] = append(e.stops[st.flight.at], t)
			}
		}
	})
}

// report tells the peers of the own backlog: at once when it arises, then while it lasts, and once when it is gone.
func (e *Engine) report(now time.Time) {
	if e.sharer == nil || now.Sub(e.reportedAt) < e.opts.SharingTiming.MinReportInterval {
		return
	}
	b := e.sharer.Backlog(now)
	if b.Queued == 0 {
		e.backlogSince = time.Time{}
	} else if e.backlogSince.IsZero() {
		e.backlogSince = now
	}
	switch {
	case b.Queued > 0 && now.Sub(e.backlogSince) < e.opts.SharingTiming.MinBacklogAge:
		return
	case b.Queued > 0 && (e.reported == 0 || now.Sub(e.reportedAt) >= e.opts.SharingTiming.RepeatInterval || b.Queued > 2*e.reported):
	case b.Queued == 0 && e.reported > 0:
	default:
		return
	}
	e.reported, e.reportedAt, e.reportedSize = b.Queued, now, b.Size
	e.opts.Sharing.Backlog(b)
}
