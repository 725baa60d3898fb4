package engine

import (
	"time"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// Demand is a peer's report of queued tasks that have no free slot at the peer.
type Demand struct {
	Queued     int        // tasks not yet covered by a grant
	Best       float64    // rank of the peer's most urgent queued task at the time of the report, see sched.Backlog.BestRank
	Size       sched.Size // size of that task
	Remote     bool       // the peer is in another availability zone; it is served after the peers of this zone
	receivedAt time.Time
}

// SharingTiming holds the intervals and limits of slot sharing.
type SharingTiming struct {
	GrantExpiry       time.Duration // time after which an unused grant is revoked
	DemandTTL         time.Duration // time after which a peer's report that was not repeated is dropped
	RankMargin        float64       // seconds by which a peer's best rank must be below the best one here to be served first
	MinReportInterval time.Duration // shortest time between two reports of this instance's backlog
	RepeatInterval    time.Duration // time after which a report is repeated while the backlog lasts
	MinBacklogAge     time.Duration // a backlog is reported once it is this old
}

// DefaultSharingTiming returns the default intervals.
func DefaultSharingTiming() SharingTiming {
	return SharingTiming{
		GrantExpiry: 50 * time.Millisecond, DemandTTL: 500 * time.Millisecond, RankMargin: 0.05,
		MinReportInterval: 2 * time.Millisecond, RepeatInterval: 100 * time.Millisecond,
		// Without this delay, at 80% load half of the backlog reports were withdrawn before they brought a grant.
		MinBacklogAge: 5 * time.Millisecond,
	}
}

// Sharing sends the engine's messages to peers. Its calls come from the engine's loop and must not block.
type Sharing interface {
	// Grant offers slots to a peer.
	Grant(peer string, id uint64, slots int)
	// Backlog reports this instance's backlog to the peers. With Queued 0 it withdraws the last report.
	Backlog(b sched.Backlog)
}

// grant is a set of free slots that are reserved for a peer.
type grant struct {
	peer      string
	slots     []sched.Assignment
	expiresAt time.Time
}

// foreign is a peer's task on a worker of this instance.
type foreign struct {
	home    string // ZONE/INSTANCE of the peer
	task    Delegated
	ended   func(r *platform.RunResult)
	stopped bool // the task is to be stopped, because its home has requested this or is dead
}

// foreignState is the state of a peer's task. It outlives the task by foreignTTL, so that the home can fetch a result that
// was lost on the way.
type foreignState struct {
	status  platform.TaskStatus
	attempt *attempt
	ended   time.Time
}

// foreignTTL is the time for which the outcome of a peer's task is kept.
const foreignTTL = 60 * time.Second

// SetDemand replaces the demand of a peer by its new report. Queued 0 withdraws it.
func (e *Engine) SetDemand(peer string, d Demand) {
	e.post(func(now time.Time) {
		d.receivedAt = now
		if d.Queued <= 0 {
			delete(e.demands, peer)
			return
		}
		e.demands[peer] = &d
	})
}

// grantToMoreUrgent grants slots to peers of this zone whose best task is more urgent than the best one queued here.
func (e *Engine) grantToMoreUrgent(now time.Time) {
	if e.draining || len(e.demands) == 0 || e.sharer == nil || !e.opts.MayStart(now) {
		return
	}
	own := e.sharer.Backlog(now)
	if own.Queued == 0 {
		return
	}
	for {
		peer, d := e.mostUrgent(now, false)
		if d == nil || d.Best-now.Sub(d.receivedAt).Seconds() > own.BestRank-e.opts.SharingTiming.RankMargin {
			return
		}
		if !e.offerGrant(now, peer, d, 1) {
			return
		}
	}
}

// grantFreeSlots grants the slots that are still free after this instance's own starts.
func (e *Engine) grantFreeSlots(now time.Time) {
	if e.draining || len(e.demands) == 0 || e.sharer == nil || !e.opts.MayStart(now) {
		return
	}
	for {
		peer, d := e.mostUrgent(now, true)
		if d == nil || !e.offerGrant(now, peer, d, d.Queued) {
			return
		}
	}
}

// mostUrgent returns the peer to serve next and its demand, nil if there is none. Peers of other zones are included only if
// remote is true. Expired demands are deleted.
func (e *Engine) mostUrgent(now time.Time, remote bool) (string, *Demand) {
	var name string
	var best *Demand
	for peer, d := range e.demands {
		if now.Sub(d.receivedAt) > e.opts.SharingTiming.DemandTTL {
			delete(e.demands, peer)
			continue
		}
		if d.Remote && !remote {
			continue
		}
		if best == nil || servedBefore(d, best) || (!servedBefore(best, d) && peer < name) {
			name, best = peer, d
		}
	}
	return name, best
}

// servedBefore orders demands: peers of this zone first, then by rank.
func servedBefore(a, b *Demand) bool {
	if a.Remote != b.Remote {
		return b.Remote
	}
	return a.Best < b.Best
}

// offerGrant reserves up to n slots for a peer and offers them. It returns false if no slot is free.
func (e *Engine) offerGrant(now time.Time, peer string, d *Demand, n int) bool {
	slots := e.sharer.Reserve(now, n, d.Size)
	if len(slots) == 0 {
		return false
	}
	d.Queued -= len(slots)
	if d.Queued <= 0 {
		delete(e.demands, peer)
	}
	e.nextGrant++
	e.grants[e.nextGrant] = &grant{peer: peer, slots: slots, expiresAt: now.Add(e.opts.SharingTiming.GrantExpiry)}
	e.opts.Sharing.Grant(peer, e.nextGrant, len(slots))
	return true
}

// ReturnGrant frees the slots of a grant that the peer does not need.
func (e *Engine) ReturnGrant(peer string, id uint64) {
	e.post(func(now time.Time) {
		if g := e.grants[id]; g != nil && g.peer == peer {
			e.opts.Observe.Wasted(metric.WastedGrantReturned)
			e.revoke(now, id, g)
		}
	})
}

// revoke deletes a grant and frees its remaining slots.
func (e *Engine) revoke(now time.Time, id uint64, g *grant) {
	delete(e.grants, id)
	for _, a := range g.slots {
		e.sharer.Release(now, a)
	}
}

// expireGrants revokes grants that were not used in time, and deletes outcomes of peers' tasks older than foreignTTL.
func (e *Engine) expireGrants(now time.Time) {
	for id, g := range e.grants {
		if !now.Before(g.expiresAt) {
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

// AcceptDelegated runs a peer's tasks on the slots of a grant. accepted is called once with the number n of accepted tasks,
// which are the first n; the others did not start. ended is called once for each accepted task.
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

// runForeign starts tasks on the slots of a grant and returns how many it started. Unused slots stay in the grant.
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
	f := &attempt{task: t.Task, assigned: a, runsOn: w, started: now}
	st := &foreignState{status: platform.TaskStatus{Task: t.Task, State: platform.TaskRunning}, attempt: f}
	e.foreign[t.Task] = st
	f.foreign = &foreign{home: home, task: *t, ended: func(r *platform.RunResult) {
		if r.Outcome == platform.Refused {
			delete(e.foreign, t.Task) // it did not start, so the peer may delegate it again under another grant
			ended(r)
			return
		}
		st.status.State, st.status.Output, st.ended, st.attempt = stateOf(r.Outcome), r.Output, e.opts.Clock.Now(), nil
		e.foreignEnded = append(e.foreignEnded, t.Task)
		ended(r)
	}}
	w.attempts[f] = struct{}{}
	e.opts.Observe.ForeignStarted(t.Team, t.Service)
	req := &platform.RunRequest{Task: t.Task, Service: t.Service, Size: t.Size, Lease: e.opts.Timing.Lease, Payload: t.Payload}
	if !w.target.run(f, req) {
		e.returnUnstarted(now, f, platform.Unreached)
	}
}

// stateOf returns the state of a task after an attempt with the given outcome. Anything but success and failure is unknown.
func stateOf(o platform.Outcome) platform.TaskState {
	switch o {
	case platform.Succeeded:
		return platform.TaskDone
	case platform.Failed:
		return platform.TaskFailed
	}
	return platform.TaskUnknown
}

// ForeignStatus returns the states of peers' tasks, in the order of the names. Tasks that this instance does not know are
// unknown.
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
			if st.attempt != nil {
				tasks = append(tasks, name)
			}
		}
	})
	return tasks
}

// StopForeign stops those of the given peers' tasks that run here.
func (e *Engine) StopForeign(tasks []string) {
	e.post(func(time.Time) {
		for _, t := range tasks {
			if st := e.foreign[t]; st != nil && st.attempt != nil {
				st.attempt.foreign.stopped = true
				e.pendingStops[st.attempt.runsOn] = append(e.pendingStops[st.attempt.runsOn], t)
			}
		}
	})
}

// reportBacklog reports this instance's backlog to the peers when it has lasted for MinBacklogAge, then repeatedly while it
// lasts or as soon as it has more than doubled, and withdraws the report once when it is gone.
func (e *Engine) reportBacklog(now time.Time) {
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
	case b.Queued > 0 && (e.reportedQueued == 0 || now.Sub(e.reportedAt) >= e.opts.SharingTiming.RepeatInterval || b.Queued > 2*e.reportedQueued):
	case b.Queued == 0 && e.reportedQueued > 0:
	default:
		return
	}
	e.reportedQueued, e.reportedAt, e.reportedTaskSize = b.Queued, now, b.Size
	e.opts.Sharing.Backlog(b)
}
