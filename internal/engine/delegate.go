package engine

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// Delegated is a task that a home hands to a peer, to run on a slot that the peer has granted.
type Delegated struct {
	Task     string
	Team     string
	Service  string
	Size     sched.Size
	Expected time.Duration
	Payload  string
}

// ResultFunc receives the outcome of one delegated task. It is called once for each.
type ResultFunc func(i int, r platform.RunResult)

// Peer runs delegated tasks on workers that another instance owns.
type Peer interface {
	// Delegate sends tasks under a grant. It must not block; the outcomes go to ended.
	Delegate(grant uint64, tasks []Delegated, ended ResultFunc)
	// Status returns the states of delegated tasks, with the outputs of those that have ended.
	Status(ctx context.Context, tasks []string) ([]platform.TaskStatus, error)
	// Stop stops delegated tasks.
	Stop(ctx context.Context, tasks []string) error
}

// peerTarget makes a peer a place where tasks run.
type peerTarget struct{ peer Peer }

// run is not used: tasks go to a peer in batches, by Granted.
func (peerTarget) run(*flight, *platform.RunRequest) bool { return false }

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
func (peerTarget) abandon(*flight)                                  {}
func (peerTarget) close()                                           {}

// AddPeer lets the engine delegate to a peer.
func (e *Engine) AddPeer(name string, p Peer) {
	e.post(func(now time.Time) {
		if w := e.workers[name]; w != nil {
			w.gone = false
			return
		}
		e.workers[name] = &worker{
			instance: platform.Instance{Name: name}, target: peerTarget{p}, peer: true,
			flights: map[*flight]struct{}{}, renewedAt: now,
		}
	})
}

// DropPeer forgets a peer that is silent. Tasks that it runs are followed to their ends, or until their leases run out;
// AddPeer takes it back.
func (e *Engine) DropPeer(name string) {
	e.post(func(time.Time) {
		if w := e.workers[name]; w != nil && w.peer {
			w.gone = true
			e.forgetPeer(w)
		}
	})
}

// forgetPeer removes a peer that is gone once none of its tasks is open.
func (e *Engine) forgetPeer(w *worker) {
	if w.gone && len(w.flights) == 0 && e.workers[w.instance.Name] == w {
		delete(e.workers, w.instance.Name)
	}
}

// RemovePeer gives up the tasks that are delegated to a peer which is gone for good.
func (e *Engine) RemovePeer(name string) {
	e.post(func(now time.Time) {
		if w := e.workers[name]; w != nil && w.peer {
			e.loseAll(now, w, "the instance that ran the task is gone")
			delete(e.workers, name)
		}
		delete(e.demand, name)
	})
}

// UseGrant uses slots that a peer has granted. used is called once with the number of tasks that were sent.
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
	taken := e.sharer.TakeQueued(now, slots, e.reportedSize)
	if len(taken) == 0 {
		return 0
	}
	flights := make([]*flight, len(taken))
	tasks := make([]Delegated, len(taken))
	for i, a := range taken {
		j := e.jobs[a.Job]
		f := e.launch(now, j, w, a)
		flights[i] = f
		tasks[i] = Delegated{
			Task: f.task, Team: j.Team, Service: j.Service, Size: j.Shape.Tasks[a.Task].Size,
			Expected: j.Shape.Tasks[a.Task].Declared, Payload: j.Payloads[a.Task],
		}
	}
	e.opts.Observe.Delegated(len(tasks))
	w.target.(peerTarget).peer.Delegate(grant, tasks, func(i int, r platform.RunResult) {
		e.post(func(now time.Time) { e.callEnded(now, flights[i], &r) })
	})
	return len(taken)
}
