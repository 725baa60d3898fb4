package engine

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// Delegated is a task that its home, the instance that accepted the job, sends to a peer to run on a slot that the peer has
// granted.
type Delegated struct {
	Task     string // name, see Job.TaskID
	Team     string
	Service  string
	Size     sched.Size
	Expected time.Duration // declared run time
	Payload  string
}

// ResultFunc receives the outcome of one delegated task. i is the task's index in its delegation. It is called once for each
// task.
type ResultFunc func(i int, r platform.RunResult)

// Peer runs delegated tasks on workers that another instance owns.
type Peer interface {
	// Delegate sends tasks under a grant. It must not block; ended receives the outcomes.
	Delegate(grant uint64, tasks []Delegated, ended ResultFunc)
	// Status returns the states of delegated tasks in the order of the names, with the outputs of those that have ended.
	Status(ctx context.Context, tasks []string) ([]platform.TaskStatus, error)
	// Stop asks the peer to stop delegated tasks.
	Stop(ctx context.Context, tasks []string) error
}

// peerTarget is the target of tasks that are delegated to a peer.
type peerTarget struct{ peer Peer }

// run is not used: tasks are sent to a peer in batches by UseGrant.
func (peerTarget) run(*attempt, *platform.RunRequest) bool { return false }

func (t peerTarget) renew(ctx context.Context, tasks []string) (platform.EndpointStatus, error) {
	if len(tasks) == 0 {
		return platform.EndpointStatus{}, nil
	}
	states, err := t.peer.Status(ctx, tasks)
	return platform.EndpointStatus{Tasks: states}, err
}

func (t peerTarget) fetch(ctx context.Context, task string) (platform.TaskStatus, error) {
	states, err := t.peer.Status(ctx, []string{task})
	if err != nil || len(states) != 1 {
		return platform.TaskStatus{Task: task, State: platform.TaskUnknown}, err
	}
	return states[0], nil
}

func (t peerTarget) stop(ctx context.Context, tasks []string) error { return t.peer.Stop(ctx, tasks) }
func (peerTarget) abandon(*attempt)                                 {}
func (peerTarget) close()                                           {}

// AddPeer lets the engine delegate tasks to a peer. name is ZONE/INSTANCE.
func (e *Engine) AddPeer(name string, p Peer) {
	e.post(func(now time.Time) {
		if w := e.workers[name]; w != nil {
			w.gone = false
			return
		}
		e.workers[name] = &worker{
			instance: platform.Instance{Name: name}, target: peerTarget{p}, peer: true,
			attempts: map[*attempt]struct{}{}, renewedAt: now,
		}
	})
}

// DropPeer removes a peer that no longer sends heartbeats. The engine keeps track of tasks that run there until they end or
// their leases expire, and removes the peer with the last of them. AddPeer reverses it until then.
func (e *Engine) DropPeer(name string) {
	e.post(func(time.Time) {
		if w := e.workers[name]; w != nil && w.peer {
			w.gone = true
			e.removePeerIfIdle(w)
		}
	})
}

// removePeerIfIdle removes a peer that was dropped, unless an attempt there is still open.
func (e *Engine) removePeerIfIdle(w *worker) {
	if w.gone && len(w.attempts) == 0 && e.workers[w.instance.Name] == w {
		delete(e.workers, w.instance.Name)
	}
}

// RemovePeer removes a peer that will not return. Tasks delegated to it are settled as lost.
func (e *Engine) RemovePeer(name string) {
	e.post(func(now time.Time) {
		if w := e.workers[name]; w != nil && w.peer {
			e.settleAllLost(now, w, "the instance that ran the task is gone")
			delete(e.workers, name)
		}
		delete(e.demands, name)
	})
}

// UseGrant delegates queued tasks to a peer that has granted slots, at most one task for each slot. used is called once,
// with the number of tasks sent.
func (e *Engine) UseGrant(name string, grant uint64, slots int, used func(n int)) {
	e.post(func(now time.Time) {
		w := e.workers[name]
		if w == nil || !w.peer || e.sharer == nil || !e.opts.MayStart(now) {
			used(0)
			return
		}
		used(e.delegate(now, w, grant, slots))
	})
}

func (e *Engine) delegate(now time.Time, w *worker, grant uint64, slots int) int {
	taken := e.sharer.TakeQueued(now, slots, e.reportedTaskSize)
	if len(taken) == 0 {
		return 0
	}
	attempts := make([]*attempt, len(taken))
	tasks := make([]Delegated, len(taken))
	for i, a := range taken {
		j := e.jobs[a.Job]
		f := e.beginAttempt(now, j, w, a)
		attempts[i] = f
		tasks[i] = Delegated{
			Task: f.task, Team: j.Team, Service: j.Service, Size: j.Shape.Tasks[a.Task].Size,
			Expected: j.Shape.Tasks[a.Task].Declared, Payload: j.Payloads[a.Task],
		}
	}
	e.opts.Observe.Delegated(len(tasks))
	w.target.(peerTarget).peer.Delegate(grant, tasks, func(i int, r platform.RunResult) {
		e.post(func(now time.Time) { e.callEnded(now, attempts[i], &r) })
	})
	return len(taken)
}
