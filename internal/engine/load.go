package engine

import (
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// Load is a recent summary of the engine's work.
type Load struct {
	sched.Stats
	Jobs int
	Wait time.Duration // expected time until all queued tasks have started
}

// loadInterval is how often the summary is renewed; it is read for heartbeats, which leave 4 times a second.
const loadInterval = 50 * time.Millisecond

// Load returns the last summary without asking the loop.
func (e *Engine) Load() Load {
	if l := e.load.Load(); l != nil {
		return *l
	}
	return Load{}
}

func (e *Engine) publishLoad(now time.Time) {
	if now.Sub(e.loadedAt) < loadInterval {
		return
	}
	e.loadedAt = now
	l := &Load{Stats: e.opts.Scheduler.Stats(), Jobs: len(e.jobs)}
	if s, ok := e.opts.Scheduler.(sched.Sharer); ok && l.Queued > 0 {
		l.Wait = s.Backlog(now).Wait
	}
	e.load.Store(l)
}

// UsageKey tells whose tasks use slots.
type UsageKey struct {
	Home string // ZONE/INSTANCE of the peer that has delegated the tasks, empty for own tasks
	Team string
}

// Usage returns the declared sizes of the tasks on the slots that this instance assigns.
func (e *Engine) Usage() map[UsageKey]sched.Size {
	out := map[UsageKey]sched.Size{}
	e.call(func(time.Time) {
		for _, w := range e.workers {
			if w.peer {
				continue
			}
			for f := range w.flights {
				use, size := f.charge()
				out[use] = out[use].Plus(size)
			}
		}
	})
	return out
}

// charge returns who uses the slot and the declared size of the task.
func (f *flight) charge() (UsageKey, sched.Size) {
	if f.foreign != nil {
		return UsageKey{f.foreign.home, f.foreign.task.Team}, f.foreign.task.Size
	}
	return UsageKey{Team: f.job.Team}, f.job.Shape.Tasks[f.index].Size
}
