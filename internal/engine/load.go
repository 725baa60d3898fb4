package engine

import (
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// Load is a summary of the engine's work.
type Load struct {
	sched.Stats
	Jobs int
	Wait time.Duration // expected time until all queued tasks have started
}

// loadInterval is the shortest time between two updates of the summary. Heartbeats read it and are sent 4 times a second.
const loadInterval = 50 * time.Millisecond

// Load returns the last published summary. It does not wait for the loop.
func (e *Engine) Load() Load {
	if l := e.load.Load(); l != nil {
		return *l
	}
	return Load{}
}

func (e *Engine) publishLoad(now time.Time) {
	if now.Sub(e.loadPublishedAt) < loadInterval {
		return
	}
	e.loadPublishedAt = now
	l := &Load{Stats: e.opts.Scheduler.Stats(), Jobs: len(e.jobs)}
	if s, ok := e.opts.Scheduler.(sched.Sharer); ok && l.Queued > 0 {
		l.Wait = s.Backlog(now).Wait
	}
	e.load.Store(l)
}

// UsageKey identifies whose tasks use slots.
type UsageKey struct {
	Home string // ZONE/INSTANCE of the peer that delegated the tasks; empty for tasks of this instance's jobs
	Team string
}

// Usage returns, by home and team, the total declared size of the tasks that run on the workers of this instance, peers'
// tasks included. Tasks delegated to peers are not counted.
func (e *Engine) Usage() map[UsageKey]sched.Size {
	out := map[UsageKey]sched.Size{}
	e.call(func(time.Time) {
		for _, w := range e.workers {
			if w.peer {
				continue
			}
			for f := range w.attempts {
				use, size := f.charge()
				out[use] = out[use].Plus(size)
			}
		}
	})
	return out
}

// charge returns whose task the attempt is and the declared size of the task.
func (f *attempt) charge() (UsageKey, sched.Size) {
	if f.foreign != nil {
		return UsageKey{f.foreign.home, f.foreign.task.Team}, f.foreign.task.Size
	}
	return UsageKey{Team: f.job.Team}, f.job.Shape.Tasks[f.index].Size
}
